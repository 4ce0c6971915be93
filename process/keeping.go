package process

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tealpath/feed"
	"tealpath/internal/clock"
	"tealpath/plan/recall"
	"tealpath/router"
	"tealpath/snapshot"
)

// keeper keeps what the router knows in a file, for its next start. A nil keeper keeps nothing. Its methods are the
// reducer's goroutine's, which waits for no disk: files are written beside it, one at a time.
type keeper struct {
	path    string
	clock   clock.Clock
	header  recall.Header
	last    feed.Told
	ticker  *time.Ticker
	line    func(string)
	writing sync.Mutex
	failing bool
	group   sync.WaitGroup
}

// recall takes what a snapshot knows, as far as the rules let it, and begins to keep.
func (p *Process) recall(now int64, past *feed.Past) {
	if p.file == nil || p.file.Snapshot == "" {
		return
	}
	p.keeper = &keeper{path: p.file.Snapshot, clock: p.clock, line: p.line, ticker: time.NewTicker(time.Duration(p.file.SnapshotEvery)),
		header: recall.Header{Version: recall.Version, Router: p.config.Name, Deployment: xxhash.Sum64String(fmt.Sprint(p.config.Settings))}}
	kept, err := snapshot.Read(p.keeper.path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		p.line("snapshot passed over: " + err.Error())
		return
	}
	wall := p.clock.Wall() // as the process before read it: the two have no axis in common
	use, why := recall.Judge(wall, p.keeper.header, kept.Header)
	if use == recall.Nothing {
		p.line("snapshot passed over: " + why)
		return
	}
	age := max(0, wall-kept.Taken)
	p.router.Recall(now, kept.Memory.Moved(now-age-kept.Memory.Taken), use == recall.Whole)
	line := fmt.Sprintf("snapshot of %d objects taken, %s", len(kept.Memory.Objects), use)
	if why != "" {
		line += ": " + why
	}
	if past.Keep(kept.Position, kept.Digest, kept.Members) {
		line += fmt.Sprintf("; its list of %d members waits for event %d", len(kept.Members), kept.Position)
	}
	p.line(line)
}

func (k *keeper) due() <-chan time.Time {
	if k == nil {
		return nil
	}
	return k.ticker.C
}

func (k *keeper) told(t feed.Told) {
	if k != nil {
		k.last = t
	}
}

// keep writes what is known now.
func (k *keeper) keep(r *router.Router, now int64) {
	if k == nil || !k.writing.TryLock() {
		return // the one before is being written still: the disk is slow
	}
	s := snapshot.Snapshot{Header: k.header, Position: k.last.Position, Digest: k.last.Digest, Members: r.Listings(),
		Memory: r.Remember(now, snapshot.ObjectsMost)}
	s.Taken = k.clock.Wall() // the next process reads it, on an axis of its own
	k.group.Go(func() {
		defer k.writing.Unlock()
		err := snapshot.Write(k.path, s)
		switch {
		case err != nil && !k.failing:
			k.line("snapshots are not kept: " + err.Error())
		case err == nil && k.failing:
			k.line("snapshots are kept again")
		}
		k.failing = err != nil
	})
}

func (k *keeper) wait() {
	if k != nil {
		k.ticker.Stop()
		k.group.Wait()
	}
}
