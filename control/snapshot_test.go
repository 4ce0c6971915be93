package control

import (
	"math"
	"testing"

	"tealpath/internal/logevent"
)

// A router that restores a snapshot with rates has the rates at the time of the snapshot, although time has passed.
// From a snapshot without rates it learns only which objects were requested and purged.
func TestSnapshot(t *testing.T) {
	settings := mustDecode(RawSettings{
		"product.names":    []string{"stills"},
		"product.due":      []int64{4 * second / 10},
		"product.hardStop": []int64{second},
		"product.payoff":   []float64{1},
		"product.effect":   []string{"harmless"},
		"location":         "here",
		"kinds":            []string{"cache"},
		"routers":          int64(1),
	})
	newRouterAt := func(at int64) *Router {
		router := New(at, 7, settings, func(logevent.Event) {})
		cache := Endpoint{ID: 1, Location: "here", Kind: "cache", Phase: PhaseReady, Capacity: 4}
		router.UpdateEndpoints(at, []Endpoint{cache}, true)
		return router
	}
	const started, later = 1000 * second, 1040 * second
	router := newRouterAt(started)
	for i := range int64(40) {
		at := started + i*second/4
		object := "a"
		if i%4 == 0 {
			object = "b"
		}
		decision := router.Decide(at, &Request{Class: "stills", Object: object, Deadline: at + second})
		if decision.Verdict != Send {
			t.Fatalf("request %d: decision %+v, want verdict send", i, decision)
		}
	}
	router.Purge(started+9*second, "b", 0, started+9*second)
	now := started + 10*second
	snapshot := router.Snapshot(now, 10)
	if len(snapshot.Objects) != 2 || len(snapshot.Purges) != 1 || snapshot.Objects[1].Object != "a" {
		t.Fatalf("snapshot %+v, want 2 objects, of which a is the last, and 1 purge", snapshot)
	}
	next := newRouterAt(later)
	next.Restore(later, snapshot, true)
	rate := func(router *Router, at int64, object string) float64 {
		record := router.rates.objects[objectKey{object, 0}]
		return router.rates.ofObject(at, record)
	}
	for _, object := range []string{"a", "b"} {
		before, after := rate(router, now, object), rate(next, later, object)
		if math.Abs(before-after) > 1e-9 || after == 0 {
			t.Errorf("rate of object %s: %f before, %f after, want equal and above 0", object, before, after)
		}
	}
	if again := next.Snapshot(later, 10); again.Objects[1].Object != "a" || again.Purges[0] != snapshot.Purges[0] {
		t.Errorf("snapshot after the restore %+v, want a as the last object, and purge %+v", again, snapshot.Purges[0])
	}
	withoutRates := newRouterAt(later)
	withoutRates.Restore(later, snapshot, false)
	record := withoutRates.rates.objects[objectKey{"b", 0}]
	if record == nil || record.requestCount != 0 || record.purgeCount != 1 || withoutRates.rates.requestCount != 0 {
		t.Errorf("restored without rates: record of b %+v, want 0 requests and 1 purge; %v requests in total, want 0",
			record, withoutRates.rates.requestCount)
	}
	if one := router.Snapshot(now, 1); len(one.Objects) != 1 || one.Objects[0].Object != "a" {
		t.Errorf("objects of a snapshot with at most 1 object: %+v, want only a", one.Objects)
	}
}

// Restore ignores classes that the settings do not have, invalid means and repeated objects. Evicted objects remain
// evicted.
func TestRestoreIgnoresInvalidEntries(t *testing.T) {
	router := newRouter(t, nil)
	before := *router.classByName["once"]
	router.Restore(start, Snapshot{
		Classes: []ClassSnapshot{
			{Name: "unknown", SendingTime: 1, ResponseTime: 1},
			{Name: "once", SendingTime: -1, ResponseTime: 1},
		},
		Objects: []ObjectSnapshot{
			{Object: "a", Group: 1},
			{Object: "a", Group: 2},
			{Object: "b", Evicted: true},
		},
	}, true)
	if got := *router.classByName["once"]; got != before || len(router.classByName) != 3 {
		t.Errorf("class once %+v, want %+v; %d classes, want 3", got, before, len(router.classByName))
	}
	if record := router.rates.objects[objectKey{object: "a"}]; len(router.rates.objects) != 2 || record.group != 1 {
		t.Errorf("%d records, want 2; record of a %+v, want group 1", len(router.rates.objects), record)
	}
	if router.rates.recentObjects.Len() != 1 || router.rates.evictedObjects.Len() != 1 {
		t.Errorf("%d recent objects, %d evicted, want 1 and 1",
			router.rates.recentObjects.Len(), router.rates.evictedObjects.Len())
	}
}
