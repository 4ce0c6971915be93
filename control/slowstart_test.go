package control

import (
	"fmt"
	"math"
	"slices"
	"tealpath/internal/logevent"
	"testing"
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
	r := New(start, seed, site(func(s *Settings) { s.Routers = routers }), func(logevent.Event) {})
	entries := slices.Clone(fleet)
	entries[startingID-1].StartedAt, entries[startingID-1].Capacity = start, capacity
	r.UpdateEndpoints(start, entries, true)
	return r
}

// sendAll has a router send as much as it may.
func (s *sharedSlowStart) sendAll(now int64, r *Router) {
	for endpoint := r.endpoints[startingID]; r.slowStartAdmits(now, endpoint, meanWork); {
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
					for _, r := range shared.routers {
						r.slowStartAdmits(start, r.endpoints[startingID], meanWork) // collects tokens from here on
					}
					for now := start + 4*second; now < start+14*second; now += second / 4 {
						for i, r := range shared.routers {
							shared.sendAll(now, r)
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
	for _, c := range []struct {
		name string
		of   func(n int) (seed uint64, now int64, id uint32)
	}{
		{"routers", func(n int) (uint64, int64, uint32) { return uint64(n), start, 3 }},
		{"restarts", func(n int) (uint64, int64, uint32) { return 7, start + int64(n), 3 }},
		{"endpoints", func(n int) (uint64, int64, uint32) { return 7, start, uint32(n) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			const draws, parts = 4000, 20
			var count [parts]int
			for n := range draws {
				seed, now, id := c.of(n)
				r := &Router{seed: seed}
				count[int(r.phase(now, &endpointState{Endpoint: Endpoint{ID: id}})*parts)]++
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

// newRouterWithStart returns a router that lists one endpoint of fleet as started now.
func newRouterWithStart(t *testing.T, id uint32, change func(*Settings)) *Router {
	t.Helper()
	r := newRouter(t, change)
	entry := fleet[id-1]
	entry.StartedAt = start
	r.UpdateEndpoints(start, []Endpoint{entry}, false)
	return r
}

// checkCharged checks how much work, in s, is charged to an endpoint in slow start.
func checkCharged(t *testing.T, r *Router, id uint32, want float64) {
	t.Helper()
	if work := r.endpoints[id].slowStart.work(); math.Abs(work-want) > 1e-9 {
		t.Errorf("%.2f s of work are charged, want %.2f", work, want)
	}
}

func TestRetriesAreCharged(t *testing.T) {
	r := newRouterWithStart(t, 1, nil)
	r.UpdateEndpoints(start, []Endpoint{{ID: 2, Location: "here", Phase: PhaseGone}}, false)
	request := newRequest("harmless", "a")
	r.Decide(start, request)
	checkCharged(t, r, 1, 0.5)
	decision := r.AttemptEnded(start, request, Outcome{Result: ConnectionLost})
	if decision.Verdict != Send || decision.Attempt.Cache != 1 {
		t.Fatalf("no retry: %+v", decision)
	}
	checkCharged(t, r, 1, 1)
}

func TestHedgesAreCharged(t *testing.T) {
	r := newRouterWithStart(t, 1, nil)
	draining := Endpoint{ID: 2, Location: "here", Kind: "cache", Cell: 2, Phase: PhaseDraining}
	r.UpdateEndpoints(start, []Endpoint{draining}, false)
	request := newRequest("harmless", "a")
	r.Decide(start, request)
	r.UpdateEndpoints(start, fleet[1:2], false)
	r.endpoints[1].slowStartFrom, r.endpoints[2].slowStartFrom = start, start
	r.endpoints[1].ejected, r.endpoints[1].nextProbeAt = true, forever
	r.retries.tokens = 3
	decision := r.Decide(start+second, request)
	if decision.Verdict != Send || decision.Attempt.Cache != 2 || request.inFlight != 2 {
		t.Fatalf("no hedge: %+v", decision)
	}
	checkCharged(t, r, 1, 0.5)
	checkCharged(t, r, 2, 0.5)
}

func TestFillsAreChargedToTheParent(t *testing.T) {
	r := newRouterWithStart(t, 3, nil)
	r.UpdateEndpoints(start, []Endpoint{{ID: 4, Location: "hub", Phase: PhaseGone}}, false)
	large := newRequest("harmless", "a")
	large.SizeKB = 5000 // 5 s by its size; the mean of its class counts
	if decision := r.Decide(start, large); decision.Attempt.Source != 3 {
		t.Fatalf("filled from %d", decision.Attempt.Source)
	}
	checkCharged(t, r, 3, 0.5)
}

func TestProbesAreCharged(t *testing.T) {
	r := newRouterWithStart(t, 1, func(s *Settings) { s.HealthChecks = true })
	endpoint := r.endpoints[1]
	for n := range 20 { // until no probe is admitted either
		endpoint.ejected, endpoint.probing, endpoint.nextProbeAt = true, false, start
		r.outliers.watched.add(endpoint) // as after an ejection
		endpoint.lastResponseAt = start
		probe, _ := r.Tick(start)
		if want := n < 4; slices.Contains(probe, 1) != want { // (8 + 3·√8 + 3) / 2 incarnations / 2 routers
			t.Fatalf("probe %d sent: %v", n, !want)
		}
	}
	checkCharged(t, r, 1, 2)
}

func TestSlowStartLimitsOneRouter(t *testing.T) {
	cases := []struct {
		name     string
		endpoint int // index in fleet
		since    int64
		budget   float64 // s; work that this router may send in the window
	}{
		// The mean work is 0.5 s. Half of the limit is left to routers that restart.
		{"a cache that has just started", 0, 0, (8 + 3*math.Sqrt(8) + 3) / 2 / 2 * 0.5},
		{"a cache half warm", 0, 5 * second, (24 + 3*math.Sqrt(24) + 3) / 2 / 2 * 0.5},
		{"a parent that has just started, shared by all routers", 2, 0, (16 + 3*math.Sqrt(16) + 3) / 2 / 4 * 0.5},
		{"a warm cache", 0, 11 * second, math.Inf(1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			entry := fleet[c.endpoint]
			entry.StartedAt = start
			r.UpdateEndpoints(start, []Endpoint{entry}, false)
			now, sent := start+c.since, 0.
			for i := range 200 {
				request := newRequest("harmless", fmt.Sprint(i))
				decision := r.Decide(now, request)
				if decision.Verdict != Send {
					continue
				}
				if decision.Attempt.Cache == entry.ID || decision.Attempt.Source == entry.ID {
					sent += r.sendingTime(request)
				}
				// It is answered at once, so that only the budget binds.
				r.AttemptEnded(now, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 2})
			}
			if sent > c.budget || sent == 0 || math.IsInf(c.budget, 1) && sent < 10 {
				t.Errorf("sent %v s of work, budget %v", sent, c.budget)
			}
		})
	}
}

// An endpoint that could not be reached has probably restarted, which the list tells only seconds later. When
// it is restored its slow start begins.
func TestUnreachableEndpointsRestartInSlowStart(t *testing.T) {
	for _, c := range []struct {
		name      string
		result    Result
		slowStart bool
	}{{"unreachable", Unreachable, true}, {"only late", TimedOut, false}} {
		t.Run(c.name, func(t *testing.T) {
			r, request := newRouter(t, nil), newRequest("harmless", "a")
			endpoint := r.endpoints[r.Decide(start, request).Attempt.Cache]
			endpoint.ejected = true
			r.AttemptEnded(start, request, Outcome{Result: c.result, RequestEnded: true})
			r.ProbeEnded(start+second, endpoint.ID, true, nil)
			if endpoint.ejected || (endpoint.slowStartFrom == start+second) != c.slowStart {
				t.Errorf("ejected %v, slow start from %v", endpoint.ejected, endpoint.slowStartFrom)
			}
		})
	}
}
