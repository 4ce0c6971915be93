package control

import (
	"fmt"
	"math"
	"testing"
)

func TestAcceptedAge(t *testing.T) {
	cases := []struct {
		name   string
		count  float64 // this router's requests in the window
		purges float64
		fresh  int64
		age    int64 // of the record, in seconds
		want   float64
	}{
		{"a rare object keeps the fresh duration", 0.01, 0, 8 * second, 0, 8},
		{"the optimal age binds for a hot one", 100, 0, 8 * second, 0, math.Sqrt(2 * 0.1 / (1. / 8 * 20))},
		{"purges raise the rate of updates", 100, 3, 8 * second, 8, math.Sqrt(2 * 0.1 / (4. / 16 * 20))},
		{"never purged and without a fresh duration: any age", 100, 0, 0, 0, 0},
		{"purged and without a fresh duration", 100, 2, 0, 20, math.Sqrt(2 * 0.1 / (2. / 20 * 20))},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			now := start + 20*second
			record := &objectRecord{
				requestCount: test.count,
				countedAt:    now,
				firstSeenAt:  now - test.age*second,
				purgeCount:   test.purges,
			}
			class := &classState{ClassSettings: ClassSettings{FreshDuration: test.fresh}}
			state := requestState{class: class, record: record}
			router.updateMaxAge(now, &Request{SizeKB: 0.1 / missedUpdatesPerKB, requestState: state})
			got := float64(record.maxAge) / 1e9
			if record.maxAge == forever {
				got = 0
			}
			if math.Abs(got-test.want) > 1e-6 {
				t.Errorf("age %v, want %v", got, test.want)
			}
			if until := now + record.maxAge; record.maxAge < forever && record.maxAgeUntil != until {
				t.Errorf("valid until %v, want %v", record.maxAgeUntil, until)
			}
		})
	}
}

func TestPurgesLimitTheAge(t *testing.T) {
	cases := []struct {
		name      string
		class     string
		object    string // "" purges the group
		received  int64  // ns after the purge
		requested int64  // ns after the purge
		maxAge    int64  // ns; 0 is no limit by the purge
	}{
		{"an object, soon after", "harmless", "a", 0, second / 2, second / 2},
		{"in the same instant: not 0, which means the fresh duration", "harmless", "a", 0, 0, 1000},
		{"its group", "harmless", "", second / 10, 2 * second, 2 * second},
		{"without a fresh duration", "stamped", "a", 0, 3 * second, 3 * second},
		{"another object", "stamped", "b", 0, second, 0},
		{"expired when all have dropped older entries", "stamped", "a", 0, 8 * second, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			router.Purge(start+test.received, test.object, 1, start)
			now := start + test.requested
			router.Tick(now)
			age := router.Decide(now, newRequest(test.class, "a")).Attempt.MaxAge
			if test.maxAge > 0 && (age <= 0 || age > test.maxAge) || test.maxAge == 0 && age != 0 {
				t.Errorf("age %v, want at most %v", age, test.maxAge)
			}
		})
	}
}

func TestCachePriorityOfReusedObjects(t *testing.T) {
	for _, test := range []struct {
		routers int
		between int64 // seconds
		want    int64 // priority at the second request
	}{{1, 1, 2}, {1, 30, 1}, {20, 30, 2}} {
		t.Run(fmt.Sprintf("again after %d s, one of %d routers", test.between, test.routers), func(t *testing.T) {
			router := newRouter(t, func(s *Settings) { s.LocationRouters = test.routers })
			for i, want := range []int64{priorityOnce, test.want} {
				now := start + rateWindow + int64(i)*test.between*second
				request := newRequest("harmless", "a")
				if got := router.Decide(now, request).Attempt.CachePriority; got != want {
					t.Errorf("request %d has priority %d, want %d", i, got, want)
				}
				router.AttemptEnded(now, request, Outcome{Result: Succeeded, RequestEnded: true})
			}
		})
	}
}
