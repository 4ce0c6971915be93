package control

import (
	"fmt"
	"testing"
)

func TestEjection(t *testing.T) {
	cases := []struct {
		name    string
		failing map[uint32]Result // by ID of a cache: result of all attempts there; at other caches they succeed
		elapsed int64             // ns; how long each attempt at a cache in failing takes
		want    uint32            // ID of the cache that must be ejected; 0: none
	}{
		{"one cache loses connections", map[uint32]Result{1: ConnectionLost}, 0, 1},
		{"one cache is unreachable", map[uint32]Result{2: Unreachable}, 0, 2},
		{"one cache is slow", map[uint32]Result{1: Succeeded}, 3 * second, 1},
		{"all are overloaded: no outlier", map[uint32]Result{1: Overloaded, 2: Overloaded}, 0, 0},
		{"all are slow: no outlier", map[uint32]Result{1: Succeeded, 2: Succeeded}, 3 * second, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			for i := range 40 {
				request := newRequest("harmless", fmt.Sprint(i))
				if decision := router.Decide(start, request); decision.Verdict == Send {
					outcome := Outcome{Result: Succeeded, RequestEnded: true, Note: noteCacheRejected}
					if result, fails := test.failing[decision.Attempt.Cache]; fails {
						outcome.Result, outcome.Elapsed = result, test.elapsed
					}
					router.AttemptEnded(start, request, outcome)
				}
			}
			for id := uint32(1); id <= 2; id++ {
				if got := router.endpoints[id].ejected; got != (id == test.want) {
					t.Errorf("cache %d ejected: %v, want %v", id, got, id == test.want)
				}
			}
		})
	}
	t.Run("one cache stops responding", func(t *testing.T) {
		router := newRouter(t, nil)
		for i := range 20 {
			request := newRequest("harmless", fmt.Sprint(i))
			if decision := router.Decide(start, request); decision.Verdict == Send && decision.Attempt.Cache == 2 {
				router.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true})
			}
		}
		router.Tick(start + 3*second)
		if !router.endpoints[1].ejected || router.endpoints[2].ejected {
			t.Errorf("cache 1 ejected: %v, want true; cache 2 ejected: %v, want false",
				router.endpoints[1].ejected, router.endpoints[2].ejected)
		}
	})
}

// If likely fills get responses from only one of two parents, the other parent is ejected. The caches are not, because
// they still respond to hits.
func TestSilentParentIsEjected(t *testing.T) {
	router := newRouter(t, nil)
	for i := range 60 {
		request := newRequest("harmless", fmt.Sprint(i))
		if decision := router.Decide(start, request); decision.Verdict == Send && decision.Attempt.Source == 4 {
			router.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 10})
		}
	}
	later := start + second
	for _, endpoint := range router.caches { // the caches have just responded to hits
		endpoint.lastResponseAt = later
	}
	router.Tick(later)
	router.ejectIfOutlier(later, router.endpoints[3])
	for id := uint32(1); id <= 4; id++ {
		if got := router.endpoints[id].ejected; got != (id == 3) {
			t.Errorf("endpoint %d ejected: %v, want %v", id, got, id == 3)
		}
	}
}

// After a lost connection or a server error the retry goes to the same cache, because another cache would first have
// to fill the object. After other failures it goes to another cache.
func TestRetryAfterALostConnectionGoesToTheSameCache(t *testing.T) {
	sameCache := map[Result]bool{
		ConnectionLost: true,
		ServerError:    true,
		Overloaded:     false,
		Unreachable:    false,
		TimedOut:       false,
	}
	for result, same := range sameCache {
		t.Run(fmt.Sprint(result), func(t *testing.T) {
			router, request := newRouter(t, nil), newRequest("harmless", "a")
			first := router.Decide(start, request).Attempt.Cache
			decision := router.AttemptEnded(start+second, request, Outcome{Result: result})
			if decision.Verdict != Send || (decision.Attempt.Cache == first) != same {
				t.Errorf("verdict %v, first attempt at cache %d, retry at cache %d, want the same cache: %v",
					decision.Verdict, first, decision.Attempt.Cache, same)
			}
		})
	}
}

// A parent is ejected if a quarter of its responses is late and there are hundreds of them, although failureShare is
// higher than that.
func TestPartlyLateParentIsEjectedAfterManyResponses(t *testing.T) {
	for _, test := range []struct {
		name         string
		responses    int  // number of responses from each parent
		late         int  // one in this many responses of the first parent is late; the others are in time
		otherEjected bool // the second parent was ejected before
		want         bool // the first parent must be ejected
	}{
		{"a quarter of hundreds", 200, 4, false, true},
		{"a quarter of a few", 12, 4, false, false},
		{"one in twelve of hundreds", 200, 12, false, false},
		{"the last parent that is not ejected", 200, 4, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			slow := router.endpoints[3]
			router.endpoints[4].ejected = test.otherEjected
			for n := range test.responses {
				for _, endpoint := range []*endpointState{slow, router.endpoints[4]} {
					request := newRequest("harmless", fmt.Sprint(n, endpoint.ID))
					attempt := &attemptState{
						sentAt: start,
						cache:  router.endpoints[1],
						source: endpoint,
						kind:   fills,
						lateAt: start + second,
					}
					request.class, request.record = router.classByName["harmless"], &objectRecord{}
					request.attempts, request.inFlight = []*attemptState{attempt}, 1
					outcome := Outcome{Result: Succeeded, Note: noteFilled, Elapsed: second / 10, RequestEnded: true}
					if endpoint == slow && n%test.late == test.late-1 {
						outcome.Elapsed = 4 * second
					}
					router.AttemptEnded(start, request, outcome)
				}
			}
			if slow.ejected != test.want || router.endpoints[4].ejected != test.otherEjected {
				t.Errorf("first parent ejected: %v, want %v; second parent ejected: %v, want %v",
					slow.ejected, test.want, router.endpoints[4].ejected, test.otherEjected)
			}
		})
	}
}
