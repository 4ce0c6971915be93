package downstream

import (
	"context"
	"runtime"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/neterr"
)

// maxMaintenanceInterval is the maximum pause between two rounds of maintain. The pause ends when the next known
// connection expires, but one that is added during the pause may expire earlier.
const maxMaintenanceInterval = 100 * time.Millisecond

// resumeBatchDuration is how long the waker resumes connections before it yields the processor. Beside many clients
// that send at full speed, it takes some tens of milliseconds until the waker runs again.
const resumeBatchDuration = 2 * time.Millisecond

// maintain resumes suspended connections, and closes expired ones at the rate that the table allows, until the
// context ends.
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

// closeExpired closes the connections whose timeout has passed, as many as the table allows, and returns how long to
// wait until the next call.
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

// suspend suspends an active connection. If it returns false, the connection stays active: it is draining or was
// evicted, or a system call failed.
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

// suspendDelay returns the time, in ns, after which an idle connection is suspended at present.
func (s *Server) suspendDelay() int64 {
	maxActive := idle.MaxActiveConnections(s.config.MaxBytes)
	return idle.SuspendDelay(int(s.idle.waiting.Load()), int(s.serving.Load()), maxActive)
}

// resume turns a suspended connection into an active one, or closes it if it has ended. If its client has
// closed its sending side and the request has waited too long to be read, the request is rejected, because the
// client may still be reading.
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
	c.reading, c.readingSince = true, s.now()
	if wake.rejecting {
		c.rejecting = true
		s.shedding.Add(1)
	}
	c.arrivals.begin(s.now()-int64(time.Since(wake.since)), uint32(taken.segments))
	s.register(c)
	s.start(ctx, c)
}

// resumePostponed tries again to resume the postponed connections, and reports whether some of them still cannot
// be resumed.
func (s *Server) resumePostponed(ctx context.Context) bool {
	for _, w := range s.idle.beginRetry() {
		s.resume(ctx, w)
	}
	return s.idle.endRetry()
}

// resumeAll resumes all suspended connections. It is called when the poller has failed and reports no more events.
func (s *Server) resumeAll(ctx context.Context) {
	for _, key := range s.idle.allSuspended() {
		s.resume(ctx, wakeUp{slot: key, since: time.Now()})
	}
}

// waker resumes the suspended connections that have received data, as fast as the processor and the free memory allow.
type waker struct {
	server      *Server
	resumePacer *idle.Pacer
	closePacer  *idle.Pacer
	emptyAt     time.Time // last time at which all events of the poller were known to have been returned
	keys        []uint64  // keys of connections, returned by the last call of poller.Wait
}

func newWaker(s *Server) *waker {
	return &waker{
		server:      s,
		resumePacer: idle.NewResumePacer(s.config.Cores),
		closePacer:  idle.NewClosePacer(s.config.Cores),
		emptyAt:     time.Now(),
	}
}

// run resumes connections until the context ends or the poller fails permanently. In the latter case all
// connections are resumed, and no connection is suspended from then on.
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

// wait waits until the poller reports connections, whose keys it stores in w.keys. It returns the earliest time
// at which their unread data can have arrived.
func (w *waker) wait(ctx context.Context) (since time.Time, err error) {
	called := time.Now()
	pending := w.server.idle.poller.Pending()
	w.keys, err = w.server.idle.poller.Wait(ctx, w.keys)
	returned := time.Now()
	since = w.emptyAt
	// On a busy processor any call may take long, so its duration alone does not show that nothing had come before it.
	if !pending && int64(returned.Sub(called)) >= minBlockedRead {
		now := w.server.now()
		since = returned.Add(time.Duration(w.server.heartbeat.earliestArrival(now) - now))
		w.emptyAt = since
	}
	if len(w.keys) < poller.MaxEvents {
		w.emptyAt = returned
	}
	return since, err
}

// handle resumes the connections that the poller has reported, and returns false if the context ends. Those with data
// are resumed before those whose clients have closed them, because clients may close many connections at the same
// time. None may be skipped, because the poller reports each of them only once.
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
	return w.resumeWithData(ctx, withData) && w.resumeEnded(ctx, ended)
}

// resumeWithData resumes connections that have received data, and returns false if the context ends.
func (w *waker) resumeWithData(ctx context.Context, wakes []wakeUp) bool {
	batchBegan := time.Now()
	for _, wake := range wakes {
		rejecting, ok := w.awaitTurn(ctx, wake.since)
		if !ok {
			return false
		}
		wake.rejecting = rejecting
		w.server.resume(ctx, wake)
		w.server.idle.waiting.Add(-1)
		if time.Since(batchBegan) >= resumeBatchDuration {
			runtime.Gosched() // requests that are being served go first, also where no rate limits the resuming
			batchBegan = time.Now()
		}
	}
	return true
}

// resumeEnded resumes connections whose clients have closed their side, and returns false if the context ends.
func (w *waker) resumeEnded(ctx context.Context, wakes []wakeUp) bool {
	for _, wake := range wakes {
		wait := w.closePacer.Wait(w.server.now(), w.server.config.Saturated())
		for ; wait > 0; wait = w.closePacer.Wait(w.server.now(), w.server.config.Saturated()) {
			if !pause(ctx, time.Duration(wait)) {
				return false
			}
		}
		w.server.resume(ctx, wake)
		w.server.idle.waiting.Add(-1)
	}
	return true
}

// awaitTurn waits until a connection may be resumed on which data has waited since a time. rejecting means that there
// is no memory to serve what it has received. ok is false if the context ends first.
func (w *waker) awaitTurn(ctx context.Context, since time.Time) (rejecting, ok bool) {
	config := w.server.config
	for {
		waited := int64(time.Since(since))
		wait := time.Duration(w.resumePacer.WaitToResume(w.server.now(), waited, config.Saturated()))
		if wait <= 0 {
			break
		}
		if !pause(ctx, wait) {
			return false, false
		}
	}
	for {
		waited := time.Since(since)
		switch w.server.resumeDecision(int64(waited)) {
		case idle.Resume:
			return false, true
		case idle.ResumeAndReject:
			// Clients that never stop sending keep their place among maxShedding for good.
			if w.server.shedding.Load() < maxShedding || waited >= maxSheddingWaits*config.MaxResumeWait {
				return true, true
			}
		}
		if !pause(ctx, time.Millisecond) {
			return false, false
		}
	}
}
