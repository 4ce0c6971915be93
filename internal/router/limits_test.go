package router

import (
	"fmt"
	"testing"

	"tealpath/control"
)

func TestRequestLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Limits, *control.Settings)
	}{
		{"requests in flight", func(limits *Limits, _ *control.Settings) { limits.MaxInFlight = 1 }},
		{"total size of bodies", func(limits *Limits, _ *control.Settings) { limits.MaxBodyBytes = 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.change)
			h.request(1, nil)
			h.request(2, nil)
			h.handle(ClientDisconnected{Client: 1})
			h.request(3, nil)
			if h.observed[1] != "rejected 2" || h.InFlight() != 1 {
				t.Errorf("effects %v, want %q second; %d requests in flight, want 1",
					h.observed, "rejected 2", h.InFlight())
			}
		})
	}
}

func TestRequestsAreRejectedWithoutConnections(t *testing.T) {
	h := newHarness(t, func(limits *Limits, _ *control.Settings) { limits.MaxConnections = 0 })
	h.request(1, nil)
	h.advance(second)
	if len(h.dialled) > 0 || h.observed[len(h.observed)-1] != "rejected 1" {
		t.Errorf("effects %v, want no dial and %q last", h.observed, "rejected 1")
	}
}

func TestMaxRequestsPerConnection(t *testing.T) {
	h := newHarness(t, func(_ *Limits, settings *control.Settings) { settings.MaxStreamsPerConnection = 2 })
	for seq := range int32(3) {
		h.request(seq, nil)
	}
	if len(h.dialled) != 2 {
		t.Errorf("%d connections for 3 requests with at most 2 on each, want 2", len(h.dialled))
	}
}

// One corrupt response ends all attempts in flight on its connection, so attempts are spread over several connections.
func TestRequestsAreSpreadOverConnections(t *testing.T) {
	h := newDefaultHarness(t)
	for seq := range int32(12) {
		h.request(seq, map[string]string{"item": objectID})
		h.connectNewest()
	}
	for id, connection := range h.connections {
		// The request that causes another dial is itself still sent on the established connection, hence the 1.
		if len(connection.inFlight) > dialThreshold+1 {
			t.Errorf("%d requests in flight on connection %d of %d, want at most %d",
				len(connection.inFlight), id, len(h.dialled), dialThreshold+1)
		}
	}
	if len(h.dialled) < 2 || h.InFlight() < 2*dialThreshold-1 {
		t.Errorf("%d connections for %d requests in flight, want at least 2 for %d",
			len(h.dialled), h.InFlight(), 2*dialThreshold-1)
	}
}

// A request is not sent on a connection on which one with the same ID was abandoned. The requests of this test all
// have the same ID, so that without a limit each would open another connection.
func TestMaxConnectionsPerEndpoint(t *testing.T) {
	h := newDefaultHarness(t)
	for seq := range int32(8) {
		h.request(seq, map[string]string{"txn": objectID})
		h.connectAll()
		h.handle(RequestCancelled{Client: 1, Seq: seq})
	}
	largest := 0
	for _, endpoint := range h.endpoints.byName {
		largest = max(largest, len(endpoint.connections))
	}
	if largest != 4 {
		t.Errorf("%d connections to one endpoint, want 4", largest)
	}
}

func TestAbandonedRequestsAreForgotten(t *testing.T) {
	h := newDefaultHarness(t)
	for seq := range int32(50) {
		h.request(seq, nil)
		h.connectNewest()
		h.handle(RequestCancelled{Client: 1, Seq: seq})
	}
	connection := h.connections[1]
	before := len(connection.abandonedAt)
	for range 8 {
		h.advance(second)
		h.request(99, nil)
		h.respond(ResponseReceived{Result: control.Succeeded})
	}
	if before == 0 || len(connection.abandonedAt) > 0 {
		t.Errorf("%d abandoned requests at first, want some; %d after 8 s, want none",
			before, len(connection.abandonedAt))
	}
}

// Requests that are cancelled at a high rate must not be remembered without a limit: connections are drained, and what
// was remembered with them is forgotten.
func TestAbandonedRequestsAreBounded(t *testing.T) {
	const limit = 160
	h := newHarness(t, func(limits *Limits, _ *control.Settings) { limits.MaxAbandoned = limit })
	largest := 0
	for seq := range int32(2000) {
		h.request(seq, map[string]string{"txn": requestID(seq)})
		h.connectAll()
		h.handle(RequestCancelled{Client: 1, Seq: seq})
		largest = max(largest, stateSize(h)["abandoned"])
		if got := stateSize(h)["abandoned"]; got != h.abandoned {
			t.Fatalf("%d abandoned requests counted, %d remembered", h.abandoned, got)
		}
	}
	if largest == 0 || largest > limit {
		t.Errorf("up to %d abandoned requests remembered, want some and at most %d", largest, limit)
	}
	h.request(5000, nil)
	h.connectAll()
	h.respond(ResponseReceived{Result: control.Succeeded})
	if last := h.observed[len(h.observed)-1]; last != "served 5000" {
		t.Errorf("last effect %q, want %q", last, "served 5000")
	}
}

// stateSize returns the number of entries in each table of a reducer's state, by the name of the table.
func stateSize(h *harness) map[string]int {
	abandoned := 0
	for _, connection := range h.connections {
		abandoned += len(connection.abandonedAt)
	}
	return map[string]int{
		"endpoints":       len(h.endpoints.byName),
		"endpoint ids":    len(h.endpoints.byID),
		"connections":     len(h.connections),
		"clients":         len(h.requests.byClient),
		"request ids":     len(h.requests.byID),
		"timers":          h.timers.Len(),
		"abandoned":       abandoned,
		"bytes of bodies": h.requests.bodyBytes,
	}
}

// While endpoints, addresses, clients, IDs and objects change for a long time, the state does not grow: nothing is
// kept for those that are gone.
func TestStateIsBounded(t *testing.T) {
	h := newDefaultHarness(t)
	largest := map[string]int{}
	for n := range 6000 {
		churn(h, n)
		for what, size := range stateSize(h) {
			largest[what] = max(largest[what], size)
		}
	}
	for what, bound := range map[string]int{
		"endpoints":       10,
		"endpoint ids":    10,
		"connections":     8,
		"clients":         1,
		"request ids":     3,
		"timers":          12,
		"abandoned":       900,
		"bytes of bodies": 0,
	} {
		if got, counted := largest[what]; got > bound || !counted {
			t.Errorf("%s: largest size %d (counted: %v), want at most %d", what, got, counted, bound)
		}
	}
}

// churn makes the changes of step n of TestStateIsBounded: an endpoint starts, another is gone, and a client connects,
// sends requests and disconnects.
func churn(h *harness, n int) {
	entry := initialEndpoints[0]
	entry.Instance, entry.Address = fmt.Sprint("s-", n), fmt.Sprint("10.0.1.", n%7, ":1") // seven addresses
	entry.StartedAt = h.now
	gone := entry
	gone.Instance, gone.Phase = fmt.Sprint("s-", n-3), "gone"
	h.update(entry, gone)
	client := ClientID(n + 2)
	for seq := range int32(3) {
		h.handle(requestEvent(client, seq, requestFields(seq, map[string]string{
			"txn":   requestID(int32(3*n) + seq),
			"item":  fmt.Sprintf("%016x", n),
			"batch": "1",
		}), nil))
	}
	h.connectAll()
	if len(h.sends) > 0 && n%3 == 0 {
		h.respond(ResponseReceived{Result: control.Succeeded})
	}
	if n%10 == 0 && len(h.dialled) > 0 {
		h.handle(ConnectionDown{Connection: h.dialled[len(h.dialled)-1]})
	}
	h.handle(PurgeReceived{Object: fmt.Sprintf("%016x", n), PurgedAt: h.now})
	h.handle(ClientDisconnected{Client: client})
	h.dialled, h.sends, h.observed = h.dialled[:0], h.sends[:0], h.observed[:0]
	h.advance(20 * millisecond)
}
