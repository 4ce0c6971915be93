package control

import (
	"fmt"
	"testing"
)

// A request that no endpoint can take waits a moment, and is rejected while the client can still retry in time.
func TestWaitingRequestsAreRejectedInTime(t *testing.T) {
	for _, left := range []int64{second / 100, 83 * second / 1000, 400 * second / 1000, 5 * second} {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			r := newRouter(t, nil)
			r.UpdateEndpoints(start, nil, true)
			request, now := newRequest("harmless", "a"), start
			request.Deadline = now + left
			decision := r.Decide(now, request)
			for decision.Verdict == Wait {
				now += r.RecheckDelay(now, request)
				if now > request.Deadline || now > start+second {
					t.Fatalf("still waiting after %v", now-start)
				}
				decision = r.Decide(now, request)
			}
			objective := r.classByName["harmless"].LatencyObjective
			if decision.Verdict != Reject || decision.RetryAfter <= 0 || decision.RetryAfter >= objective/2 {
				t.Errorf("verdict %v with Retry-After %v", decision.Verdict, decision.RetryAfter)
			}
		})
	}
}

// A request that reached no cache within half of its time is rejected then: an answer would hardly come in
// time.
func TestUnsentRequestsAreRejectedAtHalfTheirTime(t *testing.T) {
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
			r, request := newRouter(t, nil), newRequest("harmless", "a")
			request.Deadline = start + 2*second
			if decision := r.Decide(start, request); decision.Attempt.SendTimeout != second {
				t.Errorf("send timeout %d", decision.Attempt.SendTimeout)
			}
			if decision := r.AttemptEnded(start+c.after, request, Outcome{Result: c.result}); decision.Verdict != c.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}

// Whether an answer is late is judged by its own size where that is known, and by the mean of its class where
// it is not.
func TestLatencyObjectiveFollowsTheSize(t *testing.T) {
	for _, c := range []struct {
		name        string
		elapsed     int64
		sendingTime float64
		late        bool
	}{
		{"of unknown size, in time by the mean", second, 0, false},
		{"of unknown size, late by the mean", 2 * second, 0, true},
		{"large, and not late for its size", 2 * second, 1, false},
		{"small, and late for its size", second, 0.01, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, request := newRouter(t, func(s *Settings) { setObjectiveStretches(s, 2, 2, 2) }), newRequest("harmless", "a")
			r.Decide(start, request)
			kind := request.attempts[0].kind
			r.AttemptEnded(start+c.elapsed, request, Outcome{
				Result:       Succeeded,
				Elapsed:      c.elapsed,
				SendingTime:  c.sendingTime,
				RequestEnded: true,
			})
			if late := r.admission.limits[kind] < initialAdmissionLimits[kind]; late != c.late {
				t.Errorf("late: %v, want %v", late, c.late)
			}
		})
	}
}

// Calls that no adapter should make change nothing.
func TestInvalidCallsChangeNothing(t *testing.T) {
	r := newRouter(t, nil)
	if decision := r.Decide(start, newRequest("unheard of", "a")); decision.Verdict != Fail {
		t.Errorf("a request of an unknown class: %+v", decision)
	}
	request := newRequest("harmless", "a")
	r.Decide(start, request)
	for _, number := range []int{-1, 1} {
		if decision := r.AttemptEnded(start, request, Outcome{Attempt: number}); decision.Verdict != Wait {
			t.Errorf("outcome of attempt %d: %+v", number, decision)
		}
		if !r.AcceptsCopy(start, request, number, 1) {
			t.Errorf("an answer of attempt %d is not accepted", number)
		}
	}
	r.ClientGone(start, request)
	if decision := r.Decide(start, request); decision.Verdict != Wait || r.RecheckDelay(start, request) != 0 {
		t.Errorf("after its end: %+v", decision)
	}
	r.ProbeEnded(start, 99, true, nil)
}

// Where attempts cannot be cancelled none is.
func TestWithoutCancelling(t *testing.T) {
	r := newRouter(t, func(s *Settings) { s.CancelAttempts = false })
	request := newRequest("harmless", "a")
	r.Decide(start, request)
	if decision := r.ClientGone(start, request); len(decision.Cancel) > 0 {
		t.Errorf("%+v", decision)
	}
}
