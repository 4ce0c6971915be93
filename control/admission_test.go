package control

import (
	"fmt"
	"testing"
)

// Where fills have no room, a cache is asked for what it holds: hits of a thin slice are not turned away with
// them.
func TestCacheOnlyAttempts(t *testing.T) {
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
			r, request := jammed(c.change), ask("harmless", "a")
			for range c.denials {
				r.retries.sourceRejections.add(start)
			}
			r.Decide(start, request)
			decision := r.AttemptEnded(start, request, Outcome{Result: NotHeld})
			if decision.Verdict != c.want || c.want == Send && (decision.Attempt.Source != 5 || decision.Attempt.CacheOnly) {
				t.Errorf("%+v", decision)
			}
		})
	}
}

func TestAdmissionLimits(t *testing.T) {
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
				request := ask("harmless", fmt.Sprint(i))
				if request.ClientRetry = marked; !marked {
					r.rejectOrFail(start-second/2, &Request{requestState: requestState{
						class:  r.classByName["harmless"],
						record: r.rates.record(start-second/2, ask("harmless", fmt.Sprint(i))),
					}})
				}
				if decision := r.Decide(start, request); decision.Verdict == Send && !decision.Attempt.CacheOnly {
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
			request, before := ask("harmless", fmt.Sprint(c.spent)), r.admission.limits[1]
			r.Decide(start, request)
			r.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: c.spent})
			if (r.admission.limits[1]-before)*c.sign <= 0 {
				t.Errorf("room from %v to %v after an answer in %v", before, r.admission.limits[1], c.spent)
			}
		}
	})
	t.Run("while tight it comes back faster than it grows otherwise", func(t *testing.T) {
		grown := func(tight bool) float64 {
			r := newRouter(t, nil)
			r.admission.limits[1], r.admission.reduced[1] = 0.7, tight
			for i := range 20 {
				request := ask("harmless", fmt.Sprint(i))
				r.Decide(start, request)
				r.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 10})
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
			r, request := newRouter(t, nil), ask("harmless", "a")
			r.admission.reduced[fills], r.admission.limits[fills] = true, 1
			r.admission.limits[fetches] = maxAdmissionLimit
			other := ask("harmless", "other")
			if r.Decide(start, other).Attempt.ParentOnlyIfCached {
				t.Error("asked first though fetches come in time")
			}
			r.AttemptEnded(start, other, Outcome{Result: Succeeded, RequestEnded: true})
			r.admission.limits[fetches] = initialAdmissionLimits[fetches]
			first := r.Decide(start, request).Attempt
			if !first.ParentOnlyIfCached {
				t.Fatal("the parent may fetch")
			}
			decision := r.AttemptEnded(start, request, Outcome{Result: c.result, RequestEnded: c.result == Succeeded})
			if decision.Verdict != c.want || decision.Verdict == Send && (decision.Attempt.ParentOnlyIfCached || decision.Attempt.Source != first.Source) {
				t.Errorf("then %+v", decision)
			}
			if kinds := r.inFlight.withinObjective(start, r.endpoints); c.want == Send && (kinds[fetches] != 1 || kinds[fills] != 0) {
				t.Errorf("in hand by kind: %v", kinds)
			}
		})
	}
}

func TestLateAttemptsLeaveTheLimit(t *testing.T) {
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
				request := ask("harmless", fmt.Sprint(i))
				request.SizeKB = c.sized
				verdict = r.Decide(start, request).Verdict
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
			endpoint, request := r.endpoints[1], ask("harmless", "a")
			request.class, request.record = r.classByName["harmless"], &objectRecord{likelyCachedUntil: forever}
			for range c.out {
				r.attemptStarted(endpoint, &attemptState{sentAt: start, cache: endpoint, lateAt: forever})
			}
			if got := r.admits(start, request, endpoint); got != c.admits {
				t.Errorf("admitted: %v, load %.2f", got, r.load(start, endpoint))
			}
		})
	}
}
