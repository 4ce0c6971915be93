package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"tealpath/internal/lifecycle/restore"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A file is the magic, the version, the content's length, the content's digest (XXH64), and the content (CBOR,
// RFC 8949). Numbers are big-endian.
const (
	magic = "tealpath snapshot\n"

	versionBytes = 4
	lengthBytes  = 8
	digestBytes  = 8
	headBytes    = len(magic) + versionBytes + lengthBytes + digestBytes
)

// Bounds on what is read.
const (
	// maxFileBytes bounds a file: 10,000 objects and 10,000 endpoints with long names take under 4 MB.
	maxFileBytes = 8 << 20

	// maxArrayElements bounds each list of a file, maxMapPairs the fields of each structure.
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
)

// ErrCorrupt reports a file that is incomplete, damaged, or not a snapshot.
var ErrCorrupt = errors.New("torn, or no snapshot")

// SizeError reports a snapshot that is too large to be stored.
type SizeError struct {
	Bytes int // its size
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("a snapshot of %d bytes, %d can be", e.Bytes, maxFileBytes)
}

// Encode returns the content of a snapshot's file.
func Encode(snapshot Snapshot) ([]byte, error) {
	content, err := cbor.Marshal(snapshot)
	if err != nil {
		return nil, err
	}
	file := make([]byte, 0, headBytes+len(content))
	file = append(file, magic...)
	file = binary.BigEndian.AppendUint32(file, uint32(snapshot.Version))
	file = binary.BigEndian.AppendUint64(file, uint64(len(content)))
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(content))
	return append(file, content...), nil
}

// Decode decodes the content of a snapshot's file. Of another version than restore.FormatVersion it returns a
// snapshot with nothing but the version, and no error. The error is ErrCorrupt if the file is incomplete, damaged,
// or not a snapshot.
func Decode(file []byte) (Snapshot, error) {
	if len(file) < headBytes || !bytes.HasPrefix(file, []byte(magic)) {
		return Snapshot{}, ErrCorrupt
	}
	head, content := file[len(magic):headBytes], file[headBytes:]
	version := int(binary.BigEndian.Uint32(head))
	length := binary.BigEndian.Uint64(head[versionBytes:])
	digest := binary.BigEndian.Uint64(head[versionBytes+lengthBytes:])

	snapshot := Snapshot{Header: restore.Header{Version: version}}
	if version != restore.FormatVersion {
		return snapshot, nil
	}
	if length != uint64(len(content)) || digest != xxhash.Sum64(content) {
		return snapshot, ErrCorrupt
	}
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs}.DecMode()
	if err != nil {
		return snapshot, err
	}
	if err := mode.Unmarshal(content, &snapshot); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return snapshot, nil
}
