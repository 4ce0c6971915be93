package control

import "strconv"

// Phases of an endpoint in the endpoint list. Only a ready endpoint gets new attempts or fills misses.
const (
	PhaseReady    = "ready"
	PhaseDraining = "draining"
	PhaseGone     = "gone"
)

// Endpoint is one entry of the endpoint list. CBOR stores the fields under the names in their tags.
type Endpoint struct {
	ID        uint32  // the same at all routers; rendezvous hashing of objects uses it
	Location  string  // zone of the endpoint; a router sends requests to the caches of its own location
	Kind      string  // machine type; the settings kind.parent and kind.origin select the parents' and origins' types
	Cell      int64   // number of the cell, whose servers drop repetitions of a key with ScopeCell
	Phase     string  // PhaseReady, PhaseDraining or PhaseGone
	Capacity  float64 `cbor:"Units"`   // responses sent at once, each at a client's full rate; see WeightMeaning
	StartedAt int64   `cbor:"Started"` // last start, in Unix ns by the reporting machine's clock; 0: no recent start
}

// Request is a request of a client. The caller fills in the exported fields and passes the same pointer to every
// call. The unexported fields belong to this package.
type Request struct {
	Class         string  // name of one of the classes in the settings
	Object        string  // name of the requested object
	Group         int64   // number of the group of objects that the object can be purged with
	Part          int64   // number of the requested part of the object; each part is cached separately
	SizeKB        float64 // KB; size of the response; 0: not known
	Deadline      int64   // ns; when the client stops waiting for a response
	ClientRetry   bool    // the client marked the request as a retry, or Decide guesses that it is one
	Write         bool    // the origin must process the request, and the response is not cached
	NoNewAttempts bool    // the client has closed its sending side: no further attempt is made

	requestState
}

// Verdict is what a Decision asks the caller to do.
type Verdict int

// Verdicts. Wait means to do nothing now, and Send to start Decision.Attempt. Reject and Fail mean to end the request
// with an error response: after Reject the client can safely send it again, after Fail possibly not.
const (
	Wait Verdict = iota
	Send
	Reject
	Fail
)

func (v Verdict) String() string {
	return enumName(int(v), "wait", "send", "reject", "fail")
}

// Attempt describes where and how a request is sent.
type Attempt struct {
	Cache              uint32 // ID of the endpoint that the request is sent to
	CacheOnly          bool   // the cache serves only a cached object; fields from Source to ParentNoStore are not used
	Source             uint32 // ID of the endpoint that the cache fills a miss from
	CachePriority      int64  // 2 for reused objects, 1 for others; a full cache evicts entries of lower priority first
	MaxAge             int64  // ns; age of the oldest cache entry that may be served; 0: the class's fresh duration
	JoinFill           bool   // the request may wait for a fill of its object that is already in flight
	RefreshBehind      bool   // the cache serves an ageing entry and refreshes it in the background
	ParentOnlyIfCached bool   // the source serves only a cached object
	ParentNoStore      bool   // the source does not cache the response; no decision sets it
	Timeout            int64  // ns; time within which the response must come; 0: until the request's deadline
	SendTimeout        int64  // ns; an attempt that is not sent within this time ends as Unreachable
}

// Decision is the result of Decide, AttemptEnded and EndRequest.
type Decision struct {
	Verdict    Verdict
	Attempt    Attempt // set if Verdict is Send
	RetryAfter int64   // ns until the client may retry, if Verdict is Reject; 0: no Retry-After is sent
	Cancel     []int   // numbers, within the request, of the attempts to cancel; nil: none
}

// Result is how an attempt ended.
type Result int

// Results. The ones up to NotSent, and LocalError, prove that no server has processed the request.
const (
	Overloaded      Result = iota // the cache or its source rejected the request
	Unreachable                   // there was no connection, or the request was not sent within Attempt.SendTimeout
	NotCached                     // the object is not cached, and the attempt allowed only a cached object
	SendInterrupted               // the connection ended before the whole request was sent
	NotSent                       // no part of the request was sent
	Succeeded                     // a complete response was received
	ServerError                   // the response was an error
	TimedOut                      // no response came within Attempt.Timeout
	ConnectionLost                // the connection ended after the request was sent
	Cancelled                     // the caller cancelled the attempt
	Stale                         // the response is older than a purge known at the time of sending; see AcceptsEntry
	LocalError                    // this machine could not open a connection; does not count against the endpoint
)

func (result Result) String() string {
	return enumName(int(result),
		"overloaded", "unreachable", "not held", "send interrupted", "not sent", "succeeded", "server error",
		"timed out", "connection lost", "cancelled", "stale", "local error")
}

// enumName returns the name of an enumeration value, or the value in decimal if it has no name.
func enumName(value int, names ...string) string {
	if value < 0 || value >= len(names) {
		return strconv.Itoa(value)
	}
	return names[value]
}

// Outcome describes how one attempt of a request ended.
type Outcome struct {
	Attempt         int // number of the attempt in the request, from 0
	Result          Result
	Elapsed         int64     // ns from the start of the attempt to its end
	RequestEnded    bool      // the request has its final response, from this attempt or otherwise
	SharedCause     bool      // the cause was already reported with another attempt on the same connection
	Note            int64     // wire code of where the response came from or which server rejected it; 0: not known
	SendingTime     float64   // s; time to send a response of this size; 0: not known
	TimeToFirstByte int64     // ns until the first byte came from the source; not used
	LoadReport      []float64 // figures about the cache's load, in the order of Settings.LoadReportFields; nil: none
}
