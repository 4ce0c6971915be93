// Package simulation has what the simulated experiments share: an event queue with a virtual clock, and faults of
// processes, clocks and networks. A simulation runs in one goroutine and draws from one seeded random source, so that
// a run with the same plan and seed gives the same result to the last digit.
//
// All times are in nanoseconds of simulated time.
package simulation

import "tealpath/internal/timerqueue"

// Scheduler runs events in the order of their times. Events with the same time run in the order in which they were
// scheduled.
type Scheduler struct {
	now       int64
	queue     timerqueue.Queue[func()]
	stopped   bool
	onAdvance func(elapsed int64)
}

// NewScheduler returns a scheduler whose clock starts at a time.
func NewScheduler(start int64) *Scheduler { return &Scheduler{now: start} }

// Now returns the time of the event that is running.
func (s *Scheduler) Now() int64 { return s.now }

// At schedules an event. If its time has passed, it runs at the current time.
func (s *Scheduler) At(at int64, event func()) { s.queue.Push(max(at, s.now), event) }

// After schedules an event after a delay from now.
func (s *Scheduler) After(delay int64, event func()) { s.At(s.now+delay, event) }

// Repeat schedules an event at a time, and again after each interval. interval is called after each run of the event.
func (s *Scheduler) Repeat(first int64, interval func() int64, event func()) {
	s.At(first, func() {
		event()
		s.Repeat(s.now+interval(), interval, event)
	})
}

// OnAdvance sets a function that is called with the time between two events, before the clock advances.
func (s *Scheduler) OnAdvance(observe func(elapsed int64)) { s.onAdvance = observe }

// RunUntil runs all events up to and including a time, or until Stop is called. The clock then shows the time of the
// last event that ran.
func (s *Scheduler) RunUntil(end int64) {
	for !s.stopped && s.queue.Len() > 0 && s.queue.Next() <= end {
		at, event := s.queue.Pop()
		if s.onAdvance != nil {
			s.onAdvance(at - s.now)
		}
		s.now = at
		event()
	}
}

// Stop makes RunUntil return after the event that is running.
func (s *Scheduler) Stop() { s.stopped = true }
