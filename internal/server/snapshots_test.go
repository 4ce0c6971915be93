package server

import (
	"fmt"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/snapshot"
	"tealpath/internal/testkit"
)

// snapshotPath is the path of the snapshot's file in these tests.
var snapshotPath = filepath.Join("folder", "kept")

// snapshotInterval is the interval of snapshots. It is short so that many are written during a test.
const snapshotInterval = 20 * time.Millisecond

// If any disk operation hangs, health checks are still answered, and the server ends before the platform would kill
// it.
func TestHungDisk(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
		for _, operation := range []string{"open", "remove", "create", "write", "sync", "close", "rename", "syncdir"} {
			t.Run(fmt.Sprint(operation, " ", deadline), func(t *testing.T) {
				t.Parallel()
				testHungDisk(t, operation, deadline)
			})
		}
	}
}

// testHungDisk checks that a server whose disk hangs in one operation answers health checks, logs one failed write,
// and ends before it would be killed.
func testHungDisk(t *testing.T, operation string, deadline time.Duration) {
	t.Helper()
	const killAfter = 700 * time.Millisecond // from the longest deadline to the platform's SIGKILL
	disk := newFaultyDisk(t)
	disk.set(nil, operation)
	running := startServer(t, disk, deadline, snapshotInterval)
	testkit.WaitUntil(t, testkit.Timeout, "an operation hangs", func() bool { return len(disk.hung) > 0 })
	running.waitHealthy(t)
	for range 10 {
		time.Sleep(snapshotInterval)
		if !running.healthy(t) {
			t.Errorf("not healthy while %s hangs", operation)
		}
	}
	if len(disk.hung) != 1 {
		t.Errorf("%d operations hang, want 1 at a time", len(disk.hung))
	}
	shutdownAt := time.Now()
	close(running.shutdown)
	if !running.waitEnded(t) {
		return
	}
	if took := time.Since(shutdownAt); took >= deadline+killAfter {
		t.Errorf("the server ended after %v, the platform kills it after %v", took, deadline+killAfter)
	}
	if count := running.log.count(SnapshotWriteFailed{}, ""); count != 1 {
		t.Errorf("%d events SnapshotWriteFailed, want 1", count)
	}
}

// While the disk is full, health checks are still answered. The first failure and the recovery are logged once each,
// and after the recovery a snapshot is stored.
func TestFullDisk(t *testing.T) {
	disk := newFaultyDisk(t)
	disk.set(syscall.ENOSPC, "")
	running := startServer(t, disk, 300*time.Millisecond, snapshotInterval)
	running.waitHealthy(t)
	testkit.WaitUntil(t, testkit.Timeout, "the failure is logged", func() bool {
		return running.log.count(SnapshotWriteFailed{}, `"cause":"no space left`) > 0
	})
	time.Sleep(500 * time.Millisecond)
	if !running.healthy(t) {
		t.Error("not healthy while the disk is full")
	}
	if count := disk.fileCount(); count != 0 {
		t.Errorf("%d files on the full disk, want none", count)
	}
	disk.set(nil, "")
	testkit.WaitUntil(t, testkit.Timeout, "the recovery is logged", func() bool {
		return running.log.count(SnapshotWriteRecovered{}, "") > 0
	})
	close(running.shutdown)
	running.waitEnded(t)
	failed := running.log.count(SnapshotWriteFailed{}, "")
	recovered := running.log.count(SnapshotWriteRecovered{}, "")
	if failed != 1 || recovered != 1 {
		t.Errorf("%d events SnapshotWriteFailed and %d SnapshotWriteRecovered, want 1 of each", failed, recovered)
	}
	stored, err := snapshot.NewStoreWithFileSystem(disk, snapshotPath).Read()
	if err != nil || len(stored.Endpoints) != 1 {
		t.Errorf("read %+v, error %v; want a snapshot with 1 endpoint", stored, err)
	}
	if count := disk.fileCount(); count != 1 {
		t.Errorf("%d files on the disk, want 1", count)
	}
}

// The last snapshot, which is taken when the shutdown begins, is stored even if an earlier one is still being written.
func TestLastSnapshotIsStored(t *testing.T) {
	disk := newFaultyDisk(t)
	slow := &slowDisk{faultyDisk: disk, syncTime: 100 * time.Millisecond}
	// With an interval of 1.5 s only one snapshot is written before the last one.
	running := startServer(t, slow, 300*time.Millisecond, 1500*time.Millisecond)
	testkit.WaitUntil(t, testkit.Timeout, "a write is in progress", func() bool { return slow.syncs.Load() == 1 })
	shutdownAt := time.Now()
	close(running.shutdown)
	running.waitEnded(t)
	stored, err := snapshot.NewStoreWithFileSystem(disk, snapshotPath).Read()
	if err != nil || stored.TakenAt < shutdownAt.UnixNano() {
		t.Errorf("the stored snapshot was taken %v before the shutdown, error %v",
			time.Duration(shutdownAt.UnixNano()-stored.TakenAt), err)
	}
}
