package thrift

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Message is a message of which only the header is parsed: name, type and sequence number. Body holds the rest, the
// encoded arguments.
type Message struct {
	Name string
	Type byte
	Seq  int32
	Body []byte
}

// ReadFrameSize reads the length prefix of a frame and returns the number of bytes that follow it. It returns an
// ErrFrameSize if that is not from 1 to MaxFrameSize.
func ReadFrameSize(in io.Reader) (int, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, err
	}
	size := int32(binary.BigEndian.Uint32(header[:]))
	if size <= 0 || size > MaxFrameSize {
		return 0, fmt.Errorf("%w: %d bytes, allowed are 1 to %d", ErrFrameSize, size, MaxFrameSize)
	}
	return int(size), nil
}

// Parse parses the header of the message in a frame. The frame, which has no length prefix, may end within the
// arguments, since these are not parsed.
func Parse(frame []byte) (Message, error) {
	r := reader{in: frame}
	word := r.uint32()
	if r.err != nil {
		return Message{}, fmt.Errorf("%w: first word of a frame of %d bytes: %w", ErrVersion, len(frame), r.err)
	}
	if word&versionMask != version {
		return Message{}, fmt.Errorf("%w: first word 0x%08x, want 0x%08x in its upper half", ErrVersion, word, version)
	}
	name := string(r.bytes())
	sequence := int32(r.uint32())
	if r.err != nil {
		return Message{}, fmt.Errorf("%w: name or sequence number in a frame of %d bytes: %w",
			ErrVersion, len(frame), r.err)
	}
	return Message{Name: name, Type: byte(word), Seq: sequence, Body: r.in}, nil
}

// Field identifiers of the arguments of the methods `call` and `cancel`.
const (
	FirstArgument  = 1 // `call`: the map of its fields; `cancel`: the sequence number of the call to cancel
	SecondArgument = 2 // `call`: its body
)

// Arguments are the arguments of the service's methods: `call` has Fields and Body, `cancel` has CancelSeq.
type Arguments struct {
	Fields    map[string]string
	Body      []byte         // body of `call`; shares the frame's memory; nil if empty
	CancelSeq int32          // sequence number of the call to cancel
	Has       map[int16]bool // field identifiers of the arguments that are present
}

// ParseArguments parses the arguments of a method, which are the body of a message. Unknown arguments are skipped.
func ParseArguments(body []byte) (Arguments, error) {
	input := reader{in: body}
	arguments := Arguments{Has: map[int16]bool{}}
	for {
		typ := input.byte()
		if input.err != nil || typ == typeStop {
			break
		}
		id := int16(input.uint16())
		if !arguments.parse(&input, id, typ) {
			input.skip(typ, 0)
			continue
		}
		arguments.Has[id] = true
	}
	if input.err == nil && len(input.in) > 0 {
		input.err = ErrTrailingBytes
	}
	return arguments, input.err
}

// parse reads the value of one argument, whose field identifier is id and whose value type is typ. If the argument is
// unknown, it reads nothing and returns false.
func (a *Arguments) parse(r *reader, id int16, typ byte) bool {
	switch {
	case id == FirstArgument && typ == typeMap:
		a.Fields = r.stringMap()
	case id == FirstArgument && typ == typeI32:
		a.CancelSeq = int32(r.uint32())
	case id == SecondArgument && typ == typeString:
		a.Body = r.bytes()
		if len(a.Body) == 0 {
			a.Body = nil // a non-nil empty slice would keep the frame in memory
		}
	default:
		return false
	}
	return true
}
