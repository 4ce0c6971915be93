package server

import (
	"tealpath/internal/lifecycle/shutdown"
	"tealpath/internal/router"
	"time"
)

// drainPollInterval is between two looks for idle connections to close: each look asks the system about
// every one. The reducer's own timer fires up to 100 ms apart, and the platform kills the process 100 ms
// after its plan ends.
const drainPollInterval = 10 * time.Millisecond

// drain is a graceful shutdown under way. A nil drain has not begun.
type drain struct {
	plan         *shutdown.Plan
	poll         *time.Ticker
	idleClosedAt time.Time // when idle connections were last closed
}

// pollDue returns the channel that says when to look again; nil if no shutdown has begun.
func (d *drain) pollDue() <-chan time.Time {
	if d == nil {
		return nil
	}
	return d.poll.C
}

func (d *drain) stop() {
	if d != nil {
		d.poll.Stop()
	}
}

// beginShutdown begins the graceful shutdown: clients are told that this router is not ready, what it knows
// is written, and the reducer answers what it has.
func (l *loop) beginShutdown() {
	s := l.server
	now := s.clock.Now()
	l.shutdownRequested = nil
	plan := shutdown.New(now, s.longestDeadline())
	l.drain = &drain{plan: plan, poll: time.NewTicker(drainPollInterval)}
	s.enter(Draining)
	s.snapshots.writeLast(s.router, now, time.Duration(plan.DiskDeadline()-now))
	s.downstream.SetReady(false)
	l.handle(now, router.ShutdownStarted{AnswerDeadline: plan.AnswerDeadline()})
}

// shutdownComplete takes the next step of a shutdown under way, and returns whether the process may exit.
func (l *loop) shutdownComplete() bool {
	if l.drain == nil {
		return false
	}
	switch l.drain.plan.Next(l.server.clock.Now(), l.shutdownState()) {
	case shutdown.CloseIdle:
		l.closeIdle()
	case shutdown.Exit:
		return true
	}
	return false
}

// shutdownState is what this router still has to do.
func (l *loop) shutdownState() shutdown.State {
	s := l.server
	state := shutdown.State{
		InFlight:        s.router.InFlight(),
		QueuedEvents:    len(s.inbox),
		OpenConnections: s.downstream.OpenConnections(),
	}
	state.Flushed = state.InFlight == 0 && state.QueuedEvents == 0 && s.downstream.Flushed()
	return state
}

// closeIdle closes the connections on which no answer is due, once in each drainPollInterval at most.
func (l *loop) closeIdle() {
	now := time.Now()
	if now.Sub(l.drain.idleClosedAt) < drainPollInterval {
		return
	}
	l.drain.idleClosedAt = now
	l.server.downstream.CloseIdle()
}
