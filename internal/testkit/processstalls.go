package testkit

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// processCheckInterval is the pause between two readings of the thread times of a process.
	processCheckInterval = 10 * time.Millisecond

	// maxIgnoredStall is the longest total of stalls that is reported as 0.
	maxIgnoredStall = 30 * time.Millisecond
)

// runnable is the state in /proc of a thread that runs or waits for a CPU core.
const runnable = 'R'

// threadTimes contains the scheduler's figures for one thread.
type threadTimes struct {
	ran    time.Duration // time on a CPU core
	waited time.Duration // time of all completed waits for a CPU core
	state  byte
}

// ProcessStallWatch measures how long a process was stalled: it had something to do, but got no CPU core. It uses
// the time that each thread has waited for a core, as the kernel reports it, and the delay of a timer in the process
// of the test. Neither is enough alone. The timer may be on time while a thread of the watched process waits, and
// the kernel counts no waiting time while the whole machine is paused.
type ProcessStallWatch struct {
	pid     int
	stopped chan struct{}

	mu      sync.Mutex
	threads map[string]threadTimes // guarded by mu; the key is the thread's folder in /proc
	readAt  time.Time              // guarded by mu; when threads was read
	total   time.Duration          // guarded by mu; total duration of all stalls so far
}

// WatchProcessStalls starts to measure the stalls of a process. The caller must call Stop to end the measurement. On a
// system without /proc only the timer is used.
func WatchProcessStalls(pid int) *ProcessStallWatch {
	watch := &ProcessStallWatch{
		pid:     pid,
		stopped: make(chan struct{}),
		threads: readThreads(pid),
		readAt:  time.Now(),
	}
	go watch.run()
	return watch
}

func (w *ProcessStallWatch) run() {
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(processCheckInterval):
			w.record()
		}
	}
}

// record reads the thread times and adds the stalls since the previous reading to the total.
func (w *ProcessStallWatch) record() {
	w.mu.Lock()
	defer w.mu.Unlock()
	threads, now := readThreads(w.pid), time.Now()
	elapsed := now.Sub(w.readAt)
	stalled := stalledBetween(w.threads, threads, elapsed)
	if late := elapsed - processCheckInterval; late >= minStall {
		stalled = max(stalled, late)
	}
	w.total += stalled
	w.threads, w.readAt = threads, now
}

// Total returns how long the process has been stalled until now. A total up to maxIgnoredStall is returned as 0,
// so that a test that adds the total to its timeout is exact on an idle machine.
func (w *ProcessStallWatch) Total() time.Duration {
	w.record()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.total <= maxIgnoredStall {
		return 0
	}
	return w.total
}

// Stop ends the measurement. It must be called only once.
func (w *ProcessStallWatch) Stop() { close(w.stopped) }

// stalledBetween returns how long a process waited for a core between two readings of its thread times. That is all
// of the elapsed time if a thread may have waited throughout: it was runnable at the first reading, and at the second
// one it has exited, or is still runnable and has not run. The kernel counts such a wait only once it is over.
// Otherwise it is the sum of the waits of all threads, but not more than the elapsed time.
func stalledBetween(before, after map[string]threadTimes, elapsed time.Duration) time.Duration {
	waited := time.Duration(0)
	for thread, old := range before {
		current, found := after[thread]
		hasRun := found && (current.state != runnable || current.ran > old.ran)
		if old.state == runnable && !hasRun {
			return elapsed
		}
	}
	for thread, current := range after {
		waited += current.waited - before[thread].waited
	}
	return min(waited, elapsed)
}

// readThreads reads the times of all threads of a process from /proc, except those that have exited. The keys are
// the threads' folders.
func readThreads(pid int) map[string]threadTimes {
	threads := map[string]threadTimes{}
	folders, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid)) // fails only for a malformed pattern
	for _, folder := range folders {
		schedule, scheduleErr := os.ReadFile(filepath.Join(folder, "schedstat"))
		status, statusErr := os.ReadFile(filepath.Join(folder, "stat"))
		if scheduleErr != nil || statusErr != nil {
			continue // the thread has exited
		}
		if times, ok := parseThread(string(schedule), string(status)); ok {
			threads[folder] = times
		}
	}
	return threads
}

// parseThread parses the files schedstat and stat of a thread. schedstat contains the ns on a core, the ns of waits
// and the number of time slices; stat starts with the thread ID, the name in parentheses and the state.
func parseThread(schedule, status string) (times threadTimes, ok bool) {
	var ran, waited int64
	if _, err := fmt.Sscan(schedule, &ran, &waited); err != nil {
		return threadTimes{}, false
	}
	end := strings.LastIndex(status, ") ") // the last one, because the name may contain ") "
	if end < 0 || end+2 >= len(status) {
		return threadTimes{}, false
	}
	return threadTimes{ran: time.Duration(ran), waited: time.Duration(waited), state: status[end+2]}, true
}
