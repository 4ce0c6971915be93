// Package simulation is what the simulated experiments share: an event queue with a virtual clock, and the
// faults that processes, clocks and networks can have. A simulation runs in one goroutine and draws from
// one seeded source of randomness, so that a run with the same plan and seed gives the same result to the
// last digit.
//
// All times are nanoseconds of simulated time.
package simulation

import "tealpath/internal/timerqueue"

// Scheduler runs events in the order of their times; events of one time run in the order in which they were
// scheduled.
type Scheduler struct {
	now       int64
	queue     timerqueue.Queue[func()]
	stopped   bool
	onAdvance func(elapsed int64)
}

// NewScheduler makes a scheduler whose clock begins at a time.
func NewScheduler(start int64) *Scheduler { return &Scheduler{now: start} }

// Now is the time of the event that is running.
func (s *Scheduler) Now() int64 { return s.now }

// At schedules an event. A time that has passed counts as now.
func (s *Scheduler) At(at int64, event func()) { s.queue.Push(max(at, s.now), event) }

// After schedules an event relative to now.
func (s *Scheduler) After(delay int64, event func()) { s.At(s.now+delay, event) }

// Repeat runs an event at a time, and again after each interval. The interval is asked for after the event
// has run.
func (s *Scheduler) Repeat(first int64, interval func() int64, event func()) {
	s.At(first, func() {
		event()
		s.Repeat(s.now+interval(), interval, event)
	})
}

// OnAdvance has a function called with the time that passes between two events, before the clock moves on.
func (s *Scheduler) OnAdvance(observe func(elapsed int64)) { s.onAdvance = observe }

// RunUntil runs all events up to and including a time, or until Stop. The clock stays at the last event
// that ran.
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

// Stop ends RunUntil after the event that is running.
func (s *Scheduler) Stop() { s.stopped = true }
