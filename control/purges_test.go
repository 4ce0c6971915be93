package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"tealpath/internal/logevent"
)

const year = 365 * 24 * 3600 * second

// trueTime in these tests is the time of clocks that are right; offset is by how much this router's clock is
// ahead of it, ns.

// oldestIssuedAt returns when the oldest entry was issued that a cache may serve to an attempt at a time, by
// trueTime.
func oldestIssuedAt(trueTime int64, attempt Attempt, fresh int64) int64 {
	if attempt.MaxAge > 0 {
		return trueTime - attempt.MaxAge
	}
	if fresh > 0 {
		return trueTime - fresh
	}
	return trueTime - year
}

// However far this router's clock is off, no entry from before a purge is served to an attempt that was sent
// after the purge's arrival, and a retry after an entry that was too old gets a newer one.
func TestNoEntryFromBeforeAPurgeHoweverTheClockIsOff(t *testing.T) {
	offsets := []int64{0, second / 1000, 2 * second, 7 * second, 12 * second, 3600 * second, 24 * 3600 * second, year}
	for i := range 10_000 {
		rng := rand.New(rand.NewPCG(uint64(i), 5))
		offset := offsets[rng.IntN(len(offsets))] * int64(1-2*rng.IntN(2))
		purgedAt := 2*year + rng.Int64N(second)
		receivedAt := purgedAt + rng.Int64N(8*second)
		sentAt := receivedAt + rng.Int64N(12*second)
		class := []string{"harmless", "stamped"}[rng.IntN(2)]
		object := []string{"a", ""}[rng.IntN(2)]
		if failed := func() bool {
			router := New(purgedAt+offset-second, uint64(i), testSettings(nil), func(logevent.Event) {})
			router.UpdateEndpoints(purgedAt+offset-second, testEndpoints, true)
			for at := purgedAt + offset; at < receivedAt+offset; at += second {
				router.Tick(at)
			}
			router.Purge(receivedAt+offset, object, 1, purgedAt)
			for at := receivedAt + offset; at < sentAt+offset; at += second / 10 {
				router.Tick(at)
			}
			if sentAt > purgedAt+6*second {
				return false // caches have dropped older entries by themselves
			}
			request := &Request{Class: class, Object: "a", Group: 1, Deadline: sentAt + offset + 5*second}
			decision := router.Decide(sentAt+offset, request)
			for number := range 2 {
				if decision.Verdict != Send {
					t.Errorf("attempt %d: %+v", number, decision)
					return true
				}
				issuedAt := oldestIssuedAt(sentAt, decision.Attempt, router.classByName[class].FreshDuration)
				if router.AcceptsCopy(sentAt+offset, request, number, issuedAt) {
					if issuedAt < purgedAt {
						t.Errorf("an entry issued %v ns before the purge is served, accepted age %v",
							purgedAt-issuedAt, decision.Attempt.MaxAge)
					}
					return issuedAt < purgedAt
				}
				if issuedAt >= purgedAt {
					t.Errorf("an entry issued after the purge is not accepted")
					return true
				}
				if class != "harmless" {
					return false // it may have run, and is not sent again
				}
				outcome := Outcome{Attempt: number, Result: Stale, Elapsed: second / 100}
				decision = router.AttemptEnded(sentAt+offset, request, outcome)
			}
			t.Error("the entries of both attempts were too old")
			return true
		}(); failed {
			t.Fatalf("case %d: clock off by %v s, purge received after %v s, request sent after %v s, %s, object %q", i,
				float64(offset)/1e9, float64(receivedAt-purgedAt)/1e9, float64(sentAt-purgedAt)/1e9, class, object)
		}
	}
}

// Where clocks agree the accepted age follows from the timestamp, and so does which entries are accepted.
func TestAgeFollowsTheTimestampWhereClocksAgree(t *testing.T) {
	router := newRouter(t, nil)
	router.Purge(start+second, "a", 0, start)
	request := newRequest("harmless", "a")
	if attempt := router.Decide(start+3*second, request).Attempt; attempt.MaxAge != 3*second-purgeMargin {
		t.Errorf("age %v", attempt.MaxAge)
	}
	const now = start + 3*second
	if !router.AcceptsCopy(now, request, 0, start) || router.AcceptsCopy(now, request, 0, start-1) {
		t.Error("an entry is judged by another time than the timestamp")
	}
}

func TestPurgesWithInvalidTimestamps(t *testing.T) {
	const receivedAt = start + second
	for _, test := range []struct {
		name        string
		purgedAt    int64
		maxAge      int64 // 2 s after its arrival
		minIssuedAt int64
	}{
		{"valid", start, 3*second - purgeMargin, start},
		{"none", 0, 2*second - purgeMargin, 0},
		{"negative", -5, 2*second - purgeMargin, 0},
		{"the least number", math.MinInt64, 2*second - purgeMargin, 0},
		{"a second ahead", receivedAt + second, 2*second - purgeMargin, 0},
		{"a year ahead", receivedAt + year, 2*second - purgeMargin, 0},
		{"the largest number", math.MaxInt64, 2*second - purgeMargin, 0},
		{"1970, which may be right and is expired", 1, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			router.Purge(receivedAt, "a", 0, test.purgedAt)
			router.Tick(receivedAt)
			request := newRequest("stamped", "a")
			maxAge := router.Decide(receivedAt+2*second, request).Attempt.MaxAge
			if test.maxAge > 0 && maxAge != test.maxAge || test.maxAge == 0 && maxAge < start {
				t.Errorf("age %v, want %v", maxAge, test.maxAge)
			}
			if got := request.attempts[0].minIssuedAt; got != test.minIssuedAt {
				t.Errorf("entries issued from %v on, want %v", got, test.minIssuedAt)
			}
		})
	}
}

// The last purge of an object counts, also after one with an invalid timestamp, and after the clock of the
// timestamps was set back.
func TestRepeatedPurges(t *testing.T) {
	for _, test := range []struct {
		name       string
		timestamps []int64 // of purges received a second apart, from start+second on
		maxAge     int64   // 4 s after start
	}{
		{"two", []int64{start, start + 2*second}, 2*second - purgeMargin},
		{"one after a timestamp of the far future", []int64{math.MaxInt64, start + 2*second}, 2*second - purgeMargin},
		{"one after none", []int64{0, start + second}, 3*second - purgeMargin},
		{"the clock was set back", []int64{start, start - 600*second}, 2*second - purgeMargin},
		{"and the next after that", []int64{start, start - 600*second, start - 599*second}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			for i, purgedAt := range test.timestamps {
				router.Purge(start+int64(i+1)*second, "a", 0, purgedAt)
			}
			request := newRequest("stamped", "a")
			maxAge := router.Decide(start+4*second, request).Attempt.MaxAge
			if test.maxAge > 0 && maxAge != test.maxAge {
				t.Errorf("age %v, want %v", maxAge, test.maxAge)
			}
			if test.maxAge > 0 {
				return
			}
			last, minIssuedAt := test.timestamps[len(test.timestamps)-1], request.attempts[0].minIssuedAt
			if minIssuedAt != last || router.AcceptsCopy(start+4*second, request, 0, last-1) {
				t.Errorf("entries issued from %v on, want %v", minIssuedAt, last)
			}
		})
	}
}

// A purge expires a time after its arrival, by this router's clock, whatever its timestamp.
func TestPurgesExpireByTheirArrival(t *testing.T) {
	router := newRouter(t, nil)
	const receivedAt = start + 3600*second
	router.Purge(receivedAt, "a", 0, start)
	for _, test := range []struct {
		after int64
		kept  bool
	}{{6 * second, true}, {7 * second, false}} {
		router.Tick(receivedAt + test.after)
		if (router.purges.last["oa"] != nil) != test.kept {
			t.Errorf("after %v: kept is %v", test.after, !test.kept)
		}
	}
}

// The start of an endpoint is stamped by another clock. If this router's clock is ahead the endpoint must not
// seem warm too soon.
func TestSlowStartHoweverTheClockIsOff(t *testing.T) {
	const startedAt = start + 100*second // by trueTime
	for _, offset := range []int64{0, 2 * second, 3600 * second, -2 * second, -3600 * second, year} {
		for _, entryCame := range []bool{false, true} {
			t.Run(fmt.Sprintf("off by %d s, an entry has come: %v", offset/second, entryCame), func(t *testing.T) {
				router := newRouter(t, nil)
				if entryCame { // one issued 5 ms ago, and an older one
					request := newRequest("harmless", "a")
					request.Deadline = startedAt + offset + second
					router.Decide(startedAt+offset, request)
					router.AcceptsCopy(startedAt+offset, request, 0, startedAt-second/200)
					router.AcceptsCopy(startedAt+offset, request, 0, startedAt-second)
				}
				entry := testEndpoints[0]
				entry.StartedAt = startedAt
				router.UpdateEndpoints(startedAt+offset+second, []Endpoint{entry}, false)
				since := router.slowStartSince(router.endpoints[1]) - offset // by trueTime
				switch {
				case since > startedAt+second:
					t.Errorf("slow start from %v s after the list came", (since-startedAt)/second-1)
				case (entryCame || offset <= 0) && since < startedAt:
					t.Errorf("slow start from %v s before the start", (startedAt-since)/second)
				case offset == 0 && entryCame && since > startedAt+second/100:
					t.Errorf("slow start from %v ns after the start, clocks agree", since-startedAt)
				case offset == 0 && !entryCame && since != startedAt:
					t.Errorf("slow start from %v ns after the start, clocks agree", since-startedAt)
				}
			})
		}
	}
}

func TestStartsWithInvalidTimestamps(t *testing.T) {
	for _, test := range []struct {
		name    string
		starts  []int64
		limited bool // when last listed, at start+second
		warm    bool // 10 s later, after its span
	}{
		{"long ago", []int64{0}, false, true},
		{"negative", []int64{-1}, false, true},
		{"the least number", []int64{math.MinInt64}, false, true},
		{"1970", []int64{1}, false, true},
		{"now", []int64{start + second}, true, true},
		{"a year ahead, and not for a year", []int64{start + year}, true, true},
		{"the largest number", []int64{math.MaxInt64}, true, true},
		{"a second start, with a clock set back", []int64{start + 3600*second, start + second}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			for _, startedAt := range test.starts {
				entry := testEndpoints[0]
				entry.StartedAt = startedAt
				router.UpdateEndpoints(start+second, []Endpoint{entry}, false)
			}
			endpoint := router.endpoints[1]
			const work = 20. // s; more than an endpoint in slow start admits
			if limited := !router.slowStartAdmits(start+second, endpoint, work); limited != test.limited {
				t.Errorf("limited is %v when listed", limited)
			}
			if warm := router.slowStartAdmits(start+12*second, endpoint, work); warm != test.warm {
				t.Errorf("warm is %v after its span", warm)
			}
		})
	}
	router := newRouter(t, nil)
	entry := testEndpoints[0]
	entry.StartedAt = start - 30*second
	router.UpdateEndpoints(start, []Endpoint{entry}, false)
	entry.StartedAt = start - 600*second // it started again, and the clock of the timestamp was set back
	router.UpdateEndpoints(start+second, []Endpoint{entry}, false)
	if endpoint := router.endpoints[1]; endpoint.slowStartReportedAt != start+second {
		t.Error("a start with an earlier timestamp was ignored")
	}
}

// A purge in a snapshot holds for the router that restores it, however far the clocks of both are off.
func TestPurgesOfASnapshotHoweverTheClocksAreOff(t *testing.T) {
	const purgedAt = 2*year + second // by trueTime
	for _, firstOffset := range []int64{0, 3600 * second, -3600 * second, year, -year} {
		for _, offset := range []int64{0, 2 * second, -2 * second, 3600 * second, -3600 * second, year, -year} {
			for _, rates := range []bool{false, true} {
				name := fmt.Sprintf("off by %d s, then by %d s, rates %v", firstOffset/second, offset/second, rates)
				t.Run(name, func(t *testing.T) {
					newRouterAt := func(now int64) *Router {
						router := New(now, 7, testSettings(nil), func(logevent.Event) {})
						router.UpdateEndpoints(now, testEndpoints, true)
						return router
					}
					first := newRouterAt(purgedAt + firstOffset)
					first.Purge(purgedAt+firstOffset+second/10, "a", 0, purgedAt)
					snapshot := first.Snapshot(purgedAt+firstOffset+second, 10)
					const trueTime = purgedAt + 2*second
					now := trueTime + offset
					next := newRouterAt(now)
					next.Restore(now, snapshot.Shifted(now-second-snapshot.TakenAt), rates)
					next.Tick(now)
					request := &Request{Class: "stamped", Object: "a", Group: 1, Deadline: now + 5*second}
					decision := next.Decide(now, request)
					issuedAt := oldestIssuedAt(trueTime, decision.Attempt, 0)
					if decision.Verdict != Send || issuedAt < purgedAt && next.AcceptsCopy(now, request, 0, issuedAt) {
						t.Errorf("an entry issued %v s before the purge would be served: %+v",
							float64(purgedAt-issuedAt)/1e9, decision)
					}
				})
			}
		}
	}
}

// The times of a snapshot are shifted to the clock of the process that restores it; timestamps of purges stay.
func TestShiftedSnapshot(t *testing.T) {
	snapshot := Snapshot{
		StartedAt:      1,
		TakenAt:        20,
		RequestCountAt: 3,
		Objects:        []ObjectSnapshot{{Object: "a", CountedAt: 4, FirstSeenAt: 5}},
		Purges:         []PurgeSnapshot{{"oa", 6}},
	}
	want := Snapshot{
		StartedAt:      101,
		TakenAt:        120,
		RequestCountAt: 103,
		Objects:        []ObjectSnapshot{{Object: "a", CountedAt: 104, FirstSeenAt: 105}},
		Purges:         []PurgeSnapshot{{"oa", 6}},
	}
	if shifted := snapshot.Shifted(100); !reflect.DeepEqual(shifted, want) || snapshot.Objects[0].CountedAt != 4 {
		t.Errorf("%+v of %+v, want %+v", shifted, snapshot, want)
	}
}

// A snapshot with times of the future, which no process writes, does not lead to rates that grow without bound.
func TestRestoreOfTimesInTheFuture(t *testing.T) {
	router := newRouter(t, nil)
	router.Restore(start, Snapshot{
		StartedAt: start + year, TakenAt: start, RequestCount: 5, RequestCountAt: start + year,
		Objects: []ObjectSnapshot{{Object: "a", Count: 3, CountedAt: start + year, FirstSeenAt: start + year}},
	}, true)
	record := router.rates.objects[objectKey{"a", 0}]
	rate := router.rates.ofObject(start, record)
	if math.IsInf(rate, 0) || rate > 3 || router.rates.startedAt > start || record.firstSeenAt > start {
		t.Errorf("rate %v, started %v, first seen %v", rate, router.rates.startedAt, record.firstSeenAt)
	}
	if decision := router.Decide(start, newRequest("harmless", "a")); decision.Verdict != Send {
		t.Errorf("%+v", decision)
	}
}
