package control

import (
	"fmt"
	"testing"
)

// routerOfClasses returns a router with two idempotent classes and an uncacheable one. "harmless" has a mean
// sending time of 0.4 s, "stamped" has 0.02 s and half the weight, and "once" is uncacheable. Each mean has
// the influence of 100 earlier responses, so that a single response hardly changes it.
func routerOfClasses(t *testing.T, change func(*Settings)) *Router {
	t.Helper()
	router := newRouter(t, func(s *Settings) {
		s.Classes[1].Idempotency = Idempotent
		s.Classes[2].Uncacheable = true
		setObjectiveStretches(s, 2, 2, 0)
		if change != nil {
			change(s)
		}
	})
	for i, sendingTime := range []float64{0.4, 0.02, 0.01} {
		router.classes[i].sendingTime, router.classes[i].samples = sendingTime, 100
	}
	return router
}

// sendUntilFull decides on requests of a class for new objects until one is not sent, and returns how many were sent.
func sendUntilFull(router *Router, now int64, class string) (sent int) {
	for ; sent < 1000; sent++ {
		if router.Decide(now, newRequest(class, fmt.Sprint(class, now, sent))).Verdict != Send {
			break
		}
	}
	return sent
}

// Writes hardly use the links that the limit for fills protects, so they are admitted even if that limit is reached.
func TestWritesAreNotLimitedAsFills(t *testing.T) {
	router := routerOfClasses(t, nil)
	router.admission.limits[fills] = 0.4
	if n := sendUntilFull(router, start, "harmless") + sendUntilFull(router, start, "stamped"); n == 0 || n >= 1000 {
		t.Fatalf("%d requests sent before the limit for fills is reached, want 1 to 999", n)
	}
	if decision := router.Decide(start, newRequest("once", "write")); decision.Verdict != Send {
		t.Errorf("decision on a write while the limit for fills is reached: %+v, want verdict send", decision)
	}
}

// A cache that stores no response gains nothing from getting all requests for an object, so writes must not overload
// the home cache of a popular object while other caches have less load.
func TestWritesGoToTheLeastLoadedCache(t *testing.T) {
	router := routerOfClasses(t, nil)
	for n := range 10 {
		first, second := router.load(start, router.caches[0]), router.load(start, router.caches[1])
		decision := router.Decide(start, newRequest("once", fmt.Sprint(n)))
		toFirst := decision.Attempt.Cache == router.caches[0].ID
		if decision.Verdict != Send || first != second && toFirst != (first < second) {
			t.Errorf("caches with loads %.2f and %.2f: decision %+v, want it sent to the less loaded one",
				first, second, decision)
		}
	}
}

// In an overload small responses may still be in time when large ones are late. Therefore they may exceed the limit
// of the large ones.
func TestSmallResponsesMayExceedTheLimit(t *testing.T) {
	router := routerOfClasses(t, nil)
	large := sendUntilFull(router, start, "harmless")
	if small := sendUntilFull(router, start, "stamped"); small < large/2 || small > 2*large {
		t.Errorf("after %d large requests %d small ones were sent, want %d to %d", large, small, large/2, 2*large)
	}
}

// A class of high value that sends few requests must not keep a large part of the limit from the other classes.
func TestRareClassReservesOnlyWhatItNeeds(t *testing.T) {
	for _, test := range []struct {
		rare float64 // fraction of the offered work that is of the rare class
		want float64 // smallest admissionShare that the other class must have
	}{{0.01, 0.95}, {0.5, 0.69}} {
		router := routerOfClasses(t, func(s *Settings) { setWeights(s, 1, 40, 1) })
		request := newRequest("harmless", "x")
		router.Decide(start, request)
		router.classes[0].offered, router.classes[1].offered = decayingWork{}, decayingWork{}
		router.classes[0].offered.add(start, 40*(1-test.rare))
		router.classes[1].offered.add(start, 40*test.rare)
		router.classes[0].admitted, router.classes[1].admitted = router.classes[0].offered, router.classes[1].offered
		share := router.admissionShare(start, request)
		if share < test.want || share > 1 || test.rare == 0.5 && share > 0.75 {
			t.Errorf("with %.2f of the work of the rare class: share %.2f for the other one, want at least %.2f",
				test.rare, share, test.want)
		}
	}
}

// In an overload the class of the highest value could use up the limit alone. Some requests of each other class must
// be admitted all the same.
func TestNoClassIsShedEntirely(t *testing.T) {
	router := routerOfClasses(t, func(s *Settings) {
		setWeights(s, 1, 40, 1)
		setObjectives(s, second/2, second/100, second/2)
	})
	router.classes[1].sendingTime = 0.4 // the same as that of class 0, which has a fortieth of the weight
	router.classes[1].LatencyObjective = router.classes[0].LatencyObjective
	requested, sent := map[string]int{}, map[string]int{}
	type attempt struct {
		request *Request
		endsAt  int64
	}
	var inFlight []attempt
	for now, n := start, 0; now < start+20*second; now += second / 50 {
		for len(inFlight) > 0 && inFlight[0].endsAt <= now {
			router.AttemptEnded(now, inFlight[0].request, Outcome{
				Result:       Succeeded,
				Elapsed:      second / 2,
				SendingTime:  0.4,
				Note:         noteFilled,
				RequestEnded: true,
			})
			inFlight = inFlight[1:]
		}
		for _, class := range []string{"stamped", "harmless", "stamped", "stamped"} {
			n++
			request := newRequest(class, fmt.Sprint(n))
			requested[class]++
			if router.Decide(now, request).Verdict == Send {
				sent[class]++
				inFlight = append(inFlight, attempt{request, now + second/2})
			} else {
				router.EndRequest(now, request)
			}
		}
	}
	best := float64(sent["stamped"]) / float64(requested["stamped"])
	other := float64(sent["harmless"]) / float64(requested["harmless"])
	if other < best/2 || best > 0.9 {
		t.Errorf("admitted fractions: %.2f of the class of the highest value, want at most 0.9; %.2f of the other, "+
			"want at least half of that", best, other)
	}
}

// A response whose sending time alone exceeds its latency objective is no sign of an overload.
func TestResponsesTooLargeToBeInTimeDoNotLowerTheLimit(t *testing.T) {
	router := routerOfClasses(t, func(s *Settings) { setObjectiveStretches(s, 0, 0, 0) })
	for _, test := range []struct {
		elapsed int64
		lowers  bool
	}{{13 * second / 10, false}, {3 * second, true}} {
		before := router.admission.limits[fills]
		request := newRequest("harmless", fmt.Sprint(test.elapsed))
		router.Decide(start, request)
		router.AttemptEnded(start+test.elapsed, request, Outcome{
			Result:       Succeeded,
			Elapsed:      test.elapsed,
			SendingTime:  0.9,
			Note:         noteFilled,
			RequestEnded: true,
		})
		if got := router.admission.limits[fills] < before; got != test.lowers {
			t.Errorf("a response with a sending time of 0.9 s took %.1f s: limit %.3f, before %.3f, want it lowered: %v",
				float64(test.elapsed)/1e9, router.admission.limits[fills], before, test.lowers)
		}
	}
}

// If the origin can be overloaded, a retry after a rejected fill needs a token. Otherwise an origin that has stopped
// would get several attempts for each request.
func TestRejectedFillsTakeTokensIfTheOriginCanBeOverloaded(t *testing.T) {
	for _, factor := range []float64{0, 2.5} {
		router, retries := routerOfClasses(t, func(s *Settings) { s.OriginUnlimited = factor == 0 }), 0
		for n := range 60 {
			now := start + int64(n)*second/10
			request := newRequest("harmless", fmt.Sprint(n))
			decision := router.Decide(now, request)
			for decision.Verdict == Send {
				retries++
				last := len(request.attempts) - 1
				// Note 7: the source could not be reached.
				decision = router.AttemptEnded(now, request, Outcome{Result: Overloaded, Note: 7, Attempt: last})
			}
			router.EndRequest(now, request)
			retries-- // the first attempt of the request is no retry
		}
		if free := retries > 60; free != (factor == 0) {
			t.Errorf("overload factor %.1f: %d retries of 60 requests, more than 60 allowed: %v",
				factor, retries, factor == 0)
		}
	}
}

// Weights or latency objectives of 0 could lead to a division by zero, and so to a class that is never admitted.
func TestClassesWithExtremeSettings(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Settings)
	}{
		{"no weights", func(s *Settings) { setWeights(s, 0, 0, 0) }},
		{"one class without a weight", func(s *Settings) { setWeights(s, 0, 1, 1) }},
		{"no latency objectives", func(s *Settings) { setObjectives(s, 0, 0, 0) }},
		{"one class with a thousand times the weight", func(s *Settings) { setWeights(s, 1, 1000, 1) }},
		{"an objective below a round trip", func(s *Settings) { setObjectives(s, second/1000, second/2, second/2) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, func(s *Settings) {
				s.Classes[1].Idempotency = Idempotent
				test.change(s)
			})
			for n, class := range []string{"stamped", "harmless", "once"} {
				request := newRequest(class, fmt.Sprint(n))
				if decision := router.Decide(start, request); decision.Verdict != Send {
					t.Fatalf("class %s: decision %+v, want verdict send", class, decision)
				}
				if share := router.admissionShare(start, request); !(share > 0.1 && share < 10) {
					t.Errorf("class %s: share %v, want between 0.1 and 10", class, share)
				}
				router.AttemptEnded(start+second/10, request, Outcome{
					Result:       Succeeded,
					Elapsed:      second / 10,
					Note:         noteHit,
					RequestEnded: true,
				})
			}
		})
	}
}
