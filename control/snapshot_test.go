package control

import (
	"math"
	"tealpath/internal/logevent"
	"testing"
)

// What was learned is taken over: rates as they were, though time has passed; without rates only what was asked
// for at all.
func TestSnapshot(t *testing.T) {
	set := Settings{
		"product.names": []string{"stills"}, "product.due": []int64{4 * second / 10}, "product.hardStop": []int64{second},
		"product.payoff": []float64{1}, "product.effect": []string{"harmless"}, "location": "here", "kinds": []string{"cache"},
		"routers": int64(1),
	}
	make := func(at int64) *Router {
		r, err := New(at, 7, set, func(logevent.Event) {})
		if err != nil {
			t.Fatal(err)
		}
		r.UpdateEndpoints(at, []Endpoint{{ID: 1, Location: "here", Kind: "cache", Phase: "ready", Capacity: 4}}, true)
		return r
	}
	const begun, later = 1000 * second, 1040 * second
	r := make(begun)
	for i := range int64(40) {
		at := begun + i*second/4
		object := "a"
		if i%4 == 0 {
			object = "b"
		}
		if decision := r.Decide(at, &Request{Class: "stills", Object: object, Deadline: at + second}); decision.Verdict != Send {
			t.Fatal(decision)
		}
	}
	r.Purge(begun+9*second, "b", 0, begun+9*second)
	now := begun + 10*second
	m := r.Snapshot(now, 10)
	if len(m.Objects) != 2 || len(m.Purges) != 1 || m.Objects[1].Object != "a" {
		t.Fatalf("%+v", m)
	}
	next := make(later)
	next.Restore(later, m, true)
	rate := func(r *Router, at int64, object string) float64 {
		record := r.rates.objects[objectKey{object, 0}]
		return r.rates.ofObject(at, record)
	}
	for _, object := range []string{"a", "b"} {
		if was, is := rate(r, now, object), rate(next, later, object); math.Abs(was-is) > 1e-9 || is == 0 {
			t.Errorf("%s: %f before, %f after", object, was, is)
		}
	}
	if again := next.Snapshot(later, 10); again.Objects[1].Object != "a" || again.Purges[0] != m.Purges[0] {
		t.Errorf("%+v", again)
	}
	without := make(later)
	without.Restore(later, m, false)
	if record := without.rates.objects[objectKey{"b", 0}]; record == nil || record.requestCount != 0 || record.purgeCount != 1 || without.rates.requestCount != 0 {
		t.Errorf("%+v", record)
	}
	if one := r.Snapshot(now, 1); len(one.Objects) != 1 || one.Objects[0].Object != "a" {
		t.Errorf("%+v", one.Objects)
	}
}

// What a snapshot has twice, of classes that are no more, or with times that can't be, is passed over; evicted
// objects stay so.
func TestRestoreOfOddSnapshots(t *testing.T) {
	r := newRouter(t, nil)
	before := *r.classByName["once"]
	r.Restore(start, Snapshot{
		Classes: []ClassSnapshot{{Name: "no more", SendingTime: 1, ResponseTime: 1}, {Name: "once", SendingTime: -1, ResponseTime: 1}},
		Objects: []ObjectSnapshot{{Object: "a", Group: 1}, {Object: "a", Group: 2}, {Object: "b", Evicted: true}},
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
