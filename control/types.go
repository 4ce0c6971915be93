package control

import "strconv"

// The phases of an endpoint in the endpoint list. Only a ready endpoint gets new attempts and fills misses.
const (
	PhaseReady    = "ready"
	PhaseDraining = "draining"
	PhaseGone     = "gone"
)

// Endpoint is one entry of the endpoint list. CBOR stores the fields under the names in their tags.
type Endpoint struct {
	ID        uint32  // the same at all routers; the endpoints that an object goes to follow from it
	Location  string  // zone; caches of the router's own location serve its requests
	Kind      string  // machine type; the settings kind.parent and kind.origin name those of parents and origins
	Cell      int64   // group in which servers drop repetitions of an idempotency key, where the scope is cell
	Phase     string  // PhaseReady, PhaseDraining or PhaseGone
	Capacity  float64 `cbor:"Units"`   // answers that it can send at once, each at a client's full rate
	StartedAt int64   `cbor:"Started"` // last start, Unix ns by the clock of whoever reports it; 0 is long ago
}

// Request is one thing that a client asked for. The adapter fills in the exported fields and passes the same
// pointer to every call; the rest belongs to this package.
type Request struct {
	Class         string  // name of one of the classes in the settings
	Object        string  // what is requested
	Group         int64   // of objects that are purged together
	Part          int64   // of the object; each part is cached separately
	SizeKB        float64 // of the answer; 0 is not known
	Deadline      int64   // when the client gives up
	ClientRetry   bool    // the client has marked it as a retry, or it was found to be likely one
	Write         bool    // the origin has to process it, and its answer is not cached
	NoNewAttempts bool    // its client has closed its sending side: no further attempt is made

	requestState
}

// Verdict says what a Decision asks of the adapter.
type Verdict int

// The verdicts. Wait leaves the request as it is, Send starts Decision.Attempt, and Reject and Fail are final
// answers.
const (
	Wait Verdict = iota
	Send
	Reject
	Fail
)

func (v Verdict) String() string {
	return enumName(int(v), "wait", "send", "reject", "fail")
}

// Attempt says where a request is sent and on which terms.
type Attempt struct {
	Cache              uint32 // ID of the endpoint that it is sent to
	CacheOnly          bool   // the cache serves only what it has cached; the fields below up to Timeout are unused
	Source             uint32 // ID of the endpoint that the cache fills a miss from
	CachePriority      int64  // 2 for reused objects, 1 for others; a full cache evicts lower ones first
	MaxAge             int64  // ns; oldest cache entry that may be served; 0 is the class's fresh duration
	JoinFill           bool   // wait for a fill of the object that is under way
	RefreshBehind      bool   // serve an ageing entry, and refresh it in the background
	ParentOnlyIfCached bool   // the source serves only what it has cached
	ParentNoStore      bool   // the source caches nothing of it; no decision sets this so far
	Timeout            int64  // ns; 0 is until the request's deadline
	SendTimeout        int64  // ns; if it is not sent within that it counts as Unreachable
}

// Decision is the answer to Decide, AttemptEnded and ClientGone.
type Decision struct {
	Verdict    Verdict
	Attempt    Attempt // with Send
	RetryAfter int64   // with Reject: for how long the client should not retry, ns; 0 is not said
	Cancel     []int   // attempts to cancel, by their number in the request
}

// Result says how an attempt ended.
type Result int

// The results. Those up to NotSent, and LocalError, prove that no server has run the request.
const (
	Overloaded      Result = iota // the cache or its source rejected it
	Unreachable                   // there was no connection, or it was not sent within SendTimeout
	NotCached                     // the object is not cached, and only a cached one was to be served
	SendInterrupted               // the connection ended before all of it was sent
	NotSent                       // nothing of it was sent
	Succeeded                     // answered in full
	ServerError                   // answered with an error
	TimedOut                      // no answer within Timeout
	ConnectionLost                // the connection ended after it was sent
	Cancelled                     // the adapter cancelled it
	Stale                         // the answer is older than a purge known when it was sent; see AcceptsCopy
	LocalError                    // this machine could open no connection; it does not count against the endpoint
)

func (result Result) String() string {
	return enumName(int(result),
		"overloaded", "unreachable", "not held", "send interrupted", "not sent", "succeeded", "server error",
		"timed out", "connection lost", "cancelled", "stale", "local error")
}

// enumName returns the name of a value of an enumeration, or its number if it has no name.
func enumName(value int, names ...string) string {
	if value < 0 || value >= len(names) {
		return strconv.Itoa(value)
	}
	return names[value]
}

// Outcome says how one attempt of a request ended.
type Outcome struct {
	Attempt         int // number of the attempt in the request, from 0
	Result          Result
	Elapsed         int64     // ns; since it was sent
	RequestEnded    bool      // the request has its final answer, by this attempt or otherwise
	SharedCause     bool      // the cause was reported already, with another attempt on the same connection
	Note            int64     // where the answer came from, or who rejected it, as the wire has it; 0 is not known
	SendingTime     float64   // s; time that the answer took by its size; 0 is not known
	TimeToFirstByte int64     // ns; until the source's first byte; not used so far
	LoadReport      []float64 // in the order of the setting report.fields; nil if there is none
}
