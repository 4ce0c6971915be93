package server

import (
	"context"
	"time"

	"tealpath/internal/clock"
	"tealpath/internal/discovery"
	"tealpath/internal/router"
)

// loop is the event loop. Its goroutine is the only one that runs the reducer and carries out its effects, none of
// which blocks.
type loop struct {
	server            *Server
	shutdownRequested <-chan struct{} // nil once the shutdown has begun
	reducerTimer      *time.Timer     // set by the effect router.SetTimer
	drain             *drain          // nil until the shutdown begins
}

func newLoop(s *Server, shutdownRequested <-chan struct{}) *loop {
	return &loop{server: s, shutdownRequested: shutdownRequested, reducerTimer: time.NewTimer(0)}
}

// run handles events until the shutdown is complete or ctx ends.
func (l *loop) run(ctx context.Context) error {
	defer l.stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.shutdownRequested:
			l.beginShutdown()
		case posted := <-l.server.inbox:
			if l.observeDiscovery(posted) {
				continue
			}
			l.receive(posted)
			posted.finish()
		case <-l.reducerTimer.C:
			l.advance()
		case <-l.server.snapshots.due():
			l.writeSnapshot()
		case <-l.drain.pollDue():
		}
		if l.stepShutdown() {
			return nil
		}
	}
}

// stop stops the reducer's timer and, during a shutdown, the ticker of the drain.
func (l *loop) stop() {
	l.reducerTimer.Stop()
	l.drain.stop()
}

// observeDiscovery handles an event about the watch of the discovery service itself, which is not for the reducer. It
// returns false for all other events.
func (l *loop) observeDiscovery(posted postedEvent) bool {
	switch event := posted.event.(type) {
	case discovery.ServiceReached:
		l.server.progress.ServiceReached(posted.at)
		l.server.advanceStartup()
		return true
	case discovery.EventProcessed:
		l.server.snapshots.observe(event)
		return true
	}
	return false
}

// receive handles an event from a client, an endpoint or the discovery service. An event that a connection to an
// endpoint has ended may have been posted before the last requests were queued on that connection. The pool adds these
// requests to the event, so that the reducer does not count them as written.
func (l *loop) receive(posted postedEvent) {
	switch event := posted.event.(type) {
	case router.ConnectionDown:
		l.handle(posted.at, l.server.upstream.RemoveConnection(event))
	case router.EndpointListUpdated:
		l.updateEndpoints(posted.at, event)
	case router.RequestReceived:
		l.receiveRequest(posted.at, event)
	default:
		l.handle(posted.at, event)
	}
}

// maxUncheckedWait is how long a request may have waited for the event loop without a check of whether its client is
// still there, in ns. No attempt may begin more than 100 ms after a client has closed its connection.
const maxUncheckedWait = int64(25 * time.Millisecond)

// receiveRequest passes a request to the reducer, or rejects it if its client has gone while it waited.
func (l *loop) receiveRequest(at int64, request router.RequestReceived) {
	if l.server.clock.Now()-at > maxUncheckedWait && l.server.downstream.HasDeparted(request.Client) {
		l.carryOut(router.Respond{Client: request.Client, Seq: request.Seq, Kind: router.Rejected})
		return
	}
	l.handle(at, request)
}

// updateEndpoints passes an update of the endpoint list to the reducer, and then the complete updated list to the
// cluster, which probes these endpoints.
func (l *loop) updateEndpoints(at int64, list router.EndpointListUpdated) {
	s := l.server
	s.progress.ListReceived()
	s.advanceStartup()
	l.handle(at, list)
	if s.cluster != nil {
		s.cluster.setEndpoints(s.router.Endpoints(), s.config.Settings)
	}
}

// advance reports to the reducer that its timer has fired, and updates the startup's phase.
func (l *loop) advance() {
	l.handle(l.server.clock.Now(), router.TimerFired{})
	l.server.advanceStartup()
}

// writeSnapshot queues a snapshot of the reducer's state for writing.
func (l *loop) writeSnapshot() { l.server.snapshots.write(l.server.router, l.server.clock.Now()) }

// handle runs the reducer on an event and carries out its effects.
func (l *loop) handle(at int64, event router.Event) {
	for _, effect := range l.server.router.Handle(at, event) {
		l.carryOut(effect)
	}
}

// carryOut passes one effect of the reducer to the component that carries it out.
func (l *loop) carryOut(effect router.Effect) {
	server := l.server
	switch effect := effect.(type) {
	case router.Respond:
		server.downstream.Respond(effect)
	case router.Send:
		server.upstream.Send(effect)
	case router.WithdrawAttempt:
		server.upstream.WithdrawAttempt(effect)
	case router.CancelAttempt:
		server.upstream.CancelAttempt(effect)
	case router.Dial:
		server.upstream.Dial(effect)
	case router.Close:
		server.upstream.Close(effect)
	case router.SetTimer:
		l.reducerTimer.Reset(clock.Until(server.clock, effect.At))
	case router.Log:
		server.emitRouterEvent(effect)
	}
}
