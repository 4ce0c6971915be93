package control

import (
	"fmt"
	"testing"

	"tealpath/internal/logevent"
)

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
					t.Errorf("%d routers, %d starts, N %.1f: rate %.4f, overload on %.2g of all days",
						routers, starts, n, rate, chance)
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
			// probabilities of so much work so far; of more than the limit
			dist, exceeded := make([]float64, limit+1), 0.
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
				t.Errorf("limit %d, %.2f of the requests are light: overload on %.2g of all days",
					limit, part, exceeded*starts)
			}
		}
	}
}

// Routers whose share of an endpoint's capacity is below one request still use it, by tokens. All routers
// together keep within what the endpoint can take in every window, also if all have requests for it at the same
// time.
func TestSmallSlowStartSharesCollectTokens(t *testing.T) {
	const routers = 300
	window := 2 * second
	for _, test := range []struct {
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
		t.Run(test.name, func(t *testing.T) {
			var all []sentWork
			for n := range routers {
				settings := testSettings(func(s *Settings) { s.Routers = routers })
				router := New(start, uint64(n), settings, func(logevent.Event) {})
				entry := testEndpoints[2]
				entry.StartedAt = start
				router.UpdateEndpoints(start, append([]Endpoint{entry}, testEndpoints[3:]...), true)
				router.UpdateEndpoints(start, testEndpoints[:2], false)
				endpoint := router.endpoints[startingID]
				router.slowStartAdmits(start, endpoint, meanWork) // collects tokens from here on
				interval := test.interval
				if n%10 == 0 {
					interval /= test.factor
				}
				for now := start + test.from + int64(n)*interval/routers; now < start+16*second; now += interval {
					if router.slowStartAdmits(now, endpoint, meanWork) {
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
					for _, router := range shared.routers {
						if !postpones {
							router.endpoints[startingID].slowStart.retryAt = 0
						}
						shared.sendAll(now, router)
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
