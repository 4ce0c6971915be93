package router

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"tealpath/control"
)

// The names of a request's fields on the wire.
const (
	fieldClass          = "verb"
	fieldID             = "txn"
	fieldTimeout        = "limit" // ms
	fieldObject         = "item"
	fieldPart           = "nth"
	fieldGroup          = "batch"
	fieldIdempotencyKey = "unique"
	fieldClientETag     = "got"
	fieldIsRetry        = "second"
	fieldSize           = "ram" // KB
)

const (
	hexDigits      = 16 // of ids, objects and entity tags
	maxGroup       = 255
	maxSizeKB      = 1e9
	maxBodyBytes   = 240_000 // bytes of an object
	retryIndicator = "1"     // value of the field that marks a client's retry

	// keyDelimiters may not occur in an idempotency key. It is forwarded in a comma-separated list of
	// name=value pairs, where such a key would be read as further fields.
	keyDelimiters = ",=\r\n"
)

// RequestID identifies a request, both to its client and to endpoints: 16 hexadecimal digits as the client wrote
// them. It is unique among the requests in flight.
type RequestID = string

// Request is a client's request, decoded and validated. Strings are as the client sent them: they are forwarded
// byte for byte.
type Request struct {
	ID             RequestID
	Class          string  // name of its class in the settings
	Object         string  // the object requested, 16 hexadecimal digits
	Part           Part    // of the object
	Group          int64   // the group of objects that are purged together to which the object belongs
	Timeout        int64   // ns; how long the client waits for its response
	IsRetry        bool    // the client marked it as a retry
	SizeKB         float64 // 0: not stated
	ClientETag     string  // entity tag of the copy that the client has; empty: none
	IdempotencyKey string  // by which servers drop repetitions; empty: none
	Body           []byte
}

// Part is the number of a part of an object. Text is the same number as the client wrote it, perhaps with
// leading zeros.
type Part struct {
	Number int64
	Text   string
}

// FieldReason says what is wrong with a field of a request.
type FieldReason string

// The reasons, as clients read them after the field's name.
const (
	FieldUnusable     FieldReason = "is missing or unusable"
	FieldUnknownClass FieldReason = "names no product"
	FieldIDInUse      FieldReason = "is in use" // responses to the two requests could not be told apart
)

// FieldError reports a field because of which a request can't be served.
type FieldError struct {
	Field  string // its name on the wire
	Value  string // empty also where the field is missing
	Reason FieldReason
}

// Error returns the text that the client gets. It leaves out the value, which is the client's own.
func (e *FieldError) Error() string { return "field " + e.Field + " " + string(e.Reason) }

// Errors of a bad request that concern no single field.
var (
	ErrSequenceInUse = errors.New("sequence number in use")
	ErrBodyTooLong   = errors.New("the body is too long")
)

// DecodeRequest decodes the fields and the body of a call. Its error is a *FieldError of the first field that
// is missing or unusable.
func DecodeRequest(fields map[string]string, body []byte) (Request, error) {
	decoder := &fieldDecoder{fields: fields}
	// In the order in which the fields are checked.
	request := Request{
		Class:          decoder.class(),
		ID:             decoder.hexadecimal(fieldID),
		Timeout:        decoder.number(fieldTimeout, math.MaxInt32) * millisecond,
		Object:         decoder.hexadecimal(fieldObject),
		Part:           decoder.part(),
		Group:          decoder.number(fieldGroup, maxGroup),
		IdempotencyKey: decoder.idempotencyKey(),
		ClientETag:     decoder.clientETag(),
		IsRetry:        fields[fieldIsRetry] == retryIndicator,
		SizeKB:         decoder.size(),
		Body:           body,
	}
	if decoder.err != nil {
		return Request{}, decoder.err
	}
	return request, nil
}

// fieldDecoder reads single fields and keeps the error of the first that is unusable.
type fieldDecoder struct {
	fields map[string]string
	err    *FieldError
}

// require records an error for a field unless it is usable or an earlier field had an error.
func (d *fieldDecoder) require(name string, usable bool) {
	if !usable && d.err == nil {
		d.err = &FieldError{Field: name, Value: d.fields[name], Reason: FieldUnusable}
	}
}

func (d *fieldDecoder) class() string {
	class := d.fields[fieldClass]
	d.require(fieldClass, class != "")
	return class
}

func (d *fieldDecoder) hexadecimal(name string) string {
	text := d.fields[name]
	d.require(name, isHexadecimal(text))
	return text
}

// number reads a decimal number that consists of digits alone: a sign would be forwarded with it.
func (d *fieldDecoder) number(name string, largest uint64) int64 {
	number, err := strconv.ParseUint(d.fields[name], 10, 32)
	d.require(name, err == nil && number <= largest)
	return int64(number)
}

func (d *fieldDecoder) part() Part {
	return Part{Number: d.number(fieldPart, math.MaxInt32), Text: d.fields[fieldPart]}
}

func (d *fieldDecoder) idempotencyKey() string {
	key := d.fields[fieldIdempotencyKey]
	d.require(fieldIdempotencyKey, !strings.ContainsAny(key, keyDelimiters))
	return key
}

// clientETag reads an optional field. An invalid entity tag counts as none.
func (d *fieldDecoder) clientETag() string {
	if tag := d.fields[fieldClientETag]; isHexadecimal(tag) {
		return tag
	}
	return ""
}

// size reads an optional field that only some deployments send. An invalid size counts as none.
func (d *fieldDecoder) size() (kilobytes float64) {
	size, err := strconv.ParseFloat(d.fields[fieldSize], 64)
	if err == nil && size > 0 && size < maxSizeKB {
		return size
	}
	return 0
}

// isHexadecimal reports whether a string is 16 hexadecimal digits.
func isHexadecimal(text string) bool {
	if len(text) != hexDigits {
		return false
	}
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil
}

// policyRequest returns the policy's view of a request that arrived at a time, ns.
func (request *Request) policyRequest(arrivedAt int64) control.Request {
	return control.Request{
		Class:       request.Class,
		Object:      request.Object,
		Group:       request.Group,
		Part:        request.Part.Number,
		SizeKB:      request.SizeKB,
		Deadline:    arrivedAt + request.Timeout - responseTransit,
		ClientRetry: request.IsRetry,
	}
}
