package control

import "testing"

// Servers drop repetitions of a keyed request only within a window after its first attempt. A retry that waits for a
// connection beyond that window could take effect a second time.
func TestKeyedRetryIsSentWithinTheKeyWindow(t *testing.T) {
	for _, test := range []struct {
		name   string
		class  string
		result Result
		after  int64 // ms from the start of the first attempt to its end
		want   int64 // ms; send timeout of the retry; 0: there is no retry
	}{
		{"late in the window", "stamped", ConnectionLost, 900, 100},
		{"early in the window", "stamped", ConnectionLost, 50, 950},
		{"at the end of the window", "stamped", ConnectionLost, 1000, 0},
		{"the first attempt has not run: no window", "stamped", Unreachable, 900, 1600},
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
				t.Fatalf("verdict %v, want the retry sent: %v", decision.Verdict, test.want > 0)
			}
			if got := decision.Attempt.SendTimeout * 1000 / second; decision.Verdict == Send && got != test.want {
				t.Errorf("send timeout %d ms, want %d ms", got, test.want)
			}
		})
	}
}

// Without hedging, two attempts of a request must not be in flight at the same time. Since a retry could arrive
// before the cancellation of the first attempt does, it waits. It does not wait if too little time is left, or if
// no retry is allowed.
func TestRetryWaitsForTheCancellation(t *testing.T) {
	for _, test := range []struct {
		name    string
		class   string
		hedging bool
		result  Result
		left    int64 // ms from the end of the first attempt to the deadline
		want    Verdict
		then    Verdict // verdict of the next call of Decide
	}{
		{"cancelled", "harmless", false, Cancelled, 2000, Wait, Send},
		{"its connection was lost", "harmless", false, ConnectionLost, 2000, Wait, Send},
		{"rejected: nothing is in flight", "harmless", false, Overloaded, 2000, Send, Wait},
		{"two attempts may be in flight", "harmless", true, Cancelled, 2000, Send, Wait},
		{"no time is left to wait", "harmless", false, ConnectionLost, 90, Reject, Wait},
		{"no retry is allowed", "once", false, ConnectionLost, 2000, Fail, Wait},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, func(s *Settings) { s.Hedging = test.hedging })
			request, now := newRequest(test.class, "a"), start
			request.Deadline = start + 3*second
			router.Decide(now, request)
			now = request.Deadline - test.left*second/1000
			decision := router.AttemptEnded(now, request, Outcome{Result: test.result})
			if decision.Verdict != test.want {
				t.Fatalf("after the first attempt: verdict %v, want %v", decision.Verdict, test.want)
			}
			wait := router.RecheckDelay(now, request)
			if test.then == Send && (wait <= 0 || wait > 2*waitRecheckInterval) {
				t.Fatalf("recheck delay %d ns, want more than 0 and at most %d ns", wait, 2*waitRecheckInterval)
			}
			if decision := router.Decide(now+wait, request); test.want == Wait && decision.Verdict != test.then {
				t.Errorf("after the recheck delay: verdict %v, want %v", decision.Verdict, test.then)
			}
		})
	}
}

// No further attempt is made for a client that has closed its sending side, because it has usually disconnected. If it
// still reads, it learns from the verdict whether it can safely send the request again.
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
