package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// temporarySuffix is what the name of a file ends in while it is being written.
const temporarySuffix = ".new"

// Store stores one snapshot in a file. It is not safe for use by two goroutines at once.
type Store struct {
	path  string
	files FileSystem
}

// NewStore returns a store of the file at a path.
func NewStore(path string) *Store { return NewStoreWithFileSystem(osFileSystem{}, path) }

// NewStoreWithFileSystem returns a store of the file at a path of a file system.
func NewStoreWithFileSystem(files FileSystem, path string) *Store {
	return &Store{path: path, files: files}
}

// temporary returns the path of the file that is being written.
func (s *Store) temporary() string { return s.path + temporarySuffix }

// Write replaces the file by a snapshot, or returns a *SizeError. If it fails, or the process ends meanwhile,
// the file is the one before or the new one, complete.
//
// After an error it is not known which of the two a machine that loses power restarts with. The next call
// writes everything to a new temporary file, because after a failed fsync the kernel may mark pages as clean
// that it could not write, so that a second fsync of the same file succeeds with nothing written.
func (s *Store) Write(snapshot Snapshot) error {
	content, err := Encode(snapshot)
	if err != nil {
		return err
	}
	if len(content) > maxFileBytes {
		return &SizeError{Bytes: len(content)}
	}
	if err := s.RemoveTemporary(); err != nil {
		return err
	}
	if err := s.writeTemporary(content); err != nil {
		return errors.Join(err, s.RemoveTemporary())
	}
	if err := s.files.Rename(s.temporary(), s.path); err != nil {
		return errors.Join(err, s.RemoveTemporary())
	}
	return s.files.SyncDir(filepath.Dir(s.path))
}

// writeTemporary writes the temporary file and syncs it to the disk.
func (s *Store) writeTemporary(content []byte) error {
	file, err := s.files.Create(s.temporary())
	if err != nil {
		return err
	}
	written, err := file.Write(content)
	if err == nil && written < len(content) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// RemoveTemporary deletes what an earlier Write, of this process or one before, has left unfinished.
func (s *Store) RemoveTemporary() error {
	if err := s.files.Remove(s.temporary()); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// Read reads the file. The error is os.ErrNotExist where there is none, and ErrCorrupt where it is incomplete
// or damaged.
func (s *Store) Read() (Snapshot, error) {
	file, err := s.files.Open(s.path)
	if err != nil {
		return Snapshot{}, err
	}
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	err = errors.Join(err, file.Close())
	switch {
	case err != nil:
		return Snapshot{}, err
	case len(content) > maxFileBytes:
		return Snapshot{}, fmt.Errorf("%w: over %d bytes", ErrCorrupt, maxFileBytes)
	}
	return Decode(content)
}
