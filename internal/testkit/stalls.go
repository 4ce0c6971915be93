package testkit

import (
	"sync"
	"time"
)

const (
	// stallCheckInterval is the interval of the timer whose delays are measured.
	stallCheckInterval = 5 * time.Millisecond

	// minStall is the shortest delay of a timer that counts as a stall. On an idle machine timers fire less than
	// 1 ms late.
	minStall = 5 * time.Millisecond
)

// StallWatch measures how long the process of the test is stalled because it gets no CPU time. A stall shows as the
// delay of a timer. Total and Stop also count the time since the timer last fired, because the goroutine that
// calls them may be woken before the timer after a stall.
type StallWatch struct {
	stopped chan struct{}

	mu         sync.Mutex
	recordedAt time.Time     // guarded by mu; time of the last call of record
	longest    time.Duration // guarded by mu; longest delay of the timer
	total      time.Duration // guarded by mu; total duration of all stalls
}

// WatchStalls starts to measure the stalls of the test's process. The caller must call Stop to end the measurement.
func WatchStalls() *StallWatch {
	watch := newStallWatch(time.Now())
	go watch.run()
	return watch
}

func newStallWatch(now time.Time) *StallWatch {
	return &StallWatch{stopped: make(chan struct{}), recordedAt: now}
}

func (w *StallWatch) run() {
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(stallCheckInterval):
			w.record(time.Now())
		}
	}
}

// record measures by how much the time since the last call exceeds the timer's interval. It counts this delay as a
// stall if it is at least minStall.
func (w *StallWatch) record(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := now.Sub(w.recordedAt) - stallCheckInterval
	w.recordedAt = now
	w.longest = max(w.longest, late)
	if late >= minStall {
		w.total += late
	}
}

// Total returns the total duration of all stalls until now.
func (w *StallWatch) Total() time.Duration {
	w.record(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Stop ends the measurement and returns the longest delay of the timer.
func (w *StallWatch) Stop() time.Duration {
	w.record(time.Now())
	close(w.stopped)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}
