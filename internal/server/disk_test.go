package server

import (
	"bytes"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"tealpath/internal/snapshot"
	"testing"
	"time"
)

// faultyDisk is a disk in memory. It fails as it is told to, or hangs until the test ends.
type faultyDisk struct {
	mu       sync.Mutex
	files    map[string][]byte
	fail     error
	hangs    string // operation that does not return
	hung     chan struct{}
	released chan struct{}
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

func (d *faultyDisk) fileCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.files)
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
