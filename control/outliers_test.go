package control

import (
	"fmt"
	"testing"
)

func TestEjection(t *testing.T) {
	cases := []struct {
		name    string
		failing map[uint32]Result // by cache, the result of its attempts; others succeed
		elapsed int64             // of these attempts
		want    uint32            // the cache that is ejected; 0 is none
	}{
		{"one that breaks connections", map[uint32]Result{1: ConnectionLost}, 0, 1},
		{"one that cannot be reached", map[uint32]Result{2: Unreachable}, 0, 2},
		{"one that only slows down", map[uint32]Result{1: Succeeded}, 3 * second, 1},
		{"all alike: none stands out", map[uint32]Result{1: Overloaded, 2: Overloaded}, 0, 0},
		{"all slow alike: none stands out", map[uint32]Result{1: Succeeded, 2: Succeeded}, 3 * second, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			for i := range 40 {
				request := newRequest("harmless", fmt.Sprint(i))
				if decision := router.Decide(start, request); decision.Verdict == Send {
					outcome := Outcome{Result: Succeeded, RequestEnded: true, Note: 9}
					if result, fails := test.failing[decision.Attempt.Cache]; fails {
						outcome.Result, outcome.Elapsed = result, test.elapsed
					}
					router.AttemptEnded(start, request, outcome)
				}
			}
			for id := uint32(1); id <= 2; id++ {
				if got := router.endpoints[id].ejected; got != (id == test.want) {
					t.Errorf("cache %d ejected: %v", id, got)
				}
			}
		})
	}
	t.Run("one that goes silent", func(t *testing.T) {
		router := newRouter(t, nil)
		for i := range 20 {
			request := newRequest("harmless", fmt.Sprint(i))
			if decision := router.Decide(start, request); decision.Verdict == Send && decision.Attempt.Cache == 2 {
				router.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true})
			}
		}
		router.Tick(start + 3*second)
		if !router.endpoints[1].ejected || router.endpoints[2].ejected {
			t.Errorf("ejected: %v, %v", router.endpoints[1].ejected, router.endpoints[2].ejected)
		}
	})
}

// Likely fills through one parent are not answered, those through the other are: the parent is ejected, and no
// cache.
func TestSilentParentIsEjected(t *testing.T) {
	router := newRouter(t, nil)
	for i := range 60 {
		request := newRequest("harmless", fmt.Sprint(i))
		if decision := router.Decide(start, request); decision.Verdict == Send && decision.Attempt.Source == 4 {
			router.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true, Elapsed: second / 10})
		}
	}
	later := start + second
	for _, endpoint := range router.caches { // they still answer hits
		endpoint.lastResponseAt = later
	}
	router.Tick(later)
	router.ejectIfOutlier(later, router.endpoints[3])
	for id := uint32(1); id <= 4; id++ {
		if got := router.endpoints[id].ejected; got != (id == 3) {
			t.Errorf("endpoint %d ejected: %v", id, got)
		}
	}
}

// After a broken connection or an error the retry goes to the same cache, after other failures to another one.
func TestRetryAfterABrokenConnectionGoesToTheSameCache(t *testing.T) {
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
				t.Errorf("verdict %v, from cache %d to %d", decision.Verdict, first, decision.Attempt.Cache)
			}
		})
	}
}

// A parent that is late with a quarter of its answers stands out if there are hundreds of them, though
// failureShare is more.
func TestPartlyLateParentIsEjectedByManyAnswers(t *testing.T) {
	for _, test := range []struct {
		name         string
		answers      int // from each parent
		late         int // one in so many of the first parent
		otherEjected bool
		want         bool
	}{
		{"a quarter of hundreds", 200, 4, false, true},
		{"a quarter of a few", 12, 4, false, false},
		{"one in twelve of hundreds", 200, 12, false, false},
		{"the last one that is not ejected", 200, 4, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			slow := router.endpoints[3]
			router.endpoints[4].ejected = test.otherEjected
			for n := range test.answers {
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
				t.Errorf("ejected: %v, want %v; the other: %v", slow.ejected, test.want, router.endpoints[4].ejected)
			}
		})
	}
}
