package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"tealpath/internal/logevent"
	"testing"
)

const year = 365 * 24 * 3600 * second

// worst is the oldest copy that a cache may send at a time of the world's: one that is as old as a dispatch
// accepts.
func worst(world int64, d Attempt, fresh int64) (issued int64) {
	if d.MaxAge > 0 {
		return world - d.MaxAge
	}
	if fresh > 0 {
		return world - fresh
	}
	return world - year
}

// Our clock is off from the world's, by which copies and purges are stamped, and caches count ages. Whichever
// way, no copy from before a purge is served that was told at the sending; and what is asked for again after a
// copy too old is got.
func TestNoOlderCopyWhicheverWayTheClockIsOff(t *testing.T) {
	offs := []int64{0, second / 1000, 2 * second, 7 * second, 12 * second, 3600 * second, 24 * 3600 * second, year}
	for i := range 10_000 {
		rng := rand.New(rand.NewPCG(uint64(i), 5))
		off := offs[rng.IntN(len(offs))] * int64(1-2*rng.IntN(2))
		purged := 2*year + rng.Int64N(second)
		told := purged + rng.Int64N(8*second)
		asked := told + rng.Int64N(12*second)
		product := []string{"harmless", "stamped"}[rng.IntN(2)]
		object := []string{"a", ""}[rng.IntN(2)]
		if failed := func() bool {
			r, err := New(purged+off-second, uint64(i), site(nil), func(logevent.Event) {})
			if err != nil {
				t.Fatal(err)
			}
			r.UpdateEndpoints(purged+off-second, fleet, true)
			for at := purged + off; at < told+off; at += second {
				r.Tick(at)
			}
			r.Purge(told+off, object, 1, purged)
			for at := told + off; at < asked+off; at += second / 10 {
				r.Tick(at)
			}
			if asked > purged+6*second {
				return false // caches have dropped it by themselves
			}
			request := &Request{Class: product, Object: "a", Group: 1, Deadline: asked + off + 5*second}
			decision := r.Decide(asked+off, request)
			for try := range 2 {
				if decision.Verdict != Send {
					t.Errorf("try %d: %+v", try, decision)
					return true
				}
				issued := worst(asked, decision.Attempt, r.classByName[product].freshDuration)
				if r.AcceptsCopy(asked+off, request, try, issued) {
					if issued < purged {
						t.Errorf("a copy of %v before the purge is served, asked for with age %v", purged-issued, decision.Attempt.MaxAge)
					}
					return issued < purged
				}
				if issued >= purged {
					t.Errorf("a copy of after the purge is turned away")
					return true
				}
				if product != "harmless" {
					return false // it may have run, and is not asked for again
				}
				decision = r.AttemptEnded(asked+off, request, Outcome{Attempt: try, Result: Stale, Elapsed: second / 100})
			}
			t.Error("too old twice")
			return true
		}(); failed {
			t.Fatalf("case %d: off by %v s, told %v s after the purge, asked %v s after, %s, object %q", i, float64(off)/1e9,
				float64(told-purged)/1e9, float64(asked-purged)/1e9, product, object)
		}
	}
}

// Where clocks agree all is as the stamp says, and no copy is turned away.
func TestAgeByTheStampWhereClocksAgree(t *testing.T) {
	r := newRouter(t, nil)
	r.Purge(start+second, "a", 0, start)
	request := ask("harmless", "a")
	if d := r.Decide(start+3*second, request).Attempt; d.MaxAge != 3*second-purgeMargin {
		t.Errorf("age %v", d.MaxAge)
	}
	if !r.AcceptsCopy(start+3*second, request, 0, start) || r.AcceptsCopy(start+3*second, request, 0, start-1) {
		t.Error("a copy is judged by another moment than the stamp")
	}
}

func TestOddStampsOfPurges(t *testing.T) {
	const told = start + second
	for _, c := range []struct {
		name  string
		stamp int64
		most  int64 // age accepted 2 s after it was told
		from  int64 // from when on a copy must be issued
	}{
		{"as usual", start, 3*second - purgeMargin, start},
		{"none", 0, 2*second - purgeMargin, 0},
		{"negative", -5, 2*second - purgeMargin, 0},
		{"the least number", math.MinInt64, 2*second - purgeMargin, 0},
		{"a second ahead", told + second, 2*second - purgeMargin, 0},
		{"a year ahead", told + year, 2*second - purgeMargin, 0},
		{"the largest number", math.MaxInt64, 2*second - purgeMargin, 0},
		{"1970: taken at its word, it is over", 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			r.Purge(told, "a", 0, c.stamp)
			r.Tick(told)
			request := ask("stamped", "a")
			d := r.Decide(told+2*second, request).Attempt
			if c.most > 0 && d.MaxAge != c.most || c.most == 0 && d.MaxAge < start {
				t.Errorf("age %v, want %v", d.MaxAge, c.most)
			}
			if from := request.attempts[0].minIssuedAt; from != c.from {
				t.Errorf("copies from %v on, want %v", from, c.from)
			}
		})
	}
}

// The last purge of an object counts, also behind one with an odd stamp, and where the clock that stamps is set
// back.
func TestPurgesInARow(t *testing.T) {
	for _, c := range []struct {
		name   string
		stamps []int64 // told a second apart, from start+second on
		age    int64   // accepted 4 s after start
	}{
		{"two", []int64{start, start + 2*second}, 2*second - purgeMargin},
		{"one behind a stamp of the far future", []int64{math.MaxInt64, start + 2*second}, 2*second - purgeMargin},
		{"one behind none", []int64{0, start + second}, 3*second - purgeMargin},
		{"the clock was set back", []int64{start, start - 600*second}, 2*second - purgeMargin},
		{"and the next after that", []int64{start, start - 600*second, start - 599*second}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			for i, stamp := range c.stamps {
				r.Purge(start+int64(i+1)*second, "a", 0, stamp)
			}
			request := ask("stamped", "a")
			d := r.Decide(start+4*second, request).Attempt
			if c.age > 0 && d.MaxAge != c.age {
				t.Errorf("age %v, want %v", d.MaxAge, c.age)
			}
			if last := c.stamps[len(c.stamps)-1]; c.age == 0 && (request.attempts[0].minIssuedAt != last || r.AcceptsCopy(start+4*second, request, 0, last-1)) {
				t.Errorf("copies from %v on", request.attempts[0].minIssuedAt)
			}
		})
	}
}

// A purge is kept from when it was told: by its stamp and a clock an hour ahead it was forgotten at the next
// tick.
func TestPurgesAreForgottenByOurTime(t *testing.T) {
	r := newRouter(t, nil)
	const told = start + 3600*second
	r.Purge(told, "a", 0, start)
	for _, c := range []struct {
		after int64
		kept  bool
	}{{6 * second, true}, {7 * second, false}} {
		r.Tick(told + c.after)
		if (r.purges.last["oa"] != nil) != c.kept {
			t.Errorf("after %v: kept is %v", c.after, !c.kept)
		}
	}
}

// A server's start is stamped by another clock: with ours ahead it seemed warm too soon.
func TestSlowStartSinceWhicheverWayTheClockIsOff(t *testing.T) {
	const began = start + 100*second // on the world's clock
	for _, off := range []int64{0, 2 * second, 3600 * second, -2 * second, -3600 * second, year} {
		for _, copied := range []bool{false, true} {
			t.Run(fmt.Sprintf("off by %d s, a copy has come: %v", off/second, copied), func(t *testing.T) {
				r := newRouter(t, nil)
				if copied { // one that was on its way for 5 ms, and one that is old
					request := ask("harmless", "a")
					request.Deadline = began + off + second
					r.Decide(began+off, request)
					r.AcceptsCopy(began+off, request, 0, began-second/200)
					r.AcceptsCopy(began+off, request, 0, began-second)
				}
				line := fleet[0]
				line.StartedAt = began
				told := began + off + second
				r.UpdateEndpoints(told, []Endpoint{line}, false)
				since := r.slowStartSince(r.endpoints[1]) - off // on the world's clock
				switch {
				case since > began+second:
					t.Errorf("cold from %v s after it was told", (since-began)/second-1)
				case (copied || off <= 0) && since < began:
					t.Errorf("cold from %v s before its start", (began-since)/second)
				case off == 0 && copied && since > began+second/100, off == 0 && !copied && since != began:
					t.Errorf("cold from %v ns after its start, clocks agree", since-began)
				}
			})
		}
	}
}

func TestOddStampsOfStarts(t *testing.T) {
	for _, c := range []struct {
		name   string
		starts []int64
		cold   bool // when last told, at start+second
		warm   bool // 10 s later, its span
	}{
		{"long ago", []int64{0}, false, true},
		{"negative", []int64{-1}, false, true},
		{"the least number", []int64{math.MinInt64}, false, true},
		{"1970", []int64{1}, false, true},
		{"now", []int64{start + second}, true, true},
		{"a year ahead: not for a year", []int64{start + year}, true, true},
		{"the largest number", []int64{math.MaxInt64}, true, true},
		{"again, with a clock set back", []int64{start + 3600*second, start + second}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			for _, s := range c.starts {
				line := fleet[0]
				line.StartedAt = s
				r.UpdateEndpoints(start+second, []Endpoint{line}, false)
			}
			endpoint := r.endpoints[1]
			const much = 20. // seconds of sending time at once: no cold one bears it
			if cold := !r.slowStartAdmits(start+second, endpoint, much); cold != c.cold {
				t.Errorf("cold is %v when told", cold)
			}
			if warm := r.slowStartAdmits(start+12*second, endpoint, much); warm != c.warm {
				t.Errorf("warm is %v after its span", warm)
			}
		})
	}
	r := newRouter(t, nil)
	line := fleet[0]
	line.StartedAt = start - 30*second
	r.UpdateEndpoints(start, []Endpoint{line}, false)
	line.StartedAt = start - 600*second // it started again, and the clock that tells it was set back
	r.UpdateEndpoints(start+second, []Endpoint{line}, false)
	if endpoint := r.endpoints[1]; endpoint.slowStartReportedAt != start+second {
		t.Error("a start with an earlier stamp passed for none")
	}
}

// A purge that a memory brings binds the router that takes it over, whichever way that one's clock is off from
// the one before.
func TestPurgesOfASnapshotWhicheverWayTheClockIsOff(t *testing.T) {
	const purged = 2*year + second // on the world's clock
	for _, before := range []int64{0, 3600 * second, -3600 * second, year, -year} {
		for _, off := range []int64{0, 2 * second, -2 * second, 3600 * second, -3600 * second, year, -year} {
			for _, rates := range []bool{false, true} {
				t.Run(fmt.Sprintf("off by %d s, then by %d s, rates %v", before/second, off/second, rates), func(t *testing.T) {
					make := func(now int64) *Router {
						r, err := New(now, 7, site(nil), func(logevent.Event) {})
						if err != nil {
							t.Fatal(err)
						}
						r.UpdateEndpoints(now, fleet, true)
						return r
					}
					first := make(purged + before)
					first.Purge(purged+before+second/10, "a", 0, purged)
					m := first.Snapshot(purged+before+second, 10)
					const world = purged + 2*second
					next := make(world + off)
					next.Restore(world+off, m.Shifted(world+off-second-m.TakenAt), rates)
					next.Tick(world + off)
					request := &Request{Class: "stamped", Object: "a", Group: 1, Deadline: world + off + 5*second}
					decision := next.Decide(world+off, request)
					issued := worst(world, decision.Attempt, 0)
					if decision.Verdict != Send || issued < purged && next.AcceptsCopy(world+off, request, 0, issued) {
						t.Errorf("a copy of %v s before the purge would be served: %+v", float64(purged-issued)/1e9, decision)
					}
				})
			}
		}
	}
}

// A memory is moved onto the axis of the process that takes it over; purges keep the stamps of who told them.
func TestShiftedSnapshot(t *testing.T) {
	m := Snapshot{
		StartedAt: 1, TakenAt: 20, RequestCountAt: 3, Objects: []ObjectSnapshot{{Object: "a", CountedAt: 4, FirstSeenAt: 5}},
		Purges: []PurgeSnapshot{{"oa", 6}},
	}
	moved := m.Shifted(100)
	if moved.StartedAt != 101 || moved.TakenAt != 120 || moved.RequestCountAt != 103 || moved.Objects[0].CountedAt != 104 ||
		moved.Objects[0].FirstSeenAt != 105 || moved.Purges[0].PurgedAt != 6 || m.Objects[0].CountedAt != 4 {
		t.Errorf("%+v of %+v", moved, m)
	}
}

// What a file holds that no process has written so: rates are never of the future, where they grew without
// bound.
func TestRestoreOfTheFuture(t *testing.T) {
	r := newRouter(t, nil)
	r.Restore(start, Snapshot{
		StartedAt: start + year, TakenAt: start, RequestCount: 5, RequestCountAt: start + year,
		Objects: []ObjectSnapshot{{Object: "a", Count: 3, CountedAt: start + year, FirstSeenAt: start + year}},
	}, true)
	record := r.rates.objects[objectKey{"a", 0}]
	if rate := r.rates.ofObject(start, record); math.IsInf(rate, 0) || rate > 3 || r.rates.startedAt > start || record.firstSeenAt > start {
		t.Errorf("rate %v, started %v, born %v", rate, r.rates.startedAt, record.firstSeenAt)
	}
	if decision := r.Decide(start, ask("harmless", "a")); decision.Verdict != Send {
		t.Errorf("%+v", decision)
	}
}
