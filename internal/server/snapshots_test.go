package server

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"tealpath/internal/config"
	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/logevent"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/protocol/thrift"
	"tealpath/internal/snapshot"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// snapshotPath is where the servers of these tests keep their snapshots.
var snapshotPath = filepath.Join("folder", "kept")

// faultyDisk is a disk in memory. It fails as it is told to, or hangs until the test ends.
type faultyDisk struct {
	mu       sync.Mutex
	files    map[string][]byte
	fail     error
	hangs    string // operation that does not return
	hung     chan struct{}
	released chan struct{}
	writes   int
}

func newFaultyDisk(t *testing.T) *faultyDisk {
	t.Helper()
	d := &faultyDisk{files: map[string][]byte{}, hung: make(chan struct{}, 100), released: make(chan struct{})}
	t.Cleanup(func() { close(d.released) })
	return d
}

func (d *faultyDisk) set(fail error, hangs string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail, d.hangs = fail, hangs
}

// do runs an operation, unless the disk hangs or fails there.
func (d *faultyDisk) do(operation string, f func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hangs == operation {
		d.mu.Unlock()
		d.hung <- struct{}{}
		<-d.released
		d.mu.Lock()
		return syscall.EIO
	}
	if d.fail != nil && operation == "write" {
		return d.fail
	}
	f()
	return nil
}

func (d *faultyDisk) Open(path string) (file io.ReadCloser, err error) {
	missing := d.do("open", func() {
		if raw, ok := d.files[path]; ok {
			file = io.NopCloser(bytes.NewReader(raw))
		}
	})
	if missing == nil && file == nil {
		missing = os.ErrNotExist
	}
	return file, missing
}

func (d *faultyDisk) Create(path string) (snapshot.File, error) {
	return &faultyFile{disk: d, path: path}, d.do("create", func() { d.files[path] = nil })
}

func (d *faultyDisk) Rename(from, to string) error {
	return d.do("rename", func() {
		d.files[to] = d.files[from]
		d.writes++
		delete(d.files, from)
	})
}

func (d *faultyDisk) Remove(path string) error {
	return d.do("remove", func() { delete(d.files, path) })
}

func (d *faultyDisk) SyncDir(string) error { return d.do("syncdir", func() {}) }

type faultyFile struct {
	disk *faultyDisk
	path string
}

func (f *faultyFile) Write(raw []byte) (int, error) {
	return len(raw), f.disk.do("write", func() { f.disk.files[f.path] = append(f.disk.files[f.path], raw...) })
}

func (f *faultyFile) Sync() error { return f.disk.do("sync", func() {}) }

func (f *faultyFile) Close() error { return f.disk.do("close", func() {}) }

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer // guarded by mu
}

func (b *lockedBuffer) Write(raw []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(raw)
}

// count counts the lines of an event whose fields have a part.
func (b *lockedBuffer) count(event logevent.Event, part string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for line := range strings.Lines(b.text.String()) {
		isEvent := strings.Contains(line, fmt.Sprintf(`"event":%q`, event.Kind().Name))
		if isEvent && strings.Contains(line, part) {
			count++
		}
	}
	return count
}

// running is a process that serves within the test, and keeps snapshots on a disk.
type running struct {
	address string
	log     *lockedBuffer
	leave   chan struct{}
	ended   chan error
}

func startOn(t *testing.T, disk snapshot.FileSystem, deadline, every time.Duration) *running {
	t.Helper()
	journal, err := discoveryserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(journal.Close)
	journal.Publish(`{"pos":%d,"hosts":{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1",` +
		`"zone":"here","machineType":"cache","lifecycle":"active","weight":4}]}}`)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &running{address: listener.Addr().String(), log: &lockedBuffer{}, leave: make(chan struct{}), ended: make(chan error, 1)}
	discard(listener)
	c, err := config.Parse(fmt.Appendf(nil, `{"name":"n1","listen":%q,"seed":"07","limits":{"cores":1,"memory_mb":64,"sockets":256},
 "journal":%q,"known":%s,"settings":{"balancers":1,"locality":"here","failureDomains":["here"],"machineTypes":["cache"],
 "limits":{"attemptsCap":6,"dialTimeoutS":0.4,"connIdleS":30,"streamsPerConn":100,"maxOpen":1000},
 "profiles":[{"name":"stills","onTimeS":0.1,"deadlineS":%g,"points":1,"effect":"retryable"}]}}`,
		r.address, journal.Address(), journal.KnownEvents(), deadline.Seconds()), "", "")
	if err != nil {
		t.Fatal(err)
	}
	operator := &operatorconfig.File{SnapshotPath: snapshotPath, SnapshotInterval: int64(every)}
	s := New(c, operator, zerolog.New(r.log))
	s.openStore = func(path string) *snapshot.Store { return snapshot.NewStoreWithFileSystem(disk, path) }
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { r.ended <- s.Run(ctx, r.leave, nil, nil) }()
	return r
}

// healthy tells whether the process answers that it can serve.
func (r *running) healthy() bool {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		return false
	}
	defer discard(conn)
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return false
	}
	message := append([]byte{0x80, 1, 0, thrift.Call, 0, 0, 0, 6}, "health"...)
	message = append(binary.BigEndian.AppendUint32(message, 1), 2, 0, 1, 0, 0)
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
	if _, err := conn.Write(frame); err != nil {
		return false
	}
	size := make([]byte, 4)
	if _, err := io.ReadFull(conn, size); err != nil {
		return false
	}
	answer := make([]byte, binary.BigEndian.Uint32(size))
	_, err = io.ReadFull(conn, answer)
	return err == nil && bytes.Contains(answer, []byte{2, 0, 3, 1}) // field 3, `good`, is true
}

func eventually(t *testing.T, what string, within time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// A disk that hangs in any call of a write: service goes on, and the process ends before it is killed.
func TestHungDisk(t *testing.T) {
	const killAfter = 700 * time.Millisecond // beyond the longest deadline
	for _, deadline := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
		for _, operation := range []string{"open", "remove", "create", "write", "sync", "close", "rename", "syncdir"} {
			t.Run(fmt.Sprint(operation, " ", deadline), func(t *testing.T) {
				t.Parallel()
				disk := newFaultyDisk(t)
				disk.set(nil, operation)
				r := startOn(t, disk, deadline, 20*time.Millisecond)
				eventually(t, "the disk is asked", 5*time.Second, func() bool { return len(disk.hung) > 0 })
				eventually(t, "healthy", 5*time.Second, r.healthy)
				for range 10 {
					time.Sleep(20 * time.Millisecond)
					if !r.healthy() {
						t.Error("not healthy while the disk hangs")
					}
				}
				if len(disk.hung) != 1 {
					t.Errorf("%d calls hang, one at a time is allowed", len(disk.hung))
				}
				told := time.Now()
				close(r.leave)
				select {
				case err := <-r.ended:
					if err != nil {
						t.Error(err)
					}
				case <-time.After(10 * time.Second):
					t.Fatal("it never ended")
				}
				if took := time.Since(told); took >= deadline+killAfter {
					t.Errorf("ended after %v, killed after %v", took, deadline+killAfter)
				}
				if n := r.log.count(SnapshotWriteFailed{}, ""); n != 1 {
					t.Errorf("%d lines say that the last snapshot was not kept", n)
				}
			})
		}
	}
}

// A disk that is full for many tries: service goes on, one line when it begins, one when it is over, and
// then the file is there.
func TestFullDisk(t *testing.T) {
	disk := newFaultyDisk(t)
	disk.set(syscall.ENOSPC, "")
	r := startOn(t, disk, 300*time.Millisecond, 20*time.Millisecond)
	eventually(t, "healthy", 5*time.Second, r.healthy)
	eventually(t, "it is said", 5*time.Second, func() bool { return r.log.count(SnapshotWriteFailed{}, `"cause":"no space left`) > 0 })
	time.Sleep(500 * time.Millisecond)
	if !r.healthy() {
		t.Error("not healthy while the disk is full")
	}
	disk.mu.Lock()
	if len(disk.files) != 0 {
		t.Errorf("files are left: %d", len(disk.files))
	}
	disk.mu.Unlock()
	disk.set(nil, "")
	eventually(t, "it is over", 5*time.Second, func() bool { return r.log.count(SnapshotWriteRecovered{}, "") > 0 })
	close(r.leave)
	if err := <-r.ended; err != nil {
		t.Error(err)
	}
	if failed, again := r.log.count(SnapshotWriteFailed{}, ""), r.log.count(SnapshotWriteRecovered{}, ""); failed != 1 || again != 1 {
		t.Errorf("%d and %d lines", failed, again)
	}
	if kept, err := snapshot.NewStoreWithFileSystem(disk, snapshotPath).Read(); err != nil || len(kept.Endpoints) != 1 {
		t.Errorf("%+v, %v", kept, err)
	}
	if len(disk.files) != 1 {
		t.Errorf("%d files", len(disk.files))
	}
}

// What a process knows as its shutdown begins is kept, also where the disk is still busy with an earlier
// snapshot.
func TestLastSnapshotIsKept(t *testing.T) {
	disk := newFaultyDisk(t)
	slow := &slowDisk{faultyDisk: disk, each: 100 * time.Millisecond}
	r := startOn(t, slow, 300*time.Millisecond, 1500*time.Millisecond) // none but the last is due before the end
	eventually(t, "a write is under way", 5*time.Second, func() bool { return slow.syncs.Load() == 1 })
	told := time.Now()
	close(r.leave)
	if err := <-r.ended; err != nil {
		t.Error(err)
	}
	kept, err := snapshot.NewStoreWithFileSystem(disk, snapshotPath).Read()
	if err != nil || kept.TakenAt < told.UnixNano() {
		t.Errorf("taken %v before the shutdown, %v", time.Duration(told.UnixNano()-kept.TakenAt), err)
	}
}

// slowDisk takes a while to force a file to the disk.
type slowDisk struct {
	*faultyDisk
	each  time.Duration
	syncs atomic.Int32
}

func (d *slowDisk) Create(path string) (snapshot.File, error) {
	file, err := d.faultyDisk.Create(path)
	return &slowFile{file, d}, err
}

type slowFile struct {
	snapshot.File
	disk *slowDisk
}

func (f *slowFile) Sync() error {
	f.disk.syncs.Add(1)
	time.Sleep(f.disk.each)
	return f.File.Sync()
}
