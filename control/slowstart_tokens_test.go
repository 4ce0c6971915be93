package control

import (
	"fmt"
	"testing"

	"tealpath/internal/logevent"
)

// probabilityAbove returns the exact probability of more than the given number of successes in independent trials,
// each of which succeeds with the probability chance.
func probabilityAbove(trials, successes int, chance float64) float64 {
	dist := make([]float64, successes+1) // dist[k] is the probability of k successes in the trials so far
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

// The token rates keep the probability that any endpoint is overloaded on a day below overloadProbability, whatever
// the capacities. This holds even if each of thousands of endpoints starts on that day and all routers spend their
// tokens at the same moment. The rates are not much lower than that allows.
func TestTokenRates(t *testing.T) {
	for _, routers := range []int{6, 24, 350, 900} {
		for _, starts := range []int{1, 256, 4096} {
			for _, n := range []float64{0.1, 0.5, 1, 3, 10, 18, 29, 36, 100, 400} {
				limit := int(ruleLimit(n))
				if limit >= incarnationsPerWindow*routers {
					continue // each router's fixed share is at least one request, so it needs no tokens
				}
				params := tokenParams{
					limit:  ruleLimit(n),
					trials: float64(incarnationsPerWindow * routers),
					starts: float64(starts),
				}
				rate := params.rate(1, 1)
				chance := probabilityAbove(incarnationsPerWindow*routers, limit, rate) * float64(starts)
				if rate <= 0 || rate > 1 || chance > overloadProbability || chance < overloadProbability/1000 {
					t.Errorf("%d routers, %d starts, N %.1f: rate %.4f, probability of an overload %.2g a day, want %g to %g",
						routers, starts, n, rate, chance, overloadProbability/1000, overloadProbability)
				}
				// If the routers spend tokens as soon as they get them, only the tokens of one window are spent within
				// a window. In that case the endpoint may even have less than the assumed capacity.
				const windows = 15
				chance = probabilityAbove(routers, int(ruleLimit(0.6*n)), rate) * float64(starts) * windows
				if chance > overloadProbability {
					t.Errorf("%d routers, %d starts, N %.1f, 0.6 of the capacity: probability of an overload %.2g a day, "+
						"want at most %g", routers, starts, n, chance, overloadProbability)
				}
			}
		}
	}
}

// The token rate for each work is computed as if all requests had that work. A mixture of heavy and light requests at
// these rates must not overload an endpoint more often than overloadProbability allows.
func TestTokensOfHeavyAndLightRequests(t *testing.T) {
	// heavyWork and limit are in units of the work of a light request.
	const routers, starts, heavyWork = 350, 256, 4
	for _, limit := range []int{12, 40, 120} {
		params := tokenParams{limit: float64(limit), trials: incarnationsPerWindow * routers, starts: starts}
		light, heavy := params.rate(1, 1), params.rate(heavyWork, 1)
		for part := 0.; part <= 1; part += 0.125 {
			// dist[w] is the probability that the work of the trials so far is w, and exceeded the probability that it
			// is above the limit.
			dist, exceeded := make([]float64, limit+1), 0.
			dist[0] = 1
			for range incarnationsPerWindow * routers {
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
				t.Errorf("limit %d, %.2f of the requests are light: probability of an overload %.2g a day, want at most %g",
					limit, part, exceeded*starts, overloadProbability)
			}
		}
	}
}

// Routers whose share of an endpoint's capacity is less than one request still use the endpoint, by collecting
// tokens. All routers together stay within what the endpoint can take in every window, even if all of them have
// requests for it at the same time.
func TestSmallSlowStartSharesCollectTokens(t *testing.T) {
	const routers = 300
	window := 2 * second
	for _, test := range []struct {
		name     string
		interval int64 // ns; time between two requests that one router has for the endpoint
		from     int64 // ns from the start of the endpoint to the first request
		factor   int64 // one router in ten has this many times as many requests as each other router
	}{
		{"many requests at all routers", second / 5, 0, 1},
		{"few requests at each router", 5 * second, 0, 1},
		{"ten times the requests at some routers", 5 * second, 0, 10},
		{"requests at all routers begin some time after the start", second / 5, 8 * second, 1},
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
				router.slowStartAdmits(start, endpoint, meanWork) // starts the collection of tokens
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
				t.Errorf("%d attempts in 16 s, want at least 10", len(all))
			}
			for _, first := range all {
				sum := 0.
				for _, sent := range all {
					if sent.at >= first.at && sent.at < first.at+window {
						sum += sent.work
					}
				}
				share := 0.1 + 0.9*float64(first.at-start)/float64(20*second)
				// The endpoint can take factor 2 times its capacity of 20, times share, in a window of 2 s.
				if sustainable := 2 * 20 * share * 2; sum > sustainable {
					t.Fatalf("%.1f s of work within the window from %.1f s after the start on, want at most %.1f s", sum,
						float64(first.at-start)/1e9, sustainable)
				}
			}
		})
	}
}

// While a router cannot have collected a whole token yet, it does not compute the token rate again. This reduces the
// number of attempts by at most 1 in 20, compared with computing the rate for each request.
func TestPostponingRatesCostsFewAttempts(t *testing.T) {
	const routers = 350
	for _, n := range []float64{0.3, 4, 17} {
		t.Run(fmt.Sprintf("N %.1f", n), func(t *testing.T) {
			capacity := n * meanWork / 2 / 0.1 / 2 // N is n at the start: factor 2, share 0.1, window 2 s
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
				t.Errorf("%d requests sent, want at least 19/20 of the %d sent if the rate is always computed",
					sent[true], sent[false])
			}
		})
	}
}

// If computing the token rate is postponed for heavy work, this must not delay lighter work, or work after another
// start of the endpoint.
func TestPostponedWork(t *testing.T) {
	budget := slowStartBudget{tokensFor: start, tokens: 0.5}
	budget.postpone(start, 2*second, 0.1, 1)
	if !budget.isPostponed(start+second, start, 1) || !budget.isPostponed(start+second, start, 2) {
		t.Error("the rate for the same or heavier work is computed again although there cannot be a whole token")
	}
	if budget.isPostponed(start+second, start, 0.9) {
		t.Error("lighter work waits for the token of heavier work")
	}
	if budget.isPostponed(start+second, start+1, 1) {
		t.Error("work waits for a token of an earlier start")
	}
	if budget.isPostponed(start+2*second, start, 1) {
		t.Error("work still waits after one window")
	}
}
