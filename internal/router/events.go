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
	Seq         int32 // number that identifies the request among those of the client's connection
	ArrivedAt   int64 // ns; earliest time at which the request can have arrived; 0: the time of the event
	Request     Request
	DecodeError error // error of DecodeRequest, to be answered with BadRequest; nil: Request is valid
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

// ConnectionUp reports that the connection opened by a Dial is established and requests can be sent on it.
type ConnectionUp struct{ Connection ConnectionID }

// Cause tells whether a connection ended because of an error on this machine or for any other reason.
type Cause int // Remote or Local

// Values of Cause. Local is an error on this machine, such as a lack of file descriptors, which says nothing about the
// endpoint. Remote is any other cause.
const (
	Remote Cause = iota
	Local
)

// ConnectionDown reports that a connection to an endpoint has ended, or that dialling it has failed.
type ConnectionDown struct {
	Connection ConnectionID
	Unsent     []RequestID // IDs of the requests that were not completely written, so cannot have been executed
	Cause      Cause
	Reason     string // text of the error that ended the connection; empty: there was none
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
	NotModified     bool  // the copy that the client already has is still valid
	Unversioned     bool  // Result is ServerError only because the response names no version of the object
	IssuedAt        int64 // Unix ns by the origin's clock; when it issued the copy; 0: not a cacheable copy
	Body            []byte
	Note            int64     // code of where the response came from, or which server rejected the attempt; 0: unknown
	TimeToFirstByte int64     // ns until the endpoint got the first byte from the source, as it reports; 0: unknown
	LoadReport      []float64 // figures about the load, in the order of Settings.LoadReportFields; nil: none
}

// EndpointEntry is one entry of the endpoint list. The reducer ignores the ID of a received entry and assigns its own.
type EndpointEntry struct {
	Instance string
	Address  string
	control.Endpoint
}

// EndpointListUpdated reports the complete endpoint list, or changes to it.
type EndpointListUpdated struct {
	Complete bool // Entries is the complete list, not only the entries that were added or changed
	Entries  []EndpointEntry
}

// PurgeReceived reports a purge of one object or, if Object is empty, of all objects of a group.
type PurgeReceived struct {
	Object   string
	Group    int64
	PurgedAt int64 // Unix ns by the clock of the discovery service; 0 or less: not known
}

// ProbeEnded reports the result of a health check of an endpoint. The check was made by this router or by another one
// with which it shares the health checks.
type ProbeEnded struct {
	Instance   string // name of the endpoint that was checked
	Healthy    bool
	LoadReport []float64 // as in ResponseReceived; the policy does not use it
}

// TimerFired reports that the timer set by SetTimer has fired.
type TimerFired struct{}

// ShutdownStarted starts the graceful shutdown: every request is answered by AnswerDeadline, in ns.
type ShutdownStarted struct{ AnswerDeadline int64 }
