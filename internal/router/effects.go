package router

import (
	"tealpath/control"
	"tealpath/internal/logevent"
)

// Effect is an action that the caller of Handle must carry out: one of the types in this file.
type Effect any

// ResponseKind says how a client's request ended.
type ResponseKind int

// Each request gets a response of one of these kinds, unless its client cancels it or disconnects.
const (
	Served     ResponseKind = iota // the client gets the response of an endpoint
	Rejected                       // the client may safely retry: the request was not executed or can be repeated
	Failed                         // there is no usable response, and the request may have been executed
	BadRequest                     // the request is malformed or not allowed; Respond.Reason says why
)

// String returns the kind's name in lower case, or "unknown" if the value is not one of the constants.
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

// Respond sends the final response to a client's request. Each request gets at most one.
type Respond struct {
	Client      ClientID
	Seq         int32
	Kind        ResponseKind
	Body        []byte
	NotModified bool  // the copy that the client already has is still valid
	RetryAfter  int64 // ns; time that a rejected client should wait before it retries; 0: not stated
	Reason      error // a *FieldError, ErrSequenceInUse or ErrBodyTooLong if Kind is BadRequest, otherwise nil
}

// Dial opens a connection to an endpoint. ConnectionUp or ConnectionDown follows.
type Dial struct {
	Connection ConnectionID
	Address    string
	Timeout    int64 // ns; time within which the connection must be established
}

// Send writes a request to a connection. If writing cannot begin before SendDeadline, nothing is written and
// AttemptWithdrawn follows.
type Send struct {
	Connection   ConnectionID
	Request      UpstreamRequest
	SendDeadline int64 // ns; time by which writing must begin
}

// UpstreamRequest is a request as it is sent to an endpoint. The strings and the body that are from the client are
// sent unchanged, byte for byte.
type UpstreamRequest struct {
	ID             RequestID
	Class          string
	Object         string
	Part           string
	Body           []byte
	ClientETag     string // entity tag of the copy that the client has; empty: none
	IdempotencyKey string // key by which servers recognize and drop a repeated request; empty: none
	Deadline       int64  // ns; when the response must be received; the endpoint is sent the time left
	Source         string // name of the instance from which the cache fills a miss; empty: none
	Attempt        control.Attempt
}

// CancelAttempt cancels a request on a connection. If it is not written yet it is dropped, otherwise a cancellation is
// sent to the endpoint. No event follows.
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

// Close closes a connection to an endpoint, on which all attempts have ended. No event follows.
type Close struct{ Connection ConnectionID }

// SetTimer sets the reducer's only timer and replaces its previous time. TimerFired follows at this time, in ns.
type SetTimer struct{ At int64 }

// Log writes an event to the program's log. Instance is the name of the endpoint that the event concerns; empty: none.
type Log struct {
	Event    logevent.Event
	Instance string
}
