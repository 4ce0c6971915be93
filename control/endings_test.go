package control

import "testing"

// Servers drop repetitions of a keyed request only within a window from its first attempt. A retry that waits
// for its connection beyond that would take effect a second time.
func TestKeyedRetryIsSentWithinTheKeyWindow(t *testing.T) {
	for _, test := range []struct {
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
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, func(s *Settings) { s.Classes[1].KeyScope = ScopeAll })
			request, now := newRequest(test.class, "a"), start
			request.Deadline = start + 5*second
			router.Decide(now, request)
			now += test.after * second / 1000
			decision := router.AttemptEnded(now, request, Outcome{Result: test.result})
			if sent := decision.Verdict == Send; sent != (test.want > 0) {
				t.Fatalf("verdict %v", decision.Verdict)
			}
			if got := decision.Attempt.SendTimeout * 1000 / second; decision.Verdict == Send && got != test.want {
				t.Errorf("send timeout of %d ms, want %d", got, test.want)
			}
		})
	}
}

// Where two attempts of a request may not be in flight together, the retry may reach its server before the
// cancellation of the first attempt does. So it waits a moment, but not beyond the deadline, and not where it
// may not be sent at all.
func TestRetryWaitsForTheCancellation(t *testing.T) {
	for _, test := range []struct {
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
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, func(s *Settings) { s.Hedging = test.hedging })
			request, now := newRequest(test.class, "a"), start
			request.Deadline = start + 3*second
			router.Decide(now, request)
			now = request.Deadline - test.left*second/1000
			decision := router.AttemptEnded(now, request, Outcome{Result: test.result})
			if decision.Verdict != test.want {
				t.Fatalf("at once: verdict %v, want %v", decision.Verdict, test.want)
			}
			wait := router.RecheckDelay(now, request)
			if test.then == Send && (wait <= 0 || wait > 2*waitRecheckInterval) {
				t.Fatalf("recheck delay %d", wait)
			}
			if decision := router.Decide(now+wait, request); test.want == Wait && decision.Verdict != test.then {
				t.Errorf("then: verdict %v, want %v", decision.Verdict, test.then)
			}
		})
	}
}

// No further attempt is made for a client that has closed its sending side.
func TestNoRetryForHalfClosedClients(t *testing.T) {
	for _, test := range []struct {
		name   string
		class  string
		result Result
		want   Verdict
	}{
		{"idempotent", "harmless", Overloaded, Reject},
		{"non-idempotent, has not run", "once", Overloaded, Reject},
		{"non-idempotent, may have run", "once", ConnectionLost, Fail},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			request := newRequest(test.class, "a")
			router.Decide(start, request)
			request.NoNewAttempts = true
			decision := router.AttemptEnded(start+1, request, Outcome{Result: test.result})
			if decision.Verdict != test.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, test.want)
			}
		})
	}
}
