package control

import (
	"fmt"
	"testing"
)

func TestHeldRequestsEndInTime(t *testing.T) {
	for _, left := range []int64{second / 100, 83 * second / 1000, 400 * second / 1000, 5 * second} {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			r := newRouter(t, nil)
			r.UpdateEndpoints(start, nil, true)
			request, now := ask("harmless", "a"), start
			request.Deadline = now + left
			decision := r.Decide(now, request)
			for decision.Verdict == Wait {
				now += r.RecheckDelay(now, request)
				if now > request.Deadline || now > start+second {
					t.Fatalf("still held after %v", now-start)
				}
				decision = r.Decide(now, request)
			}
			if due := r.classByName["harmless"].LatencyObjective; decision.Verdict != Reject || decision.RetryAfter <= 0 || decision.RetryAfter >= due/2 {
				t.Errorf("verdict %v with advice %v", decision.Verdict, decision.RetryAfter)
			}
		})
	}
}

// Given up on late without having been at any cache, a retrieval costs more than one refused at once.
func TestUnsentIsGivenUpByHalfItsTime(t *testing.T) {
	for _, c := range []struct {
		result Result
		after  int64
		want   Verdict
	}{
		{Unreachable, second - 1, Send},
		{Unreachable, second, Reject},
		{SendInterrupted, second, Reject},
		{NotSent, second, Reject},
		{Overloaded, second, Send},
		{ConnectionLost, second, Send},
	} {
		t.Run(fmt.Sprint(c.result, c.after), func(t *testing.T) {
			r, request := newRouter(t, nil), ask("harmless", "a")
			request.Deadline = start + 2*second
			if decision := r.Decide(start, request); decision.Attempt.SendTimeout != second {
				t.Errorf("to be on its way within %d", decision.Attempt.SendTimeout)
			}
			if decision := r.AttemptEnded(start+c.after, request, Outcome{Result: c.result}); decision.Verdict != c.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}

// Judged by the product's mean, large answers passed for late and small late ones for in time.
func TestAnswersAreDueByTheirSize(t *testing.T) {
	for _, c := range []struct {
		name    string
		spent   int64
		sending float64
		late    bool
	}{
		{"by the mean, where nothing tells its size", second, 0, false},
		{"late by the mean", 2 * second, 0, true},
		{"a large one", 2 * second, 1, false},
		{"a small one", second, 0.01, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, request := newRouter(t, func(s *Settings) { setObjectiveStretches(s, 2, 2, 2) }), ask("harmless", "a")
			r.Decide(start, request)
			kind := request.attempts[0].kind
			r.AttemptEnded(start+c.spent, request, Outcome{Result: Succeeded, Elapsed: c.spent, SendingTime: c.sending, RequestEnded: true})
			if late := r.admission.limits[kind] < initialAdmissionLimits[kind]; late != c.late {
				t.Errorf("late: %v, want %v", late, c.late)
			}
		})
	}
}

// Calls that no adapter should make change nothing.
func TestOddCalls(t *testing.T) {
	r := newRouter(t, nil)
	if decision := r.Decide(start, ask("unheard of", "a")); decision.Verdict != Fail {
		t.Errorf("of no class: %+v", decision)
	}
	request := ask("harmless", "a")
	r.Decide(start, request)
	for _, number := range []int{-1, 1} {
		if decision := r.AttemptEnded(start, request, Outcome{Attempt: number}); decision.Verdict != Wait {
			t.Errorf("outcome of attempt %d: %+v", number, decision)
		}
		if !r.AcceptsCopy(start, request, number, 1) {
			t.Errorf("no answer of attempt %d is taken", number)
		}
	}
	r.ClientGone(start, request)
	if decision := r.Decide(start, request); decision.Verdict != Wait || r.RecheckDelay(start, request) != 0 {
		t.Errorf("after its end: %+v", decision)
	}
	r.ProbeEnded(start, 99, true, nil)
}

// Where attempts can't be called off, none is.
func TestWithoutCancelling(t *testing.T) {
	r := newRouter(t, func(s *Settings) { s.CancelAttempts = false })
	request := ask("harmless", "a")
	r.Decide(start, request)
	if decision := r.ClientGone(start, request); len(decision.Cancel) > 0 {
		t.Errorf("%+v", decision)
	}
}
