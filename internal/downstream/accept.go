package downstream

import (
	"context"
	"errors"
	"net"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/neterr"
)

// acceptRetryInterval is the pause after a failed accept, and between attempts to free capacity for a
// connection or to resume connections.
const acceptRetryInterval = 10 * time.Millisecond

// Serve accepts connections until the context ends or the listener fails. It returns once all connections are
// closed.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { neterr.Close(s.listener) })
	defer stop()
	defer s.idle.closeAll()
	defer s.goroutines.Wait()
	serving, end := context.WithCancel(ctx)
	defer end() // makes the connections close even if the listener fails
	s.goroutines.Go(func() { s.maintain(serving) })
	s.goroutines.Go(func() { s.watchDepartures(serving) })
	return s.acceptLoop(ctx, serving)
}

// acceptLoop accepts connections until ctx ends or the listener fails. The connections are served until the
// context serving ends.
func (s *Server) acceptLoop(ctx, serving context.Context) error {
	failing := false
	waitingSince := time.Now() // earliest time at which the next connection can have entered the backlog
	for {
		backlogged := s.hasBacklog()
		conn, err := s.listener.Accept()
		if !backlogged {
			waitingSince = time.Now() // the backlog was empty before Accept: this connection did not wait in it
		}
		switch {
		case err == nil:
			if failing {
				failing = false
				s.emit(AcceptRestored{})
			}
			if !s.admit(serving, conn, waitingSince) {
				return nil
			}
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return s.listenerClosed(ctx, err)
		default: // for example, no descriptor is left or the client has disconnected
			if !failing {
				failing = true
				s.emit(AcceptFailed{Cause: err.Error()})
			}
			pause(ctx, acceptRetryInterval)
		}
	}
}

// listenerClosed ends the accept loop after the listener has been closed. During a graceful shutdown it waits
// until the context ends, while the accepted connections are served.
func (s *Server) listenerClosed(ctx context.Context, err error) error {
	if !s.draining.Load() {
		return err
	}
	s.acceptFinished.Store(true)
	<-ctx.Done()
	return nil
}

// admit admits a connection once the pacer and the connection limit allow it. Until then the connection waits,
// and those behind it wait in the listener's backlog. waitingSince is the earliest time at which the
// connection can have been established. admit returns false if the context has ended.
func (s *Server) admit(ctx context.Context, conn net.Conn, waitingSince time.Time) bool {
	decision := s.waitForPacer(ctx, conn, waitingSince)
	if decision == idle.Defer {
		neterr.Close(conn)
		return false
	}
	for {
		if idle.Abandoned(int64(time.Since(waitingSince)), s.peerClosed(conn)) {
			s.reject(ctx, conn)
			return true
		}
		slot, verdict := s.idle.add(conn.RemoteAddr())
		switch verdict {
		case idle.Admitted:
			if decision == idle.AcceptSuspended && s.idle.suspendNew(conn, slot) {
				return true
			}
			c := newConnection(s, conn, slot)
			c.arrivals.begin(s.earliestArrivalOn(conn, waitingSince), 0)
			s.register(c)
			s.start(ctx, c)
			return true
		case idle.ClientLimitReached, idle.NetworkLimitReached:
			s.logRejection(verdict)
			s.reject(ctx, conn)
			return true
		}
		// The connection limit is reached. Closing the connection at once would lose a request that its client
		// may have sent.
		if !s.ensureCapacity() && !pause(ctx, acceptRetryInterval) {
			neterr.Close(conn)
			return false
		}
	}
}

// waitForPacer blocks until the pacer allows the connection to be accepted. It returns idle.Accept or, for a silent
// connection that is to be suspended at once, idle.AcceptSuspended. If the context ends first, it returns idle.Defer.
func (s *Server) waitForPacer(ctx context.Context, conn net.Conn, waitingSince time.Time) idle.AcceptDecision {
	for {
		silent := s.idle.canSuspend() && !s.hasUnread(conn)
		waited := int64(time.Since(waitingSince))
		decision, wait := s.pacer.Decide(s.now(), waited, s.config.Saturated(), silent)
		if decision != idle.Defer {
			return decision
		}
		if !pause(ctx, time.Duration(wait)) {
			return idle.Defer
		}
	}
}

// start serves a connection in a new goroutine, and counts it in s.serving until it is closed or suspended.
func (s *Server) start(ctx context.Context, c *connection) {
	s.serving.Add(1)
	s.goroutines.Go(func() {
		defer s.serving.Add(-1)
		defer s.evicted.remove(c)
		c.serve(ctx)
	})
}

// hasBacklog reports whether a connection waits in the listener's backlog. It also returns true if the kernel cannot
// tell.
func (s *Server) hasBacklog() bool {
	waits := false
	withDescriptor(s.listener, func(fd int) { waits = s.config.SystemCalls.Readable(fd) })
	return waits
}

// pause returns true once the duration has passed, or false as soon as the context ends.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
