package control

import "slices"

// Settings describe the deployment that a router belongs to, and what the router may do. They do not change while
// it runs. Code that fills them in without DecodeSettings starts from DefaultSettings, since some zero values are
// out of range.
type Settings struct {
	Location        string  // of this router; the endpoints there are its caches
	Routers         int     // in all locations, this one among them; below 1 counts as 1
	LocationRouters int     // of this location, this one among them; 0: not known
	ParentKind      *string // machine type of the parents; nil: there are none
	OriginKind      *string // machine type of the origin; nil: there is none

	Weights           WeightMeaning
	LoadReportFields  []string // names of the figures in endpoints' load reports, in their order
	PollEndpointList  bool     // the endpoint list changes only after a subscription; used by the simulator
	OriginUnlimited   bool     // the origin does not fall over, whatever its load
	ClientKBPerSecond float64  // at which one client receives a response; at least 1

	ResponseBytesPerSecond float64 // at which an endpoint sends one response; 0: not known
	Classes                []ClassSettings
	LongestDeadline        int64 // ns; the longest time from arrival to deadline of any class
	AnswerGrace            int64 // ns; how long after its deadline a request is still answered, as failed
	MaxInFlight            int   // requests; above 0

	HealthChecks   bool  // health checks may be sent
	JoinFills      bool  // an attempt may wait for a fill of its object that is under way
	Hedging        bool  // two attempts of a request may be in flight
	CancelAttempts bool  // attempts that were sent can be cancelled
	MaxAttempts    int   // of one request
	RetryAfter     bool  // rejections carry Retry-After
	MaxRetryAfter  int64 // ns; the longest Retry-After

	PurgeDuration int64 // ns; for how long caches and parents may still have entries from before a purge
	PurgeGrace    int64 // ns; within which a purge has to be obeyed; 0 and below: not known
	DrainGrace    int64 // ns; within which nothing new is sent to a draining endpoint; 0 and below: not known

	ConnectTimeout          int64 // ns; for a connection to an endpoint
	IdleTimeout             int64 // ns; after which an endpoint closes a connection without requests
	MaxStreamsPerConnection int   // requests in flight on one connection to an endpoint

	CacheSlowStart  SlowStartSettings
	ParentSlowStart SlowStartSettings
}

// ClassSettings is what the settings say of one class of requests.
type ClassSettings struct {
	Name             string
	LatencyObjective int64   // ns; within which a response is in time, without the time for sending it
	ObjectiveStretch float64 // ns by which the objective is longer for each ns of sending time
	FreshDuration    int64   // ns; for how long a cache entry may be served without revalidation; 0: without bound
	PriorityWeight   float64 // what serving a request is worth beside one of another class
	Idempotency      Idempotency
	KeyScope         KeyScope // of idempotency keys; it matters to Keyed classes alone
	KeyWindow        int64    // ns; for how long a server drops repetitions of an idempotency key
	Uncacheable      bool     // no cache stores a response
}

// SlowStartSettings describe the load that an endpoint can take after its start, while it is warming up.
type SlowStartSettings struct {
	Share          float64 // of its capacity, at its start; it grows linearly to all of it while it warms up
	Factor         float64 // multiple of its capacity at which it falls over
	Window         int64   // ns; over which the load is measured that makes it fall over
	WarmUpDuration int64   // ns; 0: it is warm from the start
}

// Idempotency is whether a request may be sent again once it may have taken effect.
type Idempotency int

// The classes' idempotency.
const (
	NonIdempotent Idempotency = iota // never
	Keyed                            // within the window and scope of its idempotency key
	Idempotent                       // always
)

// KeyScope names the servers among which repetitions of an idempotency key are dropped. Any value but ScopeZone
// and ScopeCell stands for all servers.
type KeyScope string

// The scopes of idempotency keys.
const (
	ScopeAll  KeyScope = "all"  // all servers
	ScopeZone KeyScope = "zone" // those of one location
	ScopeCell KeyScope = "cell" // those of one cell
)

// WeightMeaning is what the weights in the endpoint list stand for.
type WeightMeaning int

// The meanings of weights.
const (
	CapacityWeights WeightMeaning = iota // responses that an endpoint can send at once, each at a client's full rate
	LoadWeights                          // they change with the load; capacities are measured
	NoWeights                            // nothing; capacities are measured
)

const (
	noKind         = "none"   // in place of a machine type that the settings do not name
	reportInFlight = "inHand" // field of load reports: the requests in flight at the endpoint
)

// DefaultSettings returns the values of absent settings. They have no classes, so that every request fails.
func DefaultSettings() Settings {
	slowStart := SlowStartSettings{Share: 1, Factor: 1, Window: second}
	return Settings{
		Routers:                 1,
		OriginUnlimited:         true,
		ClientKBPerSecond:       minClientKBPerSecond,
		MaxInFlight:             1 << 14,
		MaxAttempts:             3,
		PurgeDuration:           10 * second,
		ConnectTimeout:          second,
		IdleTimeout:             30 * second,
		MaxStreamsPerConnection: 1,
		CacheSlowStart:          slowStart,
		ParentSlowStart:         slowStart,
	}
}

// cacheSharers is how many routers share the location's caches; one where the number is not known.
func (s *Settings) cacheSharers() float64 { return float64(max(1, s.LocationRouters)) }

// parentSharers is how many routers share the parents.
func (s *Settings) parentSharers() float64 { return float64(max(1, s.Routers)) }

func (s *Settings) parentKind() string { return kindName(s.ParentKind) }

func (s *Settings) originKind() string { return kindName(s.OriginKind) }

func kindName(kind *string) string {
	if kind == nil {
		return noKind
	}
	return *kind
}

// inFlightField is the index in load reports of the requests in flight at an endpoint, -1 if reports lack them.
func (s *Settings) inFlightField() int { return slices.Index(s.LoadReportFields, reportInFlight) }
