package control

import (
	"fmt"
	"math"
	"testing"
)

// In all cases the cost of a fill, c·b in docs/design.md, is 0.1 missed updates. With a count of 100 the location has
// 20 requests per second for the object: 100 at each of 2 routers within rateWindow, which is 10 s.
func TestAcceptedAge(t *testing.T) {
	cases := []struct {
		name   string
		count  float64 // requests for the object at this router, decayed over rateWindow
		purges float64
		fresh  int64 // ns; fresh duration of the class; 0: unlimited
		age    int64 // s from the first request for the object to the last one
		want   float64
	}{
		{"a rare object keeps the fresh duration", 0.01, 0, 8 * second, 0, 8},
		{"a hot object has the optimal age", 100, 0, 8 * second, 0, math.Sqrt(2 * 0.1 / (1. / 8 * 20))},
		{"purges raise the update rate", 100, 3, 8 * second, 8, math.Sqrt(2 * 0.1 / (4. / 16 * 20))},
		{"never purged, without a fresh duration: any age", 100, 0, 0, 0, 0},
		{"purged, without a fresh duration", 100, 2, 0, 20, math.Sqrt(2 * 0.1 / (2. / 20 * 20))},
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
				t.Errorf("accepted age %v s, want %v s", got, test.want)
			}
			if until := now + record.maxAge; record.maxAge < forever && record.maxAgeUntil != until {
				t.Errorf("accepted age is valid until %v, want %v", record.maxAgeUntil, until)
			}
		})
	}
}

func TestPurgesLimitTheAge(t *testing.T) {
	cases := []struct {
		name      string
		class     string
		object    string // the purged object; empty: the object's group is purged
		received  int64  // ns from the timestamp of the purge to its arrival at the router
		requested int64  // ns from the timestamp of the purge to the request
		maxAge    int64  // ns; largest accepted age; 0: the purge sets no limit
	}{
		{"an object, requested soon after", "harmless", "a", 0, second / 2, second / 2},
		{"an object, requested at the same time: not 0, which means the fresh duration", "harmless", "a", 0, 0, 1000},
		{"its group", "harmless", "", second / 10, 2 * second, 2 * second},
		{"without a fresh duration", "stamped", "a", 0, 3 * second, 3 * second},
		{"another object", "stamped", "b", 0, second, 0},
		{"expired, after all caches have dropped older entries", "stamped", "a", 0, 8 * second, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			router.Purge(start+test.received, test.object, 1, start)
			now := start + test.requested
			router.Tick(now)
			age := router.Decide(now, newRequest(test.class, "a")).Attempt.MaxAge
			if test.maxAge > 0 && (age <= 0 || age > test.maxAge) || test.maxAge == 0 && age != 0 {
				t.Errorf("accepted age %d ns, want at most %d ns (0: no limit)", age, test.maxAge)
			}
		})
	}
}

func TestCachePriorityOfReusedObjects(t *testing.T) {
	for _, test := range []struct {
		routers int
		between int64 // seconds between the first and the second request
		want    int64 // CachePriority of the second request
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
