// Package sse requests a stream of server-sent events over HTTP/1.1 and reads it (the "Server-sent events"
// section of the HTML standard; chunked coding by RFC 9112). Lines, events and the response's head are bounded.
package sse

import (
	"errors"
	"fmt"
)

// Limits of what is read.
const (
	maxLineSize    = 4 << 20  // bytes; a complete endpoint list is one line: 10,000 endpoints of 400 bytes
	maxEventSize   = 4 << 20  // bytes of an event's data
	maxHeaderLines = 64       // of a response's head
	bufferSize     = 16 << 10 // bytes read from the connection at a time
)

// ErrForm is input that is no such stream, or one beyond the limits. Every FormError is one.
var ErrForm = errors.New("sse: malformed")

// FormError says what is wrong with input that is no such stream.
type FormError struct {
	Reason string
}

func (e *FormError) Error() string {
	return ErrForm.Error() + ": " + e.Reason
}

// Unwrap makes every FormError an ErrForm.
func (e *FormError) Unwrap() error {
	return ErrForm
}

// StatusError is a response with another status than 200.
type StatusError struct {
	Status string // code and reason phrase
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("sse: answered %.40q", e.Status)
}
