package control

import (
	"fmt"
	"testing"

	"tealpath/internal/logevent"
)

// benchmarkSizes are the numbers of caches that the benchmarks run with.
var benchmarkSizes = []int{12, 200, 800, 3200}

// benchmarkObjects is the number of distinct objects that the benchmarks request.
const benchmarkObjects = 2000

// benchmarkOutcome ends each measured attempt: a hit with a response after 50 ms.
var benchmarkOutcome = Outcome{Result: Succeeded, Elapsed: second / 20, Note: noteHit, RequestEnded: true}

// benchmarkWarmUp is the number of requests that are decided before the measured ones.
const benchmarkWarmUp = 20

// benchmarkEndpoints returns as many caches of one location as servers says, one parent per 16 caches but at least
// two, and an origin.
func benchmarkEndpoints(servers int) []Endpoint {
	var entries []Endpoint
	nextID := func() uint32 { return uint32(len(entries)+1) * 2654435761 }
	for i := range servers {
		entries = append(entries, Endpoint{
			ID: nextID(), Location: "here", Kind: "cache", Cell: int64(i), Phase: PhaseReady, Capacity: 5,
		})
	}
	for range max(2, servers/16) {
		entries = append(entries, Endpoint{
			ID:       nextID(),
			Location: "hub",
			Kind:     "parent",
			Cell:     -1,
			Phase:    "ready",
			Capacity: 20,
		})
	}
	return append(entries, Endpoint{
		ID:       nextID(),
		Location: "hub",
		Kind:     "origin",
		Cell:     -2,
		Phase:    "ready",
		Capacity: 20,
	})
}

// benchmarkRouter returns one of 8 routers in a location with the endpoints of benchmarkEndpoints, and these
// endpoints.
func benchmarkRouter(b *testing.B, servers int, change func(*Settings)) (*Router, []Endpoint) {
	b.Helper()
	settings := testSettings(func(s *Settings) { s.LocationRouters, s.Routers = 8, 10 })
	if change != nil {
		change(&settings)
	}
	router := New(start, 7, settings, func(logevent.Event) {})
	entries := benchmarkEndpoints(servers)
	router.UpdateEndpoints(start, entries, true)
	return router, entries
}

// benchmarkDecisions measures Decide and AttemptEnded for one request. The clock advances by 0.1 s per request.
// inFlight returns how many other requests are in flight during the measurement.
func benchmarkDecisions(b *testing.B, change func(*Settings), inFlight func(servers int) int, template Request) {
	objects := make([]string, benchmarkObjects)
	for i := range objects {
		objects[i] = fmt.Sprintf("%016x", i*2654435761)
	}
	for _, servers := range benchmarkSizes {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			router, _ := benchmarkRouter(b, servers, change)
			now := start
			for i := range inFlight(servers) {
				other := template
				other.Object, other.Deadline = objects[i%len(objects)], forever
				router.Decide(now, &other)
			}
			decide := func(i int) {
				now += second / 10
				request := template
				request.Object, request.Deadline = objects[i%len(objects)], now+5*second
				if decision := router.Decide(now, &request); decision.Verdict != Send {
					b.Fatalf("request %d: decision %+v, want verdict send", i, decision)
				}
				router.AttemptEnded(now+second/20, &request, benchmarkOutcome)
			}
			for i := range benchmarkWarmUp {
				decide(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				decide(i)
			}
		})
	}
}

func noneInFlight(int) int { return 0 }

// BenchmarkDecision measures an ordinary request, which is cacheable and idempotent, while nothing else is in flight.
func BenchmarkDecision(b *testing.B) {
	benchmarkDecisions(b, nil, noneInFlight, Request{Class: "harmless", Group: 1})
}

// BenchmarkDecisionInFlight measures an ordinary request while one other request per two caches is in flight.
func BenchmarkDecisionInFlight(b *testing.B) {
	benchmarkDecisions(b, nil, func(servers int) int { return servers / 2 }, Request{Class: "harmless", Group: 1})
}

// BenchmarkDecisionMeasured measures an ordinary request if the endpoint list does not give the caches' capacities and
// the router estimates them from the work that the caches do.
func BenchmarkDecisionMeasured(b *testing.B) {
	benchmarkDecisions(b, func(s *Settings) { s.Weights = NoWeights }, noneInFlight, Request{Class: "harmless", Group: 1})
}

// BenchmarkDecisionWrite measures an uncacheable request, which goes to the least loaded of all caches.
func BenchmarkDecisionWrite(b *testing.B) {
	benchmarkDecisions(b, nil, noneInFlight, Request{Class: "harmless", Group: 1, Write: true})
}

// BenchmarkDecisionFewReachable measures an ordinary request if only one cache in 64 is reachable.
func BenchmarkDecisionFewReachable(b *testing.B) {
	for _, servers := range benchmarkSizes {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			router, entries := benchmarkRouter(b, servers, nil)
			reachable := map[uint32]bool{}
			for i, entry := range entries {
				reachable[entry.ID] = i%64 == 0 || entry.Kind != "cache"
			}
			router.Reachable = func(id uint32) bool { return reachable[id] }
			now := start
			b.ReportAllocs()
			for i := range b.N {
				now += second / 10
				request := &Request{
					Class:    "harmless",
					Object:   fmt.Sprint(i % benchmarkObjects),
					Group:    1,
					Deadline: now + 5*second,
				}
				if decision := router.Decide(now, request); decision.Verdict != Send {
					b.Fatalf("request %d: decision %+v, want verdict send", i, decision)
				}
				router.AttemptEnded(now+second/20, request, benchmarkOutcome)
			}
		})
	}
}

// BenchmarkDecisionRecovering measures an ordinary request while all caches are in slow start and 300 routers send to
// them.
func BenchmarkDecisionRecovering(b *testing.B) {
	for _, servers := range benchmarkSizes {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			router, entries := benchmarkRouter(b, servers, func(s *Settings) { s.Routers, s.LocationRouters = 300, 300 })
			now := start + 100*second
			for i := range entries {
				entries[i].StartedAt = now
			}
			router.UpdateEndpoints(now, entries, true)
			b.ReportAllocs()
			for i := range b.N {
				now += second / 1000
				request := &Request{
					Class:    "harmless",
					Object:   fmt.Sprint(i % benchmarkObjects),
					Group:    1,
					Deadline: now + 5*second,
				}
				switch d := router.Decide(now, request); d.Verdict {
				case Send:
					router.AttemptEnded(now, request, benchmarkOutcome)
				case Wait:
					router.EndRequest(now, request)
				}
			}
		})
	}
}

// BenchmarkListEvent measures updates of the endpoint list that each change the phase of one cache, alternately to
// draining and to ready.
func BenchmarkListEvent(b *testing.B) {
	for _, servers := range benchmarkSizes {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			router, entries := benchmarkRouter(b, servers, nil)
			b.ReportAllocs()
			for i := range b.N {
				changed := entries[i/2%servers : i/2%servers+1]
				changed[0].Phase = []string{"draining", "ready"}[i%2]
				router.UpdateEndpoints(start, changed, false)
			}
		})
	}
}

// BenchmarkTick measures Tick after four requests per cache, with nothing in flight.
func BenchmarkTick(b *testing.B) { benchmarkTicks(b, noneInFlight) }

// BenchmarkTickInFlight measures Tick while one request per two caches is in flight.
func BenchmarkTickInFlight(b *testing.B) {
	benchmarkTicks(b, func(servers int) int { return servers / 2 })
}

func benchmarkTicks(b *testing.B, inFlight func(servers int) int) {
	for _, servers := range benchmarkSizes {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			router, _ := benchmarkRouter(b, servers, nil)
			now := start
			for i := range 4 * servers {
				now += second / 10
				request := &Request{Class: "harmless", Object: fmt.Sprint(i), Group: 1, Deadline: now + 5*second}
				router.Decide(now, request)
				router.AttemptEnded(now+second/20, request, benchmarkOutcome)
			}
			for i := range inFlight(servers) {
				router.Decide(now, &Request{Class: "harmless", Object: fmt.Sprint(i), Group: 1, Deadline: forever})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += second / 1000
				router.Tick(now)
			}
		})
	}
}
