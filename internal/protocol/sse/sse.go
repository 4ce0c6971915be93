// Package sse requests a stream of server-sent events over HTTP/1.1 and reads it, as specified in the "Server-sent
// events" section of the HTML standard and, for the chunked transfer coding, in RFC 9112. The sizes of lines and
// events and the number of header lines are limited.
package sse

import (
	"errors"
	"fmt"
)

// Limits for input, and the size of the read buffer.
const (
	maxLineSize    = 4 << 20  // maximum bytes in a line; an endpoint list is one line: 10,000 endpoints of 400 bytes
	maxEventSize   = 4 << 20  // maximum bytes of data in an event
	maxHeaderLines = 64       // maximum number of header lines of the response
	bufferSize     = 16 << 10 // size of the read buffer, bytes
)

// ErrMalformed is the sentinel error that every MalformedError wraps.
var ErrMalformed = errors.New("sse: malformed")

// MalformedError reports input that is not an event stream or exceeds the limits.
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

// StatusError reports an HTTP response with a status other than 200, which carries no event stream.
type StatusError struct {
	Status string // status code and reason phrase
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("sse: response status %.40q, want 200", e.Status)
}
