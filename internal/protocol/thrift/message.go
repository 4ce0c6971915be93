package thrift

import (
	"encoding/binary"
	"io"
)

// Message is one message; Body is its arguments, encoded.
type Message struct {
	Name string
	Type byte
	Seq  int32
	Body []byte
}

// FrameSize reads the length that precedes a frame, in bytes.
func FrameSize(in io.Reader) (int, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, err
	}
	size := int32(binary.BigEndian.Uint32(header[:]))
	if size <= 0 || size > MaxFrameSize {
		return 0, ErrFrame
	}
	return int(size), nil
}

// Parse reads the message in a frame.
func Parse(frame []byte) (Message, error) {
	r := reader{in: frame}
	word := r.uint32()
	if r.err != nil || word&versionMask != version {
		return Message{}, ErrVersion
	}
	name := string(r.bytes())
	sequence := int32(r.uint32())
	if r.err != nil {
		return Message{}, ErrVersion
	}
	return Message{Name: name, Type: byte(word), Seq: sequence, Body: r.in}, nil
}

// The identifiers of the arguments of the service's methods.
const (
	FirstArgument  = 1 // the fields of `call`, or the sequence number of `cancel`
	SecondArgument = 2 // the body of `call`
)

// Arguments are those of the service's methods: `call` has Fields and Body, `cancel` has Number.
type Arguments struct {
	Fields map[string]string
	Body   []byte // a part of the frame, not a copy; nil if it is empty
	Number int32
	Has    map[int16]bool // the identifiers of the arguments that came
}

// ParseArguments reads a method's arguments. Those that it does not know are skipped.
func ParseArguments(body []byte) (Arguments, error) {
	input := reader{in: body}
	arguments := Arguments{Has: map[int16]bool{}}
	for {
		kind := input.byte()
		if input.err != nil || kind == typeStop {
			break
		}
		id := int16(input.uint16())
		if !arguments.parse(&input, id, kind) {
			input.skip(kind, 0)
			continue
		}
		arguments.Has[id] = true
	}
	if input.err == nil && len(input.in) > 0 {
		input.err = ErrTrailingBytes
	}
	return arguments, input.err
}

// parse reads one argument. It returns false, and reads nothing, if the argument is not known.
func (a *Arguments) parse(r *reader, id int16, kind byte) bool {
	switch {
	case id == FirstArgument && kind == typeMap:
		a.Fields = r.stringMap()
	case id == FirstArgument && kind == typeI32:
		a.Number = int32(r.uint32())
	case id == SecondArgument && kind == typeString:
		a.Body = r.bytes()
		if len(a.Body) == 0 {
			a.Body = nil // an empty slice would keep the whole frame in memory
		}
	default:
		return false
	}
	return true
}
