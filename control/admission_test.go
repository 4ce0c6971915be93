package control

import (
	"fmt"
	"testing"
)

// While no fills are admitted a first attempt goes to the cache for what it has cached: of a router with little
// traffic, many requests that look like fills are hits.
func TestCacheOnlyAttempts(t *testing.T) {
	withoutFills := func(change func(*Settings)) *Router {
		r := newRouter(t, change)
		r.admission.limits[fills] = 0
		return r
	}
	for _, c := range []struct {
		name   string
		class  string
		before func(*Router)
		want   Verdict
	}{
		{"any entry will do", "harmless", func(*Router) {}, Send},
		{"entries never expire", "stamped", func(*Router) {}, Send},
		{"the object was purged", "harmless", func(r *Router) { r.Purge(start-second, "a", 0, start-second) }, Wait},
		{"its group was purged", "stamped", func(r *Router) { r.Purge(start-second, "", 1, start-second) }, Wait},
		{"the limit for hits is reached", "harmless", func(r *Router) { r.admission.limits[hits] = 0 }, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := withoutFills(nil)
			c.before(r)
			decision := r.Decide(start, newRequest(c.class, "a"))
			if decision.Verdict != c.want || c.want == Send && !decision.Attempt.CacheOnly {
				t.Errorf("%+v", decision)
			}
		})
	}
	for _, c := range []struct {
		name       string
		rejections int // fills that parents rejected
		change     func(*Settings)
		want       Verdict
	}{
		{"not cached, no rejected fills: it waits", 0, nil, Wait},
		{"not cached, fills rejected: the origin fills it", 2, nil, Send},
		{"not cached, fills rejected, but the origin can be overloaded", 2, func(s *Settings) { s.OriginUnlimited = false }, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, request := withoutFills(c.change), newRequest("harmless", "a")
			for range c.rejections {
				r.retries.sourceRejections.add(start)
			}
			r.Decide(start, request)
			decision := r.AttemptEnded(start, request, Outcome{Result: NotCached})
			if decision.Verdict != c.want || c.want == Send && (decision.Attempt.Source != 5 || decision.Attempt.CacheOnly) {
				t.Errorf("%+v", decision)
			}
		})
	}
}

// sendsFill decides on a request, and reports whether it is sent as one that may be filled.
func sendsFill(r *Router, request *Request) bool {
	decision := r.Decide(start, request)
	return decision.Verdict == Send && !decision.Attempt.CacheOnly
}

// maxFills is how many fills one of two routers may have in flight at the start, at caches with a capacity of 10.
const maxFills = 6 // of initialAdmissionLimits, checked by TestFillsBeyondTheLimitAreNotSent

func TestFillsBeyondTheLimitAreNotSent(t *testing.T) {
	if want := int(initialAdmissionLimits[fills] * 10 / 2); want != maxFills {
		t.Fatalf("the initial limit is %d fills", want)
	}
	r := newRouter(t, nil)
	sent := 0
	for i := range 50 {
		if sendsFill(r, newRequest("harmless", fmt.Sprint(i))) {
			sent++
		}
	}
	if sent != maxFills {
		t.Errorf("%d fills in flight, want %d", sent, maxFills)
	}
}

// Retries of clients have a lower limit, whether they are marked or guessed from a request that was rejected.
func TestClientRetriesHaveALowerLimit(t *testing.T) {
	for _, marked := range []bool{true, false} {
		t.Run(fmt.Sprint("marked ", marked), func(t *testing.T) {
			r := newRouter(t, nil)
			sent := 0
			for i := range 50 {
				request := newRequest("harmless", fmt.Sprint(i))
				request.ClientRetry = marked
				if !marked {
					rejectBefore(r, request)
				}
				if sendsFill(r, request) {
					sent++
				}
			}
			if sent == 0 || sent >= maxFills {
				t.Errorf("%d retries in flight, %d of other requests", sent, maxFills)
			}
		})
	}
}

// rejectBefore has a router reject another request for the same object, half a second before the start.
func rejectBefore(r *Router, request *Request) {
	const before = start - second/2
	earlier := newRequest(request.Class, request.Object)
	earlier.class = r.classByName[request.Class]
	earlier.record = r.rates.record(before, earlier)
	r.rejectOrFail(before, earlier)
}

// answerFill has a router send a request for an object and get its answer in a time, ns.
func answerFill(r *Router, object string, elapsed int64) {
	request := newRequest("harmless", object)
	r.Decide(start, request)
	r.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: elapsed})
}

func TestLateAnswersLowerTheLimitAndOthersRaiseIt(t *testing.T) {
	r := newRouter(t, nil)
	for _, c := range []struct {
		elapsed int64
		sign    float64
	}{{5 * second, -1}, {second / 10, 1}} {
		before := r.admission.limits[fills]
		answerFill(r, fmt.Sprint(c.elapsed), c.elapsed)
		if after := r.admission.limits[fills]; (after-before)*c.sign <= 0 {
			t.Errorf("limit from %v to %v after an answer in %v", before, after, c.elapsed)
		}
	}
}

func TestReducedLimitGrowsFasterThanOthers(t *testing.T) {
	const limit = 0.7
	grown := func(reduced bool) float64 {
		r := newRouter(t, nil)
		r.admission.limits[fills], r.admission.reduced[fills] = limit, reduced
		for i := range 20 {
			answerFill(r, fmt.Sprint(i), second/10)
		}
		return r.admission.limits[fills] - limit
	}
	if reduced, other := grown(true), grown(false); reduced < 1.5*other || other <= 0 {
		t.Errorf("grew by %v while reduced, %v otherwise", reduced, other)
	}
}

func TestHitsAreDivertedWhileTheHomeCacheIsAtItsLimit(t *testing.T) {
	r := newRouter(t, nil)
	first := newRequest("harmless", "a")
	home := r.Decide(start, first).Attempt.Cache
	r.AttemptEnded(start, first, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 10})
	for range 12 { // the limit of 2 times the capacity, shared by two routers
		endpoint := r.endpoints[home]
		r.attemptStarted(endpoint, &attemptState{sentAt: start, cache: endpoint, lateAt: forever})
	}
	decision := r.Decide(start, newRequest("harmless", "a"))
	if decision.Verdict != Send || decision.Attempt.Cache == home {
		t.Errorf("verdict %v, to %d", decision.Verdict, decision.Attempt.Cache)
	}
}

// While the limit for fills is reduced, parents are asked for what they have cached before they fetch it.
func TestReducedFillsUseOnlyCachedOfParents(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result
		want   Verdict
	}{{"what it lacks is fetched by the next attempt", NotCached, Send}, {"what it has cached is served", Succeeded, Wait}} {
		t.Run(c.name, func(t *testing.T) {
			r, request := newRouter(t, nil), newRequest("harmless", "a")
			r.admission.reduced[fills], r.admission.limits[fills] = true, 1
			r.admission.limits[fetches] = maxAdmissionLimit
			other := newRequest("harmless", "other")
			if r.Decide(start, other).Attempt.ParentOnlyIfCached {
				t.Error("only cached entries are used though fetches come in time")
			}
			r.AttemptEnded(start, other, Outcome{Result: Succeeded, RequestEnded: true})
			r.admission.limits[fetches] = initialAdmissionLimits[fetches]
			first := r.Decide(start, request).Attempt
			if !first.ParentOnlyIfCached {
				t.Fatal("the parent may fetch at once")
			}
			decision := r.AttemptEnded(start, request, Outcome{Result: c.result, RequestEnded: c.result == Succeeded})
			servedOrFetched := decision.Verdict != Send || !decision.Attempt.ParentOnlyIfCached && decision.Attempt.Source == first.Source
			if decision.Verdict != c.want || !servedOrFetched {
				t.Errorf("then %+v", decision)
			}
			counts := r.inFlight.withinObjective(start, r.endpoints)
			if c.want == Send && (counts[fetches] != 1 || counts[fills] != 0) {
				t.Errorf("in flight by kind: %v", counts)
			}
		})
	}
}

// Attempts that are late do not count against the limit any more.
func TestLateAttemptsDoNotCount(t *testing.T) {
	for _, c := range []struct {
		name   string
		sizeKB float64
		after  int64
		sends  bool
	}{
		{"not yet late", 100, second / 3, false},
		{"late", 100, second, true},
		{"of unknown size, may be large", 0, second, false},
		{"of unknown size, late whatever it is", 0, 2 * second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, verdict := newRouter(t, nil), Send
			for i := 0; verdict == Send; i++ { // until attempts without an answer use up the limit
				request := newRequest("harmless", fmt.Sprint(i))
				request.SizeKB = c.sizeKB
				verdict = r.Decide(start, request).Verdict
			}
			if got := r.Decide(start+c.after, newRequest("harmless", "next")).Verdict == Send; got != c.sends {
				t.Errorf("sent: %v", got)
			}
		})
	}
}

// A router of many draws the load of a cache towards the mean: one attempt of its own says little.
func TestLoadsOfOneRouterOfMany(t *testing.T) {
	for _, c := range []struct {
		routers  int
		inFlight int // at one cache
		admits   bool
	}{{1, 12, false}, {1, 9, true}, {10, 1, true}, {10, 2, false}} {
		t.Run(fmt.Sprintf("%d in flight, one of %d routers", c.inFlight, c.routers), func(t *testing.T) {
			r := newRouter(t, func(s *Settings) { s.LocationRouters = c.routers })
			endpoint, request := r.endpoints[1], newRequest("harmless", "a")
			request.class, request.record = r.classByName["harmless"], &objectRecord{likelyCachedUntil: forever}
			for range c.inFlight {
				r.attemptStarted(endpoint, &attemptState{sentAt: start, cache: endpoint, lateAt: forever})
			}
			if got := r.admits(start, request, endpoint); got != c.admits {
				t.Errorf("admitted: %v, load %.2f", got, r.load(start, endpoint))
			}
		})
	}
}
