package control

import (
	"fmt"
	"testing"
)

// answers has so many retrievals of a class answered, each after some ms, all on objects of their own.
func answers(r *Router, product string, count int, after int64) {
	for n := range count {
		request := ask(product, fmt.Sprint(product, n))
		r.Decide(start, request)
		r.AttemptEnded(start+after*second/1000, request, Outcome{Result: Succeeded, Elapsed: after * second / 1000})
	}
}

// An attempt that can't come back in its client's time doesn't begin, by the quickest answer of its class so
// far.
func TestTooLittleTimeLeft(t *testing.T) {
	for _, c := range []struct {
		name string
		seen int // answers after 40 ms, and one after 20 ms before them
		left int64
		want Verdict
	}{
		{"nothing is known: it is tried", 0, 1, Send},
		{"little is known: it is tried", 8, 1, Send},
		{"less than the quickest took", 9, 19, Reject},
		{"as long as the quickest took", 9, 20, Reject},
		{"a little more than the quickest took, and half of what most take", 9, 21, Send},
		{"no time", 0, 0, Reject},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			if c.seen > 0 {
				answers(r, "harmless", 1, 20)
				answers(r, "harmless", c.seen, 40)
			}
			answers(r, "stamped", 20, 300) // another class's tell nothing
			request := ask("harmless", "a")
			request.Deadline = start + c.left*second/1000
			if decision := r.Decide(start, request); decision.Verdict != c.want {
				t.Errorf("first: verdict %v, want %v", decision.Verdict, c.want)
			}

			request = ask("harmless", "b")
			r.Decide(start, request)
			now := request.Deadline - c.left*second/1000
			if decision := r.AttemptEnded(now, request, Outcome{Result: NotHeld}); decision.Verdict != c.want {
				t.Errorf("further: verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}

// It must be on its way while it can still come back.
func TestOnItsWayWhileItCanComeBack(t *testing.T) {
	r := newRouter(t, nil)
	answers(r, "harmless", 10, 300)
	request := ask("harmless", "a")
	request.Deadline = start + 500*second/1000
	if decision := r.Decide(start, request); decision.Attempt.SendTimeout != 200*second/1000 {
		t.Errorf("within %d ms", decision.Attempt.SendTimeout*1000/second)
	}
}

// What has little time left may be dropped without a word, or not be on its way yet as its time is up: that
// tells nothing of its cache, nor of the room for others.
func TestAttemptsThatTimeOutEarly(t *testing.T) {
	for _, c := range []struct {
		name   string
		left   int64 // ms
		result Result
		spent  int64 // ms
		member bool  // it counts against a member
		room   bool  // it takes from the room
	}{
		{"late with less than answers take", 100, TimedOut, 100, false, false},
		{"late with more than that", 400, TimedOut, 400, true, true},
		{"no link by half of little time", 100, Unreachable, 50, false, false},
		{"no link by half of much time", 800, Unreachable, 400, true, false},
		{"refused at once", 100, Unreachable, 1, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			answers(r, "harmless", 20, 10) // an attempt may come back
			answers(r, "harmless", 200, 150)
			before := r.admission.limits
			for n := range 100 {
				request := ask("harmless", fmt.Sprint("short", n))
				request.Deadline = start + c.left*second/1000
				if decision := r.Decide(start, request); n == 0 && decision.Verdict != Send {
					t.Fatalf("verdict %v", decision.Verdict)
				}
				r.AttemptEnded(start+c.spent*second/1000, request, Outcome{Result: c.result, Elapsed: c.spent * second / 1000})
			}
			counts := false
			for _, endpoint := range r.endpoints {
				counts = counts || endpoint.ejected || endpoint.failures > 0 || endpoint.wasUnreachable
			}
			if counts != c.member {
				t.Errorf("it counts against members: %v", counts)
			}
			if took := r.admission.limits != before; took != c.room {
				t.Errorf("rooms %v, before %v", r.admission.limits, before)
			}
		})
	}
}
