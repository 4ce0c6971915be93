package control

import (
	"fmt"
	"math"
	"testing"

	"tealpath/internal/logevent"
)

// runAtConcurrency keeps so many requests in flight for a span, ns, each of which is answered in time. It
// returns how many requests came, and how many of them were not sent, in the last second.
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
				router.ClientGone(now, request) // what waits counts as rejected too
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

// Where weights are no capacities, limits follow from what the caches serve. Taken for capacities, weights of
// one would have half of the traffic rejected.
func TestMeasuredCapacitiesAdmitTheTraffic(t *testing.T) {
	for _, test := range []struct {
		units  string
		weight float64
	}{{"off", 1}, {"live", 0.2}, {"nominal", 12}, {"rough", 12}} {
		t.Run(test.units, func(t *testing.T) {
			router := newRouter(t, func(s *Settings) {
				s.Weights, s.LocationRouters = decodeWeights(test.units), 1
			})
			var lines []Endpoint
			for _, line := range testEndpoints {
				line.Capacity = test.weight
				lines = append(lines, line)
			}
			router.UpdateEndpoints(start, lines, true)
			// twelve at each of two caches, which can take them
			requested, rejected := runAtConcurrency(router, start, 4*second, 24)
			if rejected > 0 || requested < 24 {
				t.Errorf("of %d requests in the fourth second %d rejected", requested, rejected)
			}
			requested, rejected = runAtConcurrency(router, start+20*second, 4*second, 24)
			if rejected > 0 || requested < 24 {
				t.Errorf("later, of %d requests in a second %d rejected", requested, rejected)
			}
		})
	}
}

// A measured capacity follows from what was served: while answers are missing it does not grow without bound.
func TestMeasuredCapacitiesAreBounded(t *testing.T) {
	router := newRouter(t, func(s *Settings) { s.Weights, s.LocationRouters = NoWeights, 1 })
	var lines []Endpoint
	for _, line := range testEndpoints {
		line.Capacity = 1
		lines = append(lines, line)
	}
	router.UpdateEndpoints(start, lines, true)
	runAtConcurrency(router, start, 20*second, 8)
	now := start + 21*second
	sent := 0
	for n := range 1000 {
		request := newRequest("harmless", fmt.Sprint(n%40))
		if decision := router.Decide(now, request); decision.Verdict == Send {
			sent++
		}
	}
	// two caches have served four each
	if bound := int(2 * maxAdmissionLimit * maxAdmissionLimit * 4); sent > bound || sent < 8 {
		t.Errorf("%d sent at once to caches that have served 8, want %d at most", sent, bound)
	}
}

// Where capacities are measured, all routers together keep within what a parent in slow start can take: few
// routers or many, with uneven traffic, with errors in what each has measured, and if the parent is smaller
// than the others.
func TestSlowStartOfMeasuredCapacities(t *testing.T) {
	const mean, parents, load, capacity, small = 0.5, 2, 0.7, 20., 12.
	window := 2 * second
	for _, routers := range []int{6, 24, 350} {
		for _, from := range []int64{0, 8 * second} { // from the start on; all at once some time later
			var sentAt []int64
			for n := range routers {
				settings := testSettings(func(s *Settings) { s.Routers, s.Weights = routers, NoWeights })
				router := New(start-20*second, uint64(n), settings, func(logevent.Event) {})
				lines := make([]Endpoint, len(testEndpoints))
				for i, line := range testEndpoints {
					lines[i] = line
					lines[i].Capacity = 1
				}
				lines[2].StartedAt = start
				router.UpdateEndpoints(start, lines, true)
				uneven := 0.5 // one router in ten has ten times the traffic of the others
				if n%10 == 0 {
					uneven = 5
				}
				measured := load * capacity * parents / float64(routers) * uneven / 0.95 * (0.5 + router.random())
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
				t.Errorf("%d routers: %d attempts in 16 s", routers, len(sentAt))
			}
			for _, first := range sentAt {
				sent := 0.
				for _, at := range sentAt {
					if at >= first && at < first+window {
						sent++
					}
				}
				share := 0.1 + 0.9*float64(first-start)/float64(20*second)
				n := 2 * small * share * 2 / mean
				if limit := ruleLimit(n); sent > limit {
					t.Fatalf("%d routers: %.0f attempts within a window %.1f s after the start, the limit is %.1f",
						routers, sent, float64(first-start)/1e9, limit)
				}
			}
		}
	}
}

// While other routers of the location are down this one has their traffic too, and must not scale its own
// counts up.
func TestActiveSharers(t *testing.T) {
	for _, test := range []struct {
		name   string
		report func(own float64) []float64
		want   float64
	}{
		{"no reports", func(float64) []float64 { return nil }, 2},
		{"all is in flight from this router", func(own float64) []float64 { return []float64{0, own} }, 1},
		{"another one sends as much", func(own float64) []float64 { return []float64{0, 2*own - 1} }, 2},
		{"more than there are routers", func(own float64) []float64 { return []float64{0, 9 * own} }, 2},
		{"a report of nothing", func(float64) []float64 { return []float64{0, 0} }, 1},
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
			if got := router.activeSharers(); math.Abs(got-test.want) > 0.01 {
				t.Errorf("%d answers: %v, want %v", len(sent), got, test.want)
			}
		})
	}
}
