package server

import (
	"time"

	"tealpath/internal/lifecycle/shutdown"
	"tealpath/internal/router"
)

// drainPollInterval is the interval at which the loop checks for the next step of a shutdown. It is not shorter,
// because closing idle connections takes a system call for each of them. It is not longer because the platform kills
// the process 100 ms after the end of the plan. The reducer's timer is too slow for the same reason: it may fire only
// every 100 ms.
const drainPollInterval = 10 * time.Millisecond

// drain is a graceful shutdown in progress. It is nil before the shutdown begins.
type drain struct {
	plan         *shutdown.Plan
	poll         *time.Ticker
	idleClosedAt time.Time // when idle connections were last closed
}

// pollDue returns the channel of the poll's ticker. Before the shutdown begins it returns nil, from which nothing can
// be received.
func (d *drain) pollDue() <-chan time.Time {
	if d == nil {
		return nil
	}
	return d.poll.C
}

// stop stops the poll's ticker. It does nothing if the shutdown has not begun.
func (d *drain) stop() {
	if d != nil {
		d.poll.Stop()
	}
}

// beginShutdown begins the graceful shutdown: health checks report from now on that this router is not ready, the last
// snapshot is queued, and the reducer is told to answer all requests by the deadline of the plan.
func (l *loop) beginShutdown() {
	s := l.server
	now := s.clock.Now()
	l.shutdownRequested = nil
	plan := shutdown.New(now, s.longestDeadline())
	l.drain = &drain{plan: plan, poll: time.NewTicker(drainPollInterval)}
	s.enter(Draining)
	s.snapshots.writeLast(s.router, now, time.Duration(plan.DiskDeadline()-now))
	s.downstream.SetReady(false)
	s.downstream.SetAnswerDeadline(plan.AnswerDeadline())
	l.handle(now, router.ShutdownStarted{AnswerDeadline: plan.AnswerDeadline()})
}

// stepShutdown takes the next step of a shutdown in progress, and reports whether the process may exit now.
func (l *loop) stepShutdown() (complete bool) {
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

// shutdownState returns what this router still has to do before it may exit.
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

// closeIdle closes the clients' connections without a request in flight. It does so at most once per
// drainPollInterval.
func (l *loop) closeIdle() {
	now := time.Now()
	if now.Sub(l.drain.idleClosedAt) < drainPollInterval {
		return
	}
	l.drain.idleClosedAt = now
	l.server.downstream.CloseIdle()
}
