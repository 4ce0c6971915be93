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

	progress
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

type product struct {
	due, fresh, window int64
	payoff, dueStretch float64
	effect, scope      string
	neverKept          bool
	sending, answer    float64 // mean sending and answer time, seconds
	seen               float64
	quickest           int64   // the least time that a good answer took; 0: none has come
	asked, taken       carried // what came of it, and what was sent on
}

type member struct {
	Endpoint
	listed    bool
	weight    float64 // in the hash
	coldFrom  int64   // when it started, told or inferred; 0 is long ago
	coldTold  int64   // when that was told or inferred, on our axis
	good, bad float64
	scored    int64
	heard     int64 // when it last answered
	out       []*dispatch
	suspect   bool
	off       bool // it could not be reached since it was last trusted
	trialAt   int64
	backoff   int64
	trial     bool // a trial is out
	recovery  recovery
	role      role
	isGone    bool       // it is among the router's gone members
	inTime    kindCounts // of what is out: what may be in time
}

type dispatch struct {
	sent          int64
	cache, source *member
	trial         *member
	ended         bool
	result        Result
	denied        bool  // its source was at its bound, or dead
	kind          int   // the room it counts in
	reach         int64 // for how long it may wait to be on its way
	lateFrom      int64 // from when an answer is late
	late          bool  // that has come
	expiry        *timerqueue.Timer[*dispatch]
	issuedFrom    int64 // from when on a copy must have been issued, by its own stamp
}

// entry is one object of the rate table: a part is filled and kept on its own, so each is an object to the
// design.
type entry struct {
	key         entryKey
	group       int64
	count       float64 // requests, decayed over the window
	counted     int64
	born        int64
	purges      float64
	age         int64 // accepted age, held until ageEnds; 0 is not set
	ageEnds     int64
	ghost       bool
	gaveUp      int64 // when a retrieval of it was last given up
	servedUntil int64 // until when it is taken to be kept
	place       *list.Element
}

type entryKey struct {
	object string
	part   int64
}

// lately counts what happened of late, fading.
type lately struct {
	count float64
	last  int64
}

func (l *lately) at(now int64) float64 { return fade(l.count, now-l.last, keepSpan) }

func (l *lately) add(now int64) { l.count, l.last = l.at(now)+1, now }

// carried is sending time lately, fading: of what came in time, or was asked for; and the best that a member had.
type carried struct {
	work, best float64
	last       int64
}

func (c *carried) at(now int64) float64 { return fade(c.work, now-c.last, rateWindow) }

func (c *carried) add(now int64, work float64) { c.work, c.last = c.at(now)+work, now }

// progress is what the module keeps of a retrieval.
type progress struct {
	product    *product
	entry      *entry
	arrived    int64
	starved    int64 // when it was last held as this machine could open no connections
	dispatches []*dispatch
	out        int
	done       bool
	missed     bool // its source lacks the object
	away       bool // its home has no room: another cache is to fill it
}

// Router is one router's decisions.
type Router struct {
	// Reachable, where it is set, tells whether a cache can be reached now: links to it are bounded. One that can't is passed over
	// in an object's ranking, as one at its cold budget is.
	Reachable func(id uint32) bool

	// ConnectionsExhausted, where it is set, tells whether this machine can open no connections for now. What finds no cache that can be
	// reached meanwhile is held, as long as it may stay unwritten.
	ConnectionsExhausted func() bool

	set             Settings
	log             func(string)
	seed            uint64
	draws           uint32
	started         int64
	home            string
	products        map[string]*product
	classes         []*product // in the settings' order
	members         map[uint32]*member
	caches, parents []*member // ready, of the own location; ready, anywhere
	origin          *member
	table           map[entryKey]*entry
	live, ghosts    *list.List
	total           float64 // all requests, decayed over the window
	totalAt         int64
	purges          map[string]*purge // told purges by object, and by group under its number
	outdated        bool              // a copy from before a purge came: our axis is ahead of others' clocks
	lead            int64             // by how much it can be ahead at most, by the youngest copy that came
	leadKnown       bool
	theirs, ours    float64 // in hand at caches, as told and as known, when answers came; fading
	sharedAt        int64
	mute, denials   lately // answers that went missing; fills that a source denied
	tight           [3]bool
	rooms           [3]float64 // in hand that comes in time, for the caches' size, by kind
	carried         [2]carried // by caches of the location, by parents
	asked           carried    // what caches would have carried, had they served all
	spare           float64    // further dispatches put aside

	cacheTier, parentTier   tier       // caches and parents, with what ranks them
	origins                 memberList // that are ready
	gone                    []*member  // no longer listed
	scored                  memberList // with something in flight, or with scores that have not faded to nothing
	watched                 memberList // which the periodic check may find suspect, or suspects
	fadedNext               int        // index in scored that is looked at next
	cachesInTime            kindCounts // of what is out at the caches: what may be in time
	expiries                timerqueue.Queue[*dispatch]
	expiredAt               int64
	unitsSum, mostUnits     float64 // of the caches' units, if unitsSummed: the sum and the largest
	unitsSummed             bool
	equalUnits              repeatedSum
	cacheOrder, sourceOrder candidates // of the decision at hand
	keyBytes                []byte
}
