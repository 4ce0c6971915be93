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

// moreThan returns the probability of more than so many successes in independent trials, added up term by term.
func moreThan(trials, successes int, chance float64) float64 {
	dist := make([]float64, successes+1) // probabilities of so many successes so far
	dist[0] = 1
	exceeded := 0.
	for range trials {
		exceeded += dist[successes] * chance
		for k := successes; k > 0; k-- {
			dist[k] = dist[k]*(1-chance) + dist[k-1]*chance
		}
		dist[0] *= 1 - chance
	}
	return exceeded
}

// At the rates of tokens an endpoint is overloaded on less than one day in a thousand, whatever its capacity,
// also if each of thousands of endpoints starts on that day and all routers spend in one instant what they have
// collected. The rates are not much lower than that allows.
func TestTokenRates(t *testing.T) {
	for _, routers := range []int{6, 24, 350, 900} {
		for _, starts := range []int{1, 256, 4096} {
			for _, n := range []float64{0.1, 0.5, 1, 3, 10, 18, 29, 36, 100, 400} {
				limit := int(ruleLimit(n))
				if limit >= incarnations*routers {
					continue // fixed shares suffice
				}
				terms := tokenTerms{
					limit:  ruleLimit(n),
					trials: float64(incarnations * routers),
					starts: float64(starts),
				}
				rate := terms.rate(1, 1)
				chance := moreThan(incarnations*routers, limit, rate) * float64(starts)
				if rate <= 0 || rate > 1 || chance > overloadProbability || chance < overloadProbability/1000 {
					t.Errorf("%d routers, %d starts, N %.1f: rate %.4f, overload on %.2g of all days", routers, starts, n, rate, chance)
				}
				// If the routers use tokens as they come, a window sees those of one window. Then the endpoint
				// may even be smaller than it seems.
				const windows = 15
				chance = moreThan(routers, int(ruleLimit(0.6*n)), rate) * float64(starts) * windows
				if chance > overloadProbability {
					t.Errorf("%d routers, %d starts, N %.1f: with 0.6 of the capacity, overload on %.2g of all days",
						routers, starts, n, chance)
				}
			}
		}
	}
}

// A mixture of heavy and light requests, each at the rate of tokens for its work, overloads an endpoint no more
// often.
func TestTokensOfHeavyAndLightRequests(t *testing.T) {
	const routers, starts, heavyWork = 350, 256, 4 // the work of a light request is 1, and the unit of the limit
	for _, limit := range []int{12, 40, 120} {
		terms := tokenTerms{limit: float64(limit), trials: incarnations * routers, starts: starts}
		light, heavy := terms.rate(1, 1), terms.rate(heavyWork, 1)
		for part := 0.; part <= 1; part += 0.125 {
			dist, exceeded := make([]float64, limit+1), 0. // probabilities of so much work so far; of more than the limit
			dist[0] = 1
			for range incarnations * routers {
				next := make([]float64, limit+1)
				for sum, probability := range dist {
					for _, trial := range []struct {
						work   int
						chance float64
					}{{0, 1 - light*part - heavy*(1-part)}, {1, light * part}, {heavyWork, heavy * (1 - part)}} {
						if sum+trial.work > limit {
							exceeded += probability * trial.chance
						} else {
							next[sum+trial.work] += probability * trial.chance
						}
					}
				}
				dist = next
			}
			if exceeded*starts > overloadProbability {
				t.Errorf("limit %d, %.2f of the requests are light: overload on %.2g of all days", limit, part, exceeded*starts)
			}
		}
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

// Retries, hedges, fills and probes count like first attempts: by the mean of their class, whatever the size of
// the answer.
func TestAttemptsOfAllKindsAreCharged(t *testing.T) {
	newRouterWithStart := func(t *testing.T, id uint32, change func(*Settings)) *Router {
		r := newRouter(t, change)
		entry := fleet[id-1]
		entry.StartedAt = start
		r.UpdateEndpoints(start, []Endpoint{entry}, false)
		return r
	}
	checkWork := func(t *testing.T, r *Router, id uint32, want float64) {
		t.Helper()
		if work := r.endpoints[id].slowStart.work(); math.Abs(work-want) > 1e-9 {
			t.Errorf("%.2f s of work are charged, want %.2f", work, want)
		}
	}
	otherCacheGone := Endpoint{ID: 2, Location: "here", Phase: "gone"}
	t.Run("a retry", func(t *testing.T) {
		r := newRouterWithStart(t, 1, nil)
		r.UpdateEndpoints(start, []Endpoint{otherCacheGone}, false)
		request := newRequest("harmless", "a")
		r.Decide(start, request)
		checkWork(t, r, 1, 0.5)
		if decision := r.AttemptEnded(start, request, Outcome{Result: ConnectionLost}); decision.Verdict != Send || decision.Attempt.Cache != 1 {
			t.Fatalf("no retry: %+v", decision)
		}
		checkWork(t, r, 1, 1)
	})
	t.Run("a hedge", func(t *testing.T) {
		r := newRouterWithStart(t, 1, nil)
		r.UpdateEndpoints(start, []Endpoint{{ID: 2, Location: "here", Kind: "cache", Cell: 2, Phase: "draining"}}, false)
		request := newRequest("harmless", "a")
		r.Decide(start, request)
		r.UpdateEndpoints(start, fleet[1:2], false)
		r.endpoints[1].slowStartFrom, r.endpoints[2].slowStartFrom = start, start
		r.endpoints[1].ejected, r.endpoints[1].nextProbeAt = true, forever
		r.retries.tokens = 3
		if decision := r.Decide(start+second, request); decision.Verdict != Send || decision.Attempt.Cache != 2 || request.inFlight != 2 {
			t.Fatalf("no hedge: %+v", decision)
		}
		checkWork(t, r, 1, 0.5)
		checkWork(t, r, 2, 0.5)
	})
	t.Run("a fill through a parent", func(t *testing.T) {
		r := newRouterWithStart(t, 3, nil)
		r.UpdateEndpoints(start, []Endpoint{{ID: 4, Location: "hub", Phase: "gone"}}, false)
		large := newRequest("harmless", "a")
		large.SizeKB = 5000 // 5 s by its size; the mean of its class counts
		if decision := r.Decide(start, large); decision.Attempt.Source != 3 {
			t.Fatalf("filled from %d", decision.Attempt.Source)
		}
		checkWork(t, r, 3, 0.5)
	})
	t.Run("a probe", func(t *testing.T) {
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
		checkWork(t, r, 1, 2)
	})
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

// Routers whose share of an endpoint's capacity is below one request still use it, by tokens. All routers
// together keep within what the endpoint can take in every window, also if all have requests for it at the same
// time.
func TestSmallSlowStartSharesCollectTokens(t *testing.T) {
	const routers = 300
	window := 2 * second
	for _, c := range []struct {
		name     string
		interval int64 // between two requests of a router for the endpoint
		from     int64 // after its start
		factor   int64 // one router in ten has so many times the requests
	}{
		{"many requests at all routers", second / 5, 0, 1},
		{"few requests at each router", 5 * second, 0, 1},
		{"ten times the requests at some routers", 5 * second, 0, 10},
		{"all at once after a while", second / 5, 8 * second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var all []sentWork
			for n := range routers {
				r := New(start, uint64(n), site(func(s *Settings) { s.Routers = routers }), func(logevent.Event) {})
				entry := fleet[2]
				entry.StartedAt = start
				r.UpdateEndpoints(start, append([]Endpoint{entry}, fleet[3:]...), true)
				r.UpdateEndpoints(start, fleet[:2], false)
				endpoint := r.endpoints[startingID]
				r.slowStartAdmits(start, endpoint, meanWork) // collects tokens from here on
				interval := c.interval
				if n%10 == 0 {
					interval /= c.factor
				}
				for now := start + c.from + int64(n)*interval/routers; now < start+16*second; now += interval {
					if r.slowStartAdmits(now, endpoint, meanWork) {
						all = append(all, sentWork{now, meanWork})
						endpoint.charge(now, meanWork)
					}
				}
			}
			if len(all) < 10 {
				t.Errorf("%d attempts in 16 s", len(all))
			}
			for _, first := range all {
				sum := 0.
				for _, sent := range all {
					if sent.at >= first.at && sent.at < first.at+window {
						sum += sent.work
					}
				}
				share := 0.1 + 0.9*float64(first.at-start)/float64(20*second)
				if sustainable := 2 * 20 * share * 2; sum > sustainable {
					t.Fatalf("%.1f s of work within a window %.1f s after the start, it can take %.1f", sum,
						float64(first.at-start)/1e9, sustainable)
				}
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

// While there cannot be a whole token the rate is not computed again. At least 19 in 20 of the attempts are
// made nevertheless that there are if it is computed for each request.
func TestPostponedRatesCostLittle(t *testing.T) {
	const routers = 350
	for _, n := range []float64{0.3, 4, 17} {
		t.Run(fmt.Sprintf("N %.1f", n), func(t *testing.T) {
			capacity := n * meanWork / 2 / 0.1 / 2
			sent := map[bool]int{}
			for _, postpones := range []bool{true, false} {
				shared := newSharedSlowStart(t, routers, capacity)
				for now := start; now < start+20*second; now += second / 20 {
					for _, r := range shared.routers {
						if !postpones {
							r.endpoints[startingID].slowStart.retryAt = 0
						}
						shared.sendAll(now, r)
					}
				}
				shared.check(t, capacity)
				sent[postpones] = len(shared.sent)
			}
			if sent[true] < sent[false]*19/20 || sent[false] == 0 {
				t.Errorf("%d requests sent, %d where the rate is always computed", sent[true], sent[false])
			}
		})
	}
}

// Work does not wait for the token of heavier work, nor for that of an earlier start of the endpoint.
func TestPostponedWork(t *testing.T) {
	budget := slowStartBudget{tokensFor: start, tokens: 0.5}
	budget.postpone(start, 2*second, 0.1, 1)
	if !budget.isPostponed(start+second, start, 1) || !budget.isPostponed(start+second, start, 2) {
		t.Error("the rate is computed again though there cannot be a token")
	}
	if budget.isPostponed(start+second, start, 0.9) {
		t.Error("lighter work waits for the token of heavier work")
	}
	if budget.isPostponed(start+second, start+1, 1) {
		t.Error("work waits for the token of an earlier start")
	}
	if budget.isPostponed(start+2*second, start, 1) {
		t.Error("work waits for more than a window")
	}
}
