package snapshot

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"os"
	"slices"
)

// errKilled is the error that operations return once the simulated process was killed. Operations that begin later
// have no effect.
var errKilled = errors.New("killed")

// inode is the content of a file: as processes read it (data), and as it is on the disk after a loss of power
// (durable).
type inode struct {
	data, durable []byte
	failed        bool // whether an fsync failed: the kernel marked the pages as clean, so they are never written
}

// simulatedDisk is a FileSystem in memory. Its operations can be made to fail, its process can be killed after any
// step, and it computes what would be on the disk after a loss of power.
type simulatedDisk struct {
	names     map[string]*inode // files by path, as processes see them
	durable   map[string]*inode // files by path, as of the last SyncDir
	calls     []string          // names of the operations that were called so far
	fail      map[string]error  // by operation: error of its next call; "write" fails after half of the bytes
	killAfter int               // steps until the process is killed: each call is a step, and each byte of a write
}

// never is the value of killAfter with which the process is not killed: no test takes so many steps.
const never = 1 << 30

func newSimulatedDisk() *simulatedDisk {
	return &simulatedDisk{
		names:     map[string]*inode{},
		durable:   map[string]*inode{},
		fail:      map[string]error{},
		killAfter: never,
	}
}

// step records the start of an operation and returns the error with which it fails, if any.
func (d *simulatedDisk) step(operation string) error {
	if d.killAfter--; d.killAfter < 0 {
		return errKilled
	}
	d.calls = append(d.calls, operation)
	err := d.fail[operation]
	delete(d.fail, operation)
	return err
}

func (d *simulatedDisk) Open(path string) (io.ReadCloser, error) {
	if err := d.step("open"); err != nil {
		return nil, err
	}
	if d.names[path] == nil {
		return nil, os.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(d.names[path].data)), nil
}

func (d *simulatedDisk) Create(path string) (File, error) {
	if err := d.step("create"); err != nil {
		return nil, err
	}
	if d.names[path] != nil {
		return nil, os.ErrExist
	}
	d.names[path] = &inode{}
	return &simulatedFile{d, d.names[path]}, nil
}

func (d *simulatedDisk) Rename(from, to string) error {
	if err := d.step("rename"); err != nil {
		return err
	}
	if d.names[from] == nil {
		return os.ErrNotExist
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *simulatedDisk) Remove(path string) error {
	if err := d.step("remove"); err != nil {
		return err
	}
	if d.names[path] == nil {
		return os.ErrNotExist
	}
	delete(d.names, path)
	return nil
}

func (d *simulatedDisk) SyncDir(string) error {
	if err := d.step("syncdir"); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

// simulatedFile is a file of a simulatedDisk that is open for writing.
type simulatedFile struct {
	disk *simulatedDisk
	*inode
}

func (f *simulatedFile) Write(raw []byte) (int, error) {
	err := f.disk.step("write")
	if errors.Is(err, errKilled) {
		return 0, err
	}
	if err != nil {
		raw = raw[:len(raw)/2]
	}
	for n := range raw {
		if f.disk.killAfter--; f.disk.killAfter < 0 {
			return n, errKilled
		}
		f.data = append(f.data, raw[n])
	}
	return len(raw), err
}

func (f *simulatedFile) Sync() error {
	err := f.disk.step("sync")
	if err == nil && !f.failed {
		f.durable = slices.Clone(f.data)
	}
	f.failed = f.failed || err != nil
	return err
}

func (f *simulatedFile) Close() error { return f.disk.step("close") }

// restarted returns a disk with the same files for a process that starts after the process of this one was killed.
func (d *simulatedDisk) restarted() *simulatedDisk {
	next := newSimulatedDisk()
	next.names, next.durable = maps.Clone(d.names), maps.Clone(d.durable)
	return next
}

// afterPowerLoss returns the possible states of the disk after a loss of power. The names are those of the last
// SyncDir or the current ones. A file has the content that was last synced. A file that was never synced has
// none, half or all of what was written, or none if an fsync of it failed.
func (d *simulatedDisk) afterPowerLoss() (disks []*simulatedDisk) {
	for _, names := range []map[string]*inode{d.durable, d.names} {
		for _, part := range []float64{0, 0.5, 1} {
			next := newSimulatedDisk()
			for name, file := range names {
				data := slices.Clone(file.durable)
				if data == nil && !file.failed {
					data = slices.Clone(file.data[:int(part*float64(len(file.data)))])
				}
				next.names[name] = &inode{data: data, durable: data}
			}
			next.durable = maps.Clone(next.names)
			disks = append(disks, next)
		}
	}
	return disks
}
