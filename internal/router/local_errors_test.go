package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/logevent"
)

// After a dial that failed because of an error on this machine, no request counts as sent, no endpoint counts as
// failed, and dialling is retried with a backoff.
func TestLocalErrors(t *testing.T) {
	runScenarios(t, newTwoClassHarness, []scenario{
		{"the request waits, is sent after the backoff, and served", func(h *harness) {
			h.request(1, nil)
			h.failNewestDial()
			h.mark("fails")
			h.advance(24 * millisecond) // the first delay is 25 ms, a sixteenth of the connect timeout
			h.mark("24 ms")
			h.advance(60 * millisecond)
			h.connectNewest()
			h.respond(success)
		}, "dial, fails, 24 ms, dial, send 1, served 1:bytes"},
		{"dials fail with a growing backoff: rejected before half of the timeout", func(h *harness) {
			h.request(1, map[string]string{"limit": "1020"})
			for range 499 {
				if len(h.dialled) > 0 && h.connections[h.dialled[len(h.dialled)-1]] != nil {
					h.failNewestDial()
				}
				h.advance(millisecond)
			}
		}, "dial, dial, dial, dial, dial, rejected 1"},
		{"during the backoff no other endpoint is dialled", func(h *harness) {
			h.request(1, nil)
			h.failNewestDial()
			h.request(2, map[string]string{"item": objectOnOtherCache(h.t)})
			h.advance(20 * millisecond)
		}, "dial"},
		{"there is an established connection to another endpoint: sent on it", func(h *harness) {
			h.request(1, map[string]string{"item": objectOnOtherCache(h.t)})
			h.connectNewest()
			h.respond(success)
			h.request(2, nil)
			h.failNewestDial()
		}, "dial, send 1, served 1:bytes, dial, send 2"},
		{"an established connection is lost after a non-idempotent request was written: it fails", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.failNewestDial()
			h.advance(3 * second)
		}, "dial, send 1, failed 1"},
		{"an established connection is lost before the request was written: sent again", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.handle(ConnectionDown{Connection: h.dialled[0], Cause: Local, Unsent: []RequestID{requestID(1)}})
			h.connectNewest()
		}, "dial, send 1, dial, send 1"},
	})
}

// spreadObject returns an object for a sequence number, so that requests are spread over all caches.
func spreadObject(seq int32) string { return fmt.Sprintf("%016x", uint64(seq)*0x9e3779b97f4a7c15) }

// However many dials fail for lack of descriptors, no endpoint is ejected, and only the first failure and the recovery
// are logged.
func TestLocalErrorsEjectNoEndpoint(t *testing.T) {
	h := newTwoClassHarness(t)
	for seq := int32(1); seq <= 200; seq++ {
		h.request(seq, map[string]string{"item": spreadObject(seq), "limit": "800"})
		for _, id := range sortedKeys(h.connections) {
			h.handle(ConnectionDown{Connection: id, Cause: Local, Reason: "no descriptors"})
		}
		h.advance(10 * millisecond)
	}
	if count := len(h.dialled); count < 10 || count > 60 {
		t.Errorf("%d dials in two seconds, want 10 to 60", count)
	}
	for _, id := range sortedKeys(h.connections) {
		h.handle(ConnectionUp{Connection: id})
	}
	h.advance(second)
	if h.InFlight() != 0 {
		t.Errorf("%d requests in flight, want 0", h.InFlight())
	}
	h.request(500, nil)
	h.connectNewest()
	want := []logevent.Event{ConnectUnavailable{Cause: "no descriptors"}, ConnectAvailable{}}
	if !slices.Equal(h.logged, want) {
		t.Errorf("logged %#v, want %#v", h.logged, want)
	}
}

// If only the dials to one endpoint fail because of errors on this machine, for example for lack of local ports for
// its address, the endpoint is not ejected.
func TestLocalErrorsAtOneEndpointDoNotEjectIt(t *testing.T) {
	h := newTwoClassHarness(t)
	failed := 0
	for seq := int32(1); seq <= 300; seq++ {
		h.request(seq, map[string]string{"item": spreadObject(seq)})
		for _, id := range sortedKeys(h.connections) {
			switch connection := h.connections[id]; {
			case connection.established:
			case connection.endpoint.Instance == "s-a":
				failed++
				h.handle(ConnectionDown{Connection: id, Cause: Local, Reason: "no ports"})
			default:
				h.handle(ConnectionUp{Connection: id})
			}
		}
		respondToAll(h)
		h.advance(10 * millisecond)
	}
	if failed < 10 {
		t.Errorf("%d dials failed, want at least 10", failed)
	}
	for _, event := range h.logged {
		if ejected, ok := event.(control.EndpointEjected); ok {
			t.Errorf("an endpoint was ejected: %+v", ejected)
		}
	}
}

// respondToAll handles a response to every attempt on an established connection.
func respondToAll(h *harness) {
	for _, id := range sortedKeys(h.connections) {
		for _, attempt := range h.connections[id].attempts() {
			if attempt.connection.established {
				h.handle(ResponseReceived{
					Connection: id,
					ID:         attempt.upstream.ID,
					Result:     control.Succeeded,
					Body:       []byte(":bytes"),
				})
			}
		}
	}
}

// While this machine can open no connections and the established connection is saturated, attempts end at once. They
// count towards the request's limit of attempts, so that the reducer does not loop forever.
func TestAttemptsWithoutConnectionAreBounded(t *testing.T) {
	h := newHarness(t, func(_ *Limits, settings *control.Settings) { settings.MaxStreamsPerConnection = 1 })
	h.request(1, nil)
	h.connectNewest()
	h.request(2, map[string]string{"item": objectOnOtherCache(t)})
	h.failNewestDial()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.request(3, nil) // the only connection to the request's cache is saturated
		h.advance(3 * second)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the reducer did not return within 5 s")
	}
}
