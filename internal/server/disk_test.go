package server

import (
	"bytes"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/snapshot"
)

// faultyDisk is a file system in memory whose operations can be made to fail, or to hang until the test ends.
type faultyDisk struct {
	mu       sync.Mutex
	files    map[string][]byte // guarded by mu; content of each file, by path
	fail     error             // guarded by mu; error of each write; nil: writes succeed
	hangs    string            // guarded by mu; name of the operation that hangs; empty: none
	hung     chan struct{}     // gets an item for each operation that hangs
	released chan struct{}     // closed when the test ends, to end the operations that hang
}

func newFaultyDisk(t *testing.T) *faultyDisk {
	t.Helper()
	d := &faultyDisk{files: map[string][]byte{}, hung: make(chan struct{}, 100), released: make(chan struct{})}
	t.Cleanup(func() { close(d.released) })
	return d
}

// set makes writes fail with the error fail, and makes the operation with the name hangs block until the test ends. If
// fail is nil, writes succeed; if hangs is empty, no operation blocks.
func (d *faultyDisk) set(fail error, hangs string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail, d.hangs = fail, hangs
}

func (d *faultyDisk) fileCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.files)
}

// do runs an operation with mu locked. If the operation is set to hang, do blocks until the test ends and returns EIO
// instead. If it is a write that is set to fail, do returns the error that was set.
func (d *faultyDisk) do(operation string, run func()) error {
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
	run()
	return nil
}

func (d *faultyDisk) Open(path string) (file io.ReadCloser, err error) {
	err = d.do("open", func() {
		if raw, ok := d.files[path]; ok {
			file = io.NopCloser(bytes.NewReader(raw))
		}
	})
	if err == nil && file == nil {
		err = os.ErrNotExist
	}
	return file, err
}

func (d *faultyDisk) Create(path string) (snapshot.File, error) {
	return &faultyFile{disk: d, path: path}, d.do("create", func() { d.files[path] = nil })
}

func (d *faultyDisk) Rename(from, to string) error {
	return d.do("rename", func() {
		d.files[to] = d.files[from]
		delete(d.files, from)
	})
}

func (d *faultyDisk) Remove(path string) error {
	return d.do("remove", func() { delete(d.files, path) })
}

func (d *faultyDisk) SyncDir(string) error { return d.do("syncdir", func() {}) }

// faultyFile is a file of a faultyDisk that is open for writing.
type faultyFile struct {
	disk *faultyDisk
	path string
}

func (f *faultyFile) Write(raw []byte) (int, error) {
	return len(raw), f.disk.do("write", func() { f.disk.files[f.path] = append(f.disk.files[f.path], raw...) })
}

func (f *faultyFile) Sync() error { return f.disk.do("sync", func() {}) }

func (f *faultyFile) Close() error { return f.disk.do("close", func() {}) }

// slowDisk is a disk on which each fsync of a file takes some time.
type slowDisk struct {
	*faultyDisk
	syncTime time.Duration
	syncs    atomic.Int32 // number of fsyncs begun
}

func (d *slowDisk) Create(path string) (snapshot.File, error) {
	file, err := d.faultyDisk.Create(path)
	return &slowFile{file, d}, err
}

// slowFile is a file of a slowDisk that is open for writing.
type slowFile struct {
	snapshot.File
	disk *slowDisk
}

func (f *slowFile) Sync() error {
	f.disk.syncs.Add(1)
	time.Sleep(f.disk.syncTime)
	return f.File.Sync()
}
