package control

import (
	"fmt"
	"math"
	"testing"
)

func TestAcceptedAge(t *testing.T) {
	cases := []struct {
		name   string
		count  float64 // own requests in the window
		purges float64
		fresh  int64
		born   int64 // seconds ago
		want   float64
	}{
		{"a rare object keeps the fresh time", 0.01, 0, 8 * second, 0, 8},
		{"the root binds for a hot one", 100, 0, 8 * second, 0, math.Sqrt(2 * 0.1 / (1. / 8 * 20))},
		{"told purges raise the rate of updates", 100, 3, 8 * second, 8, math.Sqrt(2 * 0.1 / (4. / 16 * 20))},
		{"never purged and without a fresh time, any age", 100, 0, 0, 0, 0},
		{"purged and without a fresh time", 100, 2, 0, 20, math.Sqrt(2 * 0.1 / (2. / 20 * 20))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			now := start + 20*second
			record := &objectRecord{requestCount: c.count, countedAt: now, firstSeenAt: now - c.born*second, purgeCount: c.purges}
			state := requestState{class: &classState{classTerms: classTerms{freshDuration: c.fresh}}, record: record}
			r.updateMaxAge(now, &Request{SizeKB: 0.1 / exchangeRate, requestState: state})
			got := float64(record.maxAge) / 1e9
			if record.maxAge == forever {
				got = 0
			}
			if math.Abs(got-c.want) > 1e-6 {
				t.Errorf("age %v, want %v", got, c.want)
			}
			if held := record.maxAge; record.maxAge < forever && record.maxAgeUntil != now+held {
				t.Errorf("held until %v, want %v", record.maxAgeUntil, now+held)
			}
		})
	}
}

func TestRateIgnoresRepeats(t *testing.T) {
	for _, c := range []struct {
		name   string
		repeat bool
		want   float64
	}{{"first tries count, scaled to the location", false, 2}, {"marked repeats do not", true, 0.2}} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			var record *objectRecord
			for i := range 10 {
				ret := ask("harmless", "a")
				ret.ClientRetry = c.repeat && i > 0
				record = r.rates.record(start+10*second, ret)
			}
			if got := r.locationRate(start+10*second, record); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("rate %v, want %v", got, c.want)
			}
		})
	}
}

func TestGhostsKeepTheirRates(t *testing.T) {
	r := newRouter(t, nil)
	r.rates.record(start, ask("harmless", "kept"))
	for i := range maxObjects + 5 {
		r.rates.record(start, ask("harmless", fmt.Sprint("other", i)))
	}
	record := r.rates.objects[objectKey{object: "kept"}]
	if record == nil || !record.evicted {
		t.Fatal("an object pushed out is not among the ghosts")
	}
	again := r.rates.record(start, ask("harmless", "kept"))
	if again.evicted || again.requestCount != 2 || r.rates.recentObjects.Len() > maxObjects {
		t.Errorf("back from the ghosts: ghost %v, count %v, table %v", again.evicted, again.requestCount, r.rates.recentObjects.Len())
	}
}

func TestPurgeCapsTheAge(t *testing.T) {
	cases := []struct {
		name        string
		product     string
		object      string // "" purges the group
		told, asked int64  // nanoseconds since the purge
		most        int64  // 0: no cap of the purge's
	}{
		{"an object, soon after", "harmless", "a", 0, second / 2, second / 2},
		{"in the same instant: never 0, which means the fresh time", "harmless", "a", 0, 0, 1000},
		{"its group", "harmless", "", second / 10, 2 * second, 2 * second},
		{"without a fresh time", "stamped", "a", 0, 3 * second, 3 * second},
		{"another object", "stamped", "b", 0, second, 0},
		{"forgotten once all have dropped it", "stamped", "a", 0, 8 * second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			r.Purge(start+c.told, c.object, 1, start)
			now := start + c.asked
			r.Tick(now)
			age := r.Decide(now, ask(c.product, "a")).Attempt.MaxAge
			if c.most > 0 && (age <= 0 || age > c.most) || c.most == 0 && age != 0 {
				t.Errorf("age %v, want at most %v", age, c.most)
			}
		})
	}
}

func TestDrainedAndGoneGetNothing(t *testing.T) {
	for _, phase := range []string{"draining", "gone", "left out"} {
		t.Run(phase, func(t *testing.T) {
			r := newRouter(t, nil)
			if phase == "left out" {
				r.UpdateEndpoints(start, []Endpoint{fleet[1], fleet[3], fleet[4]}, true)
			} else {
				cache, parent := fleet[0], fleet[2]
				cache.Phase, parent.Phase = phase, phase
				r.UpdateEndpoints(start, []Endpoint{cache, parent}, false)
			}
			for i := range 50 {
				decision := r.Decide(start+second, ask("harmless", fmt.Sprint(i)))
				if decision.Verdict == Send && (decision.Attempt.Cache == 1 || decision.Attempt.Source == 3) {
					t.Fatalf("sent to %d with source %d", decision.Attempt.Cache, decision.Attempt.Source)
				}
			}
		})
	}
}

func TestColdBudgets(t *testing.T) {
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
				ret := ask("harmless", fmt.Sprint(i))
				decision := r.Decide(now, ret)
				if decision.Verdict == Send && (decision.Attempt.Cache == line.ID || decision.Attempt.Source == line.ID) {
					spent += r.sendingTime(ret)
				}
				if decision.Verdict == Send { // a hit answered at once, so that only the budget binds
					r.AttemptEnded(now, ret, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 2})
				}
			}
			if spent > c.budget || spent == 0 || math.IsInf(c.budget, 1) && spent < 10 {
				t.Errorf("sent %v s of work, budget %v", spent, c.budget)
			}
		})
	}
}

// A share of a cold budget below one dispatch was used by no router: of 15 parents nine came back cold and stood idle.
// Saved up, it is used, and all routers together keep within what the member bears in every window, also where all want
// it in the same moment.
func TestSmallSharesOfAColdBudgetAreSavedUp(t *testing.T) {
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
				r, err := New(start, uint64(n), site(Settings{"routers": int64(routers)}), func(string) {})
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

// Where fills have no room, a cache is asked for what it holds: hits of a thin slice are not turned away with them.
func TestAskedForWhatIsHeld(t *testing.T) {
	jammed := func(change Settings) *Router {
		r := newRouter(t, change)
		r.admission.limits[fills] = 0
		return r
	}
	for _, c := range []struct {
		name    string
		product string
		before  func(*Router)
		want    Verdict
	}{
		{"any copy will do", "harmless", func(*Router) {}, Send},
		{"it never expires", "stamped", func(*Router) {}, Send},
		{"a purge was told", "harmless", func(r *Router) { r.Purge(start-second, "a", 0, start-second) }, Wait},
		{"a purge of its group was told", "stamped", func(r *Router) { r.Purge(start-second, "", 1, start-second) }, Wait},
		{"the cache is full of hits", "harmless", func(r *Router) { r.admission.limits[hits] = 0 }, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := jammed(nil)
			c.before(r)
			decision := r.Decide(start, ask(c.product, "a"))
			if decision.Verdict != c.want || c.want == Send && !decision.Attempt.CacheOnly {
				t.Errorf("%+v", decision)
			}
		})
	}
	for _, c := range []struct {
		name    string
		denials int
		change  Settings
		want    Verdict
	}{
		{"not held, and parents do not deny: it is given up in time", 0, nil, Wait},
		{"not held, and parents deny: the origin fills it", 2, nil, Send},
		{"the origin could fall over", 2, Settings{"origin.fallFactor": 2.}, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, ret := jammed(c.change), ask("harmless", "a")
			for range c.denials {
				r.retries.sourceRefusals.add(start)
			}
			r.Decide(start, ret)
			decision := r.AttemptEnded(start, ret, Outcome{Result: NotHeld})
			if decision.Verdict != c.want || c.want == Send && (decision.Attempt.Source != 5 || decision.Attempt.CacheOnly) {
				t.Errorf("%+v", decision)
			}
		})
	}
}

// What a parent denies for its bound the origin fills, whatever is put aside for further dispatches.
func TestDeniedFillsGoToTheOrigin(t *testing.T) {
	for _, c := range []struct {
		note int64
		fall float64
		want uint32 // the second source; 0 is none
	}{{6, 0, 5}, {7, 0, 5}, {9, 0, 0}, {6, 2, 0}} {
		t.Run(fmt.Sprint("note ", c.note, ", the origin falls at ", c.fall), func(t *testing.T) {
			r, ret := newRouter(t, Settings{"origin.fallFactor": c.fall}), ask("harmless", "a")
			r.Decide(start, ret)
			r.retries.tokens = 0
			decision := r.AttemptEnded(start, ret, Outcome{Result: Overloaded, Note: c.note})
			if got := decision.Attempt.Source; c.want != 0 && got != c.want || c.want == 0 && got == 5 {
				t.Errorf("%+v", decision)
			}
		})
	}
}

func TestFurtherDispatches(t *testing.T) {
	cases := []struct {
		name    string
		product string
		results []Result
		want    Verdict // after the last result
	}{
		{"harmless goes on after a time-out", "harmless", []Result{TimedOut}, Send},
		{"harmless ends by its payoff", "harmless", []Result{Overloaded, Overloaded, Overloaded, Overloaded}, Reject},
		{"half the payoff, fewer dispatches", "stamped", []Result{Overloaded, Overloaded, Overloaded}, Reject},
		{"stamped that never ran goes anywhere", "stamped", []Result{Unreachable}, Send},
		{"stamped that may have run finds its group empty", "stamped", []Result{ConnectionLost, ConnectionLost}, Fail},
		{"one-shot that never ran is sent again", "once", []Result{Overloaded}, Send},
		{"one-shot that may have run is neither repeated nor dismissed", "once", []Result{TimedOut}, Fail},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			ret, now := ask(c.product, "a"), start
			decision := r.Decide(now, ret)
			for i, result := range c.results {
				if decision.Verdict != Send {
					t.Fatalf("dispatch %d: verdict %v", i, decision.Verdict)
				}
				first := decision.Attempt.Cache
				now += second / 2
				decision = r.AttemptEnded(now, ret, Outcome{Attempt: i, Result: result})
				if c.product == "stamped" && result == ConnectionLost && decision.Verdict == Send && decision.Attempt.Cache != first {
					t.Fatal("repeated outside its group")
				}
			}
			if decision.Verdict != c.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
			if again := r.Decide(now, ret); decision.Verdict != Send && again.Verdict != Wait {
				t.Errorf("after its final answer: %v", again.Verdict)
			}
		})
	}
}

// What a connection took with it is sent again at once; the budget is for what may be a jam.
func TestBreaksCostNoBudget(t *testing.T) {
	for _, c := range []struct {
		result Result
		want   Verdict
	}{{ConnectionLost, Send}, {SendInterrupted, Send}, {NotHeld, Send}, {Overloaded, Reject}, {ServerError, Reject}, {Unreachable, Reject}} {
		t.Run(fmt.Sprint(c.result), func(t *testing.T) {
			r, ret := newRouter(t, nil), ask("harmless", "a")
			r.Decide(start, ret)
			r.retries.tokens = 0
			if decision := r.AttemptEnded(start, ret, Outcome{Result: c.result}); decision.Verdict != c.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}

func TestHeldEndsInTime(t *testing.T) {
	for _, left := range []int64{second / 100, 83 * second / 1000, 400 * second / 1000, 5 * second} {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			r := newRouter(t, nil)
			r.UpdateEndpoints(start, nil, true)
			ret, now := ask("harmless", "a"), start
			ret.Deadline = now + left
			decision := r.Decide(now, ret)
			for decision.Verdict == Wait {
				now += r.RecheckDelay(now, ret)
				if now > ret.Deadline || now > start+second {
					t.Fatalf("still held after %v", now-start)
				}
				decision = r.Decide(now, ret)
			}
			if due := r.classByName["harmless"].objective; decision.Verdict != Reject || decision.RetryAfter <= 0 || decision.RetryAfter >= due/2 {
				t.Errorf("verdict %v with advice %v", decision.Verdict, decision.RetryAfter)
			}
		})
	}
}

func TestSuspects(t *testing.T) {
	cases := []struct {
		name string
		bad  map[uint32]Result // what dispatches to a cache end in; others are good
		late int64             // what these take
		want uint32            // the suspect; 0 is none
	}{
		{"one that breaks connections", map[uint32]Result{1: ConnectionLost}, 0, 1},
		{"one that cannot be reached", map[uint32]Result{2: Unreachable}, 0, 2},
		{"one that only slows down", map[uint32]Result{1: Succeeded}, 3 * second, 1},
		{"all alike: nobody stands out", map[uint32]Result{1: Overloaded, 2: Overloaded}, 0, 0},
		{"all slow alike: nobody stands out", map[uint32]Result{1: Succeeded, 2: Succeeded}, 3 * second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			for i := range 40 {
				ret := ask("harmless", fmt.Sprint(i))
				if decision := r.Decide(start, ret); decision.Verdict == Send {
					outcome := Outcome{Result: Succeeded, RequestEnded: true, Note: 9}
					if result, struck := c.bad[decision.Attempt.Cache]; struck {
						outcome.Result, outcome.Elapsed = result, c.late
					}
					r.AttemptEnded(start, ret, outcome)
				}
			}
			for id := uint32(1); id <= 2; id++ {
				if got := r.endpoints[id].ejected; got != (id == c.want) {
					t.Errorf("cache %d suspect: %v", id, got)
				}
			}
		})
	}
	t.Run("one that goes silent", func(t *testing.T) {
		r := newRouter(t, nil)
		for i := range 20 {
			ret := ask("harmless", fmt.Sprint(i))
			if decision := r.Decide(start, ret); decision.Verdict == Send && decision.Attempt.Cache == 2 {
				r.AttemptEnded(start, ret, Outcome{Result: Succeeded, RequestEnded: true})
			}
		}
		r.Tick(start + 3*second)
		if !r.endpoints[1].ejected || r.endpoints[2].ejected {
			t.Errorf("suspect: %v, %v", r.endpoints[1].ejected, r.endpoints[2].ejected)
		}
	})
}

func TestBackAfterOffIsCold(t *testing.T) {
	// The list tells a restart seconds late: until then what could not be reached counts as just started.
	for _, c := range []struct {
		name   string
		result Result
		cold   bool
	}{{"unreached", Unreachable, true}, {"only late", TimedOut, false}} {
		t.Run(c.name, func(t *testing.T) {
			r, ret := newRouter(t, nil), ask("harmless", "a")
			endpoint := r.endpoints[r.Decide(start, ret).Attempt.Cache]
			endpoint.ejected = true
			r.AttemptEnded(start, ret, Outcome{Result: c.result, RequestEnded: true})
			r.ProbeEnded(start+second, endpoint.ID, true, nil)
			if endpoint.ejected || (endpoint.slowStartFrom == start+second) != c.cold {
				t.Errorf("suspect %v, cold from %v", endpoint.ejected, endpoint.slowStartFrom)
			}
		})
	}
}

func TestSilentSource(t *testing.T) {
	// Likely fills wait for one parent while the other's come: the parent is suspect, the caches are not.
	r := newRouter(t, nil)
	for i := range 60 {
		ret := ask("harmless", fmt.Sprint(i))
		if decision := r.Decide(start, ret); decision.Verdict == Send && decision.Attempt.Source == 4 {
			r.AttemptEnded(start, ret, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 10})
		}
	}
	later := start + second
	for _, endpoint := range r.caches { // they go on answering what they hold
		endpoint.lastResponseAt = later
	}
	r.Tick(later)
	r.ejectIfOutlier(later, r.endpoints[3])
	if !r.endpoints[3].ejected || r.endpoints[4].ejected || r.endpoints[1].ejected || r.endpoints[2].ejected {
		t.Errorf("suspect: parents %v, %v, caches %v, %v", r.endpoints[3].ejected, r.endpoints[4].ejected,
			r.endpoints[1].ejected, r.endpoints[2].ejected)
	}
}

func TestRoom(t *testing.T) {
	hold := func(r *Router, names ...string) (last Decision) {
		for _, name := range names {
			last = r.Decide(start, ask("harmless", name))
		}
		return last
	}
	t.Run("fills beyond their room are not sent", func(t *testing.T) {
		r, sent := newRouter(t, nil), 0
		for i := range 50 {
			if decision := hold(r, fmt.Sprint(i)); decision.Verdict == Send && !decision.Attempt.CacheOnly {
				sent++
			}
		}
		if want := int(initialAdmissionLimits[1] * 10 / 2); sent != want {
			t.Errorf("%d fills in hand, want %d", sent, want)
		}
	})
	for _, marked := range []bool{true, false} {
		t.Run(fmt.Sprint("repeats get the smaller room, marked: ", marked), func(t *testing.T) {
			r, sent := newRouter(t, nil), 0
			for i := range 50 {
				ret := ask("harmless", fmt.Sprint(i))
				if ret.ClientRetry = marked; !marked {
					r.rejectOrFail(start-second/2, &Request{requestState: requestState{
						class:  r.classByName["harmless"],
						record: r.rates.record(start-second/2, ask("harmless", fmt.Sprint(i))),
					}})
				}
				if decision := r.Decide(start, ret); decision.Verdict == Send && !decision.Attempt.CacheOnly {
					sent++
				}
			}
			if full := int(initialAdmissionLimits[1] * 10 / 2); sent == 0 || sent >= full {
				t.Errorf("%d repeats in hand, %d first tries", sent, full)
			}
		})
	}
	t.Run("late answers shrink the room, those in time widen it", func(t *testing.T) {
		r := newRouter(t, nil)
		for _, c := range []struct {
			spent int64
			sign  float64
		}{{5 * second, -1}, {second / 10, 1}} {
			ret, before := ask("harmless", fmt.Sprint(c.spent)), r.admission.limits[1]
			r.Decide(start, ret)
			r.AttemptEnded(start, ret, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: c.spent})
			if (r.admission.limits[1]-before)*c.sign <= 0 {
				t.Errorf("room from %v to %v after an answer in %v", before, r.admission.limits[1], c.spent)
			}
		}
	})
	t.Run("while tight it comes back faster than it grows otherwise", func(t *testing.T) {
		grown := func(tight bool) float64 {
			r := newRouter(t, nil)
			r.admission.limits[1], r.admission.tight[1] = 0.7, tight
			for i := range 20 {
				ret := ask("harmless", fmt.Sprint(i))
				r.Decide(start, ret)
				r.AttemptEnded(start, ret, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 10})
			}
			return r.admission.limits[1] - 0.7
		}
		if tight, wide := grown(true), grown(false); tight < 1.5*wide || wide <= 0 {
			t.Errorf("grew by %v while tight, %v otherwise", tight, wide)
		}
	})
	t.Run("a crowded home passes its hits on", func(t *testing.T) {
		r := newRouter(t, nil)
		first := ask("harmless", "a")
		home := r.Decide(start, first).Attempt.Cache
		r.AttemptEnded(start, first, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 10})
		for range 12 { // the home's room of 2 for its size, shared by two routers
			endpoint := r.endpoints[home]
			r.attemptStarted(endpoint, &attemptState{sentAt: start, cache: endpoint, lateAt: forever})
		}
		if decision := hold(r, "a"); decision.Verdict != Send || decision.Attempt.Cache == home {
			t.Errorf("verdict %v, to %d", decision.Verdict, decision.Attempt.Cache)
		}
	})
}

func TestTightFillsAskTheParentFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result
		want   Verdict
	}{{"what it lacks goes on as a fetch", NotHeld, Send}, {"what it holds is served", Succeeded, Wait}} {
		t.Run(c.name, func(t *testing.T) {
			r, ret := newRouter(t, nil), ask("harmless", "a")
			r.admission.tight[fills], r.admission.limits[fills] = true, 1
			r.admission.limits[fetches] = maxAdmissionLimit
			other := ask("harmless", "other")
			if r.Decide(start, other).Attempt.ParentOnlyIfCached {
				t.Error("asked first though fetches come in time")
			}
			r.AttemptEnded(start, other, Outcome{Result: Succeeded, RequestEnded: true})
			r.admission.limits[fetches] = initialAdmissionLimits[fetches]
			first := r.Decide(start, ret).Attempt
			if !first.ParentOnlyIfCached {
				t.Fatal("the parent may fetch")
			}
			decision := r.AttemptEnded(start, ret, Outcome{Result: c.result, RequestEnded: c.result == Succeeded})
			if decision.Verdict != c.want || decision.Verdict == Send && (decision.Attempt.ParentOnlyIfCached || decision.Attempt.Source != first.Source) {
				t.Errorf("then %+v", decision)
			}
			if kinds := r.inFlight.withinObjective(start, r.endpoints); c.want == Send && (kinds[fetches] != 1 || kinds[fills] != 0) {
				t.Errorf("in hand by kind: %v", kinds)
			}
		})
	}
}

func TestLateLeavesTheRoom(t *testing.T) {
	for _, c := range []struct {
		name  string
		sized float64
		after int64
		sends bool
	}{
		{"not yet late", 100, second / 3, false},
		{"late", 100, second, true},
		{"perhaps large", 0, second, false},
		{"late whatever its size", 0, 2 * second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, verdict := newRouter(t, nil), Send
			for i := 0; verdict == Send; i++ { // until silent members hold all the room
				ret := ask("harmless", fmt.Sprint(i))
				ret.SizeKB = c.sized
				verdict = r.Decide(start, ret).Verdict
			}
			if got := r.Decide(start+c.after, ask("harmless", "next")).Verdict == Send; got != c.sends {
				t.Errorf("sent: %v", got)
			}
		})
	}
}

func TestThinSlices(t *testing.T) {
	for _, c := range []struct {
		routers int64
		out     int // in hand at one cache
		admits  bool
	}{{1, 12, false}, {1, 9, true}, {10, 1, true}, {10, 2, false}} {
		t.Run(fmt.Sprintf("%d in hand, one of %d routers", c.out, c.routers), func(t *testing.T) {
			r := newRouter(t, Settings{"location.routers": []int64{0, c.routers, 2}})
			endpoint, ret := r.endpoints[1], ask("harmless", "a")
			ret.class, ret.record = r.classByName["harmless"], &objectRecord{likelyHeldUntil: forever}
			for range c.out {
				r.attemptStarted(endpoint, &attemptState{sentAt: start, cache: endpoint, lateAt: forever})
			}
			if got := r.admits(start, ret, endpoint); got != c.admits {
				t.Errorf("admitted: %v, load %.2f", got, r.load(start, endpoint))
			}
		})
	}
}

func TestBrokenConnectionKeepsItsCache(t *testing.T) {
	keeps := map[Result]bool{ConnectionLost: true, ServerError: true, Overloaded: false, Unreachable: false, TimedOut: false}
	for result, same := range keeps {
		t.Run(fmt.Sprint(result), func(t *testing.T) {
			r, ret := newRouter(t, nil), ask("harmless", "a")
			first := r.Decide(start, ret).Attempt.Cache
			decision := r.AttemptEnded(start+second, ret, Outcome{Result: result})
			if decision.Verdict != Send || (decision.Attempt.Cache == first) != same {
				t.Errorf("verdict %v, from cache %d to %d", decision.Verdict, first, decision.Attempt.Cache)
			}
		})
	}
}

func TestRanksShieldReusedObjects(t *testing.T) {
	for _, c := range []struct {
		routers int64
		between int64 // seconds
		second  int64 // rank at the second request
	}{{1, 1, 2}, {1, 30, 1}, {20, 30, 2}} {
		t.Run(fmt.Sprintf("again after %d s, one of %d routers", c.between, c.routers), func(t *testing.T) {
			r := newRouter(t, Settings{"location.routers": []int64{0, c.routers, 2}})
			for i, want := range []int64{1, c.second} {
				now := start + rateWindow + int64(i)*c.between*second
				ret := ask("harmless", "a")
				if got := r.Decide(now, ret).Attempt.CachePriority; got != want {
					t.Errorf("request %d kept at rank %d, want %d", i, got, want)
				}
				r.AttemptEnded(now, ret, Outcome{Result: Succeeded, RequestEnded: true})
			}
		})
	}
}

func TestParentsAndSpread(t *testing.T) {
	t.Run("an object's fills meet at one parent from all locations", func(t *testing.T) {
		a, b := newRouter(t, nil), newRouter(t, Settings{"location": "there"})
		for i := range 20 {
			name := fmt.Sprint(i)
			one, other := ask("harmless", name), ask("harmless", name)
			x, y := a.Decide(start, one), b.Decide(start, other)
			a.AttemptEnded(start, one, Outcome{Result: Succeeded, RequestEnded: true})
			b.AttemptEnded(start, other, Outcome{Result: Succeeded, RequestEnded: true})
			if x.Attempt.Source != y.Attempt.Source {
				t.Errorf("object %s: %d and %d", name, x.Attempt.Source, y.Attempt.Source)
			}
			if x.Attempt.Source != 3 && x.Attempt.Source != 4 {
				t.Errorf("object %s filled from %d", name, x.Attempt.Source)
			}
		}
	})
	t.Run("a hot object reaches both caches", func(t *testing.T) {
		r, seen := newRouter(t, nil), map[uint32]int{}
		for range 40 {
			seen[r.Decide(start, ask("harmless", "hot")).Attempt.Cache]++
		}
		if seen[1] == 0 || seen[2] == 0 {
			t.Errorf("dispatches by cache: %v", seen)
		}
	})
}

// New members come under new ids through a long day; what has gone is kept only while something is out there.
func TestGoneMembersAreForgotten(t *testing.T) {
	r := newRouter(t, nil)
	for n := range 5000 {
		now := start + int64(n)*second/10
		lines := append([]Endpoint{{ID: uint32(100 + n), Location: "here", Kind: "cache", Phase: "ready", Capacity: 5}}, fleet...)
		r.UpdateEndpoints(now, lines, true)
		ret := ask("harmless", fmt.Sprint(n))
		if decision := r.Decide(now, ret); decision.Verdict != Send {
			t.Fatalf("verdict %v", decision.Verdict)
		}
		r.AttemptEnded(now, ret, Outcome{Result: Succeeded, RequestEnded: true})
		r.Tick(now)
	}
	if len(r.endpoints) > len(fleet)+1 {
		t.Errorf("%d members kept", len(r.endpoints))
	}
}

// Given up on late without having been at any cache, a retrieval costs more than one refused at once.
func TestUnwrittenIsGivenUpByHalfItsTime(t *testing.T) {
	for _, c := range []struct {
		result Result
		after  int64
		want   Verdict
	}{
		{Unreachable, second - 1, Send},
		{Unreachable, second, Reject},
		{SendInterrupted, second, Reject},
		{NotSent, second, Reject},
		{Overloaded, second, Send},
		{ConnectionLost, second, Send},
	} {
		t.Run(fmt.Sprint(c.result, c.after), func(t *testing.T) {
			r, ret := newRouter(t, nil), ask("harmless", "a")
			ret.Deadline = start + 2*second
			if decision := r.Decide(start, ret); decision.Attempt.SendTimeout != second {
				t.Errorf("to be on its way within %d", decision.Attempt.SendTimeout)
			}
			if decision := r.AttemptEnded(start+c.after, ret, Outcome{Result: c.result}); decision.Verdict != c.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}

// With the location's other routers down, this one has their traffic: counted double, it dismissed half of it.
func TestSharing(t *testing.T) {
	for _, c := range []struct {
		name string
		told func(own float64) []float64
		want float64
	}{
		{"nothing told", func(float64) []float64 { return nil }, 2},
		{"all is this router's", func(own float64) []float64 { return []float64{0, own} }, 1},
		{"another one sends as much", func(own float64) []float64 { return []float64{0, 2*own - 1} }, 2},
		{"more than there are routers", func(own float64) []float64 { return []float64{0, 9 * own} }, 2},
		{"a report of nothing", func(float64) []float64 { return []float64{0, 0} }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, Settings{"report.fields": []string{"x1", "inHand"}})
			r.admission.limits = [3]float64{maxAdmissionLimit, maxAdmissionLimit, maxAdmissionLimit}
			var out []*Request
			for n := range 20 {
				ret := ask("harmless", fmt.Sprint(n))
				if decision := r.Decide(start, ret); decision.Verdict == Send {
					out = append(out, ret)
				}
			}
			for _, ret := range out {
				own := float64(len(ret.attempts[0].cache.inFlight))
				r.AttemptEnded(start+second/10, ret, Outcome{Result: Succeeded, RequestEnded: true, LoadReport: c.told(own)})
			}
			if got := r.effectiveSharers(); math.Abs(got-c.want) > 0.01 {
				t.Errorf("%d answers: %v, want %v", len(out), got, c.want)
			}
		})
	}
}

// Answers that never come show only at the end of the client's time: once some did not, what is overdue is sent again.
func TestOverdue(t *testing.T) {
	for _, c := range []struct {
		name    string
		missing int
		waited  int64 // in tenths of the due time
		change  Settings
		want    Verdict
	}{
		{"answers go missing", 2, 7, nil, Send},
		{"none has", 0, 7, nil, Wait},
		{"not yet overdue", 2, 5, nil, Wait},
		{"much is late: a jam would feed on it", 60, 7, nil, Wait},
		{"two together are not allowed", 2, 7, Settings{"dispatches.together": false}, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, now := newRouter(t, c.change), start
			for n := range 300 + c.missing {
				ret := ask("harmless", fmt.Sprint(n))
				if decision := r.Decide(now, ret); decision.Verdict != Send {
					t.Fatalf("verdict %v", decision.Verdict)
				}
				outcome := Outcome{Result: Succeeded, Elapsed: second / 10, RequestEnded: true}
				if n >= 300 {
					outcome.Result, outcome.Elapsed = TimedOut, 5*second
				}
				r.AttemptEnded(now, ret, outcome)
			}
			ret := ask("harmless", "x")
			r.Decide(now, ret)
			now += r.objectiveFor(ret, 0) * c.waited / 10
			if decision := r.Decide(now, ret); decision.Verdict != c.want || decision.Verdict == Send && decision.Attempt.Cache == ret.attempts[0].cache.ID {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}

// Judged by the product's mean, large answers passed for late and small late ones for in time.
func TestAnswersAreDueByTheirSize(t *testing.T) {
	for _, c := range []struct {
		name    string
		spent   int64
		sending float64
		late    bool
	}{
		{"by the mean, where nothing tells its size", second, 0, false},
		{"late by the mean", 2 * second, 0, true},
		{"a large one", 2 * second, 1, false},
		{"a small one", second, 0.01, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, ret := newRouter(t, Settings{"product.dueStretch": []float64{2, 2, 2}}), ask("harmless", "a")
			r.Decide(start, ret)
			kind := ret.attempts[0].kind
			r.AttemptEnded(start+c.spent, ret, Outcome{Result: Succeeded, Elapsed: c.spent, SendingTime: c.sending, RequestEnded: true})
			if late := r.admission.limits[kind] < initialAdmissionLimits[kind]; late != c.late {
				t.Errorf("late: %v, want %v", late, c.late)
			}
		})
	}
}

// Late with a quarter of what it is asked, a parent never stood out by three in ten; with hundreds of answers it does.
func TestParentThatIsLateInPart(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers int  // from each parent
		late    int  // one in so many of the first one's
		lost    bool // the other one is suspect
		want    bool
	}{
		{"a quarter of hundreds", 200, 4, false, true},
		{"a quarter of a few", 12, 4, false, false},
		{"one in twelve of hundreds", 200, 12, false, false},
		{"the last one that is left", 200, 4, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			slow := r.endpoints[3]
			r.endpoints[4].ejected = c.lost
			for n := range c.answers {
				for _, endpoint := range []*endpointState{slow, r.endpoints[4]} {
					ret := ask("harmless", fmt.Sprint(n, endpoint.ID))
					attempt := &attemptState{sentAt: start, cache: r.endpoints[1], source: endpoint, kind: fills, lateAt: start + second}
					ret.class, ret.record, ret.attempts, ret.inFlight = r.classByName["harmless"], &objectRecord{}, []*attemptState{attempt}, 1
					outcome := Outcome{Result: Succeeded, Note: 2, Elapsed: second / 10, RequestEnded: true}
					if endpoint == slow && n%c.late == c.late-1 {
						outcome.Elapsed = 4 * second
					}
					r.AttemptEnded(start, ret, outcome)
				}
			}
			if slow.ejected != c.want || r.endpoints[4].ejected != c.lost {
				t.Errorf("suspect %v, want %v; the other %v", slow.ejected, c.want, r.endpoints[4].ejected)
			}
		})
	}
}

// What was learned is taken over: rates as they were, though time has passed; without rates only what was asked for at all.
func TestMemory(t *testing.T) {
	set := Settings{
		"product.names": []string{"stills"}, "product.due": []int64{4 * second / 10}, "product.hardStop": []int64{second},
		"product.payoff": []float64{1}, "product.effect": []string{"harmless"}, "location": "here", "kinds": []string{"cache"},
		"routers": int64(1),
	}
	make := func(at int64) *Router {
		r, err := New(at, 7, set, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		r.UpdateEndpoints(at, []Endpoint{{ID: 1, Location: "here", Kind: "cache", Phase: "ready", Capacity: 4}}, true)
		return r
	}
	const begun, later = 1000 * second, 1040 * second
	r := make(begun)
	for i := range int64(40) {
		at := begun + i*second/4
		object := "a"
		if i%4 == 0 {
			object = "b"
		}
		if decision := r.Decide(at, &Request{Class: "stills", Object: object, Deadline: at + second}); decision.Verdict != Send {
			t.Fatal(decision)
		}
	}
	r.Purge(begun+9*second, "b", 0, begun+9*second)
	now := begun + 10*second
	m := r.Snapshot(now, 10)
	if len(m.Objects) != 2 || len(m.Purges) != 1 || m.Objects[1].Object != "a" {
		t.Fatalf("%+v", m)
	}
	next := make(later)
	next.Restore(later, m, true)
	rate := func(r *Router, at int64, object string) float64 {
		record := r.rates.objects[objectKey{object, 0}]
		return r.rates.ofObject(at, record)
	}
	for _, object := range []string{"a", "b"} {
		if was, is := rate(r, now, object), rate(next, later, object); math.Abs(was-is) > 1e-9 || is == 0 {
			t.Errorf("%s: %f before, %f after", object, was, is)
		}
	}
	if again := next.Snapshot(later, 10); again.Objects[1].Object != "a" || again.Purges[0] != m.Purges[0] {
		t.Errorf("%+v", again)
	}
	without := make(later)
	without.Restore(later, m, false)
	if record := without.rates.objects[objectKey{"b", 0}]; record == nil || record.requestCount != 0 || record.purgeCount != 1 || without.rates.requestCount != 0 {
		t.Errorf("%+v", record)
	}
	if one := r.Snapshot(now, 1); len(one.Objects) != 1 || one.Objects[0].Object != "a" {
		t.Errorf("%+v", one.Objects)
	}
}
