package control

import (
	"fmt"
	"testing"
)

// newWriteRouter makes a router with two classes: "read" is cacheable, "write" is not, nor idempotent. The parents
// are in four hubs that form a ring, the origin is in the first.
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

// ringEndpoints returns four caches of this location, three parents in each hub and the origin in the first.
func ringEndpoints() (lines []Endpoint) {
	for n := range 4 {
		lines = append(lines, Endpoint{
			ID:       uint32(1 + n),
			Location: "here",
			Kind:     "cache",
			Cell:     int64(n),
			Phase:    "ready",
			Capacity: 5,
		})
	}
	for n := range 3 * hubs {
		lines = append(lines, Endpoint{
			ID: uint32(20 + n), Location: fmt.Sprint("hub-", n%hubs), Kind: "parent", Cell: 9,
			Phase: "ready", Capacity: 20,
		})
	}
	return append(lines, Endpoint{
		ID:       originID,
		Location: "hub-0",
		Kind:     "origin",
		Cell:     10,
		Phase:    "ready",
		Capacity: 20,
	})
}

// hubOf returns the hub of a source of ringEndpoints.
func hubOf(id uint32) int {
	if id == originID {
		return 0
	}
	return int(id-20) % hubs
}

// hops returns how many steps along the ring it takes from one hub to another.
func hops(from, to int) int {
	distance := (from - to + hubs) % hubs
	return min(distance, hubs-distance)
}

// roundTrip returns how long a write takes from a location at a hub through a source, ns. Delays are those of a
// typical deployment: 10 ms one way from the location to its hub, 35 ms from each hub to the next, 15 ms on to
// the origin, 45 ms of work there and 30 ms to send the answer.
func roundTrip(home int, source uint32) int64 {
	oneWay := 10 + 35*(hops(home, hubOf(source))+hops(hubOf(source), 0)) + 15
	return int64(2*oneWay+45+30) * millisecond
}

// sendAndAnswer returns the first attempt of a new request, which is answered in time.
func sendAndAnswer(t *testing.T, router *Router, request *Request) Attempt {
	t.Helper()
	decision := router.Decide(start, request)
	if decision.Verdict != Send {
		t.Fatalf("%s %s is not sent: %+v", request.Class, request.Object, decision)
	}
	router.AttemptEnded(start, request, Outcome{
		Result:       Succeeded,
		Note:         2,
		Elapsed:      20 * millisecond,
		RequestEnded: true,
	})
	return decision.Attempt
}

// Writes go straight to the origin. A detour through the parent of the object's hash, which may be in any hub,
// takes too long.
func TestWritesTakeTheShortestPath(t *testing.T) {
	for home := range hubs {
		router := newWriteRouter(t, nil)
		for n := range 200 {
			source := sendAndAnswer(t, router, newRequest("write", fmt.Sprint("object", n))).Source
			if took, best := roundTrip(home, source), roundTrip(home, originID); took > best {
				t.Fatalf("from hub %d write %d takes %d ms through source %d, %d ms straight to the origin", home, n,
					took/millisecond, source, best/millisecond)
			}
		}
	}
}

// A request that is marked as a write is treated as one of a class that is not cacheable.
func TestMarkedWritesGoToTheOrigin(t *testing.T) {
	router := newWriteRouter(t, func(s *Settings) { s.Classes[1].Uncacheable = false })
	for n := range 50 {
		write := newRequest("read", fmt.Sprint("object", n))
		write.Write = true
		if source := sendAndAnswer(t, router, write).Source; source != originID {
			t.Fatalf("a marked write goes to source %d", source)
		}
	}
}

// Requests that are cacheable are filled from the parent of their hash.
func TestReadsAreFilledFromParents(t *testing.T) {
	router := newWriteRouter(t, nil)
	for n := range 50 {
		if source := sendAndAnswer(t, router, newRequest("read", fmt.Sprint("object", n))).Source; source == originID {
			t.Fatal("a read is filled straight from the origin")
		}
	}
}

// A write that the origin has rejected is retried through a parent.
func TestRejectedWritesGoThroughAParent(t *testing.T) {
	for _, note := range []int64{6, 7} { // the source rejected it; the source could not be reached
		router := newWriteRouter(t, nil)
		write := newRequest("write", "object")
		router.Decide(start, write)
		decision := router.AttemptEnded(start+20*millisecond, write, Outcome{
			Result:  Overloaded,
			Note:    note,
			Elapsed: 20 * millisecond,
		})
		if decision.Verdict != Send || decision.Attempt.Source == originID || decision.Attempt.Source == 0 {
			t.Errorf("after note %d: %+v", note, decision)
		}
	}
}

// Without an origin in the list writes go through a parent.
func TestWritesWithoutAnOriginListed(t *testing.T) {
	router := newWriteRouter(t, nil)
	lines := ringEndpoints()
	router.UpdateEndpoints(start, lines[:len(lines)-1], true)
	decision := router.Decide(start, newRequest("write", "object"))
	if decision.Verdict != Send || decision.Attempt.Source == 0 {
		t.Errorf("%+v", decision)
	}
}
