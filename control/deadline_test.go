package control

import (
	"fmt"
	"testing"
)

// answerRequests makes a router send count requests of a class for new objects and receive their responses, each
// after the given number of ms.
func answerRequests(router *Router, class string, count int, after int64) {
	for n := range count {
		request := newRequest(class, fmt.Sprint(class, n))
		router.Decide(start, request)
		router.AttemptEnded(start+after*second/1000, request, Outcome{
			Result:  Succeeded,
			Elapsed: after * second / 1000,
		})
	}
}

// An attempt whose response cannot come before the deadline would only load the cache. None is made if the time left
// is not longer than the fastest response of the class took.
func TestNoAttemptWithTooLittleTimeLeft(t *testing.T) {
	for _, test := range []struct {
		name string
		seen int   // earlier responses that took 40 ms; if there are any, one more took 20 ms
		left int64 // ms from the decision to the request's deadline
		want Verdict
	}{
		{"no earlier responses", 0, 1, Send},
		{"few earlier responses", 8, 1, Send},
		{"less time than the fastest took", 9, 19, Reject},
		{"as much time as the fastest took", 9, 20, Reject},
		{"more time than the fastest took, about half of the mean", 9, 21, Send},
		{"no time", 0, 0, Reject},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			if test.seen > 0 {
				answerRequests(router, "harmless", 1, 20)
				answerRequests(router, "harmless", test.seen, 40)
			}
			answerRequests(router, "stamped", 20, 300) // these are of another class, so they must not matter
			request := newRequest("harmless", "a")
			request.Deadline = start + test.left*second/1000
			if decision := router.Decide(start, request); decision.Verdict != test.want {
				t.Errorf("first attempt: verdict %v, want %v", decision.Verdict, test.want)
			}

			request = newRequest("harmless", "b")
			router.Decide(start, request)
			now := request.Deadline - test.left*second/1000
			decision := router.AttemptEnded(now, request, Outcome{Result: NotCached})
			if decision.Verdict != test.want {
				t.Errorf("retry: verdict %v, want %v", decision.Verdict, test.want)
			}
		})
	}
}

// An attempt that waits too long for its connection would be sent although no response could come before the deadline.
// Its send timeout leaves the time that the fastest response of its class took.
func TestSendTimeoutLeavesTimeForTheResponse(t *testing.T) {
	router := newRouter(t, nil)
	answerRequests(router, "harmless", 10, 300)
	request := newRequest("harmless", "a")
	request.Deadline = start + 500*second/1000
	if decision := router.Decide(start, request); decision.Attempt.SendTimeout != 200*second/1000 {
		t.Errorf("send timeout %d ms, want 200 ms", decision.Attempt.SendTimeout*1000/second)
	}
}

// If a request has little time left, a server may drop it, or its connection may not be established in time. Neither
// counts against an endpoint or lowers a limit.
func TestAttemptsThatTimeOutEarly(t *testing.T) {
	for _, test := range []struct {
		name          string
		left          int64 // ms from the start of the attempt to the request's deadline
		result        Result
		elapsed       int64 // ms from the start of the attempt to its end
		countsAgainst bool  // the attempt counts as a failure of an endpoint
		lowersLimit   bool
	}{
		{"timed out, with less time than the mean", 100, TimedOut, 100, false, false},
		{"timed out, with more time than the mean", 400, TimedOut, 400, true, true},
		{"not sent within half of a short time", 100, Unreachable, 50, false, false},
		{"not sent within half of a long time", 800, Unreachable, 400, true, false},
		{"unreachable at once", 100, Unreachable, 1, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			answerRequests(router, "harmless", 20, 10) // short enough for an attempt with little time left to start
			answerRequests(router, "harmless", 200, 150)
			before := router.admission.limits
			for n := range 100 {
				request := newRequest("harmless", fmt.Sprint("short", n))
				request.Deadline = start + test.left*second/1000
				if decision := router.Decide(start, request); n == 0 && decision.Verdict != Send {
					t.Fatalf("first request: verdict %v, want %v", decision.Verdict, Send)
				}
				elapsed := test.elapsed * second / 1000
				router.AttemptEnded(start+elapsed, request, Outcome{Result: test.result, Elapsed: elapsed})
			}
			counts := false
			for _, endpoint := range router.endpoints {
				counts = counts || endpoint.ejected || endpoint.failures > 0 || endpoint.wasUnreachable
			}
			if counts != test.countsAgainst {
				t.Errorf("attempts count against endpoints: %v, want %v", counts, test.countsAgainst)
			}
			if lowered := router.admission.limits != before; lowered != test.lowersLimit {
				t.Errorf("limits %v, before %v, want them lowered: %v", router.admission.limits, before, test.lowersLimit)
			}
		})
	}
}
