package snapshot

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/router"
)

// path is the path of the snapshot's file on a simulatedDisk.
const path = "folder/kept"

// numbered returns a snapshot with a number as its position, so that snapshots can be told apart.
func numbered(number int64) Snapshot {
	s := testSnapshot()
	s.Position = number
	return s
}

// diskWithSnapshot returns a disk on which snapshot 1 is stored.
func diskWithSnapshot(t *testing.T) *simulatedDisk {
	t.Helper()
	disk := newSimulatedDisk()
	if err := NewStoreWithFileSystem(disk, path).Write(numbered(1)); err != nil {
		t.Fatal(err)
	}
	disk.calls = nil
	return disk
}

// storedNumber removes the temporary file, as a process does at its start, and returns the number of the snapshot that
// is stored. The test fails if the disk has other files.
func storedNumber(t *testing.T, disk *simulatedDisk) int64 {
	t.Helper()
	store := NewStoreWithFileSystem(disk, path)
	if err := store.RemoveTemporary(); err != nil {
		t.Fatal(err)
	}
	got, err := store.Read()
	if err != nil || !reflect.DeepEqual(got, numbered(got.Position)) {
		t.Fatalf("read %+v, error %v; want one of the numbered snapshots", got, err)
	}
	if len(disk.names) != 1 {
		t.Fatalf("%d files on the disk, want 1", len(disk.names))
	}
	return got.Position
}

// The process is killed, or the power is lost, before and after each operation and each byte of a write. The next
// process always reads the complete previous snapshot or the complete new one, and can write another.
func TestEveryCrashPoint(t *testing.T) {
	found := map[int64]int{}
	for after := 0; ; after++ {
		disk := diskWithSnapshot(t)
		disk.killAfter = after
		err := NewStoreWithFileSystem(disk, path).Write(numbered(2))
		for i, next := range append(disk.afterPowerLoss(), disk.restarted()) {
			number := storedNumber(t, next)
			if number != 2 && (number != 1 || err == nil) {
				t.Fatalf("killed after %d steps, disk %d: snapshot %d is stored, Write returned %v",
					after, i, number, err)
			}
			found[number]++
			if err := NewStoreWithFileSystem(next, path).Write(numbered(3)); err != nil || storedNumber(t, next) != 3 {
				t.Fatalf("killed after %d steps, disk %d: snapshot 3 is not stored, error %v", after, i, err)
			}
		}
		if err == nil {
			break
		}
	}
	if found[1] == 0 || found[2] == 0 {
		t.Errorf("counts by stored snapshot %v, want both 1 and 2", found)
	}
}

// Each operation fails once with each error. Afterwards no temporary file is left, and the next write succeeds. The
// file is still the previous one; only if the sync of the directory failed is it the new one.
func TestEveryFailure(t *testing.T) {
	for _, operation := range []string{"remove", "create", "write", "sync", "close", "rename", "syncdir"} {
		for _, failure := range []error{
			syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EROFS, syscall.EMFILE, syscall.ENOMEM,
			syscall.EACCES, syscall.EINTR, syscall.ESTALE,
		} {
			t.Run(operation+" "+failure.Error(), func(t *testing.T) {
				disk := diskWithSnapshot(t)
				disk.fail[operation] = failure
				store := NewStoreWithFileSystem(disk, path)
				if err := store.Write(numbered(2)); !errors.Is(err, failure) {
					t.Fatalf("Write returned %v, want %v", err, failure)
				}
				want := int64(1)
				if operation == "syncdir" {
					want = 2
				}
				if len(disk.names) != 1 {
					t.Errorf("%d files on the disk, want 1", len(disk.names))
				}
				if got := storedNumber(t, disk.restarted()); got != want {
					t.Errorf("snapshot %d is stored, want %d", got, want)
				}
				if err := store.Write(numbered(3)); err != nil {
					t.Fatal(err)
				}
				for _, next := range append(disk.afterPowerLoss(), disk.restarted()) {
					if got := storedNumber(t, next); got != 3 {
						t.Errorf("snapshot %d is stored after the next write, want 3", got)
					}
				}
			})
		}
	}
}

// A temporary file that can't be removed at first is removed by a later start or a later write.
func TestTemporaryFileIsRemovedLater(t *testing.T) {
	disk := diskWithSnapshot(t)
	// Write calls Remove before it writes, for an old temporary file, and after a failure, for its own. Calls 2 and 3
	// are the second call of the first Write and the first call of the second Write.
	store := NewStoreWithFileSystem(&failingRemoves{simulatedDisk: disk, failing: []int{2, 3}}, path)
	disk.fail["write"] = syscall.ENOSPC
	if err := store.Write(numbered(2)); !errors.Is(err, syscall.ENOSPC) || !errors.Is(err, syscall.EBUSY) {
		t.Fatalf("Write returned %v, want %v and %v", err, syscall.ENOSPC, syscall.EBUSY)
	}
	if got := storedNumber(t, disk.restarted()); got != 1 {
		t.Errorf("snapshot %d is stored after a restart, want 1", got)
	}
	if err := store.Write(numbered(2)); !errors.Is(err, syscall.EBUSY) {
		t.Fatalf("Write returned %v while the temporary file can't be removed, want %v", err, syscall.EBUSY)
	}
	if err := store.Write(numbered(3)); err != nil || len(disk.names) != 1 || storedNumber(t, disk) != 3 {
		t.Errorf("the next write returned %v, or snapshot 3 is not the only file", err)
	}
}

// failingRemoves is a disk on which some calls of Remove fail.
type failingRemoves struct {
	*simulatedDisk
	failing []int // numbers of the calls of Remove that fail, counted from 1
	count   int   // number of calls of Remove so far
}

func (f *failingRemoves) Remove(path string) error {
	if f.count++; slices.Contains(f.failing, f.count) {
		return syscall.EBUSY
	}
	return f.simulatedDisk.Remove(path)
}

// After a thousand writes to a full disk the previous snapshot is the only file.
func TestFullDisk(t *testing.T) {
	disk := diskWithSnapshot(t)
	store := NewStoreWithFileSystem(disk, path)
	for n := range 1000 {
		disk.fail["write"] = syscall.ENOSPC
		if err := store.Write(numbered(2)); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("write %d returned %v, want %v", n, err, syscall.ENOSPC)
		}
	}
	if got := storedNumber(t, disk); got != 1 {
		t.Errorf("snapshot %d is stored, want 1", got)
	}
	if err := store.Write(numbered(3)); err != nil || storedNumber(t, disk) != 3 {
		t.Errorf("snapshot 3 is not stored, error %v", err)
	}
}

// After a failed fsync the same file is not synced again: another fsync might succeed although nothing was written.
func TestFailedFsyncIsNotTrusted(t *testing.T) {
	disk := diskWithSnapshot(t)
	store := NewStoreWithFileSystem(disk, path)
	disk.fail["sync"] = syscall.EIO
	if err := store.Write(numbered(2)); !errors.Is(err, syscall.EIO) {
		t.Fatalf("Write returned %v, want %v", err, syscall.EIO)
	}
	if got := strings.Join(disk.calls, " "); got != "remove create write sync close remove" {
		t.Errorf("operations %q, want the temporary file to be removed after one sync", got)
	}
	if err := store.Write(numbered(2)); err != nil {
		t.Fatal(err)
	}
	for _, next := range disk.afterPowerLoss() {
		if got := storedNumber(t, next); got != 2 {
			t.Errorf("snapshot %d is stored after a loss of power, want 2", got)
		}
	}
}

// An error of the disk is returned as it is: the file must not count as missing or corrupt.
func TestReadReturnsDiskErrors(t *testing.T) {
	disk := diskWithSnapshot(t)
	disk.fail["open"] = syscall.EIO
	if got, err := NewStoreWithFileSystem(disk, path).Read(); !errors.Is(err, syscall.EIO) || got.Position != 0 {
		t.Errorf("read %+v, error %v; want error %v and no snapshot", got, err, syscall.EIO)
	}
}

// writerFolder is the environment variable with the directory to which TestKilledWriter writes snapshots until its
// process is killed. If it is not set, the test starts and kills such processes.
const writerFolder = "SNAPSHOT_TEST_WRITER_FOLDER"

// A process is killed ten times while it writes snapshots to the machine's disk. Each time the file has the last
// snapshot that the process reported as written, or the next one.
func TestKilledWriter(t *testing.T) {
	if folder := os.Getenv(writerFolder); folder != "" {
		writeUntilKilled(NewStore(filepath.Join(folder, "kept")))
	}
	folder := t.TempDir()
	store := NewStore(filepath.Join(folder, "kept"))
	for range 10 {
		last := killWriter(t, folder)
		got, err := store.Read()
		if err != nil || !reflect.DeepEqual(got, numbered(got.Position)) {
			t.Fatalf("read %+v, error %v; want one of the numbered snapshots", got, err)
		}
		if got.Position < last || got.Position > last+1 {
			t.Fatalf("snapshot %d is stored, the last one reported as written is %d", got.Position, last)
		}
		if err := store.RemoveTemporary(); err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(store.temporaryPath()); !errors.Is(err, fs.ErrNotExist) {
			t.Fatalf("the temporary file is still there: error %v", err)
		}
	}
}

// writeUntilKilled writes snapshots with increasing numbers, and prints the number of each one once it is written.
func writeUntilKilled(store *Store) {
	for number := int64(1); ; number++ {
		if err := store.Write(numbered(number)); err != nil {
			fmt.Println("failed:", err)
			os.Exit(1)
		}
		fmt.Println("kept", number)
	}
}

// killWriter starts a process that runs writeUntilKilled in a directory, kills it after a random time, and returns the
// last number that it printed.
func killWriter(t *testing.T, folder string) (last int64) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestKilledWriter$")
	cmd.Env = append(os.Environ(), writerFolder+"="+folder)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	lines.Scan()
	time.Sleep(time.Duration(rand.IntN(5000)) * time.Microsecond)
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	for more := true; more; more = lines.Scan() {
		if _, err := fmt.Sscanf(lines.Text(), "kept %d", &last); err != nil {
			t.Fatalf("the process printed %q, want \"kept\" and a number", lines.Text())
		}
	}
	var exit *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &exit) {
		t.Fatalf("the killed process ended with %v, want an *exec.ExitError", err)
	}
	return last
}

// A snapshot of the largest deployment, with 10,000 endpoints and MaxObjects objects, all with long names, takes at
// most half of maxFileBytes.
func TestLargestSnapshotFits(t *testing.T) {
	const timestamp = 1764576000123000000 // time of all records in the snapshot, Unix ns
	s := testSnapshot()
	s.Endpoints, s.Memory.Objects, s.Memory.Purges = nil, nil, nil
	for n := range 10_000 {
		name := fmt.Sprintf("cache-server-%050d", n)
		s.Endpoints = append(s.Endpoints, router.EndpointEntry{
			Instance: name,
			Address:  "127.100.100.100:10080",
			Endpoint: control.Endpoint{
				ID:        uint32(n),
				Location:  "a-zone-with-a-long-name",
				Kind:      "a-kind-with-a-long-name",
				Cell:      1 << 20,
				Phase:     "draining",
				Capacity:  1.25,
				StartedAt: timestamp,
			},
		})
	}
	for n := range MaxObjects {
		s.Memory.Objects = append(s.Memory.Objects, control.ObjectSnapshot{
			Object:      fmt.Sprintf("%016x", n),
			Part:        1 << 20,
			Group:       255,
			Count:       1.1,
			Purges:      2.2,
			CountedAt:   timestamp,
			FirstSeenAt: timestamp,
		})
		s.Memory.Purges = append(s.Memory.Purges, control.PurgeSnapshot{
			Name:     fmt.Sprintf("%016x", n),
			PurgedAt: timestamp,
		})
	}
	store := NewStore(filepath.Join(t.TempDir(), "kept"))
	if err := store.Write(s); err != nil {
		t.Fatal(err)
	}
	if got, err := store.Read(); err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("read %d endpoints and %d objects, error %v; want %d and %d, all unchanged",
			len(got.Endpoints), len(got.Memory.Objects), err, len(s.Endpoints), len(s.Memory.Objects))
	}
	raw, err := Encode(s)
	if err != nil || len(raw) > maxFileBytes/2 {
		t.Errorf("the file has %d bytes, want at most %d; error %v", len(raw), maxFileBytes/2, err)
	}
}

// Write returns a *SizeError for a snapshot that is too large, and the previous snapshot stays stored.
func TestTooLargeSnapshotIsNotStored(t *testing.T) {
	disk := diskWithSnapshot(t)
	large := numbered(2)
	large.Router = strings.Repeat("n", maxFileBytes)
	var size *SizeError
	err := NewStoreWithFileSystem(disk, path).Write(large)
	if !errors.As(err, &size) || size.Bytes <= maxFileBytes {
		t.Fatalf("error %v, want a *SizeError for more than %d bytes", err, maxFileBytes)
	}
	if want := fmt.Sprintf("the snapshot has %d bytes, at most 8388608 are allowed", size.Bytes); err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
	if got := storedNumber(t, disk); got != 1 {
		t.Errorf("snapshot %d is stored, want 1", got)
	}
}
