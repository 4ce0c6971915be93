package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// temporarySuffix is appended to the path of the snapshot's file to get the path of the temporary file.
const temporarySuffix = ".new"

// Store stores one snapshot in a file. It is not safe for concurrent use.
type Store struct {
	path  string
	files FileSystem
}

// NewStore returns a store for the file at path in the operating system's file system. It does not access the file.
func NewStore(path string) *Store { return NewStoreWithFileSystem(osFileSystem{}, path) }

// NewStoreWithFileSystem returns a store for the file at path in the given file system.
func NewStoreWithFileSystem(files FileSystem, path string) *Store {
	return &Store{path: path, files: files}
}

// temporaryPath returns the path to which Write writes a new file before it renames it.
func (s *Store) temporaryPath() string { return s.path + temporarySuffix }

// Write replaces the file with a new snapshot. If it fails, or the process ends before it returns, the file is either
// the previous one or the new one, and complete. If the snapshot is too large, the error is a *SizeError.
//
// If Write fails and the machine then loses power, either of the two files may be there afterwards. The next call
// writes everything to a new temporary file: after a failed fsync the kernel may have marked pages as clean that it
// could not write, so another fsync of the same file would succeed although nothing was written.
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
	if err := s.files.Rename(s.temporaryPath(), s.path); err != nil {
		return errors.Join(err, s.RemoveTemporary())
	}
	return s.files.SyncDir(filepath.Dir(s.path))
}

// writeTemporary writes the temporary file and syncs it to the disk.
func (s *Store) writeTemporary(content []byte) error {
	file, err := s.files.Create(s.temporaryPath())
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

// RemoveTemporary deletes the temporary file that an unfinished Write of this process or an earlier one has left.
func (s *Store) RemoveTemporary() error {
	if err := s.files.Remove(s.temporaryPath()); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// Read returns the stored snapshot. The error is os.ErrNotExist if there is no file, and ErrCorrupt if it is
// incomplete, damaged or not a snapshot. See Decode for files of other versions.
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
		return Snapshot{}, fmt.Errorf("%w: it has more than %d bytes", ErrCorrupt, maxFileBytes)
	}
	return Decode(content)
}
