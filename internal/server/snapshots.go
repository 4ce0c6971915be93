package server

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"tealpath/internal/clock"
	"tealpath/internal/discovery"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
	"tealpath/internal/snapshot"
	"time"
)

const (
	// snapshotReadTimeout bounds how long a start waits for its snapshot: a router told to end while it
	// starts has 0.7 s.
	snapshotReadTimeout = 500 * time.Millisecond

	// slowSnapshot is from when a write that has not ended counts as a failure of the disk.
	slowSnapshot = 10 * time.Second

	// snapshotExitTimeout is how long a process that ends without a shutdown waits for a write.
	snapshotExitTimeout = 50 * time.Millisecond

	// maxQueuedSnapshots: write queues one snapshot at a time, and writeLast one behind it.
	maxQueuedSnapshots = 2
)

var (
	errSlowRead  = fmt.Errorf("not read within %v", snapshotReadTimeout)
	errSlowDisk  = fmt.Errorf("the disk has not answered for %v", slowSnapshot)
	errUnwritten = errors.New("the last one was not written before the process ended")
)

// snapshotWriter keeps what the router knows in a file, for its next start. A nil writer keeps nothing. Its
// methods belong to the event loop's goroutine, which waits for no disk: a goroutine of the writer's own
// reads and writes the file.
type snapshotWriter struct {
	clock    clock.Clock
	header   restore.Header
	position discovery.EventProcessed // the last event that discovery has handed on
	ticker   *time.Ticker
	health   diskHealth
	queue    chan snapshot.Snapshot
	queuedAt time.Time // when the last disk operation was queued
	exitBy   time.Time // until when the end of the process may wait for the disk; zero: no shutdown has begun
	stopped  chan struct{}

	pending atomic.Int32 // disk operations queued or under way
}

// snapshotFile is what a read of the file gave.
type snapshotFile struct {
	snapshot.Snapshot
	err error
}

// snapshotConfig is what a snapshotWriter is made of.
type snapshotConfig struct {
	store    *snapshot.Store
	header   restore.Header
	interval time.Duration // between two writes
	clock    clock.Clock
	emit     func(logevent.Event)
}

// newSnapshotWriter starts a writer. It reads the file as it is first, and hands that on by the channel.
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

// run does all that touches the disk.
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

// due returns the channel that says when the next snapshot is to be written; nil if none is.
func (w *snapshotWriter) due() <-chan time.Time {
	if w == nil {
		return nil
	}
	return w.ticker.C
}

// observe notes how far discovery has got.
func (w *snapshotWriter) observe(position discovery.EventProcessed) {
	if w != nil {
		w.position = position
	}
}

// write queues what is known now, unless the disk is still busy with an earlier snapshot.
func (w *snapshotWriter) write(r *router.Router, now int64) {
	switch {
	case w == nil:
	case w.pending.Load() == 0:
		w.enqueue(r, now)
	case time.Since(w.queuedAt) > slowSnapshot:
		w.health.failed(errSlowDisk)
	}
}

// writeLast queues what is known as the shutdown begins, also behind a write under way. The process waits
// for the disk for this timeout at most.
func (w *snapshotWriter) writeLast(r *router.Router, now int64, timeout time.Duration) {
	if w == nil {
		return
	}
	w.exitBy = time.Now().Add(timeout)
	w.enqueue(r, now)
}

func (w *snapshotWriter) enqueue(r *router.Router, now int64) {
	next := snapshot.Snapshot{
		Header:    w.header,
		Position:  w.position.Position,
		Digest:    w.position.Digest,
		Endpoints: r.Endpoints(),
		Memory:    r.Snapshot(now, snapshot.MaxObjects),
	}
	next.TakenAt = w.clock.Wall() // the next process reads it, on an axis of its own
	w.pending.Add(1)
	w.queuedAt = time.Now()
	w.queue <- next // does not wait: see maxQueuedSnapshots
}

// stop ends the writer. A disk that does not answer does not hold up the end of the process.
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

// diskHealth logs when writing begins to fail and when it succeeds again, once each.
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
