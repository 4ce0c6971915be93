package server

import (
	"errors"
	"os"
	"time"

	"tealpath/internal/discovery"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/snapshot"
)

// restore starts the writer of snapshots and restores the snapshot that an earlier process has stored, if there
// is one. It may add an endpoint list to history. Without a path in the operator's file it does nothing.
func (s *Server) restore(now int64, history *discovery.History) {
	if s.operator == nil || s.operator.SnapshotPath == "" {
		return
	}
	stored := waitForSnapshot(s.startSnapshotWriter())
	switch {
	case errors.Is(stored.err, os.ErrNotExist):
	case stored.err != nil:
		s.emit(SnapshotIgnored{Cause: stored.err})
	default:
		s.applySnapshot(now, stored.Snapshot, history)
	}
}

// startSnapshotWriter starts the writer of snapshots. The channel gets the snapshot of an earlier process.
func (s *Server) startSnapshotWriter() (stored <-chan snapshotFile) {
	header := restore.Header{
		Version:        restore.FormatVersion,
		Router:         s.config.Name,
		SettingsDigest: s.config.SettingsDigest,
	}
	s.snapshots, stored = newSnapshotWriter(snapshotConfig{
		store:    s.openStore(s.operator.SnapshotPath),
		header:   header,
		interval: time.Duration(s.operator.SnapshotInterval),
		clock:    s.clock,
		emit:     s.emit,
	})
	return stored
}

// waitForSnapshot returns what the writer read, or errSlowRead after snapshotReadTimeout.
func waitForSnapshot(stored <-chan snapshotFile) snapshotFile {
	select {
	case file := <-stored:
		return file
	case <-time.After(snapshotReadTimeout):
		return snapshotFile{err: errSlowRead}
	}
}

// applySnapshot restores the parts of a snapshot that may be used (restore.Assess): to the reducer what the
// policy had learned, and to history the endpoint list.
func (s *Server) applySnapshot(now int64, stored snapshot.Snapshot, history *discovery.History) {
	wall := s.clock.Wall() // the snapshot's time is the wall clock's too: processes share no monotonic clock
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
