package control

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"tealpath/internal/logevent"
)

// ruleLimit returns the number of requests above which an endpoint that can take n is overloaded, as rule 4 has
// it.
func ruleLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

func TestOverloadLimitIsNoHigherThanTheRule(t *testing.T) {
	previous := 0.
	for n := 0.01; n < 5000; n *= 1.001 {
		limit := overloadLimit(n)
		if limit > ruleLimit(n)+1e-9 || limit < previous || limit < ruleLimit(n)-6.5 {
			t.Fatalf("N %.2f: limit %.2f after %.2f, that of the rule is %.2f", n, limit, previous, ruleLimit(n))
		}
		previous = limit
	}
}

// sentWork is an attempt at the endpoint in slow start.
type sentWork struct {
	at   int64
	work float64
}

// sharedSlowStart is a set of routers that share an endpoint that has just started.
type sharedSlowStart struct {
	routers []*Router
	sent    []sentWork // of all routers
}

const (
	startingID = 3   // of a parent, shared by all
	meanWork   = 0.5 // s; the classes' initial mean, which is their latency objective
)

func newSharedSlowStart(t *testing.T, routers int, capacity float64) *sharedSlowStart {
	t.Helper()
	shared := &sharedSlowStart{}
	for n := range routers {
		shared.routers = append(shared.routers, shared.newRouter(t, uint64(n), routers, capacity))
	}
	return shared
}

func (s *sharedSlowStart) newRouter(t *testing.T, seed uint64, routers int, capacity float64) *Router {
	t.Helper()
	router := New(start, seed, testSettings(func(s *Settings) { s.Routers = routers }), func(logevent.Event) {})
	entries := slices.Clone(testEndpoints)
	entries[startingID-1].StartedAt, entries[startingID-1].Capacity = start, capacity
	router.UpdateEndpoints(start, entries, true)
	return router
}

// sendAll has a router send as much as it may.
func (s *sharedSlowStart) sendAll(now int64, router *Router) {
	for endpoint := router.endpoints[startingID]; router.slowStartAdmits(now, endpoint, meanWork); {
		endpoint.charge(now, meanWork)
		s.sent = append(s.sent, sentWork{now, meanWork})
	}
}

// check compares the attempts within each window with the limit of the rule at its end.
func (s *sharedSlowStart) check(t *testing.T, capacity float64) {
	t.Helper()
	slices.SortFunc(s.sent, func(a, b sentWork) int { return int(a.at - b.at) })
	first := 0
	for last, sent := range s.sent {
		for s.sent[first].at <= sent.at-2*second {
			first++
		}
		n := 2 * capacity * (0.1 + 0.9*float64(sent.at-start)/float64(20*second)) * 2 / meanWork
		if count := float64(last - first + 1); count > ruleLimit(n) {
			t.Fatalf("%.0f requests within a window %.1f s after the start, N is %.2f and the limit %.2f", count,
				float64(sent.at-start)/1e9, n, ruleLimit(n))
		}
	}
}

// Routers that send all they may in one instant, and go on, keep within the rule together, few or many,
// whatever the capacity of the endpoint; also if nine in ten of them restart within the window and do not
// remember what they sent.
func TestSlowStartHoldsForAllRoutersTogether(t *testing.T) {
	for _, routers := range []int{1, 6, 24, 350, 900} {
		for _, n := range []float64{0.3, 1, 4, 17, 29, 150} {
			for _, restart := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d routers, N %.1f, restart %v", routers, n, restart), func(t *testing.T) {
					t.Parallel()
					capacity := n * meanWork / 2 / 0.1 / 2 // a tenth of it is there at the start
					shared := newSharedSlowStart(t, routers, capacity)
					for _, router := range shared.routers {
						// collects tokens from here on
						router.slowStartAdmits(start, router.endpoints[startingID], meanWork)
					}
					for now := start + 4*second; now < start+14*second; now += second / 4 {
						for i, router := range shared.routers {
							shared.sendAll(now, router)
							if restart && now == start+5*second && i%10 > 0 {
								shared.routers[i] = shared.newRouter(t, uint64(routers+i), routers, capacity)
							}
						}
					}
					shared.check(t, capacity)
					if len(shared.sent) == 0 && n >= 1 {
						t.Error("nothing was sent in ten seconds")
					}
				})
			}
		}
	}
}

// Phases are distributed evenly over routers, endpoints and restarts.
func TestPhases(t *testing.T) {
	for _, test := range []struct {
		name string
		of   func(n int) (seed uint64, now int64, id uint32)
	}{
		{"routers", func(n int) (uint64, int64, uint32) { return uint64(n), start, 3 }},
		{"restarts", func(n int) (uint64, int64, uint32) { return 7, start + int64(n), 3 }},
		{"endpoints", func(n int) (uint64, int64, uint32) { return 7, start, uint32(n) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			const draws, parts = 4000, 20
			var count [parts]int
			for n := range draws {
				seed, now, id := test.of(n)
				router := &Router{seed: seed}
				count[int(router.phase(now, &endpointState{Endpoint: Endpoint{ID: id}})*parts)]++
			}
			for part, n := range count {
				if mean := draws / parts; n < mean*2/3 || n > mean*4/3 { // five standard deviations
					t.Errorf("part %d of %d has %d of %d", part, parts, n, draws)
				}
			}
		})
	}
}

// Retries, hedges, fills and probes are charged to the slow start like first attempts: with the mean sending time
// of their class, whatever the size of the answer.

// newRouterWithStart returns a router that lists one endpoint of testEndpoints as started now.
func newRouterWithStart(t *testing.T, id uint32, change func(*Settings)) *Router {
	t.Helper()
	router := newRouter(t, change)
	entry := testEndpoints[id-1]
	entry.StartedAt = start
	router.UpdateEndpoints(start, []Endpoint{entry}, false)
	return router
}

// checkCharged checks how much work, in s, is charged to an endpoint in slow start.
func checkCharged(t *testing.T, router *Router, id uint32, want float64) {
	t.Helper()
	if work := router.endpoints[id].slowStart.work(); math.Abs(work-want) > 1e-9 {
		t.Errorf("%.2f s of work are charged, want %.2f", work, want)
	}
}

func TestRetriesAreCharged(t *testing.T) {
	router := newRouterWithStart(t, 1, nil)
	router.UpdateEndpoints(start, []Endpoint{{ID: 2, Location: "here", Phase: PhaseGone}}, false)
	request := newRequest("harmless", "a")
	router.Decide(start, request)
	checkCharged(t, router, 1, 0.5)
	decision := router.AttemptEnded(start, request, Outcome{Result: ConnectionLost})
	if decision.Verdict != Send || decision.Attempt.Cache != 1 {
		t.Fatalf("no retry: %+v", decision)
	}
	checkCharged(t, router, 1, 1)
}

func TestHedgesAreCharged(t *testing.T) {
	router := newRouterWithStart(t, 1, nil)
	draining := Endpoint{ID: 2, Location: "here", Kind: "cache", Cell: 2, Phase: PhaseDraining}
	router.UpdateEndpoints(start, []Endpoint{draining}, false)
	request := newRequest("harmless", "a")
	router.Decide(start, request)
	router.UpdateEndpoints(start, testEndpoints[1:2], false)
	router.endpoints[1].slowStartFrom, router.endpoints[2].slowStartFrom = start, start
	router.endpoints[1].ejected, router.endpoints[1].nextProbeAt = true, forever
	router.retries.tokens = 3
	decision := router.Decide(start+second, request)
	if decision.Verdict != Send || decision.Attempt.Cache != 2 || request.inFlight != 2 {
		t.Fatalf("no hedge: %+v", decision)
	}
	checkCharged(t, router, 1, 0.5)
	checkCharged(t, router, 2, 0.5)
}

func TestFillsAreChargedToTheParent(t *testing.T) {
	router := newRouterWithStart(t, 3, nil)
	router.UpdateEndpoints(start, []Endpoint{{ID: 4, Location: "hub", Phase: PhaseGone}}, false)
	large := newRequest("harmless", "a")
	large.SizeKB = 5000 // 5 s by its size; the mean of its class counts
	if decision := router.Decide(start, large); decision.Attempt.Source != 3 {
		t.Fatalf("filled from %d", decision.Attempt.Source)
	}
	checkCharged(t, router, 3, 0.5)
}

func TestProbesAreCharged(t *testing.T) {
	router := newRouterWithStart(t, 1, func(s *Settings) { s.HealthChecks = true })
	endpoint := router.endpoints[1]
	for n := range 20 { // until no probe is admitted either
		endpoint.ejected, endpoint.probing, endpoint.nextProbeAt = true, false, start
		router.outliers.watched.add(endpoint) // as after an ejection
		endpoint.lastResponseAt = start
		probe, _ := router.Tick(start)
		if want := n < 4; slices.Contains(probe, 1) != want { // (8 + 3·√8 + 3) / 2 incarnations / 2 routers
			t.Fatalf("probe %d sent: %v", n, !want)
		}
	}
	checkCharged(t, router, 1, 2)
}

func TestSlowStartLimitsOneRouter(t *testing.T) {
	cases := []struct {
		name     string
		endpoint int // index in testEndpoints
		since    int64
		budget   float64 // s; work that this router may send in the window
	}{
		// The mean work is 0.5 s. Half of the limit is left to routers that restart.
		{"a cache that has just started", 0, 0, (8 + 3*math.Sqrt(8) + 3) / 2 / 2 * 0.5},
		{"a cache half warm", 0, 5 * second, (24 + 3*math.Sqrt(24) + 3) / 2 / 2 * 0.5},
		{"a parent that has just started, shared by all routers", 2, 0, (16 + 3*math.Sqrt(16) + 3) / 2 / 4 * 0.5},
		{"a warm cache", 0, 11 * second, math.Inf(1)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			entry := testEndpoints[test.endpoint]
			entry.StartedAt = start
			router.UpdateEndpoints(start, []Endpoint{entry}, false)
			now, sent := start+test.since, 0.
			for i := range 200 {
				request := newRequest("harmless", fmt.Sprint(i))
				decision := router.Decide(now, request)
				if decision.Verdict != Send {
					continue
				}
				if decision.Attempt.Cache == entry.ID || decision.Attempt.Source == entry.ID {
					sent += router.sendingTime(request)
				}
				// It is answered at once, so that only the budget binds.
				router.AttemptEnded(now, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 2})
			}
			if sent > test.budget || sent == 0 || math.IsInf(test.budget, 1) && sent < 10 {
				t.Errorf("sent %v s of work, budget %v", sent, test.budget)
			}
		})
	}
}

// An endpoint that could not be reached has probably restarted, which the list tells only seconds later. When
// it is restored its slow start begins.
func TestUnreachableEndpointsRestartInSlowStart(t *testing.T) {
	for _, test := range []struct {
		name      string
		result    Result
		slowStart bool
	}{{"unreachable", Unreachable, true}, {"only late", TimedOut, false}} {
		t.Run(test.name, func(t *testing.T) {
			router, request := newRouter(t, nil), newRequest("harmless", "a")
			endpoint := router.endpoints[router.Decide(start, request).Attempt.Cache]
			endpoint.ejected = true
			router.AttemptEnded(start, request, Outcome{Result: test.result, RequestEnded: true})
			router.ProbeEnded(start+second, endpoint.ID, true, nil)
			if endpoint.ejected || (endpoint.slowStartFrom == start+second) != test.slowStart {
				t.Errorf("ejected %v, slow start from %v", endpoint.ejected, endpoint.slowStartFrom)
			}
		})
	}
}
