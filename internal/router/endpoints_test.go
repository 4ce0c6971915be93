package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"tealpath/control"
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

// An instance that comes up at the address of another one replaces it, in whichever order and with whichever start
// times an event lists the two. Otherwise requests for the former instance would be sent to the new one.
func TestNewInstanceReplacesTheOneAtItsAddress(t *testing.T) {
	const address = "10.0.9.9:1"
	formerly := func(startedAt int64) EndpointEntry {
		entry := cacheEntry("s-former", address)
		entry.StartedAt = startedAt
		return entry
	}
	successor := func(startedAt int64) EndpointEntry {
		entry := cacheEntry("s-successor", address)
		entry.StartedAt = startedAt
		return entry
	}
	for _, test := range []struct {
		name   string
		events []EndpointListUpdated
	}{
		{"a change", []EndpointListUpdated{
			{Entries: []EndpointEntry{formerly(0)}}, {Entries: []EndpointEntry{successor(start)}},
		}},
		{"a change without start times", []EndpointListUpdated{
			{Entries: []EndpointEntry{formerly(0)}}, {Entries: []EndpointEntry{successor(0)}},
		}},
		{"the successor is listed first", []EndpointListUpdated{
			{Entries: []EndpointEntry{formerly(0)}}, {Entries: []EndpointEntry{successor(start), formerly(0)}},
		}},
		{"the successor is listed first, without start times", []EndpointListUpdated{
			{Entries: []EndpointEntry{formerly(0)}}, {Entries: []EndpointEntry{successor(0), formerly(0)}},
		}},
		{"both are new, the successor first", []EndpointListUpdated{
			{Entries: []EndpointEntry{successor(start), formerly(0)}},
		}},
		{"the former one is listed again", []EndpointListUpdated{
			{Entries: []EndpointEntry{formerly(0)}},
			{Entries: []EndpointEntry{successor(start)}},
			{Entries: []EndpointEntry{formerly(0)}},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newDefaultHarness(t)
			for _, event := range test.events {
				h.handle(event)
			}
			former, current := h.endpoints.byName["s-former"], h.endpoints.byName["s-successor"]
			if former != nil && former.isReady() || current == nil || !current.isReady() {
				t.Errorf("former instance %+v, successor %+v; want only the successor ready", former, current)
			}
		})
	}
}

// A request with an idempotency key may have reached the successor of its cache at the same address. If the successor
// is in another cell, its execution is unknown to the cache's cell, so the request must not be sent there again.
func TestNoRetryAfterAReplacementInAnotherCell(t *testing.T) {
	const keyedClass = "orders"
	for _, test := range []struct {
		name    string
		cell    int64 // of the successor; the caches of this location are in cell 1
		retried bool
	}{
		{"the same cell", 1, true},
		{"another cell", 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, func(_ *Limits, settings *control.Settings) {
				class := nonIdempotentClass()
				class.Name, class.Idempotency = keyedClass, control.Keyed
				class.KeyScope, class.KeyWindow = control.ScopeCell, 100*second
				settings.Classes = append(settings.Classes, class)
			})
			var entries []EndpointEntry
			for _, entry := range initialEndpoints {
				entry.Cell = 1
				entries = append(entries, entry)
			}
			h.handle(EndpointListUpdated{Complete: true, Entries: entries})
			h.request(1, map[string]string{"verb": keyedClass})
			h.connectNewest()
			successor := cacheEntry("s-successor", h.connections[h.dialled[0]].address)
			successor.Cell, successor.StartedAt = test.cell, h.now
			h.update(successor)
			h.observed = nil
			h.handle(ConnectionDown{Connection: h.dialled[0]})
			if retried := len(h.observed) > 0 && strings.HasPrefix(h.observed[0], "dial"); retried != test.retried {
				t.Errorf("effects %v after the connection was lost; retried %t, want %t",
					h.observed, retried, test.retried)
			}
		})
	}
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
