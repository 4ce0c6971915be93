package router

import (
	"fmt"
	"slices"
	"testing"

	"tealpath/control"
	"tealpath/internal/connpool"
)

func TestConnectionsAreDialledSharedAndClosed(t *testing.T) {
	runScenarios(t, newDefaultHarness, []scenario{
		{"a second request for the same endpoint shares the connection", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.request(2, map[string]string{"nth": "0"})
		}, "dial, send 1, send 2"},
		{"a dial fails: the request was not executed, and is sent elsewhere", func(h *harness) {
			h.request(1, nil)
			h.handle(ConnectionDown{Connection: h.dialled[0]})
			h.connectNewest()
		}, "dial, dial, send 1"},
		{"the connection is lost before the request was completely written: sent elsewhere", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(ConnectionDown{Connection: h.dialled[0], Unsent: []RequestID{requestID(1)}})
		}, "dial, send 1, dial"},
		{"an idle connection is closed before the endpoint closes it", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.respond(success)
			h.advance(16 * second)
		}, "dial, send 1, served 1:bytes, close 1"},
		{"a connection is silent for longer than the connect timeout: another is dialled", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.advance(300 * millisecond)
			h.request(2, nil)
			h.advance(150 * millisecond)
			h.request(3, nil)
		}, "dial, send 1, send 2, dial"},
	})
}

// A lost connection is one failure of its endpoint, however many attempts were in flight on it. Otherwise a single
// lost connection could eject the endpoint.
func TestLostConnectionCountsOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		unsent bool
	}{
		{"all attempts were written", false},
		{"no attempt was written", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, func(_ *Limits, settings *control.Settings) { settings.MaxAttempts = 1 })
			for seq := range int32(20) {
				h.request(seq, map[string]string{"item": fmt.Sprintf("%016x", seq)})
			}
			h.connectAll()
			connection, unsent := h.endpoints.byName["s-a"].connections[0], []RequestID(nil)
			if c.unsent {
				unsent = sortedKeys(connection.inFlight)
			}
			if len(connection.inFlight) < 3 {
				t.Fatalf("%d attempts in flight on the connection, want at least 3", len(connection.inFlight))
			}
			h.handle(ConnectionDown{Connection: connection.id, Unsent: unsent})
			h.advance(second / 10)
			if len(h.logged) > 0 {
				t.Errorf("logged %v, want nothing", h.logged)
			}
		})
	}
}

// A connection to a machine that has crashed stays open and silent, even after the machine has restarted. The reducer
// must close it instead of sending further requests on it.
func TestUnresponsiveConnectionIsNotUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name     string
		responds bool
		want     int // number of connections to the cache one second later
	}{
		{"no response since the request was sent: closed", false, 0},
		{"a response to another request since then: kept", true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newDefaultHarness(t)
			h.request(1, map[string]string{"limit": "600"})
			h.connectNewest()
			if c.responds {
				h.now += millisecond
				h.request(2, nil)
				h.now += millisecond
				h.respond(ResponseReceived{Result: control.Succeeded})
			}
			cache := h.connections[h.dialled[0]].endpoint
			h.advance(second)
			if got := len(cache.connections); got != c.want {
				t.Errorf("%d connections to the cache, want %d; effects %v", got, c.want, h.observed)
			}
		})
	}
}

// With a connection plan the caches of its subset are dialled before there is a request for them, the plan limits the
// connections to each cache, and requests skip caches to which no connection may be opened.
func TestConnectionPlanIsFollowed(t *testing.T) {
	plan := connpool.New(connpool.Config{Router: "n", Seed: 7, Routers: 3, MaxConnections: 3, MaxConnectRate: 30})
	h := newHarness(t, func(limits *Limits, _ *control.Settings) { limits.ConnectionPlan = plan })
	h.advance(second) // both caches are dialled, but not the parent and the origin
	if count := len(h.dialled); count != 2 {
		t.Fatalf("%d connections are dialled before the first request, want 2; effects %v", count, h.observed)
	}
	h.connectAll()
	for seq := range int32(20) {
		h.request(seq, map[string]string{"item": fmt.Sprintf("%016x", 77*seq)})
	}
	if len(h.dialled) != 2 || len(h.sends) == 0 {
		t.Errorf("%d connections dialled, want 2; %d requests sent, want some", len(h.dialled), len(h.sends))
	}
	first := h.sends[0]
	for _, send := range h.sends {
		h.handle(ResponseReceived{
			Connection: send.Connection,
			ID:         send.Request.ID,
			Result:     control.Succeeded,
			Note:       1,
		})
	}
	// Requests for the objects of the lost cache are sent to the other one until the lost cache may be dialled again.
	h.handle(ConnectionDown{Connection: first.Connection})
	sent := len(h.sends)
	h.request(100, map[string]string{"item": first.Request.Object})
	if len(h.sends) != sent+1 || h.sends[sent].Connection == first.Connection {
		t.Errorf("%d requests sent, want 1 on another connection; effects %v", len(h.sends)-sent, h.observed)
	}
	h.advance(second / 2)
	if len(h.dialled) != 3 {
		t.Errorf("%d connections dialled, want 3: the lost cache must be dialled again", len(h.dialled))
	}
}

// If there are more caches than allowed connections, the caches with a connection serve the objects of the others.
func TestAllRequestsAreServedWithMoreCachesThanConnections(t *testing.T) {
	const caches, maxConnections, requests = 60, 8, 100
	h := newHarness(t, func(limits *Limits, _ *control.Settings) { limits.MaxConnections = maxConnections })
	list := EndpointListUpdated{Complete: true, Entries: slices.Clone(initialEndpoints[2:])}
	for n := range caches {
		list.Entries = append(list.Entries, cacheEntry(fmt.Sprintf("s-%02d", n), fmt.Sprintf("10.0.1.%d:1", n)))
	}
	h.handle(list)
	served := 0
	for seq := int32(1); seq <= requests; seq++ {
		dialled, sent := len(h.dialled), len(h.sends)
		h.observed = nil
		h.request(seq, map[string]string{"item": fmt.Sprintf("%016x", 1000+seq), "nth": "0"})
		if len(h.dialled) > dialled {
			h.connectNewest()
		}
		if len(h.sends) > sent {
			h.respond(ResponseReceived{Result: control.Succeeded, Body: []byte("a")})
		}
		if slices.Contains(h.observed, fmt.Sprintf("served %da", seq)) {
			served++
		}
		h.advance(50 * millisecond)
	}
	if served != requests || len(h.dialled) > maxConnections {
		t.Errorf("%d of %d requests were served, want all; %d connections were dialled, want at most %d",
			served, requests, len(h.dialled), maxConnections)
	}
}
