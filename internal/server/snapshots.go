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
	// snapshotReadTimeout is how long a start waits for its snapshot. It is short because a router that is asked to
	// shut down while it starts is killed after 0.7 s.
	snapshotReadTimeout = 500 * time.Millisecond

	// slowSnapshotTimeout is the time after which a write that has not ended counts as failed.
	slowSnapshotTimeout = 10 * time.Second

	// snapshotExitTimeout is how long a process that ends without a graceful shutdown waits for a write.
	snapshotExitTimeout = 50 * time.Millisecond

	// maxQueuedSnapshots is the capacity of the writer's queue: it holds at most one snapshot from write and,
	// behind it, one from writeLast.
	maxQueuedSnapshots = 2
)

var (
	errReadTimeout    = fmt.Errorf("it could not be read within %v", snapshotReadTimeout)
	errDiskTimeout    = fmt.Errorf("a disk operation has not ended after %v", slowSnapshotTimeout)
	errLastNotWritten = errors.New("the last snapshot was not written before the process ended")
)

// snapshotWriter stores snapshots of the router's state in a file, for its next start. A nil writer stores nothing.
// Its methods are called by the event loop's goroutine. They never wait for the disk, except for stop, because a
// goroutine of the writer reads and writes the file.
type snapshotWriter struct {
	clock        clock.Clock
	header       restore.Header
	position     discovery.EventProcessed // position and digest of the last processed watch event
	ticker       *time.Ticker
	health       diskHealth
	queue        chan snapshot.Snapshot
	queuedAt     time.Time     // when the last disk operation was queued
	exitDeadline time.Time     // when the process stops waiting for the disk; zero: no shutdown has begun
	stopped      chan struct{} // closed when the goroutine that accesses the disk has ended

	pending atomic.Int32 // number of disk operations that are queued or in progress
}

// snapshotFile is the result of reading the stored snapshot.
type snapshotFile struct {
	snapshot.Snapshot
	err error
}

// snapshotConfig has the parameters of newSnapshotWriter.
type snapshotConfig struct {
	store    *snapshot.Store
	header   restore.Header // header of each snapshot; its time is set when the snapshot is taken
	interval time.Duration  // time between two snapshots
	clock    clock.Clock
	emit     func(logevent.Event)
}

// newSnapshotWriter starts a writer. The writer first reads the stored snapshot and sends the result on the channel.
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

// run does all disk operations: it reads the file, and then writes the snapshots that are queued.
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

// due returns the channel of the ticker for writing snapshots. A nil writer returns nil, from which nothing can be
// received.
func (w *snapshotWriter) due() <-chan time.Time {
	if w == nil {
		return nil
	}
	return w.ticker.C
}

// observe records the last processed watch event, whose position and digest become part of the next snapshot.
func (w *snapshotWriter) observe(position discovery.EventProcessed) {
	if w != nil {
		w.position = position
	}
}

// write queues a snapshot of the reducer's state, unless an earlier disk operation is in progress. If that operation
// takes longer than slowSnapshotTimeout, it counts as failed.
func (w *snapshotWriter) write(r *router.Router, now int64) {
	switch {
	case w == nil:
	case w.pending.Load() == 0:
		w.enqueue(r, now)
	case time.Since(w.queuedAt) > slowSnapshotTimeout:
		w.health.failed(errDiskTimeout)
	}
}

// writeLast queues the last snapshot when the shutdown begins, even while another one is being written. The process
// waits for the disk for at most timeout from now.
func (w *snapshotWriter) writeLast(r *router.Router, now int64, timeout time.Duration) {
	if w == nil {
		return
	}
	w.exitDeadline = time.Now().Add(timeout)
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
	next.TakenAt = w.clock.Wall() // wall time, because the next process has another monotonic clock
	w.pending.Add(1)
	w.queuedAt = time.Now()
	w.queue <- next // never blocks: see maxQueuedSnapshots
}

// stop ends the writer. It waits until all queued snapshots are written, but only until exitDeadline, or for
// snapshotExitTimeout if no shutdown has begun, so that a hung disk does not delay the end of the process.
func (w *snapshotWriter) stop() {
	if w == nil {
		return
	}
	w.ticker.Stop()
	close(w.queue)
	timeout := snapshotExitTimeout
	if !w.exitDeadline.IsZero() {
		timeout = time.Until(w.exitDeadline)
	}
	select {
	case <-w.stopped:
	case <-time.After(timeout):
		if w.pending.Load() > 0 {
			w.health.failed(errLastNotWritten)
		}
	}
}

// diskHealth logs when writes begin to fail and when they succeed again, but not each failure.
type diskHealth struct {
	emit func(logevent.Event)

	mu      sync.Mutex
	failing bool // guarded by mu; whether the last recorded result is a failure
}

// failed records a failure, and logs it if it is the first one after a success.
func (h *diskHealth) failed(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		h.emit(SnapshotWriteFailed{Cause: err})
	}
	h.failing = true
}

// succeeded records a successful write, and logs it if it is the first one after a failure.
func (h *diskHealth) succeeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing {
		h.emit(SnapshotWriteRecovered{})
	}
	h.failing = false
}
