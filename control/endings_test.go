package control

import "testing"

// Repeats of a stamped retrieval are dropped for a while from its first sending. A further attempt that waits
// for its link longer than that would run a second time.
func TestKeyedRetryIsSentWithinTheKeyWindow(t *testing.T) {
	for _, c := range []struct {
		name    string
		product string
		result  Result
		after   int64 // ms from the first attempt to its end
		want    int64 // ms within which the second must be on its way; 0: it is not sent
	}{
		{"late in the window", "stamped", ConnectionLost, 900, 100},
		{"early in it", "stamped", ConnectionLost, 50, 950},
		{"at its end", "stamped", ConnectionLost, 1000, 0},
		{"nothing ran: no window binds", "stamped", Unreachable, 900, 1600},
		{"harmless", "harmless", ConnectionLost, 900, 4100},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, Settings{"product.scope": []string{"all", "all", "all"}})
			request, now := ask(c.product, "a"), start
			request.Deadline = start + 5*second
			r.Decide(now, request)
			now += c.after * second / 1000
			decision := r.AttemptEnded(now, request, Outcome{Result: c.result})
			if sent := decision.Verdict == Send; sent != (c.want > 0) {
				t.Fatalf("verdict %v", decision.Verdict)
			}
			if got := decision.Attempt.SendTimeout * 1000 / second; decision.Verdict == Send && got != c.want {
				t.Errorf("on its way within %d ms, want %d", got, c.want)
			}
		})
	}
}

// Where two may not be out together, what gives the first up and the second go different ways, and the second
// may be there first. So it waits a moment; but never past the client's time, and where it can't be sent
// nothing is held.
func TestNoAttemptBesideTheFirst(t *testing.T) {
	for _, c := range []struct {
		name     string
		product  string
		together bool
		result   Result
		left     int64 // ms of the client's time
		want     Verdict
		then     Verdict
	}{
		{"called off", "harmless", false, Cancelled, 2000, Wait, Send},
		{"its link broke", "harmless", false, ConnectionLost, 2000, Wait, Send},
		{"it is over: nothing is out", "harmless", false, Overloaded, 2000, Send, Wait},
		{"two may be out", "harmless", true, Cancelled, 2000, Send, Wait},
		{"no time is left", "harmless", false, ConnectionLost, 90, Reject, Wait},
		{"it may not be repeated", "once", false, ConnectionLost, 2000, Fail, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, Settings{"dispatches.together": c.together})
			request, now := ask(c.product, "a"), start
			request.Deadline = start + 3*second
			r.Decide(now, request)
			now = request.Deadline - c.left*second/1000
			if decision := r.AttemptEnded(now, request, Outcome{Result: c.result}); decision.Verdict != c.want {
				t.Fatalf("at once: verdict %v, want %v", decision.Verdict, c.want)
			}
			wait := r.RecheckDelay(now, request)
			if c.then == Send && (wait <= 0 || wait > 2*waitRecheckInterval) {
				t.Fatalf("asked again in %d", wait)
			}
			if decision := r.Decide(now+wait, request); c.want == Wait && decision.Verdict != c.then {
				t.Errorf("then: verdict %v, want %v", decision.Verdict, c.then)
			}
		})
	}
}

// Nothing more is sent for a client that has closed its side.
func TestNoNewAttempts(t *testing.T) {
	for _, c := range []struct {
		name    string
		product string
		result  Result
		want    Verdict
	}{
		{"harmless", "harmless", Overloaded, Reject},
		{"one-shot that did not run", "once", Overloaded, Reject},
		{"one-shot that may have", "once", ConnectionLost, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			request := ask(c.product, "a")
			r.Decide(start, request)
			request.NoNewAttempts = true
			if decision := r.AttemptEnded(start+1, request, Outcome{Result: c.result}); decision.Verdict != c.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}
