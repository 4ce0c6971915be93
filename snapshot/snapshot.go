// Package snapshot keeps on a disk what a router knows, for its next start: written aside, forced to the disk, renamed, so
// that a file is whole or the one before; with a digest, so that one which is not whole is seen. What of it is used, plan/restore
// decides.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"tealpath/control"
	"tealpath/plan/restore"
	"tealpath/router"
)

const (
	magic = "tealpath snapshot\n"

	// maxFileBytes bounds a file: 10,000 objects and 10,000 members with long names take under 4 MB.
	maxFileBytes = 8 << 20

	// maxArrayElements bounds each list of a file, maxMapPairs the fields of each structure.
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12

	// ObjectsMost is how many objects of the rate table are kept.
	ObjectsMost = 10_000
)

// ErrTorn is a file that is not whole, or no snapshot.
var ErrTorn = errors.New("torn, or no snapshot")

// Snapshot is what a router knows.
type Snapshot struct {
	restore.Header
	Position int64  // of the last event of the list service; 0: no list is known
	Digest   uint64 // of that event's text
	Members  []router.EndpointEntry
	Memory   control.Snapshot
}

// head is what stands before the content: magic, version, length, digest.
const headBytes = len(magic) + 4 + 8 + 8

// Encode writes a snapshot's file.
func Encode(s Snapshot) ([]byte, error) {
	content, err := cbor.Marshal(s)
	if err != nil {
		return nil, err
	}
	out := binary.BigEndian.AppendUint32([]byte(magic), uint32(s.Version))
	out = binary.BigEndian.AppendUint64(out, uint64(len(content)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(content))
	return append(out, content...), nil
}

// Decode reads a file. Of one of another version only the version is read.
func Decode(raw []byte) (s Snapshot, err error) {
	if len(raw) < headBytes || !bytes.HasPrefix(raw, []byte(magic)) {
		return s, ErrTorn
	}
	head, content := raw[len(magic):headBytes], raw[headBytes:]
	if s.Version = int(binary.BigEndian.Uint32(head)); s.Version != restore.FormatVersion {
		return s, nil
	}
	if binary.BigEndian.Uint64(head[4:]) != uint64(len(content)) || binary.BigEndian.Uint64(head[12:]) != xxhash.Sum64(content) {
		return s, ErrTorn
	}
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs}.DecMode()
	if err != nil {
		return s, err
	}
	if err := mode.Unmarshal(content, &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	return s, nil
}
