package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestEndpointChangesCloseStaleConnections(t *testing.T) {
	runScenarios(t, newDefaultHarness, []scenario{
		{"a cache drains while a request waits for a connection to it: sent elsewhere", func(h *harness) {
			h.request(1, nil)
			h.setFirstPhase("draining")
			h.connectNewest()
		}, "dial, dial, send 1"},
		{"a cache restarts: its connection is closed, and it is dialled again", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.respond(success)
			entry := h.firstEntry()
			entry.StartedAt = h.now
			h.update(entry)
			h.request(2, nil)
		}, "dial, send 1, served 1:bytes, close 1, dial"},
		{"a new cache at the address of one that is gone does not get its connections", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.respond(success)
			h.setFirstPhase("gone")
			entry := initialEndpoints[0]
			entry.Instance = "s-new"
			h.update(entry)
			if got := h.endpoints.byName["s-new"]; len(got.connections) != 0 {
				h.t.Error("the new cache has connections of the previous one")
			}
		}, "dial, send 1, served 1:bytes, close 1"},
		{"a newer endpoint has the address of another: the connection to that one is closed", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.respond(success)
			entry := cacheEntry("s-new", h.connections[h.dialled[0]].address)
			entry.StartedAt = h.now
			h.update(entry)
		}, "dial, send 1, served 1:bytes, close 1"},
	})
}

// After its clock was set back, an endpoint may restart with a timestamp before that of its last start. Its
// connections are closed all the same.
func TestRestartWithEarlierTimestamp(t *testing.T) {
	h := newDefaultHarness(t)
	h.request(1, nil)
	h.connectNewest()
	entry := h.firstEntry()
	update := func(startedAt int64) (closed bool) {
		h.observed = nil
		entry.StartedAt = startedAt
		h.update(entry)
		return slices.ContainsFunc(h.observed, func(effect string) bool { return strings.HasPrefix(effect, "close") })
	}
	update(start)
	h.request(2, nil)
	for _, id := range h.dialled[1:] {
		h.handle(ConnectionUp{Connection: id})
	}
	if !update(start - 600*second) {
		t.Errorf("effects %v: no connection was closed after a restart with an earlier timestamp", h.observed)
	}
	if update(start - 600*second) {
		t.Errorf("effects %v: a connection was closed although the timestamp did not change", h.observed)
	}
}

// Routers that learned of endpoints in different orders must have the same IDs for them. Otherwise they would disagree
// on which cache has an object.
func TestEndpointIDsAreIndependentOfOrder(t *testing.T) {
	const a, b = "s-07e5ff", "s-0a3e80" // names with the same hash
	named := func(instance string) EndpointEntry { return EndpointEntry{Instance: instance} }
	cases := []struct {
		name   string
		events []Event
	}{
		{"all at once", []Event{
			EndpointListUpdated{Complete: true, Entries: []EndpointEntry{named(a), named(b), named("x")}},
		}},
		{"one by one", []Event{
			EndpointListUpdated{Entries: []EndpointEntry{named("x")}},
			EndpointListUpdated{Entries: []EndpointEntry{named(a)}},
			EndpointListUpdated{Entries: []EndpointEntry{named(b)}},
		}},
		{"in the reverse order", []Event{
			EndpointListUpdated{Entries: []EndpointEntry{named(b)}},
			EndpointListUpdated{Entries: []EndpointEntry{named(a)}},
			EndpointListUpdated{Entries: []EndpointEntry{named("x")}},
		}},
	}
	var first []uint32
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newDefaultHarness(t)
			for _, event := range c.events {
				h.handle(event)
			}
			byName := h.endpoints.byName
			ids := []uint32{byName[a].ID, byName[b].ID, byName["x"].ID}
			if first == nil {
				first = ids
			}
			if !slices.Equal(ids, first) || ids[0] == ids[1] {
				t.Errorf("IDs %v, want %v as in the first case, and different IDs for the names with the same hash", ids, first)
			}
		})
	}
}

// BenchmarkEndpointUpdate measures the update of one entry of an endpoint list, for lists of several lengths.
func BenchmarkEndpointUpdate(b *testing.B) {
	for _, count := range []int{12, 200, 800, 3200} {
		b.Run(fmt.Sprint("endpoints=", count), func(b *testing.B) {
			limits := Limits{MaxConnections: 8, MaxInFlight: 100, MaxBodyBytes: 1 << 20}
			router := New(start, seed, testSettings(), limits)
			var entries []EndpointEntry
			for n := range count {
				address := fmt.Sprintf("10.0.%d.%d:1", n/200, n%200)
				entries = append(entries, cacheEntry(fmt.Sprintf("s-%06d", n), address))
			}
			router.Handle(start, EndpointListUpdated{Complete: true, Entries: entries})
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				entry := entries[i/2%count : i/2%count+1]
				entry[0].Phase = []string{"draining", "ready"}[i%2]
				router.Handle(start, EndpointListUpdated{Entries: entry})
			}
		})
	}
}
