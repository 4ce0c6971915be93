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
	"tealpath/control"
	"tealpath/internal/router"
	"testing"
	"time"
)

const path = "folder/kept"

// numbered is a snapshot that is told from others by its number.
func numbered(number int64) Snapshot {
	s := some()
	s.Position = number
	return s
}

// written is a disk on which snapshot 1 is in force.
func written(t *testing.T) *simulatedDisk {
	t.Helper()
	disk := newSimulatedDisk()
	if err := NewStoreWithFileSystem(disk, path).Write(numbered(1)); err != nil {
		t.Fatal(err)
	}
	disk.calls = nil
	return disk
}

// inForce is the number of the snapshot that a process that starts on a disk finds, once it has cleaned up.
func inForce(t *testing.T, disk *simulatedDisk) int64 {
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

// A kill, or a loss of power, before and after each call and at each byte of the write: the next start finds
// the snapshot before or the new one, whole, cleans up, and can keep the next.
func TestEveryCrashPoint(t *testing.T) {
	found := map[int64]int{}
	for after := 0; ; after++ {
		disk := written(t)
		disk.killAfter = after
		err := NewStoreWithFileSystem(disk, path).Write(numbered(2))
		for i, next := range append(disk.afterPowerLoss(), disk.restarted()) {
			number := inForce(t, next)
			if number != 2 && (number != 1 || err == nil) {
				t.Fatalf("killed after %d steps, outcome %d: snapshot %d, written with %v", after, i, number, err)
			}
			found[number]++
			if err := NewStoreWithFileSystem(next, path).Write(numbered(3)); err != nil || inForce(t, next) != 3 {
				t.Fatalf("killed after %d steps, outcome %d: the next is not kept, %v", after, i, err)
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

// Each call fails once with each error: the file is the one before or the new one, nothing is left beside it,
// and the next try keeps its snapshot on a file of its own.
func TestEveryFailure(t *testing.T) {
	for _, operation := range []string{"remove", "create", "write", "sync", "close", "rename", "syncdir"} {
		for _, failure := range []error{
			syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EROFS, syscall.EMFILE, syscall.ENOMEM,
			syscall.EACCES, syscall.EINTR, syscall.ESTALE,
		} {
			t.Run(operation+" "+failure.Error(), func(t *testing.T) {
				disk := written(t)
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
				if got := inForce(t, disk.restarted()); got != want {
					t.Errorf("snapshot %d is in force, want %d", got, want)
				}
				if err := store.Write(numbered(3)); err != nil {
					t.Fatal(err)
				}
				for _, next := range append(disk.afterPowerLoss(), disk.restarted()) {
					if got := inForce(t, next); got != 3 {
						t.Errorf("snapshot %d is in force after the next try", got)
					}
				}
			})
		}
	}
}

// A temporary file that can't be removed at once is removed by the next start, or by the next try.
func TestTemporaryFileThatStays(t *testing.T) {
	disk := written(t)
	// Of each try the first removal is for what was left before, the second for its own failure.
	store := NewStoreWithFileSystem(&failingRemoves{simulatedDisk: disk, failing: []int{2, 3}}, path)
	disk.fail["write"] = syscall.ENOSPC
	if err := store.Write(numbered(2)); !errors.Is(err, syscall.ENOSPC) || !errors.Is(err, syscall.EBUSY) {
		t.Fatal(err)
	}
	if got := inForce(t, disk.restarted()); got != 1 {
		t.Errorf("snapshot %d after a start", got)
	}
	if err := store.Write(numbered(2)); !errors.Is(err, syscall.EBUSY) {
		t.Fatalf("written with %v though the file is there", err)
	}
	if err := store.Write(numbered(3)); err != nil || len(disk.names) != 1 || inForce(t, disk) != 3 {
		t.Errorf("the next try: %v", err)
	}
}

// failingRemoves fails some removals, counted from 1.
type failingRemoves struct {
	*simulatedDisk
	failing []int
	count   int
}

func (f *failingRemoves) Remove(path string) error {
	if f.count++; slices.Contains(f.failing, f.count) {
		return syscall.EBUSY
	}
	return f.simulatedDisk.Remove(path)
}

// A disk that is full through a thousand tries leaves the snapshot before in force, and nothing else.
func TestFullDisk(t *testing.T) {
	disk := written(t)
	store := NewStoreWithFileSystem(disk, path)
	for n := range 1000 {
		disk.fail["write"] = syscall.ENOSPC
		if err := store.Write(numbered(2)); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("try %d: %v", n, err)
		}
	}
	if got := inForce(t, disk); got != 1 {
		t.Errorf("snapshot %d", got)
	}
	if err := store.Write(numbered(3)); err != nil || inForce(t, disk) != 3 {
		t.Error(err)
	}
}

// After a failed fsync the same descriptor is not asked again: it would say that all is well, with nothing on
// the disk.
func TestFailedFsyncIsNotTrusted(t *testing.T) {
	disk := written(t)
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
		if got := inForce(t, next); got != 2 {
			t.Errorf("snapshot %d after a loss of power", got)
		}
	}
}

// A file that can't be read says so, and is no snapshot.
func TestReadFails(t *testing.T) {
	disk := written(t)
	disk.fail["open"] = syscall.EIO
	if got, err := NewStoreWithFileSystem(disk, path).Read(); !errors.Is(err, syscall.EIO) || got.Position != 0 {
		t.Errorf("%+v, %v", got, err)
	}
}

// writerFolder has this test's program write snapshots there until it is killed.
const writerFolder = "SNAPSHOT_TEST_WRITER_FOLDER"

// A real process is killed again and again while it writes to a real disk.
func TestKilledWriter(t *testing.T) {
	if folder := os.Getenv(writerFolder); folder != "" {
		store := NewStore(filepath.Join(folder, "kept"))
		for number := int64(1); ; number++ {
			if err := store.Write(numbered(number)); err != nil {
				fmt.Println("failed:", err)
				os.Exit(1)
			}
			fmt.Println("kept", number)
		}
	}
	folder := t.TempDir()
	store := NewStore(filepath.Join(folder, "kept"))
	for range 10 {
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
		last := int64(0)
		for more := true; more; more = lines.Scan() {
			if _, err := fmt.Sscanf(lines.Text(), "kept %d", &last); err != nil {
				t.Fatal(lines.Text())
			}
		}
		var exit *exec.ExitError
		if err := cmd.Wait(); !errors.As(err, &exit) {
			t.Fatalf("killed, it ended with %v", err)
		}
		got, err := store.Read()
		if err != nil || got.Position < last || got.Position > last+1 || !reflect.DeepEqual(got, numbered(got.Position)) {
			t.Fatalf("%d was kept; read %+v, %v", last, got, err)
		}
		if err := store.RemoveTemporary(); err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(store.temporaryPath()); !errors.Is(err, fs.ErrNotExist) {
			t.Fatal(err)
		}
	}
}

// The largest fleet's list and a full rate table fit.
func TestLargestSnapshotFits(t *testing.T) {
	s := some()
	s.Endpoints, s.Memory.Objects, s.Memory.Purges = nil, nil, nil
	for n := range 10_000 {
		name := fmt.Sprintf("cache-server-%050d", n)
		s.Endpoints = append(s.Endpoints, router.EndpointEntry{
			Instance: name, Address: "127.100.100.100:10080",
			Endpoint: control.Endpoint{
				ID: uint32(n), Location: "a-zone-with-a-long-name", Kind: "a-kind-with-a-long-name", Cell: 1 << 20,
				Phase: "draining", Capacity: 1.25, StartedAt: 1764576000123000000,
			},
		})
	}
	for n := range MaxObjects {
		s.Memory.Objects = append(s.Memory.Objects, control.ObjectSnapshot{
			Object: fmt.Sprintf("%016x", n), Part: 1 << 20, Group: 255,
			Count: 1.1, Purges: 2.2, CountedAt: 1764576000123000000, FirstSeenAt: 1764576000123000000,
		})
		s.Memory.Purges = append(s.Memory.Purges, control.PurgeSnapshot{Name: fmt.Sprintf("%016x", n), PurgedAt: 1764576000123000000})
	}
	store := NewStore(filepath.Join(t.TempDir(), "kept"))
	if err := store.Write(s); err != nil {
		t.Fatal(err)
	}
	if got, err := store.Read(); err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("%d members, %d objects, %v", len(got.Endpoints), len(got.Memory.Objects), err)
	}
	raw, err := Encode(s)
	if err != nil || len(raw) > maxFileBytes/2 {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
}

// A snapshot that is too large is not stored, and the one before stays.
func TestTooLarge(t *testing.T) {
	disk := written(t)
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
	if got := inForce(t, disk); got != 1 {
		t.Errorf("snapshot %d", got)
	}
}
