package control

import (
	"fmt"
	"math"
	"tealpath/internal/logevent"
	"testing"
)

// played keeps so many retrievals in hand at once for some seconds, each served in time after its sending time
// of 0.2 s, and counts what was asked and what was turned away in the last second.
func played(r *Router, from, span int64, atOnce int) (asked, refused int) {
	type open struct {
		ret  *Request
		ends int64
	}
	var hand []open
	for now, n := from, 0; now < from+span; now += second / 100 {
		for len(hand) > 0 && hand[0].ends <= now {
			r.AttemptEnded(now, hand[0].ret, Outcome{Result: Succeeded, Elapsed: second / 4, SendingTime: 0.2, Note: 1, RequestEnded: true})
			hand = hand[1:]
		}
		for len(hand) < atOnce {
			n++
			request := ask("harmless", fmt.Sprint(n%40))
			request.Deadline = now + 5*second
			decision := r.Decide(now, request)
			if now >= from+span-second {
				asked++
			}
			if decision.Verdict != Send {
				r.ClientGone(now, request) // what waits is turned away as well: there is no end of clients
				if now >= from+span-second {
					refused++
				}
				break
			}
			hand = append(hand, open{request, now + second/4})
		}
	}
	return asked, refused
}

// Where weights tell no size, rooms follow what the caches carry: a weight of one for all was taken for a cache
// that sends one answer at a time, and half of the traffic of a whole deployment was turned away.
func TestCapacitiesThatWeightsDoNotTell(t *testing.T) {
	for _, c := range []struct {
		units string
		told  float64
	}{{"off", 1}, {"live", 0.2}, {"nominal", 12}, {"rough", 12}} {
		t.Run(c.units, func(t *testing.T) {
			r := newRouter(t, Settings{"units": c.units, "location.routers": []int64{0, 1, 1}})
			var lines []Endpoint
			for _, line := range fleet {
				line.Capacity = c.told
				lines = append(lines, line)
			}
			r.UpdateEndpoints(start, lines, true)
			asked, refused := played(r, start, 4*second, 24) // twelve at once at each of two caches, that bear it
			if refused > 0 || asked < 24 {
				t.Errorf("of %d asked in the fourth second %d refused", asked, refused)
			}
			asked, refused = played(r, start+20*second, 4*second, 24)
			if refused > 0 || asked < 24 {
				t.Errorf("later, of %d asked in a second %d refused", asked, refused)
			}
		})
	}
}

// What is measured is no more than what was carried: where answers stop, in time or at all, rooms stay bounded.
func TestCapacitiesAreNoMoreThanWasCarried(t *testing.T) {
	r := newRouter(t, Settings{"units": "off", "location.routers": []int64{0, 1, 1}})
	var lines []Endpoint
	for _, line := range fleet {
		line.Capacity = 1
		lines = append(lines, line)
	}
	r.UpdateEndpoints(start, lines, true)
	played(r, start, 20*second, 8)
	now := start + 21*second
	sent := 0
	for n := range 1000 {
		request := ask("harmless", fmt.Sprint(n%40))
		if decision := r.Decide(now, request); decision.Verdict == Send {
			sent++
		}
	}
	if most := int(2 * maxAdmissionLimit * maxAdmissionLimit * 4); sent > most || sent < 8 { // four carried by each of two
		t.Errorf("%d sent at once to caches that were seen to carry 8, %d at most were wanted", sent, most)
	}
}

// Where weights tell no sizes, all routers together keep to what a cold parent bears, with few processes as
// with many, with uneven traffic and chance in what each has measured, also where it is much smaller than the
// others.
func TestSlowStartOfMeasuredCapacities(t *testing.T) {
	const mean, parents, load, capacity, small = 0.5, 2, 0.7, 20., 12.
	window := 2 * second
	for _, routers := range []int{6, 24, 350} {
		for _, from := range []int64{0, 8 * second} { // all the time, and all in one moment after a while
			type sending struct{ at int64 }
			var all []sending
			for n := range routers {
				r, err := New(start-20*second, uint64(n), site(Settings{"routers": int64(routers), "units": "off"}), func(logevent.Event) {})
				if err != nil {
					t.Fatal(err)
				}
				lines := make([]Endpoint, len(fleet))
				for i, line := range fleet {
					lines[i] = line
					lines[i].Capacity = 1
				}
				lines[2].StartedAt = start
				r.UpdateEndpoints(start, lines, true)
				uneven := 0.5 // one in ten has ten times what the others have
				if n%10 == 0 {
					uneven = 5
				}
				measured := load * capacity * parents / float64(routers) * uneven / 0.95 * (0.5 + r.random())
				endpoint := r.endpoints[3]
				r.slowStartAdmits(start, endpoint, mean)
				for now := start + from + int64(n)*second/20/int64(routers); now < start+16*second; now += second / 20 {
					r.capacity.byParents.work, r.capacity.byParents.lastAt = measured*float64(rateWindow)/1e9, now
					if r.slowStartAdmits(now, endpoint, mean) {
						all = append(all, sending{now})
						endpoint.charge(now, mean)
					}
				}
			}
			if len(all) < 4 {
				t.Errorf("%d routers: %d dispatches in 16 s", routers, len(all))
			}
			for _, first := range all {
				sent := 0.
				for _, s := range all {
					if s.at >= first.at && s.at < first.at+window {
						sent++
					}
				}
				share := 0.1 + 0.9*float64(first.at-start)/float64(20*second)
				bears := 2 * small * share * 2 / mean
				if most := falls(bears); sent > most {
					t.Fatalf("%d routers: %.0f dispatches within a window %.1f s after the start, it bears %.1f", routers, sent,
						float64(first.at-start)/1e9, most)
				}
			}
		}
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
				request := ask("harmless", fmt.Sprint(n))
				if decision := r.Decide(start, request); decision.Verdict == Send {
					out = append(out, request)
				}
			}
			for _, request := range out {
				own := float64(len(request.attempts[0].cache.inFlight))
				r.AttemptEnded(start+second/10, request, Outcome{Result: Succeeded, RequestEnded: true, LoadReport: c.told(own)})
			}
			if got := r.activeSharers(); math.Abs(got-c.want) > 0.01 {
				t.Errorf("%d answers: %v, want %v", len(out), got, c.want)
			}
		})
	}
}
