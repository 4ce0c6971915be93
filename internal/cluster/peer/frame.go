package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the version of what goes over links. Instances of another one are refused: what they say
// of members means something else to them.
const ProtocolVersion = 2

// MaxFrameSize is the size of the longest frame, bytes: more than the members and slots that can be come to.
// The largest message is one that rejects all slots and names their holders.
const MaxFrameSize = 1 << 20

const (
	maxHelloSize  = 512
	frameReadStep = 16 << 10 // bytes for which memory is taken at once
)

// ErrMalformedFrame is input that is no frame.
var ErrMalformedFrame = errors.New("malformed frame")

// VersionError is a peer of another protocol version.
type VersionError struct{ Version uint64 }

// Error names both versions.
func (err *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d, this is %d", err.Version, ProtocolVersion)
}

// hello is the first frame, from whoever dialled.
type hello struct {
	Version     uint64 `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// readFrame reads a frame: four bytes of length, the most significant first, and so many bytes. Memory is
// taken as bytes come, not as the length says.
func readFrame(in io.Reader, maxSize int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length == 0 || length > uint32(maxSize) {
		return nil, fmt.Errorf("%w: %d bytes, 1 to %d can be", ErrMalformedFrame, length, maxSize)
	}
	size := int(length)
	payload := make([]byte, 0, min(size, frameReadStep))
	for len(payload) < size {
		read := len(payload)
		payload = append(payload, make([]byte, min(size-read, frameReadStep))...)
		if _, err := io.ReadFull(in, payload[read:]); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
		}
	}
	return payload, nil
}

// appendFrame appends a frame.
func appendFrame(frames, payload []byte) []byte {
	frames = binary.BigEndian.AppendUint32(frames, uint32(len(payload)))
	return append(frames, payload...)
}

// readHello reads the first frame, and checks its version.
func readHello(in io.Reader) (hello, error) {
	raw, err := readFrame(in, maxHelloSize)
	if err != nil {
		return hello{}, err
	}
	var first hello
	if err := cbor.Unmarshal(raw, &first); err != nil {
		return hello{}, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if first.Version != ProtocolVersion {
		return hello{}, &VersionError{first.Version}
	}
	return first, nil
}
