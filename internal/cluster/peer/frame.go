package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the version of the protocol on links. Instances of another version are refused, because the
// same fields mean something else in their messages.
const ProtocolVersion = 2

// MaxFrameSize is the largest size of a frame's payload, in bytes. Every message fits, even with the largest numbers
// of members and slots. The largest message is a Reject of all slots that names their holders.
const MaxFrameSize = 1 << 20

const (
	maxHelloSize  = 512
	frameReadStep = 16 << 10 // largest number of bytes of a payload that are allocated before they arrive
)

// ErrMalformedFrame is the error for bytes that are not a valid frame or hello.
var ErrMalformedFrame = errors.New("malformed frame")

// VersionError is the error for a peer whose hello has another protocol version than ProtocolVersion.
type VersionError struct{ Version uint64 }

// Error returns a text with the peer's version and the supported one.
func (err *VersionError) Error() string {
	return fmt.Sprintf("peer has protocol version %d, only %d is supported", err.Version, ProtocolVersion)
}

// hello is the first frame on a link. The instance that dialled sends it to say who it is and which protocol it uses.
type hello struct {
	Version     uint64 `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// readFrame reads a frame, which is a length of four bytes, big-endian, and a payload of that length, and returns the
// payload. It allocates memory only as bytes arrive, so that a peer cannot use up memory by announcing a large frame.
func readFrame(in io.Reader, maxSize int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length == 0 || length > uint32(maxSize) {
		return nil, fmt.Errorf("%w: length is %d bytes, must be 1 to %d", ErrMalformedFrame, length, maxSize)
	}
	size := int(length)
	payload := make([]byte, 0, min(size, frameReadStep))
	for len(payload) < size {
		read := len(payload)
		payload = append(payload, make([]byte, min(size-read, frameReadStep))...)
		if count, err := io.ReadFull(in, payload[read:]); err != nil {
			return nil, fmt.Errorf("%w: payload ends after %d of %d bytes: %w",
				ErrMalformedFrame, read+count, size, err)
		}
	}
	return payload, nil
}

// appendFrame appends a frame with this payload to frames and returns the result.
func appendFrame(frames, payload []byte) []byte {
	frames = binary.BigEndian.AppendUint32(frames, uint32(len(payload)))
	return append(frames, payload...)
}

// readHello reads and returns the first frame. It returns a *VersionError if the peer uses another protocol version.
func readHello(in io.Reader) (hello, error) {
	raw, err := readFrame(in, maxHelloSize)
	if err != nil {
		return hello{}, err
	}
	var first hello
	if err := cbor.Unmarshal(raw, &first); err != nil {
		return hello{}, fmt.Errorf("%w: invalid hello of %d bytes: %w", ErrMalformedFrame, len(raw), err)
	}
	if first.Version != ProtocolVersion {
		return hello{}, &VersionError{first.Version}
	}
	return first, nil
}
