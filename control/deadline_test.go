package control

import (
	"fmt"
	"testing"
)

// answers lets requests of a class for new objects be answered, each after so many ms.
func answers(router *Router, class string, count int, after int64) {
	for n := range count {
		request := newRequest(class, fmt.Sprint(class, n))
		router.Decide(start, request)
		router.AttemptEnded(start+after*second/1000, request, Outcome{
			Result:  Succeeded,
			Elapsed: after * second / 1000,
		})
	}
}

// No attempt starts that cannot be answered before the deadline, by the fastest answer of its class so far.
func TestNoAttemptWithTooLittleTimeLeft(t *testing.T) {
	for _, test := range []struct {
		name string
		seen int   // answers after 40 ms; one after 20 ms comes before them
		left int64 // ms until the deadline
		want Verdict
	}{
		{"no answers so far", 0, 1, Send},
		{"few answers so far", 8, 1, Send},
		{"less than the fastest took", 9, 19, Reject},
		{"as long as the fastest took", 9, 20, Reject},
		{"more than the fastest took, and half of the mean", 9, 21, Send},
		{"no time", 0, 0, Reject},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			if test.seen > 0 {
				answers(router, "harmless", 1, 20)
				answers(router, "harmless", test.seen, 40)
			}
			answers(router, "stamped", 20, 300) // of another class, which do not count
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

// An attempt has to be sent while it can still be answered before the deadline.
func TestSendTimeoutLeavesTimeForTheAnswer(t *testing.T) {
	router := newRouter(t, nil)
	answers(router, "harmless", 10, 300)
	request := newRequest("harmless", "a")
	request.Deadline = start + 500*second/1000
	if decision := router.Decide(start, request); decision.Attempt.SendTimeout != 200*second/1000 {
		t.Errorf("send timeout of %d ms", decision.Attempt.SendTimeout*1000/second)
	}
}

// A server may drop a request with little time left, or its connection may not be up before the time is over.
// Neither counts against an endpoint or lowers a limit.
func TestAttemptsThatTimeOutEarly(t *testing.T) {
	for _, test := range []struct {
		name          string
		left          int64 // ms
		result        Result
		elapsed       int64 // ms
		countsAgainst bool  // an endpoint
		lowersLimit   bool
	}{
		{"timed out with less time than the mean", 100, TimedOut, 100, false, false},
		{"timed out with more time than that", 400, TimedOut, 400, true, true},
		{"not sent by half of little time", 100, Unreachable, 50, false, false},
		{"not sent by half of much time", 800, Unreachable, 400, true, false},
		{"unreachable at once", 100, Unreachable, 1, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			answers(router, "harmless", 20, 10) // so that an attempt may start
			answers(router, "harmless", 200, 150)
			before := router.admission.limits
			for n := range 100 {
				request := newRequest("harmless", fmt.Sprint("short", n))
				request.Deadline = start + test.left*second/1000
				if decision := router.Decide(start, request); n == 0 && decision.Verdict != Send {
					t.Fatalf("verdict %v", decision.Verdict)
				}
				elapsed := test.elapsed * second / 1000
				router.AttemptEnded(start+elapsed, request, Outcome{Result: test.result, Elapsed: elapsed})
			}
			counts := false
			for _, endpoint := range router.endpoints {
				counts = counts || endpoint.ejected || endpoint.failures > 0 || endpoint.wasUnreachable
			}
			if counts != test.countsAgainst {
				t.Errorf("it counts against endpoints: %v", counts)
			}
			if lowered := router.admission.limits != before; lowered != test.lowersLimit {
				t.Errorf("limits %v, before %v", router.admission.limits, before)
			}
		})
	}
}
