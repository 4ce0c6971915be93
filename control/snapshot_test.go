package control

import (
	"math"
	"tealpath/internal/logevent"
	"testing"
)

// A router that restores a snapshot has the rates of the one before, though time has passed; without rates it
// knows only which objects were requested.
func TestSnapshot(t *testing.T) {
	set := decoded(RawSettings{
		"product.names": []string{"stills"}, "product.due": []int64{4 * second / 10}, "product.hardStop": []int64{second},
		"product.payoff": []float64{1}, "product.effect": []string{"harmless"}, "location": "here", "kinds": []string{"cache"},
		"routers": int64(1),
	})
	newRouterAt := func(at int64) *Router {
		r := New(at, 7, set, func(logevent.Event) {})
		r.UpdateEndpoints(at, []Endpoint{{ID: 1, Location: "here", Kind: "cache", Phase: "ready", Capacity: 4}}, true)
		return r
	}
	const started, later = 1000 * second, 1040 * second
	r := newRouterAt(started)
	for i := range int64(40) {
		at := started + i*second/4
		object := "a"
		if i%4 == 0 {
			object = "b"
		}
		if decision := r.Decide(at, &Request{Class: "stills", Object: object, Deadline: at + second}); decision.Verdict != Send {
			t.Fatal(decision)
		}
	}
	r.Purge(started+9*second, "b", 0, started+9*second)
	now := started + 10*second
	snapshot := r.Snapshot(now, 10)
	if len(snapshot.Objects) != 2 || len(snapshot.Purges) != 1 || snapshot.Objects[1].Object != "a" {
		t.Fatalf("%+v", snapshot)
	}
	next := newRouterAt(later)
	next.Restore(later, snapshot, true)
	rate := func(r *Router, at int64, object string) float64 {
		record := r.rates.objects[objectKey{object, 0}]
		return r.rates.ofObject(at, record)
	}
	for _, object := range []string{"a", "b"} {
		before, after := rate(r, now, object), rate(next, later, object)
		if math.Abs(before-after) > 1e-9 || after == 0 {
			t.Errorf("%s: %f before, %f after", object, before, after)
		}
	}
	if again := next.Snapshot(later, 10); again.Objects[1].Object != "a" || again.Purges[0] != snapshot.Purges[0] {
		t.Errorf("%+v", again)
	}
	withoutRates := newRouterAt(later)
	withoutRates.Restore(later, snapshot, false)
	record := withoutRates.rates.objects[objectKey{"b", 0}]
	if record == nil || record.requestCount != 0 || record.purgeCount != 1 || withoutRates.rates.requestCount != 0 {
		t.Errorf("%+v", record)
	}
	if one := r.Snapshot(now, 1); len(one.Objects) != 1 || one.Objects[0].Object != "a" {
		t.Errorf("%+v", one.Objects)
	}
}

// Classes that the settings do not have, invalid means and repeated objects in a snapshot are ignored; evicted
// objects stay evicted.
func TestRestoreIgnoresInvalidEntries(t *testing.T) {
	r := newRouter(t, nil)
	before := *r.classByName["once"]
	r.Restore(start, Snapshot{
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
	if got := *r.classByName["once"]; got != before || len(r.classByName) != 3 {
		t.Errorf("%+v, was %+v", got, before)
	}
	if record := r.rates.objects[objectKey{object: "a"}]; len(r.rates.objects) != 2 || record.group != 1 {
		t.Errorf("%d records, %+v", len(r.rates.objects), record)
	}
	if r.rates.recentObjects.Len() != 1 || r.rates.evictedObjects.Len() != 1 {
		t.Errorf("%d recent, %d evicted", r.rates.recentObjects.Len(), r.rates.evictedObjects.Len())
	}
}
