package testkit

import (
	"os"
	"runtime"
	"testing"
	"time"
)

// A stall counts as a whole even if Total is called before the timer fires: when a stall ends, the goroutine of the
// test may be woken before that of the timer.
func TestUnrecordedStallCounts(t *testing.T) {
	const stall = 200 * time.Millisecond
	for _, c := range []struct {
		name       string
		timerFirst bool
	}{{"total before the timer", false}, {"total after the timer", true}} {
		t.Run(c.name, func(t *testing.T) {
			watch := newStallWatch(time.Now().Add(-stall))
			if c.timerFirst {
				watch.record(time.Now())
			}
			if total := watch.Total(); total < stall-stallCheckInterval {
				t.Errorf("total %v, want at least %v", total, stall-stallCheckInterval)
			}
			if longest := watch.Stop(); longest < stall-stallCheckInterval {
				t.Errorf("longest delay %v, want at least %v", longest, stall-stallCheckInterval)
			}
		})
	}
}

// Total must include every stall, not only the longest, and leave out timer delays shorter than minStall.
func TestStallsAddUp(t *testing.T) {
	start := time.Now().Add(-time.Second)
	watch := newStallWatch(start)
	now := start
	for range 100 {
		now = now.Add(stallCheckInterval + minStall - 1)
		watch.record(now)
	}
	if watch.total != 0 {
		t.Errorf("total %v after delays shorter than %v, want 0", watch.total, minStall)
	}
	for range 2 {
		now = now.Add(stallCheckInterval + 20*time.Millisecond)
		watch.record(now)
	}
	if watch.total != 40*time.Millisecond || watch.longest != 20*time.Millisecond {
		t.Errorf("total %v and longest delay %v after two stalls of 20ms, want 40ms and 20ms",
			watch.total, watch.longest)
	}
}

func TestStalledBetween(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name          string
		before, after threadTimes   // two readings of the times of the first thread
		secondWaited  time.Duration // time that a second thread waited for a core
		want          time.Duration
	}{
		{"sleeping", threadTimes{5 * ms, 2 * ms, 'S'}, threadTimes{5 * ms, 2 * ms, 'S'}, 0, 0},
		{"running", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{15 * ms, 2 * ms, 'R'}, 0, 0},
		{"starts to wait", threadTimes{5 * ms, 2 * ms, 'S'}, threadTimes{5 * ms, 2 * ms, 'R'}, 0, 0},
		{"waits all the time", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{5 * ms, 2 * ms, 'R'}, 0, 10 * ms},
		{"completed wait", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{6 * ms, 5 * ms, 'S'}, 0, 3 * ms},
		{"wait longer than elapsed", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{6 * ms, 90 * ms, 'S'}, 0, 10 * ms},
		{"two waiting threads", threadTimes{5 * ms, 2 * ms, 'R'}, threadTimes{6 * ms, 5 * ms, 'S'}, 4 * ms, 7 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := map[string]threadTimes{"1": c.before, "2": {state: 'S'}}
			after := map[string]threadTimes{"1": c.after, "2": {state: 'S', waited: c.secondWaited}}
			if got := stalledBetween(before, after, 10*ms); got != c.want {
				t.Errorf("stalled for %v, want %v", got, c.want)
			}
		})
	}
}

func TestParseThread(t *testing.T) {
	times, ok := parseThread("3000000 4000000 17\n", "42 (odd ) R name) S 1 42")
	if want := (threadTimes{3 * time.Millisecond, 4 * time.Millisecond, 'S'}); !ok || times != want {
		t.Errorf("parsed %+v, %v, want %+v, true", times, ok, want)
	}
	for _, text := range []struct{ schedule, status string }{{"", "42 (a) S 1"}, {"3 4 5", "42 (a"}, {"3 4 5", ""}} {
		if times, ok := parseThread(text.schedule, text.status); ok {
			t.Errorf("parsed %+v from schedstat %q and stat %q, want a failure", times, text.schedule, text.status)
		}
	}
}

// The waits of a thread that has exited cannot be read. If it was runnable before, all of the elapsed time must count
// as a stall, and if it was sleeping, none of it.
func TestStalledBetweenWithExitedThread(t *testing.T) {
	const elapsed = 10 * time.Millisecond
	for state, want := range map[byte]time.Duration{runnable: elapsed, 'S': 0} {
		if got := stalledBetween(map[string]threadTimes{"1": {state: state}}, nil, elapsed); got != want {
			t.Errorf("thread in state %c: stalled for %v, want %v", state, got, want)
		}
	}
}

// A total up to maxIgnoredStall is reported as 0. If the thread times are read late, the delay counts as a
// stall, also for a process without threads.
func TestProcessStallsAddUp(t *testing.T) {
	watch := &ProcessStallWatch{pid: -1, readAt: time.Now().Add(-processCheckInterval - maxIgnoredStall/2)}
	if total := watch.Total(); total != 0 {
		t.Errorf("total %v after a stall of %v, want 0", total, maxIgnoredStall/2)
	}
	watch.readAt = time.Now().Add(-processCheckInterval - maxIgnoredStall)
	if total := watch.Total(); total < maxIgnoredStall*3/2 {
		t.Errorf("total %v after another stall of %v, want at least %v", total, maxIgnoredStall, maxIgnoredStall*3/2)
	}
}

// Guards against a misread /proc: the threads of the test's process must be found, and at least one must be running.
func TestReadThreads(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("thread times are read from /proc, which only Linux has")
	}
	running := false
	for _, thread := range readThreads(os.Getpid()) {
		running = running || thread.state == runnable && thread.ran > 0
	}
	if !running {
		t.Errorf("process %d has no running thread, want at least one", os.Getpid())
	}
}
