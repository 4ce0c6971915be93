// Package thrift reads and writes framed messages of Thrift's strict binary protocol, as far as the clients'
// service needs it.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// FrameMost is the largest frame that is read; an object has 240,000 bytes at most.
const FrameMost = 1 << 18

// Types of messages.
const (
	Call      = 1
	Reply     = 2
	Exception = 3
	Oneway    = 4
)

// Kinds of application exceptions.
const (
	UnknownMethod = 1
	InvalidType   = 2
	BadSequence   = 4
	ProtocolError = 7
)

// Types of fields.
const (
	typeStop   = 0
	typeBool   = 2
	typeByte   = 3
	typeDouble = 4
	typeI16    = 6
	typeI32    = 8
	typeI64    = 10
	typeString = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15
)

const (
	version   = 0x80010000
	depthMost = 16 // nested values that are skipped
)

var (
	// ErrFrame is a frame of a length that cannot be.
	ErrFrame = errors.New("thrift: bad length of a frame")
	// ErrVersion is a frame that holds no message of the strict protocol.
	ErrVersion = errors.New("thrift: not a message of the strict binary protocol")
	errShort   = errors.New("thrift: value cut short")
)

// Message is one message; Body holds its arguments as they came.
type Message struct {
	Name string
	Type byte
	Seq  int32
	Body []byte
}

// FrameSize reads the length that precedes a frame.
func FrameSize(in io.Reader) (int, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, err
	}
	size := int32(binary.BigEndian.Uint32(head[:]))
	if size <= 0 || size > FrameMost {
		return 0, ErrFrame
	}
	return int(size), nil
}

// Parse takes a frame's message apart.
func Parse(frame []byte) (Message, error) {
	r := reader{in: frame}
	word := r.u32()
	if r.err != nil || word&0xffff0000 != version {
		return Message{}, ErrVersion
	}
	m := Message{Type: byte(word), Name: string(r.bytes())}
	m.Seq = int32(r.u32())
	m.Body = r.in
	if r.err != nil {
		return Message{}, ErrVersion
	}
	return m, nil
}

// Arguments are those of the service's methods: `call` has Fields and Body, `cancel` has Number.
type Arguments struct {
	Fields map[string]string
	Body   []byte // as it came
	Number int32
	Has    map[int16]bool
}

// ParseArguments reads a method's arguments; what it does not know is skipped.
func ParseArguments(body []byte) (Arguments, error) {
	r, a := reader{in: body}, Arguments{Has: map[int16]bool{}}
	for {
		kind := r.u8()
		if r.err != nil || kind == typeStop {
			break
		}
		id := int16(r.u16())
		switch {
		case id == 1 && kind == typeMap:
			a.Fields = r.fields()
		case id == 1 && kind == typeI32:
			a.Number = int32(r.u32())
		case id == 2 && kind == typeString:
			if a.Body = r.bytes(); len(a.Body) == 0 {
				a.Body = nil // it would keep the whole frame
			}
		default:
			r.skip(kind, 0)
			continue
		}
		a.Has[id] = true
	}
	if r.err == nil && len(r.in) > 0 {
		r.err = errors.New("thrift: bytes behind the arguments")
	}
	return a, r.err
}

type reader struct {
	in  []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.in) {
		if r.err == nil {
			r.err = errShort
		}
		return nil
	}
	out := r.in[:n]
	r.in = r.in[n:]
	return out
}

func (r *reader) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) bytes() []byte { return r.take(int(int32(r.u32()))) }

// fields reads a map of strings to strings.
func (r *reader) fields() map[string]string {
	key, value, n := r.u8(), r.u8(), int(int32(r.u32()))
	if r.err == nil && (n < 0 || n > len(r.in)/8 || n > 0 && (key != typeString || value != typeString)) {
		r.err = fmt.Errorf("thrift: bad map")
	}
	out := map[string]string{}
	for range n {
		k, v := r.bytes(), r.bytes()
		if r.err != nil {
			return nil
		}
		out[string(k)] = string(v)
	}
	return out
}

// skip passes over a value of any type.
func (r *reader) skip(kind byte, depth int) {
	sizes := map[byte]int{typeBool: 1, typeByte: 1, typeDouble: 8, typeI16: 2, typeI32: 4, typeI64: 8}
	if depth > depthMost {
		r.err = errors.New("thrift: nested too deeply")
	}
	if r.err != nil {
		return
	}
	switch kind {
	case typeString:
		r.bytes()
	case typeStruct:
		for {
			field := r.u8()
			if r.err != nil || field == typeStop {
				return
			}
			r.u16()
			r.skip(field, depth+1)
		}
	case typeMap:
		key, value, n := r.u8(), r.u8(), int(int32(r.u32()))
		for i := 0; i < n && r.err == nil; i++ {
			r.skip(key, depth+1)
			r.skip(value, depth+1)
		}
	case typeSet, typeList:
		item, n := r.u8(), int(int32(r.u32()))
		for i := 0; i < n && r.err == nil; i++ {
			r.skip(item, depth+1)
		}
	default:
		size, known := sizes[kind]
		if !known {
			r.err = fmt.Errorf("thrift: unknown type %d", kind)
			return
		}
		r.take(size)
	}
}

// Answer is a result of `call` or `health`. Which of them is set tells which it is.
type Answer struct {
	Method string
	Seq    int32
	Fault  int // an application exception of this kind, with Text
	Text   string
	Field  int16 // 0 the answer, 1 refused, 2 failed
	Fields [][2]string
	Body   []byte
	Good   bool
}

// Frame writes an answer as a frame in three pieces; the middle one is the body as it came.
func Frame(a Answer) [][]byte {
	head := append(make([]byte, 4, 96+len(a.Text)), 0x80, 1, 0, Reply)
	if a.Fault != 0 {
		head[7] = Exception
	}
	head = appendString(head, a.Method)
	head = binary.BigEndian.AppendUint32(head, uint32(a.Seq))
	var tail []byte
	switch {
	case a.Fault != 0:
		head = appendString(appendField(head, typeString, 1), a.Text)
		head = appendField(head, typeI32, 2)
		head = append(binary.BigEndian.AppendUint32(head, uint32(a.Fault)), typeStop)
	case a.Field == 0:
		head = appendField(head, typeStruct, 0)
		head = appendField(head, typeString, 1)
		head = binary.BigEndian.AppendUint32(head, uint32(len(a.Body)))
		tail = appendFields(appendField(tail, typeMap, 2), a.Fields)
		tail = append(appendField(tail, typeBool, 3), flag(a.Good), typeStop, typeStop)
	default:
		head = appendField(head, typeStruct, a.Field)
		head = append(appendFields(appendField(head, typeMap, 1), a.Fields), typeStop, typeStop)
	}
	binary.BigEndian.PutUint32(head, uint32(len(head)-4+len(a.Body)+len(tail)))
	return [][]byte{head, a.Body, tail}
}

func flag(on bool) byte {
	if on {
		return 1
	}
	return 0
}

func appendField(out []byte, kind byte, id int16) []byte {
	return binary.BigEndian.AppendUint16(append(out, kind), uint16(id))
}

func appendString(out []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(s))), s...)
}

func appendFields(out []byte, fields [][2]string) []byte {
	out = append(out, typeString, typeString)
	out = binary.BigEndian.AppendUint32(out, uint32(len(fields)))
	for _, f := range fields {
		out = appendString(appendString(out, f[0]), f[1])
	}
	return out
}
