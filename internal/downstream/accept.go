package downstream

import (
	"context"
	"errors"
	"net"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/neterr"
)

// acceptRetryInterval is the pause after an accept that failed, and between two tries to have capacity for
// a connection.
const acceptRetryInterval = 10 * time.Millisecond

// Serve accepts connections until the context ends or the listener fails. It returns when all connections
// are closed.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { neterr.Close(s.listener) })
	defer stop()
	defer s.idle.closeAll()
	defer s.goroutines.Wait()
	serving, end := context.WithCancel(ctx)
	defer end() // also where the listener fails
	s.goroutines.Go(func() { s.maintain(serving) })
	return s.acceptLoop(ctx, serving)
}

// acceptLoop accepts connections, which are served until the second context ends.
func (s *Server) acceptLoop(ctx, serving context.Context) error {
	failing := false
	waitingSince := time.Now() // since when the next connection may have waited in the backlog
	for {
		backlogged := s.hasBacklog()
		conn, err := s.listener.Accept()
		if !backlogged {
			waitingSince = time.Now() // the backlog was empty: this connection came after that
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
		default: // no descriptor is left, or the client has disconnected
			if !failing {
				failing = true
				s.emit(AcceptFailed{Cause: err.Error()})
			}
			pause(ctx, acceptRetryInterval)
		}
	}
}

// listenerClosed ends the accept loop. In a graceful shutdown the connections that were accepted go on
// until the context ends.
func (s *Server) listenerClosed(ctx context.Context, err error) error {
	if !s.draining.Load() {
		return err
	}
	s.acceptFinished.Store(true)
	<-ctx.Done()
	return nil
}

// admit admits a connection once the pacer and the connection limit let it. Until then it waits, and those
// behind it wait in the listener's backlog. waitingSince is the earliest time at which it can have been
// established. admit returns false when the context has ended.
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
		// At the connection limit. To close the connection at once would lose the request that its client may
		// have sent.
		if !s.ensureCapacity() && !pause(ctx, acceptRetryInterval) {
			neterr.Close(conn)
			return false
		}
	}
}

// waitForPacer waits until the pacer accepts a connection, also as a suspended one. It returns idle.Defer
// when the context has ended.
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

// start serves a connection in goroutines of its own.
func (s *Server) start(ctx context.Context, c *connection) {
	s.serving.Add(1)
	s.goroutines.Go(func() {
		defer s.serving.Add(-1)
		c.serve(ctx)
	})
}

// hasBacklog tells whether a connection waits to be accepted, or whether that can't be told.
func (s *Server) hasBacklog() bool {
	waits := false
	withDescriptor(s.listener, func(fd int) { waits = s.config.SystemCalls.Readable(fd) })
	return waits
}

// pause waits for a time, and returns false if the context ends before that.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
