// Package resp reads and writes arrays of bulk strings in RESP, the serialization protocol of Redis (version
// 2), which is all that caches speak.
package resp

import (
	"errors"
	"fmt"
)

// Limits of what is read.
const (
	MaxItems      = 8       // strings in one array
	MaxStringSize = 1 << 18 // of one string; the largest object has 240,000

	// maxLengthDigits bounds the line that says how long an array or a string is, its carriage return included.
	maxLengthDigits = 24
)

const (
	arrayMark  = '*'
	stringMark = '$'
	lineEnd    = "\r\n"
)

// ErrForm is input that is no array of bulk strings within the limits. Every FormError is one.
var ErrForm = errors.New("resp: malformed")

// FormError says what is wrong with input that is no array of bulk strings within the limits.
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

func formError(format string, arguments ...any) error {
	return &FormError{Reason: fmt.Sprintf(format, arguments...)}
}
