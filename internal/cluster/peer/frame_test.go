package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Operators must be able to tell a peer of another version from one that sends garbage: the first must give a
// VersionError, the second ErrMalformedFrame.
func TestReadHello(t *testing.T) {
	encode := func(sender hello) []byte {
		raw, err := cbor.Marshal(sender)
		if err != nil {
			t.Fatal(err)
		}
		return appendFrame(nil, raw)
	}
	good := hello{ProtocolVersion, "a", 1}
	if got, err := readHello(bytes.NewReader(encode(good))); err != nil || got != good {
		t.Errorf("read %+v, error %v, want %+v", got, err, good)
	}
	var version *VersionError
	_, err := readHello(bytes.NewReader(encode(hello{ProtocolVersion - 1, "a", 1})))
	const text = "peer has protocol version 1, only 2 is supported"
	if !errors.As(err, &version) || version.Version != ProtocolVersion-1 || err.Error() != text {
		t.Errorf("another version: error %v, want %s", err, text)
	}
	for name, raw := range map[string][]byte{
		"garbage":      appendFrame(nil, []byte{0xff}),
		"empty":        {0, 0, 0, 0},
		"too long":     appendFrame(nil, make([]byte, maxHelloSize+1)),
		"half a frame": {0, 0, 0, 2, 1},
	} {
		if _, err := readHello(bytes.NewReader(raw)); !errors.Is(err, ErrMalformedFrame) {
			t.Errorf("%s: error %v, want %v", name, err, ErrMalformedFrame)
		}
	}
	if _, err := readHello(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("no input: error %v, want %v", err, io.EOF)
	}
}

func FuzzFrame(f *testing.F) {
	f.Add(appendFrame(nil, []byte("payload")))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		payload, err := readFrame(bytes.NewReader(raw), MaxFrameSize)
		if err == nil && !bytes.HasPrefix(raw, appendFrame(nil, payload)) {
			t.Errorf("input %x does not begin with the frame of the payload read from it, %x", raw, payload)
		}
		if sender, err := readHello(bytes.NewReader(raw)); err == nil && sender.Version != ProtocolVersion {
			t.Errorf("hello %+v was accepted, want only version %d", sender, ProtocolVersion)
		}
	})
}
