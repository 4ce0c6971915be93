// Package thrift reads and writes framed messages of Thrift's strict binary protocol, as far as the clients'
// service needs it. Every length is checked against the frame before anything of that length is allocated.
package thrift

import (
	"errors"
	"fmt"
)

// MaxFrameSize is the largest frame that is read, in bytes. The largest object has 240,000.
const MaxFrameSize = 1 << 18

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

// The first word of a message has the version in its upper half and the type of the message in its lowest byte.
const (
	version     = 0x80010000
	versionMask = 0xffff0000
)

const (
	frameHeaderSize = 4  // bytes of the length that precedes a frame
	maxSkipDepth    = 16 // nested values of unknown fields; deeper ones are an error

	// minMapEntrySize is the least that an entry of two strings takes: their two lengths.
	minMapEntrySize = 8
)

var (
	// ErrFrame is a frame whose length is not positive, or over FrameMost.
	ErrFrame = errors.New("thrift: bad length of a frame")
	// ErrVersion is a frame that is no message of the strict protocol.
	ErrVersion = errors.New("thrift: not a message of the strict binary protocol")
	// ErrTruncated is a value that ends behind the end of its frame.
	ErrTruncated = errors.New("thrift: value cut short")
	// ErrTrailingBytes is a frame that goes on behind the end of its arguments.
	ErrTrailingBytes = errors.New("thrift: bytes behind the arguments")
	// ErrMap is a map that is not of strings by strings, or has more entries than fit into its frame.
	ErrMap = errors.New("thrift: bad map")
	// ErrTooDeep is an unknown field whose values are nested too deeply.
	ErrTooDeep = errors.New("thrift: nested too deeply")
)

// UnknownTypeError is a field of a type that the protocol does not have.
type UnknownTypeError struct {
	Type byte
}

func (e *UnknownTypeError) Error() string {
	return fmt.Sprintf("thrift: unknown type %d", e.Type)
}
