package router

import (
	"fmt"
	"testing"

	"tealpath/control"
)

func TestResponsesAreForwardedRetriedOrIgnored(t *testing.T) {
	notModified := ResponseReceived{Result: control.Succeeded, NotModified: true}
	runScenarios(t, newDefaultHarness, []scenario{
		{"a response is forwarded unchanged", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.respond(success)
		}, "dial, send 1, served 1:bytes"},
		{"a second response is ignored", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.respond(success)
			h.respond(success)
		}, "dial, send 1, served 1:bytes"},
		{"not modified, as the client's copy is still valid: served", func(h *harness) {
			h.request(1, map[string]string{"got": "4be0c1927d55a6f3"})
			h.connectNewest()
			h.respond(notModified)
		}, "dial, send 1, served not modified 1"},
		{"not modified, but the client named no copy: retried", func(h *harness) {
			h.request(1, map[string]string{"got": "a,b=c"})
			h.connectNewest()
			h.respond(notModified)
		}, "dial, send 1, send 1"},
		{"a server error is retried", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.respond(ResponseReceived{Result: control.ServerError})
		}, "dial, send 1, send 1"},
		{"a response after the deadline is ignored", func(h *harness) {
			h.request(1, map[string]string{"limit": "300"})
			h.connectNewest()
			h.advance(2 * second)
			h.respond(success)
		}, "dial, send 1, cancel 1, rejected 1"},
	})
}

// Some endpoints respond twice, and some responses have no version of the object. How they are handled depends on
// whether the class is idempotent and cacheable.
func TestResponsesByClass(t *testing.T) {
	unversioned := ResponseReceived{Result: control.ServerError, Unversioned: true, Body: []byte(":done")}
	runScenarios(t, newTwoClassHarness, []scenario{
		{"a second response to the first attempt does not count for the next attempt", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			first := h.sends[0]
			notCached := ResponseReceived{Connection: first.Connection, ID: first.Request.ID, Result: control.NotCached}
			h.handle(notCached)
			h.connectNewest()
			h.handle(notCached)
			h.respond(unversioned)
		}, "dial, send 1, dial, send 1, served 1:done"},
		{"an unversioned response of an uncacheable class is served", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.respond(unversioned)
		}, "dial, send 1, served 1:done"},
		{"an unversioned response of a cacheable class is retried", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.respond(unversioned)
		}, "dial, send 1, send 1"},
		{"another server error of an uncacheable class fails", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.respond(ResponseReceived{Result: control.ServerError})
		}, "dial, send 1, failed 1"},
	})
}

// A long response takes longer to send. Unless the rate of sending is not known, this must not make its endpoint look
// slow and get it ejected.
func TestLongResponsesAreNotLate(t *testing.T) {
	for _, c := range []struct {
		name           string
		bytesPerSecond float64
		late           bool // the endpoint counts as late, and is ejected
	}{
		{"at 10 bytes a second", 10, false},
		{"at an unknown rate", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, func(_ *Limits, settings *control.Settings) {
				settings.ResponseBytesPerSecond = c.bytesPerSecond
				settings.Classes[0].ObjectiveStretch = 0.1
			})
			for seq := range int32(40) {
				h.request(seq, map[string]string{"item": fmt.Sprintf("%016x", seq)})
				h.connectAll()
				h.advance(second)
				for _, id := range h.dialled {
					h.handle(ResponseReceived{
						Connection: id,
						ID:         requestID(seq),
						Result:     control.Succeeded,
						Body:       make([]byte, 200),
					})
				}
			}
			if got := len(h.logged) > 0; got != c.late {
				t.Errorf("an endpoint counts as late: %v, want %v; logged %v", got, c.late, h.logged)
			}
		})
	}
}
