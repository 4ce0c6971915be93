package control

import (
	"fmt"
	"testing"
)

// A request that no endpoint can take waits, and is rejected while the client can still retry in time.
func TestWaitingRequestsAreRejectedInTime(t *testing.T) {
	for _, left := range []int64{second / 100, 83 * second / 1000, 400 * second / 1000, 5 * second} {
		t.Run(fmt.Sprintf("%d ns left", left), func(t *testing.T) {
			router := newRouter(t, nil)
			router.UpdateEndpoints(start, nil, true)
			request, now := newRequest("harmless", "a"), start
			request.Deadline = now + left
			decision := router.Decide(now, request)
			for decision.Verdict == Wait {
				now += router.RecheckDelay(now, request)
				if now > request.Deadline || now > start+second {
					t.Fatalf("still waiting after %d ns, with a deadline after %d ns", now-start, left)
				}
				decision = router.Decide(now, request)
			}
			objective := router.classByName["harmless"].LatencyObjective
			if decision.Verdict != Reject || decision.RetryAfter <= 0 || decision.RetryAfter >= objective/2 {
				t.Errorf("verdict %v with Retry-After %d ns, want reject with more than 0 and less than %d ns",
					decision.Verdict, decision.RetryAfter, objective/2)
			}
		})
	}
}

// A request that has not reached a cache within half of its time is rejected then, because a response would hardly
// come in time.
func TestUnsentRequestsAreRejectedAtHalfTheirTime(t *testing.T) {
	for _, test := range []struct {
		result Result
		after  int64 // ns from the start of the first attempt to its end
		want   Verdict
	}{
		{Unreachable, second - 1, Send},
		{Unreachable, second, Reject},
		{SendInterrupted, second, Reject},
		{NotSent, second, Reject},
		{Overloaded, second, Send},
		{ConnectionLost, second, Send},
	} {
		t.Run(fmt.Sprintf("%v after %d ns", test.result, test.after), func(t *testing.T) {
			router, request := newRouter(t, nil), newRequest("harmless", "a")
			request.Deadline = start + 2*second
			if decision := router.Decide(start, request); decision.Attempt.SendTimeout != second {
				t.Errorf("send timeout %d ns, want %d ns", decision.Attempt.SendTimeout, second)
			}
			decision := router.AttemptEnded(start+test.after, request, Outcome{Result: test.result})
			if decision.Verdict != test.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, test.want)
			}
		})
	}
}

// A large response takes longer to send than most responses of its class, and a small one less long. If the size is
// known, a large one must not count as late because of that, and a small one must not count as in time.
func TestLatencyObjectiveFollowsTheSize(t *testing.T) {
	for _, test := range []struct {
		name        string
		elapsed     int64
		sendingTime float64
		late        bool
	}{
		{"of unknown size, in time for the mean", second, 0, false},
		{"of unknown size, late for the mean", 2 * second, 0, true},
		{"large, in time for its size", 2 * second, 1, false},
		{"small, late for its size", second, 0.01, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, func(s *Settings) { setObjectiveStretches(s, 2, 2, 2) })
			request := newRequest("harmless", "a")
			router.Decide(start, request)
			kind := request.attempts[0].kind
			router.AttemptEnded(start+test.elapsed, request, Outcome{
				Result:       Succeeded,
				Elapsed:      test.elapsed,
				SendingTime:  test.sendingTime,
				RequestEnded: true,
			})
			if late := router.admission.limits[kind] < initialAdmissionLimits[kind]; late != test.late {
				t.Errorf("late: %v, want %v", late, test.late)
			}
		})
	}
}

// Calls for an unknown class, attempt or endpoint, or for a request that has ended, change nothing.
func TestInvalidCallsChangeNothing(t *testing.T) {
	router := newRouter(t, nil)
	if decision := router.Decide(start, newRequest("unheard of", "a")); decision.Verdict != Fail {
		t.Errorf("decision on a request of an unknown class: %+v, want verdict fail", decision)
	}
	request := newRequest("harmless", "a")
	router.Decide(start, request)
	for _, number := range []int{-1, 1} {
		if decision := router.AttemptEnded(start, request, Outcome{Attempt: number}); decision.Verdict != Wait {
			t.Errorf("decision after an outcome of unknown attempt %d: %+v, want verdict wait", number, decision)
		}
		if !router.AcceptsEntry(start, request, number, 1) {
			t.Errorf("a response to unknown attempt %d is not accepted", number)
		}
	}
	router.EndRequest(start, request)
	if decision := router.Decide(start, request); decision.Verdict != Wait || router.RecheckDelay(start, request) != 0 {
		t.Errorf("decision on an ended request: %+v, recheck delay %d, want verdict wait and delay 0",
			decision, router.RecheckDelay(start, request))
	}
	router.ProbeEnded(start, 99, true, nil)
}

// If the settings state that attempts cannot be cancelled once they were sent, the end of a request leaves its
// attempts in flight.
func TestNoCancellationWithoutCancelAttempts(t *testing.T) {
	router := newRouter(t, func(s *Settings) { s.CancelAttempts = false })
	request := newRequest("harmless", "a")
	router.Decide(start, request)
	if decision := router.EndRequest(start, request); len(decision.Cancel) > 0 {
		t.Errorf("decision %+v, want no attempts cancelled", decision)
	}
}
