package control

import "testing"

// Servers drop repetitions of a keyed request only within a window from its first attempt. A retry that waits
// for its connection beyond that would take effect a second time.
func TestKeyedRetryIsSentWithinTheKeyWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  string
		result Result
		after  int64 // ms from the first attempt to its end
		want   int64 // ms within which the retry has to be sent; 0 is no retry
	}{
		{"late in the window", "stamped", ConnectionLost, 900, 100},
		{"early in it", "stamped", ConnectionLost, 50, 950},
		{"at its end", "stamped", ConnectionLost, 1000, 0},
		{"it has not run: no window", "stamped", Unreachable, 900, 1600},
		{"idempotent: no window", "harmless", ConnectionLost, 900, 4100},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, func(s *Settings) { s.Classes[1].KeyScope = ScopeAll })
			request, now := newRequest(c.class, "a"), start
			request.Deadline = start + 5*second
			r.Decide(now, request)
			now += c.after * second / 1000
			decision := r.AttemptEnded(now, request, Outcome{Result: c.result})
			if sent := decision.Verdict == Send; sent != (c.want > 0) {
				t.Fatalf("verdict %v", decision.Verdict)
			}
			if got := decision.Attempt.SendTimeout * 1000 / second; decision.Verdict == Send && got != c.want {
				t.Errorf("send timeout of %d ms, want %d", got, c.want)
			}
		})
	}
}

// Where two attempts of a request may not be in flight together, the retry may reach its server before the
// cancellation of the first attempt does. So it waits a moment, but not beyond the deadline, and not where it
// may not be sent at all.
func TestRetryWaitsForTheCancellation(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   string
		hedging bool
		result  Result
		left    int64 // ms until the deadline
		want    Verdict
		then    Verdict // of the next decision
	}{
		{"cancelled", "harmless", false, Cancelled, 2000, Wait, Send},
		{"its connection broke", "harmless", false, ConnectionLost, 2000, Wait, Send},
		{"rejected: nothing is in flight", "harmless", false, Overloaded, 2000, Send, Wait},
		{"two may be in flight", "harmless", true, Cancelled, 2000, Send, Wait},
		{"no time is left to wait", "harmless", false, ConnectionLost, 90, Reject, Wait},
		{"it may not be sent again", "once", false, ConnectionLost, 2000, Fail, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, func(s *Settings) { s.Hedging = c.hedging })
			request, now := newRequest(c.class, "a"), start
			request.Deadline = start + 3*second
			r.Decide(now, request)
			now = request.Deadline - c.left*second/1000
			if decision := r.AttemptEnded(now, request, Outcome{Result: c.result}); decision.Verdict != c.want {
				t.Fatalf("at once: verdict %v, want %v", decision.Verdict, c.want)
			}
			wait := r.RecheckDelay(now, request)
			if c.then == Send && (wait <= 0 || wait > 2*waitRecheckInterval) {
				t.Fatalf("recheck delay %d", wait)
			}
			if decision := r.Decide(now+wait, request); c.want == Wait && decision.Verdict != c.then {
				t.Errorf("then: verdict %v, want %v", decision.Verdict, c.then)
			}
		})
	}
}

// No further attempt is made for a client that has closed its sending side.
func TestNoRetryForHalfClosedClients(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  string
		result Result
		want   Verdict
	}{
		{"idempotent", "harmless", Overloaded, Reject},
		{"non-idempotent, has not run", "once", Overloaded, Reject},
		{"non-idempotent, may have run", "once", ConnectionLost, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			request := newRequest(c.class, "a")
			r.Decide(start, request)
			request.NoNewAttempts = true
			if decision := r.AttemptEnded(start+1, request, Outcome{Result: c.result}); decision.Verdict != c.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}
