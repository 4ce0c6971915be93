package control

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"tealpath/internal/logevent"
)

// ruleLimit returns the number of requests above which an endpoint that can take n is overloaded, according to rule 4
// in docs/design.md.
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
			t.Fatalf("N %.2f: limit %.2f, want it at least %.2f, as for the smaller N, and at most %.2f, as in rule 4, "+
				"but no more than 6.5 below that", n, limit, previous, ruleLimit(n))
		}
		previous = limit
	}
}

// sentWork is the work, in s of sending time, of one request that a router sent to the endpoint in slow start.
type sentWork struct {
	at   int64
	work float64
}

// sharedSlowStart is a set of routers that send to the same endpoint, which has just started.
type sharedSlowStart struct {
	routers []*Router
	sent    []sentWork // work that all routers together have sent to the endpoint
}

const (
	startingID = 3   // ID of the endpoint in slow start, a parent that all routers send to
	meanWork   = 0.5 // s; initial mean sending time of the classes, which is their latency objective
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

// sendAll makes a router send as much work to the endpoint as the slow start admits at the time now.
func (s *sharedSlowStart) sendAll(now int64, router *Router) {
	for endpoint := router.endpoints[startingID]; router.slowStartAdmits(now, endpoint, meanWork); {
		endpoint.charge(now, meanWork)
		s.sent = append(s.sent, sentWork{now, meanWork})
	}
}

// check fails the test if all routers together made more attempts within any window than ruleLimit allows at the end
// of that window.
func (s *sharedSlowStart) check(t *testing.T, capacity float64) {
	t.Helper()
	slices.SortFunc(s.sent, func(a, b sentWork) int { return int(a.at - b.at) })
	first := 0
	for last, sent := range s.sent {
		for s.sent[first].at <= sent.at-2*second {
			first++
		}
		// The factor is 2, the share grows from 0.1 to 1 within 20 s, and the window is 2 s.
		n := 2 * capacity * (0.1 + 0.9*float64(sent.at-start)/float64(20*second)) * 2 / meanWork
		if count := float64(last - first + 1); count > ruleLimit(n) {
			t.Fatalf("%.0f requests within the window that ends %.1f s after the start, N is %.2f, limit %.2f", count,
				float64(sent.at-start)/1e9, n, ruleLimit(n))
		}
	}
}

// All routers together stay within rule 4 if each sends as much as it may at the same moment and continues to do
// so. This holds for any number of routers and any capacity of the endpoint, and also if nine in ten routers
// restart within the window and do not know what they sent.
func TestSlowStartLimitsAllRoutersTogether(t *testing.T) {
	for _, routers := range []int{1, 6, 24, 350, 900} {
		for _, n := range []float64{0.3, 1, 4, 17, 29, 150} {
			for _, restart := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d routers, N %.1f, restart %v", routers, n, restart), func(t *testing.T) {
					t.Parallel()
					capacity := n * meanWork / 2 / 0.1 / 2 // N is n at the start: factor 2, share 0.1, window 2 s
					shared := newSharedSlowStart(t, routers, capacity)
					for _, router := range shared.routers {
						// The first call starts the collection of tokens.
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
						t.Error("no request was sent within 10 s")
					}
				})
			}
		}
	}
}

// If the initial fractions of a token were not distributed uniformly over routers, endpoints and restarts, many
// routers would get a whole token at the same time.
func TestInitialTokensAreUniform(t *testing.T) {
	for _, test := range []struct {
		name string
		of   func(n int) (seed uint64, now int64, id uint32) // arguments of draw n
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
				count[int(router.initialTokens(now, &endpointState{Endpoint: Endpoint{ID: id}})*parts)]++
			}
			for part, n := range count {
				// The bounds are a third of the mean below and above it, which is about five standard deviations.
				if mean := draws / parts; n < mean*2/3 || n > mean*4/3 {
					t.Errorf("interval %d of %d has %d of %d values, want %d to %d",
						part, parts, n, draws, mean*2/3, mean*4/3)
				}
			}
		})
	}
}

// The next tests check that retries, hedges, fills and probes are charged to the slow start like first attempts: with
// the mean sending time of their class, whatever the size of the response.

// newRouterWithStart returns a router with testEndpoints, of which the endpoint with the given ID has just started.
func newRouterWithStart(t *testing.T, id uint32, change func(*Settings)) *Router {
	t.Helper()
	router := newRouter(t, change)
	entry := testEndpoints[id-1]
	entry.StartedAt = start
	router.UpdateEndpoints(start, []Endpoint{entry}, false)
	return router
}

// checkCharged fails the test unless the work charged to an endpoint in slow start is want, in s of sending time.
func checkCharged(t *testing.T, router *Router, id uint32, want float64) {
	t.Helper()
	if work := router.endpoints[id].slowStart.work(); math.Abs(work-want) > 1e-9 {
		t.Errorf("%.2f s of work are charged to endpoint %d, want %.2f s", work, id, want)
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
		t.Fatalf("decision %+v, want a retry at cache 1", decision)
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
		t.Fatalf("decision %+v with %d attempts in flight, want a hedge at cache 2, the second attempt in flight",
			decision, request.inFlight)
	}
	checkCharged(t, router, 1, 0.5)
	checkCharged(t, router, 2, 0.5)
}

func TestFillsAreChargedToTheParent(t *testing.T) {
	router := newRouterWithStart(t, 3, nil)
	router.UpdateEndpoints(start, []Endpoint{{ID: 4, Location: "hub", Phase: PhaseGone}}, false)
	large := newRequest("harmless", "a")
	large.SizeKB = 5000 // takes 5 s to send, but only the mean sending time of its class counts
	if decision := router.Decide(start, large); decision.Attempt.Source != 3 {
		t.Fatalf("filled from %d, want 3", decision.Attempt.Source)
	}
	checkCharged(t, router, 3, 0.5)
}

func TestProbesAreCharged(t *testing.T) {
	router := newRouterWithStart(t, 1, func(s *Settings) { s.HealthChecks = true })
	endpoint := router.endpoints[1]
	for n := range 20 { // until the slow start does not admit any more probes
		endpoint.ejected, endpoint.probing, endpoint.nextProbeAt = true, false, start
		router.outliers.watched.add(endpoint) // Tick checks only watched endpoints
		endpoint.lastResponseAt = start
		probe, _ := router.Tick(start)
		// The limit of 19.5 probes is shared by 2 incarnations of each of 2 routers, which leaves 4 whole probes each.
		if want := n < 4; slices.Contains(probe, 1) != want {
			t.Fatalf("probe %d sent: %v, want %v", n, !want, want)
		}
	}
	checkCharged(t, router, 1, 2)
}

func TestSlowStartLimitsOneRouter(t *testing.T) {
	cases := []struct {
		name     string
		endpoint int     // index of the starting endpoint in testEndpoints
		since    int64   // ns from the start of the endpoint to the requests
		budget   float64 // s of sending time that this router may send within the window
	}{
		// The limit, in requests, is divided by 2 for routers that restart and by the number of routers. The mean
		// work of a request is 0.5 s.
		{"a cache that has just started", 0, 0, (8 + 3*math.Sqrt(8) + 3) / 2 / 2 * 0.5},
		{"a cache halfway through its warm-up", 0, 5 * second, (24 + 3*math.Sqrt(24) + 3) / 2 / 2 * 0.5},
		{"a parent that has just started, used by all routers", 2, 0, (16 + 3*math.Sqrt(16) + 3) / 2 / 4 * 0.5},
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
				// The response comes immediately, so that only the slow start limits the work.
				router.AttemptEnded(now, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 2})
			}
			if sent > test.budget || sent == 0 || math.IsInf(test.budget, 1) && sent < 10 {
				t.Errorf("sent %v s of work, want more than 0 s and at most %v s (at least 10 s if unlimited)",
					sent, test.budget)
			}
		})
	}
}

// An endpoint that was unreachable has probably restarted, which the endpoint list shows only seconds later. When
// it is restored, its slow start begins.
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
				t.Errorf("ejected %v, want false; slow start from %d, want it from %d: %v",
					endpoint.ejected, endpoint.slowStartFrom, start+second, test.slowStart)
			}
		})
	}
}
