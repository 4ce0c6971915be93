package snapshot

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FileSystem has the file operations that a Store needs. Tests use file systems whose operations fail.
type FileSystem interface {
	// Open opens a file for reading. It fails with os.ErrNotExist if there is no file.
	Open(path string) (io.ReadCloser, error)
	// Create creates a file for writing. It fails with os.ErrExist if the file exists.
	Create(path string) (File, error)
	// Rename renames a file. It replaces a file that already has the new name.
	Rename(from, to string) error
	// Remove deletes a file. It fails with os.ErrNotExist if there is no file.
	Remove(path string) error
	// SyncDir syncs the entries of a directory to the disk, so that a rename in it survives a loss of power.
	SyncDir(path string) error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	// Sync writes the content to the disk, so that it survives a loss of power.
	Sync() error
}

// osFileSystem is the operating system's FileSystem.
type osFileSystem struct{}

// Open implements FileSystem.
func (osFileSystem) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

// Create creates a file that only this user may read and write.
func (osFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Rename implements FileSystem.
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (osFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir syncs the entries of a directory to the disk.
func (osFileSystem) SyncDir(path string) error {
	directory, err := os.Open(filepath.Clean(path))
	if err != nil {
		return err
	}
	err = directory.Sync()
	if errors.Is(err, syscall.EINVAL) {
		err = nil // the file system does not support fsync(2) of directories
	}
	return errors.Join(err, directory.Close())
}
