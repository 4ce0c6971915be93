package testkit

import (
	"sync"
	"time"
)

const (
	// stallCheckInterval is the timer's interval by which stalls are measured.
	stallCheckInterval = 5 * time.Millisecond

	// minStall is the lateness of a timer from which it counts as a stall. On a machine with nothing else to
	// do timers come less than 1 ms late.
	minStall = 5 * time.Millisecond
)

// StallWatch measures by how much the machine holds this process up. It measures until it is asked: a stall
// under way counts, also when whoever asks is woken before the watch's own timer.
type StallWatch struct {
	stopped chan struct{}

	mu    sync.Mutex
	last  time.Time     // guarded by mu; when the timer was last looked at
	worst time.Duration // guarded by mu
	total time.Duration // guarded by mu
}

// WatchStalls starts a measurement. It has to be stopped.
func WatchStalls() *StallWatch {
	watch := newStallWatch(time.Now())
	go watch.run()
	return watch
}

func newStallWatch(now time.Time) *StallWatch {
	return &StallWatch{stopped: make(chan struct{}), last: now}
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

// record notes that this process runs.
func (w *StallWatch) record(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := now.Sub(w.last) - stallCheckInterval
	w.last = now
	w.worst = max(w.worst, late)
	if late >= minStall {
		w.total += late
	}
}

// Total returns for how long the machine has held this process up until now, all stalls together.
func (w *StallWatch) Total() time.Duration {
	w.record(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Stop ends the measurement and returns by how much a timer came late at the most.
func (w *StallWatch) Stop() time.Duration {
	w.record(time.Now())
	close(w.stopped)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.worst
}
