package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the protocol's. Instances of another one are refused: what they say of members means something else to them.
const ProtocolVersion = 2

// MaxFrameSize is the longest frame, in bytes: more than the members and slots that can be come to. The largest message is one
// that rejects all slots and names their holders.
const MaxFrameSize = 1 << 20

const helloMost = 512

// hello is the first frame, from whoever dialled.
type hello struct {
	Version     uint64 `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// ErrMalformedFrame is input that is no frame.
var ErrMalformedFrame = errors.New("malformed frame")

// readFrame reads a frame: four bytes of length, the most significant first, and so many bytes. Memory is taken as
// bytes come, not as the length says.
func readFrame(in io.Reader, most int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > uint32(most) {
		return nil, fmt.Errorf("%w: %d bytes, 1 to %d can be", ErrMalformedFrame, size, most)
	}
	const step = 16 << 10
	out := make([]byte, 0, min(int(size), step))
	for len(out) < int(size) {
		from := len(out)
		part := min(int(size)-from, step)
		out = append(out, make([]byte, part)...)
		if _, err := io.ReadFull(in, out[from:]); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
		}
	}
	return out, nil
}

// appendFrame appends a frame.
func appendFrame(out, payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(payload))), payload...)
}

func readHello(in io.Reader) (hello, error) {
	raw, err := readFrame(in, helloMost)
	if err != nil {
		return hello{}, err
	}
	var h hello
	if err := cbor.Unmarshal(raw, &h); err != nil {
		return hello{}, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if h.Version != ProtocolVersion {
		return hello{}, fmt.Errorf("protocol version %d, this is %d", h.Version, ProtocolVersion)
	}
	return h, nil
}
