package server

import (
	"errors"
	"os"
	"time"

	"tealpath/internal/discovery"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/snapshot"
)

// restore starts the snapshot writer and restores the snapshot that an earlier process has stored, if there is one. It
// may add the snapshot's endpoint list to history. It does nothing if the operator's file has no path for snapshots.
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

// startSnapshotWriter starts the snapshot writer. The result of reading the stored snapshot is sent on the channel.
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

// waitForSnapshot returns the result of reading the stored snapshot, or errReadTimeout after snapshotReadTimeout.
func waitForSnapshot(stored <-chan snapshotFile) snapshotFile {
	select {
	case file := <-stored:
		return file
	case <-time.After(snapshotReadTimeout):
		return snapshotFile{err: errReadTimeout}
	}
}

// applySnapshot restores the parts of a snapshot that may be used according to restore.Assess. It passes
// the state of package control (Memory) to the reducer, and adds the endpoint list to history.
func (s *Server) applySnapshot(now int64, stored snapshot.Snapshot, history *discovery.History) {
	wall := s.clock.Wall() // TakenAt is wall time too, because two processes share no monotonic clock
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
