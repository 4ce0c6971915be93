package control

import (
	"fmt"
	"testing"
)

// newRouterWithoutFills returns a router whose admission limit for fills is 0.
func newRouterWithoutFills(t *testing.T, change func(*Settings)) *Router {
	t.Helper()
	router := newRouter(t, change)
	router.admission.limits[fills] = 0
	return router
}

// A router with little traffic expects many requests to be fills although they are hits. If fills are not admitted, it
// must not reject these requests but let the cache serve them if the object is cached.
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
				t.Errorf("decision %+v, want verdict %v, and CacheOnly set if it is sent", decision, test.want)
			}
		})
	}
}

// After a cache-only attempt that missed, the origin fills the object if parents reject fills and the origin cannot
// be overloaded.
func TestMissOfACacheOnlyAttempt(t *testing.T) {
	for _, test := range []struct {
		name       string
		rejections int // number of fills that parents have just rejected
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
				t.Errorf("decision %+v, want verdict %v and source 5, the origin, if it is sent", decision, test.want)
			}
		})
	}
}

// sendsFill decides on a request and reports whether it is sent to a cache that may fill the object on a miss.
func sendsFill(router *Router, request *Request) bool {
	decision := router.Decide(start, request)
	return decision.Verdict == Send && !decision.Attempt.CacheOnly
}

// maxFills is the number of fills that each of two routers may have in flight at first, at caches with a total
// capacity of 10: the initial limit for fills, 1.2, times 10, divided by 2. TestFillsBeyondTheLimitAreNotSent compares
// it with initialAdmissionLimits.
const maxFills = 6

func TestFillsBeyondTheLimitAreNotSent(t *testing.T) {
	if want := int(initialAdmissionLimits[fills] * 10 / 2); want != maxFills {
		t.Fatalf("the initial limit is %d fills, but maxFills is %d", want, maxFills)
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

// Clients' retries are rejected at a lower load than other requests, because most of their responses would be too late
// for the client. A request counts as a retry if the client marked it, or if one for the same object was just
// rejected.
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
				t.Errorf("%d retries sent, want at least 1 and fewer than the %d of other requests", sent, maxFills)
			}
		})
	}
}

// rejectBefore makes a router reject another request for the same object, half a second before start.
func rejectBefore(router *Router, request *Request) {
	const before = start - second/2
	earlier := newRequest(request.Class, request.Object)
	earlier.class = router.classByName[request.Class]
	earlier.record = router.rates.record(before, earlier)
	router.rejectOrFail(before, earlier)
}

// answerFill makes a router send a request for an object and receive a successful response after elapsed ns.
func answerFill(router *Router, object string, elapsed int64) {
	request := newRequest("harmless", object)
	router.Decide(start, request)
	router.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: elapsed})
}

func TestLateResponsesLowerTheLimitAndOthersRaiseIt(t *testing.T) {
	router := newRouter(t, nil)
	for _, test := range []struct {
		elapsed int64
		sign    float64
	}{{5 * second, -1}, {second / 10, 1}} {
		before := router.admission.limits[fills]
		answerFill(router, fmt.Sprint(test.elapsed), test.elapsed)
		if after := router.admission.limits[fills]; (after-before)*test.sign <= 0 {
			t.Errorf("limit changed from %v to %v after a response that took %d ns, want a change with the sign of %v",
				before, after, test.elapsed, test.sign)
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
		t.Errorf("limit grew by %v while reduced and by %v otherwise, want at least 1.5 times as much", reduced, other)
	}
}

func TestHitsAreDivertedWhileTheHomeCacheIsAtItsLimit(t *testing.T) {
	router := newRouter(t, nil)
	first := newRequest("harmless", "a")
	home := router.Decide(start, first).Attempt.Cache
	router.AttemptEnded(start, first, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 10})
	for range 12 { // more than half of 2 times the capacity of 5, the limit of one of two routers
		endpoint := router.endpoints[home]
		router.attemptStarted(endpoint, &attemptState{sentAt: start, cache: endpoint, lateAt: forever})
	}
	decision := router.Decide(start, newRequest("harmless", "a"))
	if decision.Verdict != Send || decision.Attempt.Cache == home {
		t.Errorf("verdict %v to cache %d, want it sent to another cache than %d",
			decision.Verdict, decision.Attempt.Cache, home)
	}
}

// While the limit for fills is reduced, a first attempt lets the parent serve only a cached object, and the parent
// fetches the object only with the next attempt.
func TestReducedFillsUseParentsOnlyIfCached(t *testing.T) {
	for _, test := range []struct {
		name   string
		result Result
		want   Verdict
	}{
		{"not cached: the next attempt fetches it", NotCached, Send},
		{"cached: it is served", Succeeded, Wait},
	} {
		t.Run(test.name, func(t *testing.T) {
			router, request := newRouter(t, nil), newRequest("harmless", "a")
			router.admission.reduced[fills], router.admission.limits[fills] = true, 1
			router.admission.limits[fetches] = maxAdmissionLimit
			other := newRequest("harmless", "other")
			if router.Decide(start, other).Attempt.ParentOnlyIfCached {
				t.Error("ParentOnlyIfCached is set although the limit for fetches is higher than that for fills")
			}
			router.AttemptEnded(start, other, Outcome{Result: Succeeded, RequestEnded: true})
			router.admission.limits[fetches] = initialAdmissionLimits[fetches]
			first := router.Decide(start, request).Attempt
			if !first.ParentOnlyIfCached {
				t.Fatal("ParentOnlyIfCached is not set in the first attempt")
			}
			decision := router.AttemptEnded(start, request, Outcome{
				Result:       test.result,
				RequestEnded: test.result == Succeeded,
			})
			if decision.Verdict != test.want {
				t.Errorf("decision after the first attempt: %+v, want verdict %v", decision, test.want)
			}
			then := decision.Attempt
			if decision.Verdict == Send && (then.ParentOnlyIfCached || then.Source != first.Source) {
				t.Errorf("second attempt is not a fetch by the same parent, %d: %+v", first.Source, then)
			}
			counts := router.inFlight.withinObjective(start, router.endpoints)
			if test.want == Send && (counts[fetches] != 1 || counts[fills] != 0) {
				t.Errorf("attempts in flight by kind (hits, fills, fetches): %v, want no fills and 1 fetch", counts)
			}
		})
	}
}

// Once an attempt is late it no longer counts against the admission limit. Otherwise a few attempts at an endpoint
// that does not respond would use up the limit of a router with little traffic.
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
		{"of unknown size, late whatever its size is", 0, 2 * second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			router, verdict := newRouter(t, nil), Send
			for i := 0; verdict == Send; i++ { // until attempts that get no response have used up the limit
				request := newRequest("harmless", fmt.Sprint(i))
				request.SizeKB = test.sizeKB
				verdict = router.Decide(start, request).Verdict
			}
			got := router.Decide(start+test.after, newRequest("harmless", "next")).Verdict == Send
			if got != test.sends {
				t.Errorf("request %d ns after the others is sent: %v, want %v", test.after, got, test.sends)
			}
		})
	}
}

// If there are many routers, each one biases the load of a cache towards the mean, because one attempt of its own
// says little about the load.
func TestLoadsOfOneRouterOfMany(t *testing.T) {
	for _, test := range []struct {
		routers  int
		inFlight int // attempts of the router in flight at one cache
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
				t.Errorf("admitted: %v, want %v; load %.2f", got, test.admits, router.load(start, endpoint))
			}
		})
	}
}
