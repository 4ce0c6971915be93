package server

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"tealpath/internal/clock"
	"tealpath/internal/discovery"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
	"tealpath/internal/snapshot"
)

const (
	// snapshotReadTimeout bounds how long a start waits for its snapshot. A router that is asked to shut down
	// while it starts is killed after 0.7 s.
	snapshotReadTimeout = 500 * time.Millisecond

	// slowSnapshotTimeout is the time after which a write that has not ended counts as failed.
	slowSnapshotTimeout = 10 * time.Second

	// snapshotExitTimeout bounds how long a process that ends without a graceful shutdown waits for a write.
	snapshotExitTimeout = 50 * time.Millisecond

	// maxQueuedSnapshots is the capacity of the writer's queue: write queues one snapshot at a time, and
	// writeLast one behind it.
	maxQueuedSnapshots = 2
)

var (
	errSlowRead  = fmt.Errorf("not read within %v", snapshotReadTimeout)
	errSlowDisk  = fmt.Errorf("the disk has not answered for %v", slowSnapshotTimeout)
	errUnwritten = errors.New("the last one was not written before the process ended")
)

// snapshotWriter stores snapshots of the router's state in a file, for its next start. A nil writer stores
// nothing. Its methods are called by the event loop's goroutine and never wait for the disk, except for stop: a
// goroutine of the writer's own reads and writes the file.
type snapshotWriter struct {
	clock    clock.Clock
	header   restore.Header
	position discovery.EventProcessed // the last event of the discovery service that was processed
	ticker   *time.Ticker
	health   diskHealth
	queue    chan snapshot.Snapshot
	queuedAt time.Time     // when the last disk operation was queued
	exitBy   time.Time     // by when the process must not wait for the disk any more; zero: no shutdown has begun
	stopped  chan struct{} // closed when the goroutine has ended

	pending atomic.Int32 // disk operations queued or in progress
}

// snapshotFile is the result of reading the file.
type snapshotFile struct {
	snapshot.Snapshot
	err error
}

// snapshotConfig is the configuration of a snapshotWriter.
type snapshotConfig struct {
	store    *snapshot.Store
	header   restore.Header // of each snapshot, without its time
	interval time.Duration  // between two writes
	clock    clock.Clock
	emit     func(logevent.Event)
}

// newSnapshotWriter starts a writer. It reads the file first, and sends the result on the channel.
func newSnapshotWriter(config snapshotConfig) (*snapshotWriter, <-chan snapshotFile) {
	w := &snapshotWriter{
		clock:    config.clock,
		header:   config.header,
		ticker:   time.NewTicker(config.interval),
		health:   diskHealth{emit: config.emit},
		queue:    make(chan snapshot.Snapshot, maxQueuedSnapshots),
		queuedAt: time.Now(),
		stopped:  make(chan struct{}),
	}
	read := make(chan snapshotFile, 1)
	w.pending.Add(1)
	go w.run(config.store, read)
	return w, read
}

// run makes all disk operations: it reads the file, then writes the snapshots that are queued.
func (w *snapshotWriter) run(store *snapshot.Store, read chan<- snapshotFile) {
	defer close(w.stopped)
	if err := store.RemoveTemporary(); err != nil {
		w.health.failed(err)
	}
	stored, err := store.Read()
	read <- snapshotFile{stored, err}
	w.pending.Add(-1)
	for next := range w.queue {
		if err := store.Write(next); err != nil {
			w.health.failed(err)
		} else {
			w.health.succeeded()
		}
		w.pending.Add(-1)
	}
}

// due returns the channel of the ticker by which snapshots are written; nil, on which nothing is ever received,
// if none are.
func (w *snapshotWriter) due() <-chan time.Time {
	if w == nil {
		return nil
	}
	return w.ticker.C
}

// observe records the last event of the discovery service that was processed.
func (w *snapshotWriter) observe(position discovery.EventProcessed) {
	if w != nil {
		w.position = position
	}
}

// write queues a snapshot of the reducer's state, unless an earlier disk operation is still in progress.
func (w *snapshotWriter) write(r *router.Router, now int64) {
	switch {
	case w == nil:
	case w.pending.Load() == 0:
		w.enqueue(r, now)
	case time.Since(w.queuedAt) > slowSnapshotTimeout:
		w.health.failed(errSlowDisk)
	}
}

// writeLast queues the last snapshot as the shutdown begins, also behind one that is being written. From then on
// the process waits for the disk for timeout at most.
func (w *snapshotWriter) writeLast(r *router.Router, now int64, timeout time.Duration) {
	if w == nil {
		return
	}
	w.exitBy = time.Now().Add(timeout)
	w.enqueue(r, now)
}

// enqueue takes a snapshot of the reducer's state and queues it.
func (w *snapshotWriter) enqueue(r *router.Router, now int64) {
	next := snapshot.Snapshot{
		Header:    w.header,
		Position:  w.position.Position,
		Digest:    w.position.Digest,
		Endpoints: r.Endpoints(),
		Memory:    r.Snapshot(now, snapshot.MaxObjects),
	}
	next.TakenAt = w.clock.Wall() // for the next process, which has another monotonic clock
	w.pending.Add(1)
	w.queuedAt = time.Now()
	w.queue <- next // never waits: see maxQueuedSnapshots
}

// stop ends the writer. It waits until all that is queued is written, until exitBy or for snapshotExitTimeout at
// most, so that a hung disk does not delay the end of the process.
func (w *snapshotWriter) stop() {
	if w == nil {
		return
	}
	w.ticker.Stop()
	close(w.queue)
	timeout := snapshotExitTimeout
	if !w.exitBy.IsZero() {
		timeout = time.Until(w.exitBy)
	}
	select {
	case <-w.stopped:
	case <-time.After(timeout):
		if w.pending.Load() > 0 {
			w.health.failed(errUnwritten)
		}
	}
}

// diskHealth logs the changes between failing and successful writes, not each failure.
type diskHealth struct {
	emit func(logevent.Event)

	mu      sync.Mutex
	failing bool // guarded by mu
}

func (h *diskHealth) failed(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		h.emit(SnapshotWriteFailed{Cause: err})
	}
	h.failing = true
}

func (h *diskHealth) succeeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing {
		h.emit(SnapshotWriteRecovered{})
	}
	h.failing = false
}
