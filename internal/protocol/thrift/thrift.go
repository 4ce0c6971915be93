// Package thrift reads and writes framed messages of Thrift's strict binary protocol. It supports only the parts of
// the protocol that the router uses to serve clients. Every length is checked against the frame before memory is
// allocated for it.
package thrift

import (
	"errors"
	"fmt"
)

// MaxFrameSize is the maximum size of a received frame without its length prefix, in bytes. The largest object has
// 240,000 bytes.
const MaxFrameSize = 1 << 18

// Types of messages, as Thrift numbers them.
const (
	Call      = 1
	Reply     = 2
	Exception = 3
	Oneway    = 4
)

// Types of application exceptions, as Thrift numbers them.
const (
	UnknownMethod = 1
	InvalidType   = 2
	BadSequence   = 4
	ProtocolError = 7
)

// Types of values in a message, as Thrift numbers them. typeStop marks the end of a struct.
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

// The first 32-bit word of a message holds the protocol version in its upper half and the message type in its lowest
// byte.
const (
	version     = 0x80010000
	versionMask = 0xffff0000
)

const (
	frameHeaderSize = 4  // size of the length prefix of a frame, bytes
	maxSkipDepth    = 16 // maximum number of values around a skipped one in an unknown field

	// minMapEntrySize is the size in bytes of a map entry of two empty strings: their two lengths.
	minMapEntrySize = 8

	// maxMapEntries is the maximum number of entries of a decoded map. A call has about ten fields. Decoded, a short
	// entry takes several times its size in the frame.
	maxMapEntries = 64

	// maxMapSize is the maximum encoded size of the entries of a decoded map, in bytes.
	maxMapSize = 4096
)

var (
	// ErrFrameSize is returned for a length prefix that is not from 1 to MaxFrameSize.
	ErrFrameSize = errors.New("thrift: invalid frame size")
	// ErrVersion is returned for a frame that does not begin with a message of the strict binary protocol.
	ErrVersion = errors.New("thrift: not a message of the strict binary protocol")
	// ErrTruncated is returned for a value that extends beyond the end of its frame or has a negative length.
	ErrTruncated = errors.New("thrift: value cut short")
	// ErrTrailingBytes is returned for a message with bytes after the end of its arguments.
	ErrTrailingBytes = errors.New("thrift: bytes behind the arguments")
	// ErrInvalidMap is returned for a map whose keys or values are not strings, or whose size does not fit the frame.
	ErrInvalidMap = errors.New("thrift: bad map")
	// ErrMapTooLarge is returned for a map with more than 64 entries, or with entries of more than 4096 bytes.
	ErrMapTooLarge = errors.New("thrift: map too large")
	// ErrTooDeep is returned for an unknown field whose values are nested more than maxSkipDepth levels deep.
	ErrTooDeep = errors.New("thrift: nested too deeply")
)

// UnknownTypeError reports a value whose type is not defined by the protocol.
type UnknownTypeError struct {
	Type byte
}

func (e *UnknownTypeError) Error() string {
	return fmt.Sprintf("thrift: unknown type %d", e.Type)
}
