package control

import (
	"container/list"

	"tealpath/internal/timerqueue"
)

// Settings is what a router is told when it starts: names to plain values. Times are int64 nanoseconds,
// shares and factors float64, counts int64, switches bool, names string; lists by product or location are
// slices of these.
type Settings map[string]any

// Endpoint is one line of the endpoint list. Its fields are stored by CBOR under the names in their tags.
type Endpoint struct {
	ID        uint32
	Location  string
	Kind      string
	Cell      int64
	Phase     string  // ready, draining or gone
	Capacity  float64 `cbor:"Units"`   // answers that it sends at once at a client's full pace
	StartedAt int64   `cbor:"Started"` // when it last started, Unix ns by the clock of who tells it; 0 is long ago
}

// Request is one thing a client asked for. The adapter fills in the exported fields and hands the same
// pointer to every call; the rest belongs to the module.
type Request struct {
	Class         string
	Object        string
	Group         int64
	Part          int64
	SizeKB        float64 // 0: not told
	Deadline      int64   // when the client gives up on this try
	ClientRetry   bool    // marked as a client's retry
	Write         bool
	NoNewAttempts bool // its client has closed its side: what is in flight is waited for, nothing more is sent

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

// Attempt tells where a request goes and on which terms.
type Attempt struct {
	Cache              uint32
	CacheOnly          bool // ask only for what the cache holds; the fields below up to Timeout are unused
	Source             uint32
	CachePriority      int64
	MaxAge             int64 // oldest copy that will do; 0 is the class's fresh time
	JoinFill           bool  // wait for a fill under way
	RefreshBehind      bool  // serve an ageing copy and fetch it anew behind
	ParentOnlyIfCached bool  // the source gives only what it holds
	ParentNoStore      bool  // the parent keeps no copy
	Timeout            int64 // this attempt's time-out; 0 is until the client gives up
	SendTimeout        int64 // until then it must be on its way, else it counts as unreachable
}

// Decision is the module's answer to Decide and AttemptEnded.
type Decision struct {
	Verdict    Verdict
	Attempt    Attempt // with Send
	RetryAfter int64   // with Reject: how long the client should stay away; 0 is none
	Cancel     []int   // attempts to call off, by their number in this request
}

// Result is how an attempt ended.
type Result int

// The results; those up to NotSent, and LocalError, prove that nothing ran.
const (
	Overloaded Result = iota
	Unreachable
	NotHeld
	SendInterrupted // its connection ended before it was wholly sent
	NotSent
	Succeeded
	ServerError
	TimedOut
	ConnectionLost
	Cancelled
	Stale      // a copy from before a purge that was told at the sending; see AcceptsCopy
	LocalError // no connection could be opened, for a reason of this machine's own: nothing is held against the member
)

// Outcome tells how one attempt of a request ended.
type Outcome struct {
	Attempt         int // which attempt of the request, from 0
	Result          Result
	Elapsed         int64
	RequestEnded    bool // the request is finished by this or before
	SharedCause     bool // the cause was told already, with another attempt on the same connection
	Note            int64
	SendingTime     float64   // seconds that the answer took by its size; 0 is not known
	TimeToFirstByte int64     // time to the source's first byte
	LoadReport      []float64 // the load report, in the order of the setting report.fields; nil if none
}

// From here on: what the module keeps.

type classState struct {
	objective, freshDuration, keyWindow int64
	weight, objectiveStretch            float64
	idempotency, keyScope               string
	uncacheable                         bool
	sendingTime, responseTime           float64 // mean sending and answer time, seconds
	samples                             float64
	fastestResponse                     int64        // the least time that a good answer took; 0: none has come
	offered, admitted                   decayingWork // what came of it, and what was sent on
}

type endpointState struct {
	Endpoint
	listed              bool
	hashWeight          float64 // in the hash
	slowStartFrom       int64   // when it started, told or inferred; 0 is long ago
	slowStartToldAt     int64   // when that was told or inferred, on our axis
	successes, failures float64
	scoredAt            int64
	lastResponseAt      int64 // when it last answered
	inFlight            []*attemptState
	ejected             bool
	wasUnreachable      bool // it could not be reached since it was last trusted
	nextProbeAt         int64
	probeBackoff        int64
	probing             bool // a trial is out
	slowStart           slowStartBudget
	role                role
	isDelisted          bool         // it is among the router's gone members
	withinObjective     countsByKind // of what is out: what may be in time
}

type attemptState struct {
	sentAt        int64
	cache, source *endpointState
	probed        *endpointState
	ended         bool
	result        Result
	sourceRefused bool  // its source was at its bound, or dead
	kind          int   // the room it counts in
	sendTimeout   int64 // for how long it may wait to be on its way
	lateAt        int64 // from when an answer is late
	isLate        bool  // that has come
	lateTimer     *timerqueue.Timer[*attemptState]
	minIssuedAt   int64 // from when on a copy must have been issued, by its own stamp
}

// entry is one object of the rate table: a part is filled and kept on its own, so each is an object to the
// design.
type objectRecord struct {
	key             objectKey
	group           int64
	requestCount    float64 // requests, decayed over the window
	countedAt       int64
	firstSeenAt     int64
	purgeCount      float64
	maxAge          int64 // accepted age, held until ageEnds; 0 is not set
	maxAgeUntil     int64
	evicted         bool
	gaveUpAt        int64 // when a retrieval of it was last given up
	likelyHeldUntil int64 // until when it is taken to be kept
	element         *list.Element
}

type objectKey struct {
	object string
	part   int64
}

// lately counts what happened of late, fading.
type decayingCount struct {
	count  float64
	lastAt int64
}

func (l *decayingCount) at(now int64) float64 {
	return decay(l.count, now-l.lastAt, likelyHeldDuration)
}

func (l *decayingCount) add(now int64) { l.count, l.lastAt = l.at(now)+1, now }

// carried is sending time lately, fading: of what came in time, or was asked for; and the best that a member had.
type decayingWork struct {
	work, best float64
	lastAt     int64
}

func (c *decayingWork) at(now int64) float64 { return decay(c.work, now-c.lastAt, rateWindow) }

func (c *decayingWork) add(now int64, work float64) { c.work, c.lastAt = c.at(now)+work, now }

// progress is what the module keeps of a retrieval.
type requestState struct {
	class        *classState
	record       *objectRecord
	arrivedAt    int64
	exhaustedAt  int64 // when it was last held as this machine could open no connections
	attempts     []*attemptState
	inFlight     int
	ended        bool
	sourceMissed bool // its source lacks the object
	diverted     bool // its home has no room: another cache is to fill it
}

// Router is one router's decisions.
type Router struct {
	// Reachable, where it is set, tells whether a cache can be reached now: links to it are bounded. One that can't is passed over
	// in an object's ranking, as one at its cold budget is.
	Reachable func(id uint32) bool

	// ConnectionsExhausted, where it is set, tells whether this machine can open no connections for now. What finds no cache that can be
	// reached meanwhile is held, as long as it may stay unwritten.
	ConnectionsExhausted func() bool

	settings                      Settings
	log                           func(string)
	seed                          uint64
	draws                         uint32
	startedAt                     int64
	location                      string
	classByName                   map[string]*classState
	classes                       []*classState // in the settings' order
	endpoints                     map[uint32]*endpointState
	caches, parents               []*endpointState // ready, of the own location; ready, anywhere
	origin                        *endpointState
	objects                       map[objectKey]*objectRecord
	recentObjects, evictedObjects *list.List
	requestCount                  float64 // all requests, decayed over the window
	requestCountAt                int64
	purges                        map[string]*purgeState // told purges by object, and by group under its number
	clockAhead                    bool                   // a copy from before a purge came: our axis is ahead of others' clocks
	maxClockLead                  int64                  // by how much it can be ahead at most, by the youngest copy that came
	clockLeadKnown                bool
	othersInFlight, ownInFlight   float64 // in hand at caches, as told and as known, when answers came; fading
	inFlightReportedAt            int64
	lostResponses, sourceRefusals decayingCount // answers that went missing; fills that a source denied
	tight                         [3]bool
	admissionLimits               [3]float64      // in hand that comes in time, for the caches' size, by kind
	carried                       [2]decayingWork // by caches of the location, by parents
	offered                       decayingWork    // what caches would have carried, had they served all
	retryTokens                   float64         // further dispatches put aside

	cacheTier, parentTier    tier             // caches and parents, with what ranks them
	origins                  endpointList     // that are ready
	delisted                 []*endpointState // no longer listed
	scored                   endpointList     // with something in flight, or with scores that have not faded to nothing
	watched                  endpointList     // which the periodic check may find suspect, or suspects
	nextFaded                int              // index in scored that is looked at next
	cachesWithinObjective    countsByKind     // of what is out at the caches: what may be in time
	lateTimers               timerqueue.Queue[*attemptState]
	lateCheckedAt            int64
	capacitySum, maxCapacity float64 // of the caches' units, if unitsSummed: the sum and the largest
	capacitySummed           bool
	equalCapacitySum         repeatedSum
	cacheOrder, sourceOrder  candidates // of the decision at hand
	keyBytes                 []byte
}
