package router

import (
	"slices"
	"testing"

	"tealpath/control"
	"tealpath/internal/logevent"
)

func TestPurgeWhileConnectingLimitsTheAge(t *testing.T) {
	runScenarios(t, newDefaultHarness, []scenario{
		{"an attempt that waits for its connection is sent with the new maximum age", func(h *harness) {
			h.request(1, nil)
			h.now += 200 * millisecond
			h.handle(PurgeReceived{Object: objectID, PurgedAt: h.now - 50*millisecond})
			h.connectNewest()
			if age := h.sends[0].Request.Attempt.MaxAge; age >= 50*millisecond {
				h.t.Errorf("maximum age %d ms, want less than 50", age/millisecond)
			}
		}, "dial, dial, send 1"},
	})
}

// If this machine's clock is ahead of the others', a purge seems older than it is, and a cache may respond with a copy
// from before the purge. The copy is not served. An idempotent request is retried at the same cache, with a maximum
// age that excludes copies from before the purge was received. Later purges count from when they are received.
func TestStaleCopyIsNotServed(t *testing.T) {
	const ahead = 600 * second
	for _, c := range []struct {
		name     string
		fields   map[string]string
		attempts int
		want     string
	}{
		{"an idempotent request is retried", nil, 2, "dial, send 1, send 1, served 1:new"},
		{"a non-idempotent request fails", nonIdempotent, 1, "dial, send 1, failed 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, func(_ *Limits, settings *control.Settings) {
				settings.Classes = append(settings.Classes, nonIdempotentClass())
			})
			h.handle(PurgeReceived{Object: objectID, PurgedAt: h.now - ahead - 50*millisecond})
			h.advance(second)
			h.observed = nil
			h.request(1, c.fields)
			h.connectNewest()
			if age := h.sends[0].Request.Attempt.MaxAge; age <= 3*second/2 {
				t.Fatalf("maximum age %d ns: too low for the cache to respond with a copy from before the purge", age)
			}
			response := ResponseReceived{Result: control.Succeeded}
			response.IssuedAt, response.Body = h.now-ahead-3*second/2, []byte(":old")
			h.respond(response)
			if c.attempts > 1 {
				first, retry := h.sends[0], h.sends[1]
				if age := retry.Request.Attempt.MaxAge; age > second || retry.Connection != first.Connection {
					t.Errorf("retried with a maximum age of %d ns on connection %d, want at most 1 s on connection %d",
						age, retry.Connection, first.Connection)
				}
				response.IssuedAt, response.Body = h.now-ahead-second/2, []byte(":new")
				h.respond(response)
			}
			h.expect(c.want)
			if want := []logevent.Event{control.ClockAhead{}}; !slices.Equal(h.logged, want) {
				t.Errorf("logged %#v, want %#v", h.logged, want)
			}
			h.handle(PurgeReceived{Object: objectID, PurgedAt: h.now - ahead})
			h.advance(second / 10)
			h.request(2, nil)
			if age := h.sends[len(h.sends)-1].Request.Attempt.MaxAge; age > second/10 {
				t.Errorf("maximum age %d ms after the next purge, want at most 100", age/millisecond)
			}
		})
	}
}
