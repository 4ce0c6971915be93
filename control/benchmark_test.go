package control

import (
	"fmt"
	"testing"

	"tealpath/internal/logevent"
)

// benchmarkSizes are the numbers of cache servers that the benchmarks run with.
var benchmarkSizes = []int{12, 200, 800, 3200}

// benchmarkObjects is how many distinct objects the benchmarks request.
const benchmarkObjects = 2000

// benchmarkAnswer is the outcome of each measured attempt.
var benchmarkAnswer = Outcome{Result: Succeeded, Elapsed: second / 20, Note: noteHit, RequestEnded: true}

// benchmarkWarmUp is how many requests are decided before the measured ones.
const benchmarkWarmUp = 20

// benchmarkFleet returns one location's caches, one parent for each 16 of them, and an origin.
func benchmarkFleet(servers int) []Endpoint {
	var lines []Endpoint
	nextID := func() uint32 { return uint32(len(lines)+1) * 2654435761 }
	for i := range servers {
		lines = append(lines, Endpoint{
			ID: nextID(), Location: "here", Kind: "cache", Cell: int64(i), Phase: PhaseReady, Capacity: 5,
		})
	}
	for range max(2, servers/16) {
		lines = append(lines, Endpoint{
			ID:       nextID(),
			Location: "hub",
			Kind:     "parent",
			Cell:     -1,
			Phase:    "ready",
			Capacity: 20,
		})
	}
	return append(lines, Endpoint{
		ID:       nextID(),
		Location: "hub",
		Kind:     "origin",
		Cell:     -2,
		Phase:    "ready",
		Capacity: 20,
	})
}

// benchmarkRouter makes a router with a full fleet.
func benchmarkRouter(b *testing.B, servers int, change func(*Settings)) (*Router, []Endpoint) {
	b.Helper()
	settings := testSettings(func(s *Settings) { s.LocationRouters, s.Routers = 8, 10 })
	if change != nil {
		change(&settings)
	}
	router := New(start, 7, settings, func(logevent.Event) {})
	lines := benchmarkFleet(servers)
	router.UpdateEndpoints(start, lines, true)
	return router, lines
}

// benchmarkDecisions measures Decide and AttemptEnded of one request. The clock moves by a tenth of a second a
// request, and `inFlight` other requests are in flight all the time.
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
					b.Fatalf("request %d: %+v", i, decision)
				}
				router.AttemptEnded(now+second/20, &request, benchmarkAnswer)
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

func none(int) int { return 0 }

// BenchmarkDecision is an ordinary request while nothing else is in flight.
func BenchmarkDecision(b *testing.B) {
	benchmarkDecisions(b, nil, none, Request{Class: "harmless", Group: 1})
}

// BenchmarkDecisionInFlight is an ordinary request while half as many others as there are caches are in flight.
func BenchmarkDecisionInFlight(b *testing.B) {
	benchmarkDecisions(b, nil, func(servers int) int { return servers / 2 }, Request{Class: "harmless", Group: 1})
}

// BenchmarkDecisionMeasured is an ordinary request where the caches' capacities are measured.
func BenchmarkDecisionMeasured(b *testing.B) {
	benchmarkDecisions(b, func(s *Settings) { s.Weights = NoWeights }, none, Request{Class: "harmless", Group: 1})
}

// BenchmarkDecisionWrite is a request that is not cacheable, for which the least loaded of all caches is
// selected.
func BenchmarkDecisionWrite(b *testing.B) {
	benchmarkDecisions(b, nil, none, Request{Class: "harmless", Group: 1, Write: true})
}

// BenchmarkDecisionFewReachable is an ordinary request where one cache in 64 can be reached.
func BenchmarkDecisionFewReachable(b *testing.B) {
	for _, servers := range benchmarkSizes {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			router, lines := benchmarkRouter(b, servers, nil)
			reachable := map[uint32]bool{}
			for i, line := range lines {
				reachable[line.ID] = i%64 == 0 || line.Kind != "cache"
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
					b.Fatalf("request %d: %+v", i, decision)
				}
				router.AttemptEnded(now+second/20, request, benchmarkAnswer)
			}
		})
	}
}

// BenchmarkDecisionRecovering is an ordinary request while all caches are in slow start, shared by 300 routers.
func BenchmarkDecisionRecovering(b *testing.B) {
	for _, servers := range benchmarkSizes {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			router, lines := benchmarkRouter(b, servers, func(s *Settings) { s.Routers, s.LocationRouters = 300, 300 })
			now := start + 100*second
			for i := range lines {
				lines[i].StartedAt = now
			}
			router.UpdateEndpoints(now, lines, true)
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
					router.AttemptEnded(now, request, benchmarkAnswer)
				case Wait:
					router.ClientGone(now, request)
				}
			}
		})
	}
}

// BenchmarkListEvent is a change of one entry of the list: a cache drains, and is ready again with the next.
func BenchmarkListEvent(b *testing.B) {
	for _, servers := range benchmarkSizes {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			router, lines := benchmarkRouter(b, servers, nil)
			b.ReportAllocs()
			for i := range b.N {
				line := lines[i/2%servers : i/2%servers+1]
				line[0].Phase = []string{"draining", "ready"}[i%2]
				router.UpdateEndpoints(start, line, false)
			}
		})
	}
}

// BenchmarkTick is one run of the periodic work after a request to every cache.
func BenchmarkTick(b *testing.B) { benchmarkTicks(b, none) }

// BenchmarkTickInFlight is the same while half as many requests as there are caches are in flight.
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
				router.AttemptEnded(now+second/20, request, benchmarkAnswer)
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
