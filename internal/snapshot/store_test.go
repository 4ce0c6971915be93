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

// path is the path of the snapshot on a simulatedDisk.
const path = "folder/kept"

// numbered returns a snapshot that differs from others by its number.
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

// storedNumber returns the number of the snapshot that a process reads at its start, after it has removed the temporary
// file. It fails the test if there are other files.
func storedNumber(t *testing.T, disk *simulatedDisk) int64 {
	t.Helper()
	store := NewStoreWithFileSystem(disk, path)
	if err := store.RemoveTemporary(); err != nil {
		t.Fatal(err)
	}
	got, err := store.Read()
	if err != nil || !reflect.DeepEqual(got, numbered(got.Position)) {
		t.Fatalf("%+v, %v", got, err)
	}
	if len(disk.names) != 1 {
		t.Fatalf("%d files are left", len(disk.names))
	}
	return got.Position
}

// The process is killed, or the power is lost, before and after each operation and each byte of the write. The next
// process always reads the previous snapshot or the new one, complete, and can write another.
func TestEveryCrashPoint(t *testing.T) {
	found := map[int64]int{}
	for after := 0; ; after++ {
		disk := diskWithSnapshot(t)
		disk.killAfter = after
		err := NewStoreWithFileSystem(disk, path).Write(numbered(2))
		for i, next := range append(disk.afterPowerLoss(), disk.restarted()) {
			number := storedNumber(t, next)
			if number != 2 && (number != 1 || err == nil) {
				t.Fatalf("killed after %d steps, outcome %d: snapshot %d, written with %v", after, i, number, err)
			}
			found[number]++
			if err := NewStoreWithFileSystem(next, path).Write(numbered(3)); err != nil || storedNumber(t, next) != 3 {
				t.Fatalf("killed after %d steps, outcome %d: the next is not stored, %v", after, i, err)
			}
		}
		if err == nil {
			break
		}
	}
	if found[1] == 0 || found[2] == 0 {
		t.Errorf("outcomes %v", found)
	}
}

// Each operation fails once with each error. The file is the previous one or the new one, no temporary file is left,
// and the next write succeeds with a new temporary file.
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
					t.Fatalf("written with %v", err)
				}
				want := int64(1)
				if operation == "syncdir" {
					want = 2
				}
				if len(disk.names) != 1 {
					t.Errorf("%d files are left", len(disk.names))
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

// A temporary file that can't be removed at once is removed at the next start or by the next write.
func TestTemporaryFileThatStays(t *testing.T) {
	disk := diskWithSnapshot(t)
	// Each write removes an old temporary file first, and its own if it fails.
	store := NewStoreWithFileSystem(&failingRemoves{simulatedDisk: disk, failing: []int{2, 3}}, path)
	disk.fail["write"] = syscall.ENOSPC
	if err := store.Write(numbered(2)); !errors.Is(err, syscall.ENOSPC) || !errors.Is(err, syscall.EBUSY) {
		t.Fatal(err)
	}
	if got := storedNumber(t, disk.restarted()); got != 1 {
		t.Errorf("snapshot %d after a start", got)
	}
	if err := store.Write(numbered(2)); !errors.Is(err, syscall.EBUSY) {
		t.Fatalf("written with %v although the temporary file exists", err)
	}
	if err := store.Write(numbered(3)); err != nil || len(disk.names) != 1 || storedNumber(t, disk) != 3 {
		t.Errorf("the next write: %v", err)
	}
}

// failingRemoves is a disk on which some removals fail.
type failingRemoves struct {
	*simulatedDisk
	failing []int // numbers of the removals that fail, from 1
	count   int   // removals so far
}

func (f *failingRemoves) Remove(path string) error {
	if f.count++; slices.Contains(f.failing, f.count) {
		return syscall.EBUSY
	}
	return f.simulatedDisk.Remove(path)
}

// A thousand writes to a full disk leave the previous snapshot, and no other file.
func TestFullDisk(t *testing.T) {
	disk := diskWithSnapshot(t)
	store := NewStoreWithFileSystem(disk, path)
	for n := range 1000 {
		disk.fail["write"] = syscall.ENOSPC
		if err := store.Write(numbered(2)); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("try %d: %v", n, err)
		}
	}
	if got := storedNumber(t, disk); got != 1 {
		t.Errorf("snapshot %d", got)
	}
	if err := store.Write(numbered(3)); err != nil || storedNumber(t, disk) != 3 {
		t.Error(err)
	}
}

// After a failed fsync the file is not synced again: a second fsync may succeed with nothing written to the disk.
func TestFailedFsyncIsNotTrusted(t *testing.T) {
	disk := diskWithSnapshot(t)
	store := NewStoreWithFileSystem(disk, path)
	disk.fail["sync"] = syscall.EIO
	if err := store.Write(numbered(2)); !errors.Is(err, syscall.EIO) {
		t.Fatal(err)
	}
	if got := strings.Join(disk.calls, " "); got != "remove create write sync close remove" {
		t.Errorf("calls: %s", got)
	}
	if err := store.Write(numbered(2)); err != nil {
		t.Fatal(err)
	}
	for _, next := range disk.afterPowerLoss() {
		if got := storedNumber(t, next); got != 2 {
			t.Errorf("snapshot %d after a loss of power", got)
		}
	}
}

// An error of the disk is returned by Read.
func TestReadReturnsDiskErrors(t *testing.T) {
	disk := diskWithSnapshot(t)
	disk.fail["open"] = syscall.EIO
	if got, err := NewStoreWithFileSystem(disk, path).Read(); !errors.Is(err, syscall.EIO) || got.Position != 0 {
		t.Errorf("%+v, %v", got, err)
	}
}

// writerFolder is the environment variable that makes the test's program write snapshots to a folder until it is
// killed.
const writerFolder = "SNAPSHOT_TEST_WRITER_FOLDER"

// A real process is killed several times while it writes to a real disk. The file always has the last snapshot that
// the process reported as written, or the one after it.
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
			t.Fatalf("read %+v, %v", got, err)
		}
		if got.Position < last || got.Position > last+1 {
			t.Fatalf("snapshot %d is stored, %d was written last", got.Position, last)
		}
		if err := store.RemoveTemporary(); err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(store.temporaryPath()); !errors.Is(err, fs.ErrNotExist) {
			t.Fatal(err)
		}
	}
}

// writeUntilKilled writes snapshots with growing numbers and prints the number of each after it was written.
func writeUntilKilled(store *Store) {
	for number := int64(1); ; number++ {
		if err := store.Write(numbered(number)); err != nil {
			fmt.Println("failed:", err)
			os.Exit(1)
		}
		fmt.Println("kept", number)
	}
}

// killWriter starts a process that runs writeUntilKilled in a folder, kills it after a random time, and returns the
// number that it printed last.
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
			t.Fatal(lines.Text())
		}
	}
	var exit *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &exit) {
		t.Fatalf("the killed process ended with %v", err)
	}
	return last
}

// The endpoint list of the largest deployment and a full table of request rates fit into a snapshot.
func TestLargestSnapshotFits(t *testing.T) {
	const timestamp = 1764576000123000000 // Unix ns
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
		t.Errorf("%d endpoints, %d objects, %v", len(got.Endpoints), len(got.Memory.Objects), err)
	}
	raw, err := Encode(s)
	if err != nil || len(raw) > maxFileBytes/2 {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
}

// A snapshot that is too large is not stored, and the previous one stays.
func TestTooLargeSnapshotIsNotStored(t *testing.T) {
	disk := diskWithSnapshot(t)
	large := numbered(2)
	large.Router = strings.Repeat("n", maxFileBytes)
	var size *SizeError
	err := NewStoreWithFileSystem(disk, path).Write(large)
	if !errors.As(err, &size) || size.Bytes <= maxFileBytes {
		t.Fatal(err)
	}
	if want := fmt.Sprintf("a snapshot of %d bytes, 8388608 can be", size.Bytes); err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
	if got := storedNumber(t, disk); got != 1 {
		t.Errorf("snapshot %d", got)
	}
}
