package router

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"tealpath/control"
)

// Names of a request's fields on the wire.
const (
	fieldClass          = "verb"
	fieldID             = "txn"
	fieldTimeout        = "limit" // in ms; how long the client waits for its response
	fieldObject         = "item"
	fieldPart           = "nth"
	fieldGroup          = "batch"
	fieldIdempotencyKey = "unique"
	fieldClientETag     = "got"
	fieldIsRetry        = "second"
	fieldSize           = "ram" // in KB; size of the response
)

const (
	hexDigits      = 16 // number of digits of a request ID, an object and an entity tag
	maxGroup       = 255
	maxSizeKB      = 1e9
	maxBodyBytes   = 240_000 // limit on a request's body, which may be as long as an object
	retryIndicator = "1"     // value of fieldIsRetry in a retry by the client

	// Limits on the texts that are kept while a request is in flight, in bytes.
	maxNumberBytes         = 20
	maxIdempotencyKeyBytes = 256

	// keyDelimiters are the characters that an idempotency key must not contain. The key is forwarded in a
	// comma-separated list of name=value pairs, where they would start further fields.
	keyDelimiters = ",=\r\n"
)

// RequestID identifies a request, both to its client and to endpoints. It is 16 hexadecimal digits, as the client
// wrote them, and is unique among the requests in flight.
type RequestID = string

// Request is a client's request, decoded and validated. Its strings are forwarded byte for byte as the client sent
// them.
type Request struct {
	ID             RequestID
	Class          string  // name of the request's class in the settings
	Object         string  // name of the requested object, 16 hexadecimal digits
	Part           Part    // the part of the object that is requested
	Group          int64   // number of the object's group, whose objects can be purged together
	Timeout        int64   // ns; how long the client waits for its response
	IsRetry        bool    // the client marked the request as a retry of an earlier one
	SizeKB         float64 // size of the response; 0: not stated
	ClientETag     string  // entity tag of the copy that the client has; empty: none
	IdempotencyKey string  // key by which servers recognize and drop a repeated request; empty: none
	Body           []byte
}

// Part is the number of a part of an object. Text is the number as the client wrote it, which may have leading zeros.
type Part struct {
	Number int64
	Text   string
}

// FieldReason is what is wrong with a field of a request, in the words that are sent to the client.
type FieldReason string

// Reasons of a FieldError. Clients receive these texts after the field's name.
const (
	FieldUnusable     FieldReason = "is missing or unusable"
	FieldUnknownClass FieldReason = "names no product"
	FieldIDInUse      FieldReason = "is in use" // responses to two requests with one ID could not be told apart
)

// FieldError reports a field for which a request is answered with BadRequest.
type FieldError struct {
	Field  string // name of the field on the wire
	Value  string // value that the client sent; empty: the field is empty or missing
	Reason FieldReason
}

// Error returns the text that is sent to the client. It does not contain the value, which the client knows.
func (e *FieldError) Error() string { return "field " + e.Field + " " + string(e.Reason) }

// Errors of a bad request that do not concern a single field. Their texts are sent to the client.
var (
	ErrSequenceInUse = errors.New("sequence number in use")
	ErrBodyTooLong   = errors.New("the body is too long")
)

// DecodeRequest decodes the fields and the body of a client's call. Its error is a *FieldError for the first field
// that is missing or unusable.
func DecodeRequest(fields map[string]string, body []byte) (Request, error) {
	decoder := &fieldDecoder{fields: fields}
	// The order of the fields is the order in which they are checked.
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

// fieldDecoder decodes single fields and keeps the error of the first unusable one.
type fieldDecoder struct {
	fields map[string]string
	err    *FieldError
}

// require records an error for a field that is not usable, unless an earlier field had an error.
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

// number decodes a decimal number that consists only of digits. A sign is an error, since it would be forwarded with
// the number.
func (d *fieldDecoder) number(name string, largest uint64) int64 {
	text := d.fields[name]
	number, err := strconv.ParseUint(text, 10, 32)
	d.require(name, err == nil && number <= largest && len(text) <= maxNumberBytes)
	return int64(number)
}

func (d *fieldDecoder) part() Part {
	return Part{Number: d.number(fieldPart, math.MaxInt32), Text: d.fields[fieldPart]}
}

func (d *fieldDecoder) idempotencyKey() string {
	key := d.fields[fieldIdempotencyKey]
	d.require(fieldIdempotencyKey, len(key) <= maxIdempotencyKeyBytes && !strings.ContainsAny(key, keyDelimiters))
	return key
}

// clientETag decodes the entity tag of the client's copy. It returns an empty string if the tag is missing or invalid.
func (d *fieldDecoder) clientETag() string {
	if tag := d.fields[fieldClientETag]; isHexadecimal(tag) {
		return tag
	}
	return ""
}

// size decodes the size of the response, which clients send only in some deployments. It returns 0 if the size is
// missing or invalid.
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

// Deadline returns the time by which the response to a request has to be written, ns. arrivedAt is the time of its
// arrival, ns.
func (request *Request) Deadline(arrivedAt int64) int64 {
	return arrivedAt + request.Timeout - responseTransit
}

// policyRequest returns the part of a request that the policy needs. arrivedAt is the time of its arrival in ns.
func (request *Request) policyRequest(arrivedAt int64) control.Request {
	return control.Request{
		Class:       request.Class,
		Object:      request.Object,
		Group:       request.Group,
		Part:        request.Part.Number,
		SizeKB:      request.SizeKB,
		Deadline:    request.Deadline(arrivedAt),
		ClientRetry: request.IsRetry,
	}
}
