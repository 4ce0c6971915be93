package testkit

import (
	"os"
	"runtime"
	"testing"
	"time"
)

// A stall counts from its begin until the watch is asked, whether or not its timer has come by then: when a
// stall ends, whoever waits may be woken before the timer.
func TestStallUnderWayCounts(t *testing.T) {
	const stall = 200 * time.Millisecond
	for _, c := range []struct {
		name   string
		record bool // the timer comes first
	}{{"asked before the timer", false}, {"asked after the timer", true}} {
		t.Run(c.name, func(t *testing.T) {
			watch := newStallWatch(time.Now().Add(-stall))
			if c.record {
				watch.record(time.Now())
			}
			if total := watch.Total(); total < stall-stallCheckInterval {
				t.Errorf("%v of %v", total, stall)
			}
			if worst := watch.Stop(); worst < stall-stallCheckInterval {
				t.Errorf("%v of %v at most", worst, stall)
			}
		})
	}
}

// Stalls add up, and what a timer is late on a quiet machine is none.
func TestStallsAddUp(t *testing.T) {
	begun := time.Now().Add(-time.Second)
	watch := newStallWatch(begun)
	now := begun
	for range 100 {
		now = now.Add(stallCheckInterval + minStall - 1)
		watch.record(now)
	}
	if watch.total != 0 {
		t.Errorf("%v without a stall", watch.total)
	}
	for range 2 {
		now = now.Add(stallCheckInterval + 20*time.Millisecond)
		watch.record(now)
	}
	if watch.total != 40*time.Millisecond || watch.worst != 20*time.Millisecond {
		t.Errorf("%v, %v at most", watch.total, watch.worst)
	}
}

func TestStalledBetween(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name          string
		before, after threadTimes
		other         time.Duration // that another thread has waited
		want          time.Duration
	}{
		{"it sleeps", threadTimes{5 * ms, 2 * ms, 'S'}, threadTimes{5 * ms, 2 * ms, 'S'}, 0, 0},
		{"it runs", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{15 * ms, 2 * ms, 'R'}, 0, 0},
		{"it begins to wait", threadTimes{5 * ms, 2 * ms, 'S'}, threadTimes{5 * ms, 2 * ms, 'R'}, 0, 0},
		{"it waits throughout", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{5 * ms, 2 * ms, 'R'}, 0, 10 * ms},
		{"a wait has ended", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{6 * ms, 5 * ms, 'S'}, 0, 3 * ms},
		{"a long wait has ended", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{6 * ms, 90 * ms, 'S'}, 0, 10 * ms},
		{"two wait", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{6 * ms, 5 * ms, 'S'}, 4 * ms, 7 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := map[string]threadTimes{"1": c.before, "2": {state: 'S'}}
			after := map[string]threadTimes{"1": c.after, "2": {state: 'S', waited: c.other}}
			if got := stalledBetween(before, after, 10*ms); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestParseThread(t *testing.T) {
	times, ok := parseThread("3000000 4000000 17\n", "42 (odd ) R name) S 1 42")
	if want := (threadTimes{3 * time.Millisecond, 4 * time.Millisecond, 'S'}); !ok || times != want {
		t.Errorf("%+v, %v", times, ok)
	}
	for _, text := range []struct{ schedule, status string }{{"", "42 (a) S 1"}, {"3 4 5", "42 (a"}, {"3 4 5", ""}} {
		if times, ok := parseThread(text.schedule, text.status); ok {
			t.Errorf("%+v of %q and %q", times, text.schedule, text.status)
		}
	}
}

// A thread that was runnable may have waited until it ended; one that slept has not.
func TestStalledBeforeEnd(t *testing.T) {
	const elapsed = 10 * time.Millisecond
	for state, want := range map[byte]time.Duration{runnable: elapsed, 'S': 0} {
		if got := stalledBetween(map[string]threadTimes{"1": {state: state}}, nil, elapsed); got != want {
			t.Errorf("%c: %v, want %v", state, got, want)
		}
	}
}

// What a process is held up counts from some ms on only, and a look at it that comes late counts, too.
func TestProcessStallsAddUp(t *testing.T) {
	watch := &ProcessStallWatch{pid: -1, last: time.Now().Add(-processCheckInterval - maxIgnoredStall/2)}
	if total := watch.Total(); total != 0 {
		t.Errorf("%v of half of what is ignored", total)
	}
	watch.last = time.Now().Add(-processCheckInterval - maxIgnoredStall)
	if total := watch.Total(); total < maxIgnoredStall*3/2 {
		t.Errorf("%v of one and a half times what is ignored", total)
	}
}

// This process's own threads are found, and one of them runs.
func TestReadThreads(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("this system does not tell of threads")
	}
	running := false
	for _, thread := range readThreads(os.Getpid()) {
		running = running || thread.state == runnable && thread.ran > 0
	}
	if !running {
		t.Error("no thread runs")
	}
}
