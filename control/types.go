package control

import "strconv"

// Endpoint is one line of the endpoint list. Its fields are stored by CBOR under the names in their tags.
type Endpoint struct {
	ID        uint32  // alike at all routers: an object's endpoints follow from it
	Location  string  // zone; endpoints of the own one are caches
	Kind      string  // machine type; the settings kind.parent and kind.origin say which are no caches
	Cell      int64   // the group in which servers drop repetitions of a key, where the scope is cell
	Phase     string  // ready, draining or gone
	Capacity  float64 `cbor:"Units"`   // answers that it sends at once at a client's full pace
	StartedAt int64   `cbor:"Started"` // when it last started, Unix ns by the clock of who tells it; 0 is long ago
}

// Request is one thing a client asked for. The adapter fills in the exported fields and hands the same
// pointer to every call; the rest belongs to the module.
type Request struct {
	Class         string  // one of the setting product.names
	Object        string  // what is asked for
	Group         int64   // of objects that are purged together
	Part          int64   // of the object; each is kept on its own
	SizeKB        float64 // of the answer; 0: not told
	Deadline      int64   // when the client gives up on this try, ns
	ClientRetry   bool    // marked as a client's retry, or found to be likely one
	Write         bool    // it runs at the origin, and nothing of it is kept
	NoNewAttempts bool    // its client has closed its side: what is in flight is waited for, nothing more is sent

	requestState
}

// Verdict says what a Decision asks of the adapter.
type Verdict int

// The verdicts. Wait leaves the request as it is; Send starts Decision.Attempt; Reject and Fail are final
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

// Attempt tells where a request goes and on which terms.
type Attempt struct {
	Cache              uint32 // ID of the endpoint that it is sent to
	CacheOnly          bool   // ask only for what the cache holds; the fields below up to Timeout are unused
	Source             uint32 // ID of the endpoint that the cache fills the object from
	CachePriority      int64  // 2 for what is asked for again, 1 for the rest; a full cache drops lower ones first
	MaxAge             int64  // oldest cache entry that will do, ns; 0 is the class's fresh time
	JoinFill           bool   // wait for a fill under way
	RefreshBehind      bool   // serve an ageing copy and fetch it anew behind
	ParentOnlyIfCached bool   // the source gives only what it holds
	ParentNoStore      bool   // the parent keeps nothing of it; no decision sets this so far
	Timeout            int64  // ns; 0 is until the client gives up
	SendTimeout        int64  // ns; within that it must be on its way, else it counts as unreachable
}

// Decision is the module's answer to Decide and AttemptEnded.
type Decision struct {
	Verdict    Verdict
	Attempt    Attempt // with Send
	RetryAfter int64   // with Reject: how long the client should stay away, ns; 0 is none
	Cancel     []int   // attempts to call off, by their number in this request
}

// Result is how an attempt ended.
type Result int

// The results; those up to NotSent, and LocalError, prove that nothing ran.
const (
	Overloaded      Result = iota // the cache or its source took nothing more
	Unreachable                   // no connection, or not on its way within SendTimeout
	NotHeld                       // it was to give only what it holds, and lacks the object
	SendInterrupted               // its connection ended before it was wholly sent
	NotSent                       // nothing of it was sent
	Succeeded                     // answered in full
	ServerError                   // answered with an error
	TimedOut                      // no answer within Timeout
	ConnectionLost                // its connection ended after it was sent
	Cancelled                     // the adapter called it off
	Stale                         // a copy from before a purge that was told at the sending; see AcceptsCopy
	LocalError                    // no connection could be opened, for a reason of this machine's own: nothing is held against the endpoint
)

func (result Result) String() string {
	return enumName(int(result), "overloaded", "unreachable", "not held", "send interrupted", "not sent", "succeeded", "server error",
		"timed out", "connection lost", "cancelled", "stale", "local error")
}

// enumName is the name of a value of an enumeration, or its number where it has none.
func enumName(value int, names ...string) string {
	if value < 0 || value >= len(names) {
		return strconv.Itoa(value)
	}
	return names[value]
}

// Outcome tells how one attempt of a request ended.
type Outcome struct {
	Attempt         int // which attempt of the request, from 0
	Result          Result
	Elapsed         int64     // from its sending to this, ns
	RequestEnded    bool      // the request is finished by this or before
	SharedCause     bool      // the cause was told already, with another attempt on the same connection
	Note            int64     // where the answer came from, or who refused: the wire's note, 0 where there is none
	SendingTime     float64   // seconds that the answer took by its size; 0 is not known
	TimeToFirstByte int64     // to the source's first byte, ns; not used so far
	LoadReport      []float64 // the load report, in the order of the setting report.fields; nil if none
}
