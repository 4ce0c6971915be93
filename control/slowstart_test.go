package control

import (
	"fmt"
	"math"
	"slices"
	"tealpath/internal/logevent"
	"testing"
)

// falls is the rule's bound, as the platform's page words it.
func ruleLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

func TestOverloadLimitIsNoHigherThanTheRule(t *testing.T) {
	last := 0.
	for n := 0.01; n < 5000; n *= 1.001 {
		limit := overloadLimit(n)
		if limit > ruleLimit(n)+1e-9 || limit < last || limit < ruleLimit(n)-6.5 {
			t.Fatalf("N %.2f: limit %.2f after %.2f, the rule says %.2f", n, limit, last, ruleLimit(n))
		}
		last = limit
	}
}

// moreThan is the chance of more successes than so many in independent trials, added up term by term.
func moreThan(trials, most int, chance float64) float64 {
	dist := make([]float64, most+1) // of the successes so far; the last trials' more than most are lost from it
	dist[0] = 1
	lost := 0.
	for range trials {
		lost += dist[most] * chance
		for k := most; k > 0; k-- {
			dist[k] = dist[k]*(1-chance) + dist[k-1]*chance
		}
		dist[0] *= 1 - chance
	}
	return lost
}

// The rates of tokens, for all that a member may bear, break the rule in under a day of a thousand, also where
// each of 3,200 members starts in the day and all routers spend in one instant what they have collected; and
// not by far.
func TestTokenRates(t *testing.T) {
	for _, routers := range []int{6, 24, 350, 900} {
		for _, starts := range []int{1, 256, 4096} {
			for _, n := range []float64{0.1, 0.5, 1, 3, 10, 18, 29, 36, 100, 400} {
				bears := int(ruleLimit(n))
				if bears >= incarnations*routers {
					continue // whole shares
				}
				rate := tokenTerms{limit: ruleLimit(n), trials: float64(incarnations * routers), starts: float64(starts)}.rate(1, 1)
				chance := moreThan(incarnations*routers, bears, rate) * float64(starts)
				if rate <= 0 || rate > 1 || chance > overloadProbability || chance < overloadProbability/1000 {
					t.Errorf("%d routers, %d starts, N %.1f: rate %.4f, broken on %.2g of all days", routers, starts, n, rate, chance)
				}
				// Asked all the time a window sees one window's tokens; then the member may also be smaller
				// than it seems.
				const windows = 15
				if chance := moreThan(routers, int(ruleLimit(0.6*n)), rate) * float64(starts) * windows; chance > overloadProbability {
					t.Errorf("%d routers, %d starts, N %.1f: with 0.6 of the size broken on %.2g of all days", routers, starts, n, chance)
				}
			}
		}
	}
}

// Tokens of heavy and light classes together break it no more often: each costs what its class's rate says.
func TestTokensOfUnequalClasses(t *testing.T) {
	const routers, starts, step = 350, 256, 4 // light requests weigh 1, heavy ones step; the bound is in light ones
	for _, bound := range []int{12, 40, 120} {
		terms := tokenTerms{limit: float64(bound), trials: incarnations * routers, starts: starts}
		light, heavy := terms.rate(1, 1), terms.rate(step, 1)
		for part := 0.; part <= 1; part += 0.125 {
			dist, broken := make([]float64, bound+1), 0.
			dist[0] = 1
			for range incarnations * routers {
				next := make([]float64, bound+1)
				for sum, p := range dist {
					for _, way := range []struct {
						weight int
						chance float64
					}{{0, 1 - light*part - heavy*(1-part)}, {1, light * part}, {step, heavy * (1 - part)}} {
						if sum+way.weight > bound {
							broken += p * way.chance
						} else {
							next[sum+way.weight] += p * way.chance
						}
					}
				}
				dist = next
			}
			if broken*starts > overloadProbability {
				t.Errorf("bound %d, %.2f of what is asked for is light: broken on %.2g of all days", bound, part, broken*starts)
			}
		}
	}
}

// sentAt is one attempt to the recovering member.
type sentAt struct {
	at   int64
	work float64
}

// recovering is a set of routers that share one member just started.
type recovering struct {
	routers []*Router
	sent    []sentAt
}

const (
	recoveringID = 3   // a parent, shared by all
	meanWork     = 0.5 // seconds: the classes' due time, before any answer
)

func newRecovering(t *testing.T, routers int, size float64) *recovering {
	t.Helper()
	set := &recovering{}
	for n := range routers {
		set.routers = append(set.routers, set.router(t, uint64(n), routers, size))
	}
	return set
}

func (s *recovering) router(t *testing.T, seed uint64, routers int, size float64) *Router {
	t.Helper()
	r, err := New(start, seed, site(Settings{"routers": int64(routers)}), func(logevent.Event) {})
	if err != nil {
		t.Fatal(err)
	}
	lines := slices.Clone(fleet)
	lines[recoveringID-1].StartedAt, lines[recoveringID-1].Capacity = start, size
	r.UpdateEndpoints(start, lines, true)
	return r
}

// ask has a router send all that it may.
func (s *recovering) ask(now int64, r *Router) {
	for endpoint := r.endpoints[recoveringID]; r.slowStartAdmits(now, endpoint, meanWork); {
		endpoint.charge(now, meanWork)
		s.sent = append(s.sent, sentAt{now, meanWork})
	}
}

// check compares each window with what the rule allows at its end.
func (s *recovering) check(t *testing.T, size float64) {
	t.Helper()
	slices.SortFunc(s.sent, func(a, b sentAt) int { return int(a.at - b.at) })
	first := 0
	for last, at := range s.sent {
		for s.sent[first].at <= at.at-2*second {
			first++
		}
		n := 2 * size * (0.1 + 0.9*float64(at.at-start)/float64(20*second)) * 2 / meanWork
		if in := float64(last - first + 1); in > ruleLimit(n) {
			t.Fatalf("%.0f requests within a window %.1f s after the start, N is %.2f and it falls above %.2f", in,
				float64(at.at-start)/1e9, n, ruleLimit(n))
		}
	}
}

// Routers that spend all they may in one instant, and go on, keep within the rule together, few or many,
// whatever the member bears; so they do if nine in ten restart within the window and have forgotten.
func TestSlowStartByTheSumOfAllRouters(t *testing.T) {
	for _, routers := range []int{1, 6, 24, 350, 900} {
		for _, n := range []float64{0.3, 1, 4, 17, 29, 150} {
			for _, restart := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d routers, N %.1f, restart %v", routers, n, restart), func(t *testing.T) {
					t.Parallel()
					size := n * meanWork / 2 / 0.1 / 2 // of which a tenth is there at the start
					all := newRecovering(t, routers, size)
					for _, r := range all.routers {
						r.slowStartAdmits(start, r.endpoints[recoveringID], meanWork) // collects from here on
					}
					for now := start + 4*second; now < start+14*second; now += second / 4 {
						for i, r := range all.routers {
							all.ask(now, r)
							if restart && now == start+5*second && i%10 > 0 {
								all.routers[i] = all.router(t, uint64(routers+i), routers, size)
							}
						}
					}
					all.check(t, size)
					if len(all.sent) == 0 && n >= 1 {
						t.Error("nothing was sent in ten seconds")
					}
				})
			}
		}
	}
}

// Phases are spread evenly over routers, members and restarts.
func TestPhases(t *testing.T) {
	for _, c := range []struct {
		name string
		of   func(n int) (seed uint64, now int64, id uint32)
	}{
		{"routers", func(n int) (uint64, int64, uint32) { return uint64(n), start, 3 }},
		{"restarts", func(n int) (uint64, int64, uint32) { return 7, start + int64(n), 3 }},
		{"members", func(n int) (uint64, int64, uint32) { return 7, start, uint32(n) }},
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
				if mean := draws / parts; n < mean*2/3 || n > mean*4/3 { // five deviations
					t.Errorf("part %d of %d has %d of %d", part, parts, n, draws)
				}
			}
		})
	}
}

// What is not a first attempt counts as well, by its class's mean, whatever the size of its object.
func TestAttemptsOfAllKindsCount(t *testing.T) {
	cold := func(t *testing.T, id uint32, change Settings) *Router {
		r := newRouter(t, change)
		line := fleet[id-1]
		line.StartedAt = start
		r.UpdateEndpoints(start, []Endpoint{line}, false)
		return r
	}
	wants := func(t *testing.T, r *Router, id uint32, want float64) {
		t.Helper()
		if work := r.endpoints[id].slowStart.work(); math.Abs(work-want) > 1e-9 {
			t.Errorf("%.2f s of work counted, not %.2f", work, want)
		}
	}
	onlyCache := Endpoint{ID: 2, Location: "here", Phase: "gone"}
	t.Run("a retry", func(t *testing.T) {
		r := cold(t, 1, nil)
		r.UpdateEndpoints(start, []Endpoint{onlyCache}, false)
		request := ask("harmless", "a")
		r.Decide(start, request)
		wants(t, r, 1, 0.5)
		if decision := r.AttemptEnded(start, request, Outcome{Result: ConnectionLost}); decision.Verdict != Send || decision.Attempt.Cache != 1 {
			t.Fatalf("not sent again: %+v", decision)
		}
		wants(t, r, 1, 1)
	})
	t.Run("a hedge", func(t *testing.T) {
		r := cold(t, 1, nil)
		r.UpdateEndpoints(start, []Endpoint{{ID: 2, Location: "here", Kind: "cache", Cell: 2, Phase: "draining"}}, false)
		request := ask("harmless", "a")
		r.Decide(start, request)
		r.UpdateEndpoints(start, fleet[1:2], false)
		r.endpoints[1].slowStartFrom, r.endpoints[2].slowStartFrom = start, start
		r.endpoints[1].ejected, r.endpoints[1].nextProbeAt = true, forever
		r.retries.tokens = 3
		if decision := r.Decide(start+second, request); decision.Verdict != Send || decision.Attempt.Cache != 2 || request.inFlight != 2 {
			t.Fatalf("no second attempt beside the first: %+v", decision)
		}
		wants(t, r, 1, 0.5)
		wants(t, r, 2, 0.5)
	})
	t.Run("a fill through a parent", func(t *testing.T) {
		r := cold(t, 3, nil)
		r.UpdateEndpoints(start, []Endpoint{{ID: 4, Location: "hub", Phase: "gone"}}, false)
		large := ask("harmless", "a")
		large.SizeKB = 5000 // five seconds by itself; its class's mean counts
		if decision := r.Decide(start, large); decision.Attempt.Source != 3 {
			t.Fatalf("filled from %d", decision.Attempt.Source)
		}
		wants(t, r, 3, 0.5)
	})
	t.Run("a probe", func(t *testing.T) {
		r := cold(t, 1, Settings{"probe": true})
		endpoint := r.endpoints[1]
		for n := range 20 { // until nothing is left for probes either
			endpoint.ejected, endpoint.probing, endpoint.nextProbeAt = true, false, start
			r.outliers.watched.add(endpoint) // as check has it
			endpoint.lastResponseAt = start
			probe, _ := r.Tick(start)
			if want := n < 4; slices.Contains(probe, 1) != want { // (8 + 3·√8 + 3) / 2 incarnations / 2 routers
				t.Fatalf("probe %d sent: %v", n, !want)
			}
		}
		wants(t, r, 1, 2)
	})
}

func TestSlowStartLimits(t *testing.T) {
	cases := []struct {
		name   string
		cold   int // place in the fleet
		since  int64
		budget float64 // seconds of sending time this router may send in the window
	}{
		// Half a second of mean work; half of what makes it fall is left to routers that restart.
		{"a cache just started", 0, 0, (8 + 3*math.Sqrt(8) + 3) / 2 / 2 * 0.5},
		{"a cache half warm", 0, 5 * second, (24 + 3*math.Sqrt(24) + 3) / 2 / 2 * 0.5},
		{"a parent just started, shared by all routers", 2, 0, (16 + 3*math.Sqrt(16) + 3) / 2 / 4 * 0.5},
		{"a warm cache", 0, 11 * second, math.Inf(1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			line := fleet[c.cold]
			line.StartedAt = start
			r.UpdateEndpoints(start, []Endpoint{line}, false)
			now, spent := start+c.since, 0.
			for i := range 200 {
				request := ask("harmless", fmt.Sprint(i))
				decision := r.Decide(now, request)
				if decision.Verdict == Send && (decision.Attempt.Cache == line.ID || decision.Attempt.Source == line.ID) {
					spent += r.sendingTime(request)
				}
				if decision.Verdict == Send { // a hit answered at once, so that only the budget binds
					r.AttemptEnded(now, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 2})
				}
			}
			if spent > c.budget || spent == 0 || math.IsInf(c.budget, 1) && spent < 10 {
				t.Errorf("sent %v s of work, budget %v", spent, c.budget)
			}
		})
	}
}

// A share of a cold budget below one dispatch was used by no router: of 15 parents nine came back cold and
// stood idle. Saved up, it is used, and all routers together keep within what the member bears in every window,
// also where all want it in the same moment.
func TestSmallSlowStartSharesCollectTokens(t *testing.T) {
	const routers = 300
	window := 2 * second
	for _, c := range []struct {
		name string
		each int64 // between two retrievals of a router for the member
		from int64 // after its start
		some int64 // one router in ten asks so many times as often
	}{
		{"all ask all the time", second / 5, 0, 1},
		{"a thin slice", 5 * second, 0, 1},
		{"some see ten times the mean", 5 * second, 0, 10},
		{"all at once after a while", second / 5, 8 * second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			type sending struct {
				at     int64
				amount float64
			}
			var all []sending
			for n := range routers {
				r, err := New(start, uint64(n), site(Settings{"routers": int64(routers)}), func(logevent.Event) {})
				if err != nil {
					t.Fatal(err)
				}
				line := fleet[2]
				line.StartedAt = start
				r.UpdateEndpoints(start, append([]Endpoint{line}, fleet[3:]...), true)
				r.UpdateEndpoints(start, fleet[:2], false)
				r.slowStartAdmits(start, r.endpoints[3], 0.5) // it has been looked at since its start
				each := c.each
				if n%10 == 0 {
					each /= c.some
				}
				for now := start + c.from + int64(n)*each/routers; now < start+16*second; now += each {
					if amount := 0.5; r.slowStartAdmits(now, r.endpoints[3], amount) {
						all = append(all, sending{now, amount})
						r.endpoints[3].charge(now, amount)
					}
				}
			}
			if len(all) < 10 {
				t.Errorf("%d dispatches in 16 s", len(all))
			}
			for _, first := range all {
				sum := 0.
				for _, s := range all {
					if s.at >= first.at && s.at < first.at+window {
						sum += s.amount
					}
				}
				share := 0.1 + 0.9*float64(first.at-start)/float64(20*second)
				if bears := 2 * 20 * share * 2; sum > bears {
					t.Fatalf("%.1f s of work within a window %.1f s after the start, it bears %.1f", sum, float64(first.at-start)/1e9, bears)
				}
			}
		})
	}
}

func TestUnreachableEndpointsComeBackCold(t *testing.T) {
	// The list tells a restart seconds late: until then what could not be reached counts as just started.
	for _, c := range []struct {
		name   string
		result Result
		cold   bool
	}{{"unreached", Unreachable, true}, {"only late", TimedOut, false}} {
		t.Run(c.name, func(t *testing.T) {
			r, request := newRouter(t, nil), ask("harmless", "a")
			endpoint := r.endpoints[r.Decide(start, request).Attempt.Cache]
			endpoint.ejected = true
			r.AttemptEnded(start, request, Outcome{Result: c.result, RequestEnded: true})
			r.ProbeEnded(start+second, endpoint.ID, true, nil)
			if endpoint.ejected || (endpoint.slowStartFrom == start+second) != c.cold {
				t.Errorf("suspect %v, cold from %v", endpoint.ejected, endpoint.slowStartFrom)
			}
		})
	}
}

// Rates that are not worked out again while there can't be a token cost next to nothing of what may be sent:
// all but a twentieth of what goes out where they are worked out at every request.
func TestPostponedRatesCostLittle(t *testing.T) {
	const routers = 350
	for _, n := range []float64{0.3, 4, 17} {
		t.Run(fmt.Sprintf("N %.1f", n), func(t *testing.T) {
			size := n * meanWork / 2 / 0.1 / 2
			sent := map[bool]int{}
			for _, postpones := range []bool{true, false} {
				all := newRecovering(t, routers, size)
				for now := start; now < start+20*second; now += second / 20 {
					for _, r := range all.routers {
						if !postpones {
							r.endpoints[recoveringID].slowStart.retryAt = 0
						}
						all.ask(now, r)
					}
				}
				all.check(t, size)
				sent[postpones] = len(all.sent)
			}
			if sent[true] < sent[false]*19/20 || sent[false] == 0 {
				t.Errorf("%d requests sent, %d where rates are always worked out", sent[true], sent[false])
			}
		})
	}
}

// Work waits for a token no longer than heavier work does, and not for the token of an earlier start.
func TestPostponedWork(t *testing.T) {
	budget := slowStartBudget{tokensFor: start, tokens: 0.5}
	budget.postpone(start, 2*second, 0.1, 1)
	if !budget.isPostponed(start+second, start, 1) || !budget.isPostponed(start+second, start, 2) {
		t.Error("rates are worked out again though there can't be a token")
	}
	if budget.isPostponed(start+second, start, 0.9) {
		t.Error("lighter work waits for the token of heavier work")
	}
	if budget.isPostponed(start+second, start+1, 1) {
		t.Error("an endpoint that started again waits for what it bore before")
	}
	if budget.isPostponed(start+2*second, start, 1) {
		t.Error("it waits for more than a window")
	}
}
