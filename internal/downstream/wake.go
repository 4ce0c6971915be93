package downstream

import (
	"context"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/neterr"
)

// maxMaintenanceInterval is how long maintain waits at most: a new connection may expire sooner than what
// it waits for.
const maxMaintenanceInterval = 100 * time.Millisecond

// maintain resumes suspended connections and closes those whose timeout has passed, at the pace of the table.
func (s *Server) maintain(ctx context.Context) {
	if s.idle.poller != nil {
		s.goroutines.Go(func() { newWaker(s).run(ctx) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		wait := s.closeExpired()
		s.idle.closeFinished()
		if s.resumePostponed(ctx) {
			wait = min(wait, acceptRetryInterval)
		}
		timer.Reset(wait)
	}
}

// closeExpired closes the connections whose timeout has passed, and returns when to call it again.
func (s *Server) closeExpired() time.Duration {
	for {
		s.heartbeat.record(s.now())
		id, next := s.idle.nextExpired(s.config.Saturated())
		if id == idle.None {
			wait := time.Duration(next - s.now())
			return max(min(maxMaintenanceInterval, wait), time.Millisecond)
		}
		s.evict(id)
	}
}

// suspend suspends an active connection, and tells whether that is done.
func (s *Server) suspend(c *connection) bool {
	if c.isDraining() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle.suspend(c) {
		return false
	}
	delete(s.connections, c.id)
	return true
}

// suspendDelay returns for how long a connection is idle before it is suspended, ns.
func (s *Server) suspendDelay() int64 {
	maxActive := idle.MaxActive(s.config.MaxBytes)
	return idle.SuspendDelay(int(s.idle.waiting.Load()), int(s.serving.Load()), maxActive)
}

// resume makes an active connection of a suspended one, or closes it if it has ended. Where its client has
// closed its sending side, and its request has waited to be read since then, the request is rejected: the
// client may still read.
func (s *Server) resume(ctx context.Context, wake wakeUp) {
	taken, abandoned, found := s.idle.takeForResume(wake)
	if !found {
		return
	}
	conn, err := s.idle.poller.Resume(int(taken.fd))
	if err != nil {
		s.idle.putBack(wake, taken)
		return
	}
	if abandoned {
		s.idle.removeTaken(wake.slot)
		s.reject(ctx, conn)
		return
	}
	c := newConnection(s, conn, wake.slot)
	c.responded = !taken.beforeFirstRequest
	c.reading = true
	c.arrivals.begin(s.now()-int64(time.Since(wake.since)), uint32(taken.segments))
	s.register(c)
	s.start(ctx, c)
}

// resumePostponed tries again what could not be resumed, and tells whether some of it still can't.
func (s *Server) resumePostponed(ctx context.Context) bool {
	for _, w := range s.idle.beginRetry() {
		s.resume(ctx, w)
	}
	return s.idle.endRetry()
}

// resumeAll resumes all suspended connections, because the poller does not report events any more.
func (s *Server) resumeAll(ctx context.Context) {
	for _, key := range s.idle.allSuspended() {
		s.resume(ctx, wakeUp{slot: key, since: time.Now()})
	}
}

// waker resumes the suspended connections on which data has come, as many at a time as the memory allows.
type waker struct {
	server      *Server
	maxActive   int // connections with goroutines and buffers
	resumePacer *idle.Pacer
	closePacer  *idle.Pacer
	emptyAt     time.Time // when the poller was last known to have reported all events
	keys        []uint64  // returned by the poller last
}

func newWaker(s *Server) *waker {
	return &waker{
		server:      s,
		maxActive:   idle.MaxActive(s.config.MaxBytes),
		resumePacer: idle.NewWakePacer(s.config.Cores),
		closePacer:  idle.NewClosePacer(s.config.Cores),
		emptyAt:     time.Now(),
	}
}

// run resumes connections until the context ends, or the poller fails for good: then all are resumed, and
// none is suspended any more.
func (w *waker) run(ctx context.Context) {
	for {
		since, err := w.wait(ctx)
		if err == nil {
			if !w.handle(ctx, since) {
				return
			}
			continue
		}
		if neterr.IsTransient(err) && pause(ctx, acceptRetryInterval) {
			continue
		}
		if ctx.Err() == nil {
			w.server.idle.disableSuspend(err)
			w.server.resumeAll(ctx)
		}
		return
	}
}

// wait waits for the poller, and returns since when data may wait on the connections that it reports.
func (w *waker) wait(ctx context.Context) (since time.Time, err error) {
	called := time.Now()
	w.keys, err = w.server.idle.poller.Wait(ctx, w.keys)
	returned := time.Now()
	since = w.emptyAt
	if int64(returned.Sub(called)) >= minBlockedRead {
		now := w.server.now()
		since = returned.Add(time.Duration(w.server.heartbeat.earliestArrival(now) - now))
		w.emptyAt = since
	}
	if len(w.keys) < poller.MaxEvents {
		w.emptyAt = returned
	}
	return since, err
}

// handle resumes the connections that the poller has reported, and returns false if the context ends. Those with
// data are resumed first, because clients may close many connections at the same time. None may be left out: the
// poller reports each only once.
func (w *waker) handle(ctx context.Context, since time.Time) bool {
	w.server.idle.waiting.Store(int64(len(w.keys)))
	var withData, ended []wakeUp
	for _, key := range w.keys {
		wake := wakeUp{slot: decodeSlotKey(key), since: since}
		if w.server.idle.hasData(wake.slot) {
			withData = append(withData, wake)
		} else {
			ended = append(ended, wake)
		}
	}
	return w.resume(ctx, withData, w.resumePacer) && w.resume(ctx, ended, w.closePacer)
}

// resume resumes connections at a pace, and returns false if the context ends.
func (w *waker) resume(ctx context.Context, wakes []wakeUp, pacer *idle.Pacer) bool {
	for _, wake := range wakes {
		if !w.awaitPacer(ctx, pacer) || !w.awaitCapacity(ctx) {
			return false
		}
		w.server.resume(ctx, wake)
		w.server.idle.waiting.Add(-1)
	}
	return true
}

// awaitPacer waits for the pacer, and returns false if the context ends.
func (w *waker) awaitPacer(ctx context.Context, pacer *idle.Pacer) bool {
	for {
		wait := time.Duration(pacer.Wait(w.server.now(), w.server.config.Saturated()))
		if wait <= 0 {
			return true
		}
		if !pause(ctx, wait) {
			return false
		}
	}
}

// awaitCapacity waits until an active connection is suspended or closed, where there are too many, but not
// for long. It returns false if the context ends.
func (w *waker) awaitCapacity(ctx context.Context) bool {
	for tries := 0; w.server.activeConnections() >= w.maxActive && tries < idle.MaxWakeDelayMS; tries++ {
		if !pause(ctx, time.Millisecond) {
			return false
		}
	}
	return true
}
