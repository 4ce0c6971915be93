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

// A file consists of a header and the content (CBOR, RFC 8949). The header has the magic, the version, the length of
// the content, and its digest (XXH64). Numbers are big-endian.
const (
	magic = "tealpath snapshot\n"

	versionBytes = 4
	lengthBytes  = 8
	digestBytes  = 8
	headerBytes  = len(magic) + versionBytes + lengthBytes + digestBytes
)

// Limits of files and of their decoder. maxFileBytes also applies when a file is written.
const (
	// maxFileBytes limits the size of a file: 10,000 objects and 10,000 endpoints with long names take under 4 MB.
	maxFileBytes = 8 << 20

	// maxArrayElements limits the length of each list in a file, maxMapPairs the number of fields of each struct.
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
)

// ErrCorrupt reports a file that is incomplete, damaged, or not a snapshot.
var ErrCorrupt = errors.New("the file is incomplete, damaged or not a snapshot")

// SizeError reports a snapshot that is too large to be stored.
type SizeError struct {
	Bytes int // size of the snapshot's file
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("the snapshot has %d bytes, at most %d are allowed", e.Bytes, maxFileBytes)
}

// Encode returns the content of a snapshot's file.
func Encode(snapshot Snapshot) ([]byte, error) {
	content, err := cbor.Marshal(snapshot)
	if err != nil {
		return nil, err
	}
	file := make([]byte, 0, headerBytes+len(content))
	file = append(file, magic...)
	file = binary.BigEndian.AppendUint32(file, uint32(snapshot.Version))
	file = binary.BigEndian.AppendUint64(file, uint64(len(content)))
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(content))
	return append(file, content...), nil
}

// Decode decodes the content of a snapshot's file. If its version is not restore.FormatVersion, it returns a snapshot
// that has only the version, and no error. The error is ErrCorrupt if the file is incomplete, damaged or not a
// snapshot.
func Decode(file []byte) (Snapshot, error) {
	if len(file) < headerBytes || !bytes.HasPrefix(file, []byte(magic)) {
		return Snapshot{}, fmt.Errorf("%w: it has %d bytes, and must have a header of %d bytes that begins with %q",
			ErrCorrupt, len(file), headerBytes, magic)
	}
	header, content := file[len(magic):headerBytes], file[headerBytes:]
	version := int(binary.BigEndian.Uint32(header))
	length := binary.BigEndian.Uint64(header[versionBytes:])
	digest := binary.BigEndian.Uint64(header[versionBytes+lengthBytes:])

	snapshot := Snapshot{Header: restore.Header{Version: version}}
	if version != restore.FormatVersion {
		return snapshot, nil
	}
	if length != uint64(len(content)) || digest != xxhash.Sum64(content) {
		return snapshot, fmt.Errorf("%w: the content has %d bytes and digest %#x, its header states %d bytes and %#x",
			ErrCorrupt, len(content), xxhash.Sum64(content), length, digest)
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
