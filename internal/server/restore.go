package server

import (
	"errors"
	"os"
	"tealpath/internal/discovery"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/snapshot"
	"time"
)

// restore takes what a snapshot knows, as far as the rules let it, and begins to write snapshots.
func (s *Server) restore(now int64, history *discovery.History) {
	if s.operator == nil || s.operator.SnapshotPath == "" {
		return
	}
	stored := s.readSnapshot()
	if errors.Is(stored.err, os.ErrNotExist) {
		return
	}
	if stored.err != nil {
		s.emit(SnapshotIgnored{Cause: stored.err})
		return
	}
	s.applySnapshot(now, stored.Snapshot, history)
}

// readSnapshot starts the writer of snapshots, and returns what it found in the file.
func (s *Server) readSnapshot() snapshotFile {
	header := restore.Header{
		Version:        restore.FormatVersion,
		Router:         s.config.Name,
		SettingsDigest: s.config.SettingsDigest,
	}
	var read <-chan snapshotFile
	s.snapshots, read = newSnapshotWriter(snapshotConfig{
		store:    s.openStore(s.operator.SnapshotPath),
		header:   header,
		interval: time.Duration(s.operator.SnapshotInterval),
		clock:    s.clock,
		emit:     s.emit,
	})
	select {
	case stored := <-read:
		return stored
	case <-time.After(snapshotReadTimeout):
		return snapshotFile{err: errSlowRead}
	}
}

// applySnapshot gives the reducer what of a snapshot is still of use.
func (s *Server) applySnapshot(now int64, stored snapshot.Snapshot, history *discovery.History) {
	wall := s.clock.Wall() // as the process before read it: the two have no axis in common
	scope, limit := restore.Assess(wall, s.snapshots.header, stored.Header)
	if scope == restore.None {
		s.emit(SnapshotIgnored{Cause: limit})
		return
	}
	age := max(0, wall-stored.TakenAt)
	memory := stored.Memory.Shifted(now - age - stored.Memory.TakenAt)
	s.router.Restore(now, memory, scope == restore.All)
	event := SnapshotRestored{Objects: len(stored.Memory.Objects), Scope: scope.String(), Cause: limit}
	if history.AddSnapshotList(stored.Position, stored.Digest, stored.Endpoints) {
		event.Endpoints = len(stored.Endpoints)
		event.ConfirmedBy = stored.Position
	}
	s.emit(event)
}
