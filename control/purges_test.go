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

// In these tests, trueTime is the time in ns by a correct clock, and offset is the number of ns by which this router's
// clock is ahead of the correct one.

// oldestIssuedAt returns the issue time of the oldest entry that a cache may serve for an attempt at trueTime.
// fresh is the class's fresh duration.
func oldestIssuedAt(trueTime int64, attempt Attempt, fresh int64) int64 {
	if attempt.MaxAge > 0 {
		return trueTime - attempt.MaxAge
	}
	if fresh > 0 {
		return trueTime - fresh
	}
	return trueTime - year
}

// Whatever the offset of this router's clock, no entry from before a purge is served for an attempt that was sent
// after the arrival of the purge. A retry after an entry that was too old gets a newer one.
func TestNoEntryFromBeforeAPurgeWithAnyClockOffset(t *testing.T) {
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
				return false // after PurgeDuration no cache has an entry from before the purge any more
			}
			request := &Request{Class: class, Object: "a", Group: 1, Deadline: sentAt + offset + 5*second}
			decision := router.Decide(sentAt+offset, request)
			for number := range 2 {
				if decision.Verdict != Send {
					t.Errorf("attempt %d: decision %+v, want verdict send", number, decision)
					return true
				}
				issuedAt := oldestIssuedAt(sentAt, decision.Attempt, router.classByName[class].FreshDuration)
				if router.AcceptsEntry(sentAt+offset, request, number, issuedAt) {
					if issuedAt < purgedAt {
						t.Errorf("an entry issued %d ns before the purge is served, accepted age %d ns",
							purgedAt-issuedAt, decision.Attempt.MaxAge)
					}
					return issuedAt < purgedAt
				}
				if issuedAt >= purgedAt {
					t.Errorf("an entry issued %d ns after the purge is not accepted", issuedAt-purgedAt)
					return true
				}
				if class != "harmless" {
					return false // the request may have run, so it must not be retried
				}
				outcome := Outcome{Attempt: number, Result: Stale, Elapsed: second / 100}
				decision = router.AttemptEnded(sentAt+offset, request, outcome)
			}
			t.Error("no entry was accepted after two attempts: both were too old")
			return true
		}(); failed {
			t.Fatalf("case %d: clock offset %v s, purge received after %v s, request sent after %v s, class %s, "+
				"purged object %q",
				i, float64(offset)/1e9, float64(receivedAt-purgedAt)/1e9, float64(sentAt-purgedAt)/1e9, class, object)
		}
	}
}

// If the clocks agree, entries that were issued between a purge and its arrival are valid. Counting from the arrival
// would reject them and cause needless fills.
func TestAcceptedAgeDependsOnTheTimestampIfClocksAgree(t *testing.T) {
	router := newRouter(t, nil)
	router.Purge(start+second, "a", 0, start)
	request := newRequest("harmless", "a")
	if attempt := router.Decide(start+3*second, request).Attempt; attempt.MaxAge != 3*second-purgeMargin {
		t.Errorf("accepted age %d ns, want %d ns", attempt.MaxAge, 3*second-purgeMargin)
	}
	const now = start + 3*second
	if !router.AcceptsEntry(now, request, 0, start) || router.AcceptsEntry(now, request, 0, start-1) {
		t.Error("want an entry issued at the purge's timestamp accepted, and one issued 1 ns earlier not accepted")
	}
}

func TestPurgesWithInvalidTimestamps(t *testing.T) {
	const receivedAt = start + second
	for _, test := range []struct {
		name        string
		purgedAt    int64
		maxAge      int64 // ns; accepted age 2 s after the purge arrives; 0: at least the time since 1970
		minIssuedAt int64
	}{
		{"valid", start, 3*second - purgeMargin, start},
		{"none", 0, 2*second - purgeMargin, 0},
		{"negative", -5, 2*second - purgeMargin, 0},
		{"the smallest int64", math.MinInt64, 2*second - purgeMargin, 0},
		{"a second ahead", receivedAt + second, 2*second - purgeMargin, 0},
		{"a year ahead", receivedAt + year, 2*second - purgeMargin, 0},
		{"the largest int64", math.MaxInt64, 2*second - purgeMargin, 0},
		{"1970, which could be correct", 1, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			router.Purge(receivedAt, "a", 0, test.purgedAt)
			router.Tick(receivedAt)
			request := newRequest("stamped", "a")
			maxAge := router.Decide(receivedAt+2*second, request).Attempt.MaxAge
			if test.maxAge > 0 && maxAge != test.maxAge || test.maxAge == 0 && maxAge < start {
				t.Errorf("accepted age %d ns, want %d ns (0: at least %d ns)", maxAge, test.maxAge, start)
			}
			if got := request.attempts[0].minIssuedAt; got != test.minIssuedAt {
				t.Errorf("entries are accepted from issue time %d on, want %d", got, test.minIssuedAt)
			}
		})
	}
}

// A later purge must not be ignored because an earlier one had an invalid timestamp, or because the clock of the
// discovery service was set back since then.
func TestRepeatedPurges(t *testing.T) {
	for _, test := range []struct {
		name       string
		timestamps []int64 // ns; timestamps of purges that arrive one per second, from start+second on
		maxAge     int64   // ns; accepted age 4 s after start; 0: the test checks the issue time instead
	}{
		{"two", []int64{start, start + 2*second}, 2*second - purgeMargin},
		{"one after a timestamp in the far future", []int64{math.MaxInt64, start + 2*second}, 2*second - purgeMargin},
		{"one after a purge without a timestamp", []int64{0, start + second}, 3*second - purgeMargin},
		{"after the clock was set back", []int64{start, start - 600*second}, 2*second - purgeMargin},
		{"another after the clock was set back", []int64{start, start - 600*second, start - 599*second}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			for i, purgedAt := range test.timestamps {
				router.Purge(start+int64(i+1)*second, "a", 0, purgedAt)
			}
			request := newRequest("stamped", "a")
			maxAge := router.Decide(start+4*second, request).Attempt.MaxAge
			if test.maxAge > 0 && maxAge != test.maxAge {
				t.Errorf("accepted age %d ns, want %d ns", maxAge, test.maxAge)
			}
			if test.maxAge > 0 {
				return
			}
			last, minIssuedAt := test.timestamps[len(test.timestamps)-1], request.attempts[0].minIssuedAt
			if minIssuedAt != last || router.AcceptsEntry(start+4*second, request, 0, last-1) {
				t.Errorf("entries are accepted from issue time %d on, want %d and not earlier", minIssuedAt, last)
			}
		})
	}
}

// A purge must not expire too early because its timestamp is from a clock that is behind this router's clock. It is
// kept for PurgeDuration and purgeExpiryMargin after its arrival.
func TestPurgesExpireByTheirArrival(t *testing.T) {
	router := newRouter(t, nil)
	const receivedAt = start + 3600*second
	router.Purge(receivedAt, "a", 0, start)
	for _, test := range []struct {
		after int64 // ns since the arrival of the purge
		kept  bool
	}{{6 * second, true}, {7 * second, false}} {
		router.Tick(receivedAt + test.after)
		if (router.purges.last["oa"] != nil) != test.kept {
			t.Errorf("%d ns after its arrival the purge is kept: %v, want %v", test.after, !test.kept, test.kept)
		}
	}
}

// The start time of an endpoint is by another machine's clock. If this router's clock is ahead of that one, the
// endpoint must not count as warm too early.
func TestSlowStartWithAnyClockOffset(t *testing.T) {
	const startedAt = start + 100*second // start time by a correct clock
	for _, offset := range []int64{0, 2 * second, 3600 * second, -2 * second, -3600 * second, year} {
		for _, entryReceived := range []bool{false, true} {
			t.Run(fmt.Sprintf("clock offset %d s, entry received: %v", offset/second, entryReceived), func(t *testing.T) {
				router := newRouter(t, nil)
				if entryReceived { // two entries: one was issued 5 ms ago, the other 1 s ago
					request := newRequest("harmless", "a")
					request.Deadline = startedAt + offset + second
					router.Decide(startedAt+offset, request)
					router.AcceptsEntry(startedAt+offset, request, 0, startedAt-second/200)
					router.AcceptsEntry(startedAt+offset, request, 0, startedAt-second)
				}
				entry := testEndpoints[0]
				entry.StartedAt = startedAt
				router.UpdateEndpoints(startedAt+offset+second, []Endpoint{entry}, false)
				since := router.slowStartSince(router.endpoints[1]) - offset // start time by a correct clock
				switch {
				case since > startedAt+second:
					t.Errorf("slow start begins %d s after the arrival of the list, want no later than the arrival",
						(since-startedAt)/second-1)
				case (entryReceived || offset <= 0) && since < startedAt:
					t.Errorf("slow start begins %d s before the start of the endpoint", (startedAt-since)/second)
				case offset == 0 && entryReceived && since > startedAt+second/100:
					t.Errorf("clocks agree: slow start begins %d ns after the start of the endpoint, want at most %d ns",
						since-startedAt, second/100)
				case offset == 0 && !entryReceived && since != startedAt:
					t.Errorf("clocks agree: slow start begins %d ns after the start of the endpoint, want 0 ns",
						since-startedAt)
				}
			})
		}
	}
}

func TestStartsWithInvalidTimestamps(t *testing.T) {
	for _, test := range []struct {
		name    string
		starts  []int64
		limited bool // slow start limits the endpoint at start+second, when it was last listed
		warm    bool // slow start no longer limits the endpoint at start+12*second
	}{
		{"long ago", []int64{0}, false, true},
		{"negative", []int64{-1}, false, true},
		{"the smallest int64", []int64{math.MinInt64}, false, true},
		{"1970", []int64{1}, false, true},
		{"now", []int64{start + second}, true, true},
		{"a year ahead: the slow start does not last a year", []int64{start + year}, true, true},
		{"the largest int64", []int64{math.MaxInt64}, true, true},
		{"a restart after the clock was set back", []int64{start + 3600*second, start + second}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			for _, startedAt := range test.starts {
				entry := testEndpoints[0]
				entry.StartedAt = startedAt
				router.UpdateEndpoints(start+second, []Endpoint{entry}, false)
			}
			endpoint := router.endpoints[1]
			const work = 20. // s of sending time; more than slow start admits
			if limited := !router.slowStartAdmits(start+second, endpoint, work); limited != test.limited {
				t.Errorf("limited when listed: %v, want %v", limited, test.limited)
			}
			if warm := router.slowStartAdmits(start+12*second, endpoint, work); warm != test.warm {
				t.Errorf("warm after the warm-up: %v, want %v", warm, test.warm)
			}
		})
	}
	router := newRouter(t, nil)
	entry := testEndpoints[0]
	entry.StartedAt = start - 30*second
	router.UpdateEndpoints(start, []Endpoint{entry}, false)
	entry.StartedAt = start - 600*second // a restart after the reporting machine's clock was set back
	router.UpdateEndpoints(start+second, []Endpoint{entry}, false)
	if endpoint := router.endpoints[1]; endpoint.slowStartReportedAt != start+second {
		t.Errorf("a restart with an earlier timestamp was ignored: reported at %d, want %d",
			endpoint.slowStartReportedAt, start+second)
	}
}

// A purge in a snapshot is effective at the router that restores it, whatever the clock offsets of both routers.
func TestPurgesOfASnapshotWithAnyClockOffsets(t *testing.T) {
	const purgedAt = 2*year + second // time of the purge by a correct clock
	for _, firstOffset := range []int64{0, 3600 * second, -3600 * second, year, -year} {
		for _, offset := range []int64{0, 2 * second, -2 * second, 3600 * second, -3600 * second, year, -year} {
			for _, rates := range []bool{false, true} {
				name := fmt.Sprintf("clock offsets %d s and %d s, rates %v", firstOffset/second, offset/second, rates)
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
					if decision.Verdict != Send || issuedAt < purgedAt && next.AcceptsEntry(now, request, 0, issuedAt) {
						t.Errorf("decision %+v, want verdict send and no entry from before the purge accepted; "+
							"one issued %v s before the purge is accepted", decision, float64(purgedAt-issuedAt)/1e9)
					}
				})
			}
		}
	}
}

// Times in a snapshot are by the clock of one process and must be shifted for another one. Timestamps of purges are by
// the clock of the discovery service, so shifting them would make purged entries valid again.
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
		t.Errorf("snapshot %+v shifted by 100 is %+v, want %+v and the original unchanged", snapshot, shifted, want)
	}
}

// A snapshot with times in the future, which no router writes, does not lead to rates that grow without bound.
func TestRestoreOfTimesInTheFuture(t *testing.T) {
	router := newRouter(t, nil)
	router.Restore(start, Snapshot{
		StartedAt: start + year, TakenAt: start, RequestCount: 5, RequestCountAt: start + year,
		Objects: []ObjectSnapshot{{Object: "a", Count: 3, CountedAt: start + year, FirstSeenAt: start + year}},
	}, true)
	record := router.rates.objects[objectKey{"a", 0}]
	rate := router.rates.ofObject(start, record)
	if math.IsInf(rate, 0) || rate > 3 || router.rates.startedAt > start || record.firstSeenAt > start {
		t.Errorf("rate %v, want at most 3; counting started at %d and the object was first seen at %d, want at most %d",
			rate, router.rates.startedAt, record.firstSeenAt, start)
	}
	if decision := router.Decide(start, newRequest("harmless", "a")); decision.Verdict != Send {
		t.Errorf("decision %+v, want verdict send", decision)
	}
}
