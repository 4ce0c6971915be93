package server

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tealpath/internal/clock"
	"tealpath/internal/discovery"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/router"
	"tealpath/internal/snapshot"
)

const (
	// snapshotReadTimeout bounds how long a start waits for its snapshot: a router told to end while it starts has 0.7 s.
	snapshotReadTimeout = 500 * time.Millisecond

	// slowSnapshot is from when a write that has not ended counts as a failure of the disk.
	slowSnapshot = 10 * time.Second

	// snapshotExitTimeout is how long a process that ends without a shutdown waits for a write.
	snapshotExitTimeout = 50 * time.Millisecond
)

var (
	errSlowRead  = fmt.Errorf("not read within %v", snapshotReadTimeout)
	errSlowDisk  = fmt.Errorf("the disk has not answered for %v", slowSnapshot)
	errUnwritten = errors.New("the last one was not written before the process ended")
)

// keeper keeps what the router knows in a file, for its next start. A nil keeper keeps nothing. Its methods are the
// reducer's goroutine's, which waits for no disk: a goroutine of the keeper's own reads and writes the file.
type keeper struct {
	clock   clock.Clock
	header  restore.Header
	last    discovery.Told
	ticker  *time.Ticker
	health  diskHealth
	queue   chan snapshot.Snapshot
	pending atomic.Int32 // disk operations queued or under way
	since   time.Time    // when the last of them was queued
	exitBy  time.Time    // until when the end of the process may wait for them; zero: no shutdown
	stopped chan struct{}
}

// snapshotFile is what a read of the file gave.
type snapshotFile struct {
	snapshot.Snapshot
	err error
}

// newKeeper starts a keeper and has it read the file as it is.
func newKeeper(store *snapshot.Store, header restore.Header, every time.Duration, c clock.Clock, line func(string)) (*keeper, <-chan snapshotFile) {
	k := &keeper{clock: c, header: header, ticker: time.NewTicker(every), health: diskHealth{line: line}, since: time.Now(),
		// keep queues one write at a time, and keepLast one behind it.
		queue: make(chan snapshot.Snapshot, 2), stopped: make(chan struct{})}
	read := make(chan snapshotFile, 1)
	k.pending.Add(1)
	go k.run(store, read)
	return k, read
}

// run does all that touches the disk.
func (k *keeper) run(store *snapshot.Store, read chan<- snapshotFile) {
	defer close(k.stopped)
	if err := store.RemoveTemporary(); err != nil {
		k.health.failed(err)
	}
	kept, err := store.Read()
	read <- snapshotFile{kept, err}
	k.pending.Add(-1)
	for s := range k.queue {
		if err := store.Write(s); err != nil {
			k.health.failed(err)
		} else {
			k.health.succeeded()
		}
		k.pending.Add(-1)
	}
}

// diskHealth tells the log when writing begins to fail and when it succeeds again, once each.
type diskHealth struct {
	line    func(string)
	mu      sync.Mutex
	failing bool
}

func (h *diskHealth) failed(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		h.line("snapshots are not kept: " + err.Error())
	}
	h.failing = true
}

func (h *diskHealth) succeeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing {
		h.line("snapshots are kept again")
	}
	h.failing = false
}

// recall takes what a snapshot knows, as far as the rules let it, and begins to keep.
func (p *Process) recall(now int64, past *discovery.Past) {
	if p.file == nil || p.file.Snapshot == "" {
		return
	}
	header := restore.Header{Version: restore.FormatVersion, Router: p.config.Name,
		SettingsDigest: xxhash.Sum64String(fmt.Sprint(p.config.Settings))}
	var read <-chan snapshotFile
	p.keeper, read = newKeeper(p.snapshots(p.file.Snapshot), header, time.Duration(p.file.SnapshotEvery), p.clock, p.line)
	kept := snapshotFile{err: errSlowRead}
	select {
	case kept = <-read:
	case <-time.After(snapshotReadTimeout):
	}
	if errors.Is(kept.err, os.ErrNotExist) {
		return
	}
	if kept.err != nil {
		p.line("snapshot passed over: " + kept.err.Error())
		return
	}
	wall := p.clock.Wall() // as the process before read it: the two have no axis in common
	scope, limit := restore.Assess(wall, p.keeper.header, kept.Header)
	if scope == restore.None {
		p.line("snapshot passed over: " + limit.Error())
		return
	}
	age := max(0, wall-kept.TakenAt)
	p.router.Restore(now, kept.Memory.Shifted(now-age-kept.Memory.TakenAt), scope == restore.All)
	line := fmt.Sprintf("snapshot of %d objects taken, %s", len(kept.Memory.Objects), scope)
	if limit != nil {
		line += ": " + limit.Error()
	}
	if past.Keep(kept.Position, kept.Digest, kept.Endpoints) {
		line += fmt.Sprintf("; its list of %d members waits for event %d", len(kept.Endpoints), kept.Position)
	}
	p.line(line)
}

func (k *keeper) due() <-chan time.Time {
	if k == nil {
		return nil
	}
	return k.ticker.C
}

func (k *keeper) told(t discovery.Told) {
	if k != nil {
		k.last = t
	}
}

// keep writes what is known now, unless the disk is still busy with what was known before.
func (k *keeper) keep(r *router.Router, now int64) {
	switch {
	case k == nil:
	case k.pending.Load() == 0:
		k.write(r, now)
	case time.Since(k.since) > slowSnapshot:
		k.health.failed(errSlowDisk)
	}
}

// keepLast writes what is known as the shutdown begins, also behind a write under way. The process waits for the disk for so
// long at most.
func (k *keeper) keepLast(r *router.Router, now int64, within time.Duration) {
	if k == nil {
		return
	}
	k.exitBy = time.Now().Add(within)
	k.write(r, now)
}

func (k *keeper) write(r *router.Router, now int64) {
	s := snapshot.Snapshot{Header: k.header, Position: k.last.Position, Digest: k.last.Digest, Endpoints: r.Endpoints(),
		Memory: r.Snapshot(now, snapshot.MaxObjects)}
	s.TakenAt = k.clock.Wall() // the next process reads it, on an axis of its own
	k.pending.Add(1)
	k.since = time.Now()
	k.queue <- s // with room for it: see newKeeper
}

// stop ends the keeper. A disk that does not answer does not hold up the end of the process.
func (k *keeper) stop() {
	if k == nil {
		return
	}
	k.ticker.Stop()
	close(k.queue)
	timeout := snapshotExitTimeout
	if !k.exitBy.IsZero() {
		timeout = time.Until(k.exitBy)
	}
	select {
	case <-k.stopped:
	case <-time.After(timeout):
		if k.pending.Load() > 0 {
			k.health.failed(errUnwritten)
		}
	}
}
