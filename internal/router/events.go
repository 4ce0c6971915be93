package router

import "tealpath/control"

// ClientID identifies a client's connection. IDs are never reused.
type ClientID uint64

// ConnectionID identifies a connection to an endpoint: a cache, a parent or the origin. IDs are never reused.
type ConnectionID uint64

// Event is an input of Handle: one of the types in this file. Timestamps from other machines are Unix ns by those
// machines' clocks. All other times are ns by the clock from which the caller of Handle takes the time.
type Event any

// RequestReceived reports that a client's request has been read completely.
type RequestReceived struct {
	Client      ClientID
	Seq         int32 // sequence number that the client gave its call
	ArrivedAt   int64 // ns; earliest time at which its first byte can have arrived; 0: the time of the event
	Request     Request
	DecodeError error // returned by DecodeRequest; if it is set, the request is answered with BadRequest
}

// RequestCancelled reports that a client has stopped waiting for one request.
type RequestCancelled struct {
	Client ClientID
	Seq    int32
}

// ClientDisconnected reports that a client's connection has ended.
type ClientDisconnected struct{ Client ClientID }

// ClientHalfClosed reports that a client has closed its sending side. It may still read: its requests in flight
// get their responses, but no further attempt is made for them.
type ClientHalfClosed struct{ Client ClientID }

// ConnectionUp reports that a dialled connection is established.
type ConnectionUp struct{ Connection ConnectionID }

// Cause says on which side the error that ended a connection occurred.
type Cause int // Remote or Local

// Local is an error on this machine, such as a lack of file descriptors, which says nothing about the endpoint. Remote
// is any other cause.
const (
	Remote Cause = iota
	Local
)

// ConnectionDown reports that a connection has ended or was never established.
type ConnectionDown struct {
	Connection ConnectionID
	Unsent     []RequestID // requests that were not completely written and so cannot have been executed
	Cause      Cause
	Reason     string // text of the error; empty: no error
}

// AttemptWithdrawn reports that no byte of a request was written to its connection and none will be, because the
// attempt was withdrawn or its send deadline has passed.
type AttemptWithdrawn struct {
	Connection ConnectionID
	ID         RequestID
}

// ResponseReceived reports an endpoint's response to one attempt.
type ResponseReceived struct {
	Connection      ConnectionID
	ID              RequestID
	Result          control.Result
	NotModified     bool  // the copy that the client has is still valid
	Unversioned     bool  // Result is ServerError only because the response names no version of the object
	IssuedAt        int64 // when the origin issued the copy, Unix ns by its clock; 0: it is not a cacheable copy
	Body            []byte
	Note            int64     // code from the wire: where the response came from, or who rejected the attempt
	TimeToFirstByte int64     // ns; until the first byte came from the source, as the endpoint reports it; 0: unknown
	LoadReport      []float64 // the endpoint's load, in the order of the setting LoadReportFields
}

// EndpointEntry is one entry of the endpoint list.
type EndpointEntry struct {
	Instance string
	Address  string
	control.Endpoint
}

// EndpointListUpdated reports the complete endpoint list, or changes to it.
type EndpointListUpdated struct {
	Complete bool // Entries is the complete list; otherwise only the entries that were added or changed
	Entries  []EndpointEntry
}

// PurgeReceived reports a purge of one object or, if Object is empty, of all objects of a group.
type PurgeReceived struct {
	Object   string
	Group    int64
	PurgedAt int64 // Unix ns by the clock of the discovery service
}

// ProbeEnded reports the result of a health check of an endpoint. The check was made by this router or by another one
// with which it shares the health checks.
type ProbeEnded struct {
	Instance   string // the endpoint that was checked
	Healthy    bool
	LoadReport []float64 // as in ResponseReceived
}

// TimerFired reports that the timer set by SetTimer has fired.
type TimerFired struct{}

// ShutdownStarted starts the graceful shutdown: every request is answered by AnswerDeadline, in ns.
type ShutdownStarted struct{ AnswerDeadline int64 }
