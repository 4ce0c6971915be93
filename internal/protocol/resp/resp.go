// Package resp reads and writes arrays of bulk strings in version 2 of RESP, the serialization protocol of Redis. The
// protocol between the router and caches uses no other RESP types.
package resp

import (
	"errors"
	"fmt"
)

// Limits for input. Read returns an error for anything larger.
const (
	MaxItems      = 8       // maximum number of strings in one array
	MaxStringSize = 1 << 18 // maximum size of one string, bytes; the largest object has 240,000 bytes

	// maxLengthDigits is the maximum number of characters in a header line after the type byte, including the
	// carriage return.
	maxLengthDigits = 24
)

const (
	arrayType  = '*'
	stringType = '$'
	lineEnd    = "\r\n"
)

// ErrMalformed is the sentinel error that every MalformedError wraps.
var ErrMalformed = errors.New("resp: malformed")

// MalformedError reports input that is not an array of bulk strings or exceeds the limits.
type MalformedError struct {
	Reason string
}

func (e *MalformedError) Error() string {
	return ErrMalformed.Error() + ": " + e.Reason
}

// Unwrap returns ErrMalformed, so that errors.Is matches it.
func (e *MalformedError) Unwrap() error {
	return ErrMalformed
}

func malformed(format string, arguments ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, arguments...)}
}
