package router

import (
	"tealpath/control"
	"tealpath/internal/logevent"
)

// ClientID identifies a client's connection, ConnectionID one to a cache, a parent or the origin. Neither is ever
// used again.
type (
	ClientID     uint64
	ConnectionID uint64
)

// Event is something that came in from outside. Stamps of other machines are Unix ns by their clocks; all other times are ns on
// the axis of Handle.
type Event any

// RequestReceived is a client's request that has been read whole.
type RequestReceived struct {
	Client    ClientID
	Seq       int32
	ArrivedAt int64 // the earliest that its first byte can have come; 0: with the event
	Fields    map[string]string
	Body      []byte
}

// RequestCancelled tells that a client has stopped waiting for one request.
type RequestCancelled struct {
	Client ClientID
	Seq    int32
}

// ClientDisconnected tells that a client's connection has ended.
type ClientDisconnected struct{ Client ClientID }

// ClientHalfClosed tells that a client has closed its side of a connection. It may still read: what is in flight for it is answered,
// but nothing more is sent for it.
type ClientHalfClosed struct{ Client ClientID }

// ConnectionUp tells that a connection that was dialled is established.
type ConnectionUp struct{ Connection ConnectionID }

// Cause says on whose side the reason for the end of a connection lies.
type Cause int

// The causes. Local is an error of this machine's own, such as a lack of file descriptors: it says nothing about the endpoint.
const (
	Remote Cause = iota
	Local
)

// ConnectionDown tells that a connection has ended or was never established. Unsent are the IDs of the requests that were not
// wholly written; Reason is the text of the error, where there was one.
type ConnectionDown struct {
	Connection ConnectionID
	Unsent     []string
	Cause      Cause
	Reason     string
}

// AttemptWithdrawn tells that nothing of a request was written to its connection, and nothing will be: it was withdrawn, or its
// send deadline has passed.
type AttemptWithdrawn struct {
	Connection ConnectionID
	ID         string
}

// ResponseReceived is a response of a cache, a parent or the origin to one attempt.
type ResponseReceived struct {
	Connection      ConnectionID
	ID              string
	Result          control.Result
	NotModified     bool  // the copy that the client has is still good
	Unversioned     bool  // Result is ServerError for this alone: the response does not say which version it is, and from when
	IssuedAt        int64 // when the origin gave out the copy, Unix ns by its clock; 0: it is no cacheable copy
	Body            []byte
	Note            int64
	TimeToFirstByte int64
	LoadReport      []float64
}

// EndpointEntry is one entry of the endpoint list.
type EndpointEntry struct {
	Instance string
	Address  string
	control.Endpoint
}

// EndpointListUpdated is the complete endpoint list, or changes to it.
type EndpointListUpdated struct {
	Complete bool
	Entries  []EndpointEntry
}

// PurgeReceived tells of a purge of one object or, with no object, of a group.
type PurgeReceived struct {
	Object   string
	Group    int64
	PurgedAt int64 // its stamp by the journal service
}

// ProbeEnded tells what a probe of an endpoint found, by this instance or by another that shares the lease.
type ProbeEnded struct {
	Instance   string
	Healthy    bool
	LoadReport []float64
}

// TimerFired tells that the time that SetTimer named has come.
type TimerFired struct{}

// ShutdownStarted tells that this router is to end, and by when every request has to be answered.
type ShutdownStarted struct{ AnswerDeadline int64 }

// Effect is what the reducer wants done outside.
type Effect any

// ResponseKind says how a client's request ended.
type ResponseKind int

// The kinds of responses.
const (
	Served ResponseKind = iota
	Rejected
	Failed
	BadRequest // the request cannot be understood; Reason says what is wrong
)

// Respond wants the one final response to a client's request given.
type Respond struct {
	Client      ClientID
	Seq         int32
	Kind        ResponseKind
	Body        []byte
	NotModified bool  // the copy that the client has is still good
	RetryAfter  int64 // after which the client may ask again, ns
	Reason      string
}

// Dial wants a connection to an endpoint opened.
type Dial struct {
	Connection ConnectionID
	Address    string
	Timeout    int64
}

// Send wants a request written to a connection, unless that can't begin before SendDeadline.
type Send struct {
	Connection   ConnectionID
	Request      UpstreamRequest
	SendDeadline int64
}

// UpstreamRequest is what a cache, a parent or the origin is asked. The strings and the body are the client's own.
type UpstreamRequest struct {
	ID, Class, Object, Part string
	Body                    []byte
	ClientETag              string // entity tag of the copy that the client has; empty is none
	IdempotencyKey          string // of the client, by which the server drops repetitions
	Deadline                int64  // of its response; what is left until then is told as it is written
	Source                  string // instance from which a miss is filled; empty is no fill
	Attempt                 control.Attempt
}

// CancelAttempt wants a request on a connection cancelled; if it is not yet written it is not to be.
type CancelAttempt struct {
	Connection ConnectionID
	ID         string
}

// WithdrawAttempt wants a request on a connection withdrawn, if nothing of it is written yet: AttemptWithdrawn then follows.
// Otherwise it stays.
type WithdrawAttempt struct {
	Connection ConnectionID
	ID         string
}

// Close wants a connection closed. No event follows.
type Close struct{ Connection ConnectionID }

// SetTimer wants TimerFired at a time; it replaces the one before.
type SetTimer struct{ At int64 }

// Log wants an event logged; Instance names the endpoint that it concerns, if there is one.
type Log struct {
	Event    logevent.Event
	Instance string
}
