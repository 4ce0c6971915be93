package control

import (
	"fmt"
	"math"
	"testing"

	"tealpath/internal/logevent"
)

// runAtConcurrency keeps as many requests in flight as concurrency says, for span ns from the time from on. Each
// request that is sent gets a response in time. The results are the number of requests made in the last second, and
// the number of those that were not sent.
func runAtConcurrency(router *Router, from, span int64, concurrency int) (requested, rejected int) {
	type sent struct {
		request *Request
		endsAt  int64
	}
	var inFlight []sent
	for now, n := from, 0; now < from+span; now += second / 100 {
		for len(inFlight) > 0 && inFlight[0].endsAt <= now {
			router.AttemptEnded(now, inFlight[0].request, Outcome{
				Result:       Succeeded,
				Elapsed:      second / 4,
				SendingTime:  0.2,
				Note:         noteHit,
				RequestEnded: true,
			})
			inFlight = inFlight[1:]
		}
		for len(inFlight) < concurrency {
			n++
			request := newRequest("harmless", fmt.Sprint(n%40))
			request.Deadline = now + 5*second
			decision := router.Decide(now, request)
			if now >= from+span-second {
				requested++
			}
			if decision.Verdict != Send {
				router.EndRequest(now, request) // a request that waits counts as rejected too
				if now >= from+span-second {
					rejected++
				}
				break
			}
			inFlight = append(inFlight, sent{request, now + second/4})
		}
	}
	return requested, rejected
}

// If weights are not capacities, admission limits depend on what the caches serve. If weights of 1 were mistaken for
// capacities, half of the traffic would be rejected.
func TestMeasuredCapacitiesAdmitTheTraffic(t *testing.T) {
	for _, test := range []struct {
		units  string
		weight float64
	}{{"off", 1}, {"live", 0.2}, {"nominal", 12}, {"rough", 12}} {
		t.Run(test.units, func(t *testing.T) {
			router := newRouter(t, func(s *Settings) {
				s.Weights, s.LocationRouters = decodeWeights(test.units), 1
			})
			var entries []Endpoint
			for _, entry := range testEndpoints {
				entry.Capacity = test.weight
				entries = append(entries, entry)
			}
			router.UpdateEndpoints(start, entries, true)
			// Of the 24 requests in flight 12 are at each of the two caches, which respond to all of them in time.
			requested, rejected := runAtConcurrency(router, start, 4*second, 24)
			if rejected > 0 || requested < 24 {
				t.Errorf("in the fourth second %d of %d requests rejected, want 0 of at least 24", rejected, requested)
			}
			requested, rejected = runAtConcurrency(router, start+20*second, 4*second, 24)
			if rejected > 0 || requested < 24 {
				t.Errorf("in the 24th second %d of %d requests rejected, want 0 of at least 24", rejected, requested)
			}
		})
	}
}

// A measured capacity depends on the work that was served: it does not grow without bound while responses are
// missing.
func TestMeasuredCapacitiesAreBounded(t *testing.T) {
	router := newRouter(t, func(s *Settings) { s.Weights, s.LocationRouters = NoWeights, 1 })
	var entries []Endpoint
	for _, entry := range testEndpoints {
		entry.Capacity = 1
		entries = append(entries, entry)
	}
	router.UpdateEndpoints(start, entries, true)
	runAtConcurrency(router, start, 20*second, 8)
	now := start + 21*second
	sent := 0
	for n := range 1000 {
		request := newRequest("harmless", fmt.Sprint(n%40))
		if decision := router.Decide(now, request); decision.Verdict == Send {
			sent++
		}
	}
	// So far each of the two caches has served four requests at a time.
	if bound := int(2 * maxAdmissionLimit * maxAdmissionLimit * 4); sent > bound || sent < 8 {
		t.Errorf("%d requests sent at the same time to caches that have served 8, want 8 to %d", sent, bound)
	}
}

// If capacities are measured, all routers together must not send more than a parent in slow start can take. The
// number of routers varies, their traffic is uneven, their measurements have errors, and the parent in slow start
// has less capacity than the other parent.
func TestSlowStartOfMeasuredCapacities(t *testing.T) {
	const (
		mean             = 0.5 // s of sending time; mean work of a request
		parents          = 2
		load             = 0.7 // mean load of the parents, as a fraction of their capacity
		capacity         = 20. // capacity of each parent, in s of sending time per s, if measured correctly
		startingCapacity = 12. // the same unit; actual capacity of the parent in slow start once it is warm
	)
	window := 2 * second
	for _, routers := range []int{6, 24, 350} {
		for _, from := range []int64{0, 8 * second} { // ns from the start of the parent to the routers' first requests
			var sentAt []int64
			for n := range routers {
				settings := testSettings(func(s *Settings) { s.Routers, s.Weights = routers, NoWeights })
				router := New(start-20*second, uint64(n), settings, func(logevent.Event) {})
				entries := make([]Endpoint, len(testEndpoints))
				for i, entry := range testEndpoints {
					entries[i] = entry
					entries[i].Capacity = 1
				}
				entries[2].StartedAt = start
				router.UpdateEndpoints(start, entries, true)
				traffic := 0.5 // relative to the other routers: one in ten has ten times as much
				if n%10 == 0 {
					traffic = 5
				}
				// measured is the work per second that this router measures, with an error of up to half. The
				// mean of traffic over all routers is 0.95, so dividing by it makes the sum correspond to load.
				measured := load * capacity * parents / float64(routers) * traffic / 0.95 * (0.5 + router.random())
				endpoint := router.endpoints[3]
				router.slowStartAdmits(start, endpoint, mean)
				for now := start + from + int64(n)*second/20/int64(routers); now < start+16*second; now += second / 20 {
					router.capacity.byParents.work = measured * float64(rateWindow) / 1e9
					router.capacity.byParents.lastAt = now
					if router.slowStartAdmits(now, endpoint, mean) {
						sentAt = append(sentAt, now)
						endpoint.charge(now, mean)
					}
				}
			}
			if len(sentAt) < 4 {
				t.Errorf("%d routers: %d attempts in 16 s, want at least 4", routers, len(sentAt))
			}
			for _, first := range sentAt {
				sent := 0.
				for _, at := range sentAt {
					if at >= first && at < first+window {
						sent++
					}
				}
				share := 0.1 + 0.9*float64(first-start)/float64(20*second)
				n := 2 * startingCapacity * share * 2 / mean // SlowStartSettings: Factor is 2, Window is 2 s
				if limit := ruleLimit(n); sent > limit {
					t.Fatalf("%d routers: %.0f attempts in the window from %.1f s after the start on, limit %.1f",
						routers, sent, float64(first-start)/1e9, limit)
				}
			}
		}
	}
}

// While other routers of the location are down, this one gets their traffic too. If it still multiplied its own counts
// by the number of all routers, it would overestimate the load of the caches and reject requests.
func TestActiveRouters(t *testing.T) {
	for _, test := range []struct {
		name   string
		report func(own float64) []float64
		want   float64
	}{
		{"no reports", func(float64) []float64 { return nil }, 2},
		{"all attempts are from this router", func(own float64) []float64 { return []float64{0, own} }, 1},
		{"another router sends as much", func(own float64) []float64 { return []float64{0, 2*own - 1} }, 2},
		{"more than the number of routers", func(own float64) []float64 { return []float64{0, 9 * own} }, 2},
		{"a report of no attempts", func(float64) []float64 { return []float64{0, 0} }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, func(s *Settings) { s.LoadReportFields = []string{"x1", "inHand"} })
			router.admission.limits = [3]float64{maxAdmissionLimit, maxAdmissionLimit, maxAdmissionLimit}
			var sent []*Request
			for n := range 20 {
				request := newRequest("harmless", fmt.Sprint(n))
				if decision := router.Decide(start, request); decision.Verdict == Send {
					sent = append(sent, request)
				}
			}
			for _, request := range sent {
				own := float64(len(request.attempts[0].cache.inFlight))
				router.AttemptEnded(start+second/10, request, Outcome{
					Result:       Succeeded,
					RequestEnded: true,
					LoadReport:   test.report(own),
				})
			}
			if got := router.activeRouters(); math.Abs(got-test.want) > 0.01 {
				t.Errorf("after %d responses: %v active routers, want %v", len(sent), got, test.want)
			}
		})
	}
}
