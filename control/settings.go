package control

import "slices"

// Settings describe the deployment that a router belongs to, and what the router may do. They do not change while
// the router runs. Code that creates Settings without DecodeSettings must start from DefaultSettings, because some
// zero values are out of range.
type Settings struct {
	Location        string  // location of this router, and of the caches that it uses
	Routers         int     // number of routers in all locations, including this one; values below 1 count as 1
	LocationRouters int     // number of routers in this location, including this one; 0: not known
	ParentKind      *string // machine type of the parents; nil: there are no parents
	OriginKind      *string // machine type of the origin; nil: there is no origin

	Weights                  WeightMeaning
	LoadReportFields         []string // names of the figures in load reports, in the order of the reports
	SubscribesToEndpointList bool     // the endpoint list is sent only after a subscription; used only by the simulator
	OriginUnlimited          bool     // the origin cannot be overloaded
	ClientKBPerSecond        float64  // KB per second at which one client receives a response; at least 1

	ResponseBytesPerSecond float64 // bytes per second at which an endpoint sends one response; 0: not known
	Classes                []ClassSettings
	LongestDeadline        int64 // ns; the longest time from arrival to deadline of any class
	ShortestDeadline       int64 // ns; the shortest one; 0: unknown
	ResponseGrace          int64 // ns; a request without a final response is ended this long after its deadline
	MaxInFlight            int   // maximum number of requests in flight; above 0

	HealthChecks   bool  // ejected caches may be probed with health checks
	JoinFills      bool  // an attempt may wait for a fill of its object that is already in flight
	Hedging        bool  // two or more attempts of a request may be in flight at the same time
	CancelAttempts bool  // attempts that were sent can be cancelled
	MaxAttempts    int   // maximum number of attempts of one request
	RetryAfter     bool  // rejections carry Retry-After
	MaxRetryAfter  int64 // ns; the longest Retry-After

	PurgeDuration int64 // ns; how long caches and parents may still have entries from before a purge
	PurgeGrace    int64 // ns; time within which a purge must take effect; 0 or less: not known
	DrainGrace    int64 // ns; a draining endpoint must get no new requests after this time; 0 or less: not known

	ConnectTimeout          int64 // ns; timeout for connecting to an endpoint
	IdleTimeout             int64 // ns; time after which an endpoint closes a connection without requests
	MaxStreamsPerConnection int   // maximum number of requests in flight on one connection to an endpoint

	CacheSlowStart  SlowStartSettings
	ParentSlowStart SlowStartSettings
}

// ClassSettings are the settings of one class of requests.
type ClassSettings struct {
	Name             string
	LatencyObjective int64   // ns; objective for a response whose sending time is 0
	ObjectiveStretch float64 // ns that are added to the objective for each ns of sending time
	FreshDuration    int64   // ns; how long a cache entry may be served without revalidation; 0: without limit
	PriorityWeight   float64 // value of serving a request of the class, relative to other classes
	Idempotency      Idempotency
	KeyScope         KeyScope // servers that recognize the same idempotency keys; used only by Keyed classes
	KeyWindow        int64    // ns; how long a server drops repetitions of an idempotency key
	Uncacheable      bool     // caches do not store the class's responses
}

// SlowStartSettings describe the load that an endpoint can take while it is warming up after its start.
type SlowStartSettings struct {
	Share          float64 // fraction of the capacity at the start; grows linearly to 1 during the warm-up
	Factor         float64 // load that the endpoint can take over Window, as a multiple of its current capacity
	Window         int64   // ns; time over which requests are counted to tell whether it is overloaded
	WarmUpDuration int64   // ns; time from the start until the endpoint has its full capacity; 0: none
}

// Idempotency tells whether a request may be sent again although an earlier attempt may have taken effect.
type Idempotency int

// Values of Idempotency.
const (
	NonIdempotent Idempotency = iota // must not be sent again
	Keyed                            // may be sent again only within the window and scope of its idempotency key
	Idempotent                       // may always be sent again
)

// KeyScope names the servers among which repetitions of an idempotency key are dropped. An unknown value allows the
// router's retries at all servers. A keyed request that may have run is rejected, so that its client can retry, only
// with ScopeAll; with any other value it fails.
type KeyScope string

// Scopes of idempotency keys.
const (
	ScopeAll  KeyScope = "all"  // all servers
	ScopeZone KeyScope = "zone" // the servers of one location
	ScopeCell KeyScope = "cell" // the servers of one cell
)

// WeightMeaning is what the weights in the endpoint list mean.
type WeightMeaning int

// Meanings of weights.
const (
	CapacityWeights WeightMeaning = iota // the endpoint's capacity; see Endpoint.Capacity
	LoadWeights                          // a value that changes with the load; capacities are measured
	NoWeights                            // weights have no meaning; capacities are measured
)

const (
	noKind         = "none"   // machine type of parents or origins that the settings do not name
	reportInFlight = "inHand" // field of load reports: the requests in flight at the endpoint
)

// DefaultSettings returns the values of absent settings. They define no classes, so that every request fails.
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

// cacheRouters returns how many routers use the location's caches, or 1 if the number is not known.
func (s *Settings) cacheRouters() float64 { return float64(max(1, s.LocationRouters)) }

// parentRouters returns how many routers use the parents.
func (s *Settings) parentRouters() float64 { return float64(max(1, s.Routers)) }

func (s *Settings) parentKind() string { return kindName(s.ParentKind) }

func (s *Settings) originKind() string { return kindName(s.OriginKind) }

func kindName(kind *string) string {
	if kind == nil {
		return noKind
	}
	return *kind
}

// inFlightField returns the index in load reports of the number of requests in flight at an endpoint, or -1 if
// reports do not have that field.
func (s *Settings) inFlightField() int { return slices.Index(s.LoadReportFields, reportInFlight) }
