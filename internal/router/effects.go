package router

import (
	"tealpath/control"
	"tealpath/internal/logevent"
)

// Effect is an order of the reducer to its surroundings.
type Effect any

// ResponseKind says how a client's request ended.
type ResponseKind int

// The kinds of responses.
const (
	Served     ResponseKind = iota
	Rejected                // not executed; the client may ask again
	Failed                  // without a usable response; it may have been executed
	BadRequest              // it can't be understood; Respond.Reason says why
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
	RetryAfter  int64 // how long the client is to wait before it asks again, ns; 0: not told
	Reason      error // with BadRequest: a *FieldError, ErrSequenceInUse or ErrBodyTooLong
}

// Dial opens a connection to an endpoint. ConnectionUp or ConnectionDown follows.
type Dial struct {
	Connection ConnectionID
	Address    string
	Timeout    int64 // ns
}

// Send writes a request to a connection, unless that can't begin before SendDeadline.
type Send struct {
	Connection   ConnectionID
	Request      UpstreamRequest
	SendDeadline int64 // ns
}

// UpstreamRequest is a request as an endpoint gets it. Its texts and its body are the client's own, byte for
// byte.
type UpstreamRequest struct {
	ID             RequestID
	Class          string
	Object         string
	Part           string
	Body           []byte
	ClientETag     string // entity tag of the copy that the client has; empty: none
	IdempotencyKey string // of the client, by which the server drops repetitions; empty: none
	Deadline       int64  // of the response, ns; the endpoint is told how much is left as the request is written
	Source         string // instance from which a cache miss is filled; empty: it is not filled
	Attempt        control.Attempt
}

// CancelAttempt cancels a request on a connection: it is not written, or if it is, the endpoint is told.
type CancelAttempt struct {
	Connection ConnectionID
	ID         RequestID
}

// WithdrawAttempt withdraws a request from a connection if nothing of it is written yet: AttemptWithdrawn then
// follows. Otherwise the request stays.
type WithdrawAttempt struct {
	Connection ConnectionID
	ID         RequestID
}

// Close closes a connection. No event follows.
type Close struct{ Connection ConnectionID }

// SetTimer has TimerFired come at a time, ns. It replaces the timer before it.
type SetTimer struct{ At int64 }

// Log logs an event. Instance names the endpoint that it concerns, empty for none.
type Log struct {
	Event    logevent.Event
	Instance string
}
