package testkit

import "time"

// stallCheckInterval is the timer's interval by which stalls are measured.
const stallCheckInterval = 5 * time.Millisecond

// StallWatch measures by how much the machine holds this process up: what other work takes from it, it takes
// from routers, too.
type StallWatch struct {
	stop  chan struct{}
	worst chan time.Duration
}

// WatchStalls starts a measurement. It has to be stopped.
func WatchStalls() *StallWatch {
	watch := &StallWatch{stop: make(chan struct{}), worst: make(chan time.Duration, 1)}
	go watch.run()
	return watch
}

func (w *StallWatch) run() {
	var worst time.Duration
	for last := time.Now(); ; {
		select {
		case <-w.stop:
			w.worst <- worst
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		worst = max(worst, now.Sub(last)-stallCheckInterval)
		last = now
	}
}

// Stop ends the measurement and returns by how much a timer came late at the most.
func (w *StallWatch) Stop() time.Duration {
	close(w.stop)
	return <-w.worst
}
