package router

import (
	"tealpath/control"
	"tealpath/internal/logevent"
)

// Effect is something that the caller of Handle has to carry out: one of the types of this file.
type Effect any

// ResponseKind says how a client's request ended.
type ResponseKind int

// The kinds of responses.
const (
	Served     ResponseKind = iota
	Rejected                // not executed; the client may retry
	Failed                  // without a usable response; it may have been executed
	BadRequest              // malformed or not acceptable; Respond.Reason says why
)

// String returns the kind's name.
func (kind ResponseKind) String() string {
	switch kind {
	case Served:
		return "served"
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	case BadRequest:
		return "bad request"
	}
	return "unknown"
}

// Respond gives the one final response to a client's request.
type Respond struct {
	Client      ClientID
	Seq         int32
	Kind        ResponseKind
	Body        []byte
	NotModified bool  // the copy that the client has is still valid
	RetryAfter  int64 // ns; how long the client should wait before it retries; 0: not stated
	Reason      error // with BadRequest: a *FieldError, ErrSequenceInUse or ErrBodyTooLong
}

// Dial opens a connection to an endpoint. ConnectionUp or ConnectionDown follows.
type Dial struct {
	Connection ConnectionID
	Address    string
	Timeout    int64 // ns
}

// Send writes a request to a connection. If writing can't begin before SendDeadline, nothing is written and
// AttemptWithdrawn follows.
type Send struct {
	Connection   ConnectionID
	Request      UpstreamRequest
	SendDeadline int64 // ns
}

// UpstreamRequest is a request as it is sent to an endpoint. Its strings and its body are the client's, byte
// for byte.
type UpstreamRequest struct {
	ID             RequestID
	Class          string
	Object         string
	Part           string
	Body           []byte
	ClientETag     string // entity tag of the copy that the client has; empty: none
	IdempotencyKey string // of the client, by which the server drops repetitions; empty: none
	Deadline       int64  // of the response, ns; the endpoint is sent the time that is left when it is written
	Source         string // instance from which a cache miss is filled; empty: it is not filled
	Attempt        control.Attempt
}

// CancelAttempt cancels a request on a connection: if it is not written yet it never is, otherwise the endpoint
// is sent a cancellation. No event follows.
type CancelAttempt struct {
	Connection ConnectionID
	ID         RequestID
}

// WithdrawAttempt withdraws a request from a connection if nothing of it is written yet: AttemptWithdrawn then
// follows. Otherwise it has no effect.
type WithdrawAttempt struct {
	Connection ConnectionID
	ID         RequestID
}

// Close closes a connection. No event follows.
type Close struct{ Connection ConnectionID }

// SetTimer sets the one timer, which replaces the one set before: TimerFired follows at this time, ns.
type SetTimer struct{ At int64 }

// Log writes an event to the log. Instance is the name of the endpoint that it concerns, empty for none.
type Log struct {
	Event    logevent.Event
	Instance string
}
