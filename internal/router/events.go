package router

import "tealpath/control"

// ClientID identifies a connection of a client. No ID is ever used again.
type ClientID uint64

// ConnectionID identifies a connection to an endpoint: a cache, a parent or the origin. No ID is ever used
// again.
type ConnectionID uint64

// Event is an input of Handle: one of the types of this file. Timestamps of other machines are Unix ns by their
// clocks; all other times are ns of the clock whose time Handle is called with.
type Event any

// RequestReceived is a client's request that has been read completely.
type RequestReceived struct {
	Client      ClientID
	Seq         int32 // the client's number for its call
	ArrivedAt   int64 // ns; the earliest that its first byte can have arrived; 0: when the event occurred
	Request     Request
	DecodeError error // of DecodeRequest; if it is set the request is answered as a BadRequest
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

// ConnectionUp reports that a connection that was dialled is established.
type ConnectionUp struct{ Connection ConnectionID }

// Cause says on which side the reason for the end of a connection lies.
type Cause int // Remote or Local

// The causes. Local is an error of this machine's own, such as a lack of file descriptors: it says nothing
// about the endpoint.
const (
	Remote Cause = iota
	Local
)

// ConnectionDown reports that a connection has ended or was never established.
type ConnectionDown struct {
	Connection ConnectionID
	Unsent     []RequestID // requests that were not completely written, so that they were not executed
	Cause      Cause
	Reason     string // text of the error; empty: there was none
}

// AttemptWithdrawn reports that nothing of a request was written to its connection, and nothing will be: it was
// withdrawn, or its send deadline has passed.
type AttemptWithdrawn struct {
	Connection ConnectionID
	ID         RequestID
}

// ResponseReceived is an endpoint's response to one attempt.
type ResponseReceived struct {
	Connection      ConnectionID
	ID              RequestID
	Result          control.Result
	NotModified     bool  // the copy that the client has is still valid
	Unversioned     bool  // Result is ServerError only because the response names no version of the object
	IssuedAt        int64 // when the origin gave out the copy, Unix ns by its clock; 0: it is no cacheable copy
	Body            []byte
	Note            int64     // the wire's note: where the response came from, or who rejected the attempt
	TimeToFirstByte int64     // ns
	LoadReport      []float64 // the endpoint's load, in the order of the setting LoadReportFields
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

// PurgeReceived reports a purge of one object or, if Object is empty, of all objects of a group.
type PurgeReceived struct {
	Object   string
	Group    int64
	PurgedAt int64 // Unix ns by the clock of the discovery service
}

// ProbeEnded reports the result of a health check, made by this instance or by another with which it shares
// health checks.
type ProbeEnded struct {
	Instance   string // the endpoint that was checked
	Healthy    bool
	LoadReport []float64 // as in ResponseReceived
}

// TimerFired reports that the time of SetTimer has come.
type TimerFired struct{}

// ShutdownStarted begins the graceful shutdown: every request is answered by AnswerDeadline, ns.
type ShutdownStarted struct{ AnswerDeadline int64 }
