package control

import (
	"fmt"
	"math"
	"testing"
)

func TestAcceptedAge(t *testing.T) {
	cases := []struct {
		name   string
		count  float64 // own requests in the window
		purges float64
		fresh  int64
		born   int64 // seconds ago
		want   float64
	}{
		{"a rare object keeps the fresh time", 0.01, 0, 8 * second, 0, 8},
		{"the root binds for a hot one", 100, 0, 8 * second, 0, math.Sqrt(2 * 0.1 / (1. / 8 * 20))},
		{"told purges raise the rate of updates", 100, 3, 8 * second, 8, math.Sqrt(2 * 0.1 / (4. / 16 * 20))},
		{"never purged and without a fresh time, any age", 100, 0, 0, 0, 0},
		{"purged and without a fresh time", 100, 2, 0, 20, math.Sqrt(2 * 0.1 / (2. / 20 * 20))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			now := start + 20*second
			record := &objectRecord{requestCount: c.count, countedAt: now, firstSeenAt: now - c.born*second, purgeCount: c.purges}
			state := requestState{class: &classState{classTerms: classTerms{freshDuration: c.fresh}}, record: record}
			r.updateMaxAge(now, &Request{SizeKB: 0.1 / missedUpdatesPerKB, requestState: state})
			got := float64(record.maxAge) / 1e9
			if record.maxAge == forever {
				got = 0
			}
			if math.Abs(got-c.want) > 1e-6 {
				t.Errorf("age %v, want %v", got, c.want)
			}
			if held := record.maxAge; record.maxAge < forever && record.maxAgeUntil != now+held {
				t.Errorf("held until %v, want %v", record.maxAgeUntil, now+held)
			}
		})
	}
}

func TestPurgeCapsTheAge(t *testing.T) {
	cases := []struct {
		name        string
		product     string
		object      string // "" purges the group
		told, asked int64  // nanoseconds since the purge
		most        int64  // 0: no cap of the purge's
	}{
		{"an object, soon after", "harmless", "a", 0, second / 2, second / 2},
		{"in the same instant: never 0, which means the fresh time", "harmless", "a", 0, 0, 1000},
		{"its group", "harmless", "", second / 10, 2 * second, 2 * second},
		{"without a fresh time", "stamped", "a", 0, 3 * second, 3 * second},
		{"another object", "stamped", "b", 0, second, 0},
		{"forgotten once all have dropped it", "stamped", "a", 0, 8 * second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			r.Purge(start+c.told, c.object, 1, start)
			now := start + c.asked
			r.Tick(now)
			age := r.Decide(now, ask(c.product, "a")).Attempt.MaxAge
			if c.most > 0 && (age <= 0 || age > c.most) || c.most == 0 && age != 0 {
				t.Errorf("age %v, want at most %v", age, c.most)
			}
		})
	}
}

func TestCachePriorityOfReusedObjects(t *testing.T) {
	for _, c := range []struct {
		routers int64
		between int64 // seconds
		second  int64 // rank at the second request
	}{{1, 1, 2}, {1, 30, 1}, {20, 30, 2}} {
		t.Run(fmt.Sprintf("again after %d s, one of %d routers", c.between, c.routers), func(t *testing.T) {
			r := newRouter(t, Settings{"location.routers": []int64{0, c.routers, 2}})
			for i, want := range []int64{1, c.second} {
				now := start + rateWindow + int64(i)*c.between*second
				request := ask("harmless", "a")
				if got := r.Decide(now, request).Attempt.CachePriority; got != want {
					t.Errorf("request %d kept at rank %d, want %d", i, got, want)
				}
				r.AttemptEnded(now, request, Outcome{Result: Succeeded, RequestEnded: true})
			}
		})
	}
}
