package router

import (
	"testing"

	"tealpath/control"
)

// Attempts that are queued on an established connection, because the endpoint reads nothing, are withdrawn when a
// purge is received or an endpoint drains.
func TestUnwrittenAttemptsAreDecidedOnAgain(t *testing.T) {
	purge := func(h *harness) {
		h.now += 200 * millisecond
		h.handle(PurgeReceived{Object: objectID, PurgedAt: h.now - 50*millisecond})
	}
	drain := func(h *harness) { h.setFirstPhase("draining") }
	runScenarios(t, newTwoClassHarness, []scenario{
		{"a purge: sent again, with the new maximum age", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			purge(h)
			h.confirmWithdrawals()
			h.connectNewest()
			if age := h.sends[1].Request.Attempt.MaxAge; age <= 0 || age >= 50*millisecond {
				h.t.Errorf("maximum age %d ms, want more than 0 and less than 50", age/millisecond)
			}
		}, "dial, send 1, dial, send 1"},
		{"a purge, but the attempt is already written: served", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			purge(h)
			h.respond(success)
		}, "dial, send 1, served 1:bytes"},
		{"its cache drains: sent elsewhere", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			drain(h)
			h.confirmWithdrawals()
			h.connectNewest()
		}, "dial, send 1, dial, send 1"},
		{"the cache of a non-idempotent request drains: sent elsewhere, since it was not executed", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			drain(h)
			h.confirmWithdrawals()
			h.connectNewest()
		}, "dial, send 1, dial, send 1"},
	})
}

// An attempt that is not written yet must not stay in flight without end when its client half-closes, its send
// deadline passes or its connection ends.
func TestUnwrittenAttemptsEnd(t *testing.T) {
	drain := func(h *harness) { h.setFirstPhase("draining") }
	runScenarios(t, newTwoClassHarness, []scenario{
		{"its client half-closes: rejected, and not sent again", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.handle(ClientHalfClosed{Client: 1})
			h.confirmWithdrawals()
			h.advance(2 * second)
		}, "dial, send 1, rejected 1"},
		{"its client half-closes, but the attempt is already written: served", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(ClientHalfClosed{Client: 1})
			h.respond(success)
		}, "dial, send 1, served 1:bytes"},
		{"half of the timeout passes: rejected, since it was not executed", func(h *harness) {
			h.request(1, map[string]string{"verb": "permits", "limit": "600"})
			h.connectNewest()
			h.advance(291 * millisecond)
			h.confirmWithdrawals()
		}, "dial, send 1, rejected 1"},
		{"half of the timeout passes, but the attempt is already written: served", func(h *harness) {
			h.request(1, map[string]string{"limit": "600"})
			h.connectNewest()
			h.advance(550 * millisecond)
			h.respond(success)
		}, "dial, send 1, served 1:bytes"},
		{"the connection's writer finds that the send deadline has passed: sent again", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(AttemptWithdrawn{Connection: h.sends[0].Connection, ID: h.sends[0].Request.ID})
			h.connectNewest()
		}, "dial, send 1, dial, send 1"},
		{"the withdrawal is confirmed after the attempt was cancelled: ignored", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			drain(h)
			h.handle(RequestCancelled{Client: 1, Seq: 1})
			h.confirmWithdrawals()
			h.advance(3 * second)
		}, "dial, send 1, cancel 1"},
		{"the withdrawal is confirmed after the connection has ended: ignored", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			drain(h)
			h.handle(ConnectionDown{Connection: h.dialled[0], Unsent: []RequestID{h.sends[0].Request.ID}})
			h.confirmWithdrawals()
			h.connectNewest()
		}, "dial, send 1, dial, send 1"},
	})
}

// If the policy cancels no attempts at endpoints, attempts that are not written yet must still be withdrawn.
func TestUnwrittenAttemptsAreWithdrawnWithoutCancellation(t *testing.T) {
	for _, c := range []struct {
		name string
		end  Event
	}{
		{"cancelled", RequestCancelled{Client: 1, Seq: 1}},
		{"disconnected", ClientDisconnected{Client: 1}},
		{"half-closed", ClientHalfClosed{Client: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, func(_ *Limits, settings *control.Settings) { settings.CancelAttempts = false })
			h.request(1, nil)
			h.connectNewest()
			h.handle(c.end)
			want := WithdrawAttempt{Connection: h.sends[0].Connection, ID: h.sends[0].Request.ID}
			if len(h.withdrawals) == 0 || h.withdrawals[0] != want {
				t.Errorf("withdrawn %v, want %v", h.withdrawals, want)
			}
		})
	}
}

// A hedge that still waits for its connection when the first attempt gets a response is not sent any more, even if the
// policy cancels no attempts.
func TestHedgeIsNotSentAfterTheResponse(t *testing.T) {
	h := newHarness(t, func(_ *Limits, settings *control.Settings) { settings.CancelAttempts = false })
	h.request(1, nil)
	h.connectNewest()
	first := h.connections[h.dialled[0]].endpoint
	other := h.endpoints.byName["s-a"]
	if first == other {
		other = h.endpoints.byName["s-b"]
	}
	h.startAttempt(h.requests.find(1, 1), control.Attempt{Cache: other.ID, CacheOnly: true, SendTimeout: second})
	h.respond(success)
	h.handle(ConnectionUp{Connection: h.lastConnection})
	h.expect("dial, send 1, served 1:bytes")
}
