package control

import (
	"fmt"
	"testing"
)

// newRouterWithoutFills returns a router that admits no fills.
func newRouterWithoutFills(t *testing.T, change func(*Settings)) *Router {
	t.Helper()
	router := newRouter(t, change)
	router.admission.limits[fills] = 0
	return router
}

// While no fills are admitted a first attempt goes to the cache for what it has cached: of a router with little
// traffic, many requests that look like fills are hits.
func TestCacheOnlyAttempts(t *testing.T) {
	for _, test := range []struct {
		name   string
		class  string
		before func(*Router)
		want   Verdict
	}{
		{"any entry will do", "harmless", func(*Router) {}, Send},
		{"entries never expire", "stamped", func(*Router) {}, Send},
		{
			"the object was purged",
			"harmless",
			func(router *Router) { router.Purge(start-second, "a", 0, start-second) },
			Wait,
		},
		{
			"its group was purged",
			"stamped",
			func(router *Router) { router.Purge(start-second, "", 1, start-second) },
			Wait,
		},
		{"the limit for hits is reached", "harmless", func(router *Router) { router.admission.limits[hits] = 0 }, Wait},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouterWithoutFills(t, nil)
			test.before(router)
			decision := router.Decide(start, newRequest(test.class, "a"))
			if decision.Verdict != test.want || test.want == Send && !decision.Attempt.CacheOnly {
				t.Errorf("%+v", decision)
			}
		})
	}
}

// What the cache does not have is filled by the origin, if parents reject fills and the origin cannot be overloaded.
func TestMissOfACacheOnlyAttempt(t *testing.T) {
	for _, test := range []struct {
		name       string
		rejections int // fills that parents rejected
		change     func(*Settings)
		want       Verdict
	}{
		{"not cached, no rejected fills: it waits", 0, nil, Wait},
		{"not cached, fills rejected: the origin fills it", 2, nil, Send},
		{
			"not cached, fills rejected, but the origin can be overloaded",
			2,
			func(s *Settings) { s.OriginUnlimited = false },
			Wait,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			router, request := newRouterWithoutFills(t, test.change), newRequest("harmless", "a")
			for range test.rejections {
				router.retries.sourceRejections.add(start)
			}
			router.Decide(start, request)
			decision := router.AttemptEnded(start, request, Outcome{Result: NotCached})
			fromOrigin := decision.Attempt.Source == 5 && !decision.Attempt.CacheOnly
			if decision.Verdict != test.want || test.want == Send && !fromOrigin {
				t.Errorf("%+v", decision)
			}
		})
	}
}

// sendsFill decides on a request, and reports whether it is sent as one that may be filled.
func sendsFill(router *Router, request *Request) bool {
	decision := router.Decide(start, request)
	return decision.Verdict == Send && !decision.Attempt.CacheOnly
}

// maxFills is how many fills one of two routers may have in flight at the start, at caches with a capacity of 10.
const maxFills = 6 // of initialAdmissionLimits, checked by TestFillsBeyondTheLimitAreNotSent

func TestFillsBeyondTheLimitAreNotSent(t *testing.T) {
	if want := int(initialAdmissionLimits[fills] * 10 / 2); want != maxFills {
		t.Fatalf("the initial limit is %d fills", want)
	}
	router := newRouter(t, nil)
	sent := 0
	for i := range 50 {
		if sendsFill(router, newRequest("harmless", fmt.Sprint(i))) {
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
			router := newRouter(t, nil)
			sent := 0
			for i := range 50 {
				request := newRequest("harmless", fmt.Sprint(i))
				request.ClientRetry = marked
				if !marked {
					rejectBefore(router, request)
				}
				if sendsFill(router, request) {
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
func rejectBefore(router *Router, request *Request) {
	const before = start - second/2
	earlier := newRequest(request.Class, request.Object)
	earlier.class = router.classByName[request.Class]
	earlier.record = router.rates.record(before, earlier)
	router.rejectOrFail(before, earlier)
}

// answerFill has a router send a request for an object and get its answer in a time, ns.
func answerFill(router *Router, object string, elapsed int64) {
	request := newRequest("harmless", object)
	router.Decide(start, request)
	router.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: elapsed})
}

func TestLateAnswersLowerTheLimitAndOthersRaiseIt(t *testing.T) {
	router := newRouter(t, nil)
	for _, test := range []struct {
		elapsed int64
		sign    float64
	}{{5 * second, -1}, {second / 10, 1}} {
		before := router.admission.limits[fills]
		answerFill(router, fmt.Sprint(test.elapsed), test.elapsed)
		if after := router.admission.limits[fills]; (after-before)*test.sign <= 0 {
			t.Errorf("limit from %v to %v after an answer in %v", before, after, test.elapsed)
		}
	}
}

func TestReducedLimitGrowsFasterThanOthers(t *testing.T) {
	const limit = 0.7
	grown := func(reduced bool) float64 {
		router := newRouter(t, nil)
		router.admission.limits[fills], router.admission.reduced[fills] = limit, reduced
		for i := range 20 {
			answerFill(router, fmt.Sprint(i), second/10)
		}
		return router.admission.limits[fills] - limit
	}
	if reduced, other := grown(true), grown(false); reduced < 1.5*other || other <= 0 {
		t.Errorf("grew by %v while reduced, %v otherwise", reduced, other)
	}
}

func TestHitsAreDivertedWhileTheHomeCacheIsAtItsLimit(t *testing.T) {
	router := newRouter(t, nil)
	first := newRequest("harmless", "a")
	home := router.Decide(start, first).Attempt.Cache
	router.AttemptEnded(start, first, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 10})
	for range 12 { // the limit of 2 times the capacity, shared by two routers
		endpoint := router.endpoints[home]
		router.attemptStarted(endpoint, &attemptState{sentAt: start, cache: endpoint, lateAt: forever})
	}
	decision := router.Decide(start, newRequest("harmless", "a"))
	if decision.Verdict != Send || decision.Attempt.Cache == home {
		t.Errorf("verdict %v, to %d", decision.Verdict, decision.Attempt.Cache)
	}
}

// While the limit for fills is reduced, parents are asked for what they have cached before they fetch it.
func TestReducedFillsUseOnlyCachedOfParents(t *testing.T) {
	for _, test := range []struct {
		name   string
		result Result
		want   Verdict
	}{
		{"what it lacks is fetched by the next attempt", NotCached, Send},
		{"what it has cached is served", Succeeded, Wait},
	} {
		t.Run(test.name, func(t *testing.T) {
			router, request := newRouter(t, nil), newRequest("harmless", "a")
			router.admission.reduced[fills], router.admission.limits[fills] = true, 1
			router.admission.limits[fetches] = maxAdmissionLimit
			other := newRequest("harmless", "other")
			if router.Decide(start, other).Attempt.ParentOnlyIfCached {
				t.Error("only cached entries are used though fetches come in time")
			}
			router.AttemptEnded(start, other, Outcome{Result: Succeeded, RequestEnded: true})
			router.admission.limits[fetches] = initialAdmissionLimits[fetches]
			first := router.Decide(start, request).Attempt
			if !first.ParentOnlyIfCached {
				t.Fatal("the parent may fetch at once")
			}
			decision := router.AttemptEnded(start, request, Outcome{
				Result:       test.result,
				RequestEnded: test.result == Succeeded,
			})
			if decision.Verdict != test.want {
				t.Errorf("then %+v", decision)
			}
			then := decision.Attempt
			if decision.Verdict == Send && (then.ParentOnlyIfCached || then.Source != first.Source) {
				t.Errorf("not fetched by the same parent: %+v", then)
			}
			counts := router.inFlight.withinObjective(start, router.endpoints)
			if test.want == Send && (counts[fetches] != 1 || counts[fills] != 0) {
				t.Errorf("in flight by kind: %v", counts)
			}
		})
	}
}

// Attempts that are late do not count against the limit any more.
func TestLateAttemptsDoNotCount(t *testing.T) {
	for _, test := range []struct {
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
		t.Run(test.name, func(t *testing.T) {
			router, verdict := newRouter(t, nil), Send
			for i := 0; verdict == Send; i++ { // until attempts without an answer use up the limit
				request := newRequest("harmless", fmt.Sprint(i))
				request.SizeKB = test.sizeKB
				verdict = router.Decide(start, request).Verdict
			}
			got := router.Decide(start+test.after, newRequest("harmless", "next")).Verdict == Send
			if got != test.sends {
				t.Errorf("sent: %v", got)
			}
		})
	}
}

// A router of many draws the load of a cache towards the mean: one attempt of its own says little.
func TestLoadsOfOneRouterOfMany(t *testing.T) {
	for _, test := range []struct {
		routers  int
		inFlight int // at one cache
		admits   bool
	}{{1, 12, false}, {1, 9, true}, {10, 1, true}, {10, 2, false}} {
		t.Run(fmt.Sprintf("%d in flight, one of %d routers", test.inFlight, test.routers), func(t *testing.T) {
			router := newRouter(t, func(s *Settings) { s.LocationRouters = test.routers })
			endpoint, request := router.endpoints[1], newRequest("harmless", "a")
			request.class, request.record = router.classByName["harmless"], &objectRecord{likelyCachedUntil: forever}
			for range test.inFlight {
				router.attemptStarted(endpoint, &attemptState{sentAt: start, cache: endpoint, lateAt: forever})
			}
			if got := router.admits(start, request, endpoint); got != test.admits {
				t.Errorf("admitted: %v, load %.2f", got, router.load(start, endpoint))
			}
		})
	}
}
