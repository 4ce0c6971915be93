// Package simulation provides what the simulated experiments share: an event queue with a virtual clock, and models
// of faulty processes, clocks and networks. A simulation runs in one goroutine and draws from one seeded source of
// randomness, so that every run with the same plan and seed gives exactly the same result.
//
// All times are nanoseconds of simulated time.
package simulation

import "tealpath/internal/timerqueue"

// Scheduler runs events in the order of their times. Events at the same time run in the order in which they were
// scheduled.
type Scheduler struct {
	now       int64
	queue     timerqueue.Queue[func()]
	stopped   bool
	onAdvance func(elapsed int64)
}

// NewScheduler creates a scheduler without events, whose clock shows start until the first event runs.
func NewScheduler(start int64) *Scheduler { return &Scheduler{now: start} }

// Now returns the time of the current event.
func (s *Scheduler) Now() int64 { return s.now }

// At schedules an event. A time in the past counts as now.
func (s *Scheduler) At(at int64, event func()) { s.queue.Push(max(at, s.now), event) }

// After schedules an event after a delay from now.
func (s *Scheduler) After(delay int64, event func()) { s.At(s.now+delay, event) }

// Repeat runs an event at a time and then repeatedly. After each run it calls interval for the time until the next
// one.
func (s *Scheduler) Repeat(first int64, interval func() int64, event func()) {
	s.At(first, func() {
		event()
		s.Repeat(s.now+interval(), interval, event)
	})
}

// OnAdvance sets a function that is called before the clock advances, with the time from one event to the next.
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

// Stop makes RunUntil return after the current event.
func (s *Scheduler) Stop() { s.stopped = true }
