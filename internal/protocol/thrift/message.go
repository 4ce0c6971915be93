package thrift

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Message is a message with a parsed header. Body holds its arguments, which are still encoded.
type Message struct {
	Name string
	Type byte
	Seq  int32
	Body []byte
}

// ReadFrameSize reads the length prefix of a frame and returns the frame's size in bytes.
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

// Parse parses the message in a frame, up to its arguments.
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

// Field identifiers of the arguments of the service's methods.
const (
	FirstArgument  = 1 // the fields of `call`, or the sequence number of `cancel`
	SecondArgument = 2 // the body of `call`
)

// Arguments are the arguments of the service's methods: `call` has Fields and Body, `cancel` has CancelSeq.
type Arguments struct {
	Fields    map[string]string
	Body      []byte         // shares the frame's memory; nil if empty
	CancelSeq int32          // sequence number of the call to cancel
	Has       map[int16]bool // identifiers of the arguments that are present
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

// parse reads one argument. If the argument is unknown, it reads nothing and returns false.
func (a *Arguments) parse(r *reader, id int16, typ byte) bool {
	switch {
	case id == FirstArgument && typ == typeMap:
		a.Fields = r.stringMap()
	case id == FirstArgument && typ == typeI32:
		a.CancelSeq = int32(r.uint32())
	case id == SecondArgument && typ == typeString:
		a.Body = r.bytes()
		if len(a.Body) == 0 {
			a.Body = nil // an empty slice would keep the whole frame in memory
		}
	default:
		return false
	}
	return true
}
