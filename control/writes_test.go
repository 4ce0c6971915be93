package control

import (
	"fmt"
	"testing"
)

// newWriteRouter returns a router with the endpoints of ringEndpoints and two classes: "read" is cacheable and
// idempotent, "write" is neither.
func newWriteRouter(t *testing.T, change func(*Settings)) *Router {
	t.Helper()
	router := newRouter(t, func(s *Settings) {
		s.Classes = []ClassSettings{
			{
				Name:             "read",
				LatencyObjective: second,
				FreshDuration:    8 * second,
				PriorityWeight:   1,
				Idempotency:      Idempotent,
				KeyScope:         ScopeAll,
			},
			{
				Name:             "write",
				LatencyObjective: 150 * millisecond,
				PriorityWeight:   1,
				Idempotency:      NonIdempotent,
				KeyScope:         ScopeAll,
				Uncacheable:      true,
			},
		}
		if change != nil {
			change(s)
		}
	})
	router.UpdateEndpoints(start, ringEndpoints(), true)
	return router
}

const (
	millisecond = second / 1000
	originID    = 50
	hubs        = 4
)

// ringEndpoints returns four caches in this location, three parents in each of four hubs, and the origin in the first
// hub. The hubs form a ring.
func ringEndpoints() (entries []Endpoint) {
	for n := range 4 {
		entries = append(entries, Endpoint{
			ID:       uint32(1 + n),
			Location: "here",
			Kind:     "cache",
			Cell:     int64(n),
			Phase:    "ready",
			Capacity: 5,
		})
	}
	for n := range 3 * hubs {
		entries = append(entries, Endpoint{
			ID: uint32(20 + n), Location: fmt.Sprint("hub-", n%hubs), Kind: "parent", Cell: 9,
			Phase: "ready", Capacity: 20,
		})
	}
	return append(entries, Endpoint{
		ID:       originID,
		Location: "hub-0",
		Kind:     "origin",
		Cell:     10,
		Phase:    "ready",
		Capacity: 20,
	})
}

// hubOf returns the hub of a parent or the origin of ringEndpoints.
func hubOf(id uint32) int {
	if id == originID {
		return 0
	}
	return int(id-20) % hubs
}

// hops returns the number of steps along the ring from one hub to another.
func hops(from, to int) int {
	distance := (from - to + hubs) % hubs
	return min(distance, hubs-distance)
}

// roundTrip returns the time in ns that a write takes through a source from a location at hub home. The delays are
// those of a typical deployment. The one-way delays are 10 ms from the location to its hub, 35 ms from each hub to
// the next and 15 ms from the first hub to the origin. The origin takes 45 ms to process the write and 30 ms to send
// the response.
func roundTrip(home int, source uint32) int64 {
	oneWay := 10 + 35*(hops(home, hubOf(source))+hops(hubOf(source), 0)) + 15
	return int64(2*oneWay+45+30) * millisecond
}

// sendAndAnswer sends a new request, which gets a response in time, and returns its first attempt.
func sendAndAnswer(t *testing.T, router *Router, request *Request) Attempt {
	t.Helper()
	decision := router.Decide(start, request)
	if decision.Verdict != Send {
		t.Fatalf("%s of %s: decision %+v, want verdict send", request.Class, request.Object, decision)
	}
	router.AttemptEnded(start, request, Outcome{
		Result:       Succeeded,
		Note:         noteFilled,
		Elapsed:      20 * millisecond,
		RequestEnded: true,
	})
	return decision.Attempt
}

// Writes go directly to the origin. A detour through the parent that the object's hash selects, which may be in any
// hub, would take too long.
func TestWritesTakeTheShortestPath(t *testing.T) {
	for home := range hubs {
		router := newWriteRouter(t, nil)
		for n := range 200 {
			source := sendAndAnswer(t, router, newRequest("write", fmt.Sprint("object", n))).Source
			if took, best := roundTrip(home, source), roundTrip(home, originID); took > best {
				t.Fatalf("from hub %d write %d takes %d ms through source %d, and %d ms directly to the origin", home, n,
					took/millisecond, source, best/millisecond)
			}
		}
	}
}

// Sending a write through a parent would take a detour, so a request that is marked as a write must go directly to the
// origin even if its class is cacheable.
func TestMarkedWritesGoToTheOrigin(t *testing.T) {
	router := newWriteRouter(t, func(s *Settings) { s.Classes[1].Uncacheable = false })
	for n := range 50 {
		write := newRequest("read", fmt.Sprint("object", n))
		write.Write = true
		if source := sendAndAnswer(t, router, write).Source; source != originID {
			t.Fatalf("a marked write goes to source %d, want the origin, %d", source, originID)
		}
	}
}

// If the objects of cacheable requests came directly from the origin, as writes do, the origin would get a request for
// each miss of a cache. They must be filled from the parent that the object's hash selects.
func TestReadsAreFilledFromParents(t *testing.T) {
	router := newWriteRouter(t, nil)
	for n := range 50 {
		if source := sendAndAnswer(t, router, newRequest("read", fmt.Sprint("object", n))).Source; source == originID {
			t.Fatalf("read %d is filled directly from the origin, want from a parent", n)
		}
	}
}

// A write that the origin has rejected, or for which the origin could not be reached, is retried through a parent.
func TestRejectedWritesGoThroughAParent(t *testing.T) {
	for _, note := range []int64{6, 7} { // 6: the origin rejected the write; 7: the origin could not be reached
		router := newWriteRouter(t, nil)
		write := newRequest("write", "object")
		router.Decide(start, write)
		decision := router.AttemptEnded(start+20*millisecond, write, Outcome{
			Result:  Overloaded,
			Note:    note,
			Elapsed: 20 * millisecond,
		})
		if decision.Verdict != Send || decision.Attempt.Source == originID || decision.Attempt.Source == 0 {
			t.Errorf("after note %d: decision %+v, want a retry through a parent", note, decision)
		}
	}
}

// If the endpoint list has no origin, writes must not be rejected, because a parent can forward them.
func TestWritesWithoutAnOriginListed(t *testing.T) {
	router := newWriteRouter(t, nil)
	entries := ringEndpoints()
	router.UpdateEndpoints(start, entries[:len(entries)-1], true)
	decision := router.Decide(start, newRequest("write", "object"))
	if decision.Verdict != Send || decision.Attempt.Source == 0 {
		t.Errorf("decision %+v, want verdict send with a parent as source", decision)
	}
}
