// Package coldstartsim simulates a cold start: many routers start within a second. The caches have little capacity,
// the discovery service may be down or slow, and clients retry.
//
// Each router runs production code that reads no clock and does no input or output: the routing module (package
// control), the router's reducer (internal/router), the schedule of discovery calls and the readiness hold
// (internal/lifecycle/startup), and the connection plan (internal/connpool). Time, the network, the caches'
// capacity, the discovery service and the clients are simulated.
package coldstartsim

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"tealpath/control"
	"tealpath/internal/emulator/cache"
)

// Fault is what goes wrong during a run.
type Fault string

// Faults of the discovery service, of caches, of clients and of routers.
const (
	FaultNone              = Fault("none")
	FaultDiscoveryDown     = Fault("list-down")     // the discovery service refuses calls for the first seconds
	FaultDiscoverySlow     = Fault("list-slow")     // the discovery service takes a quarter of its usual call rate
	FaultCachesWarmingUp   = Fault("caches-cold")   // all caches have just been started
	FaultCachesSilent      = Fault("caches-silent") // a third of the caches do not answer connection attempts
	FaultCacheUnresponsive = Fault("cache-hangs")   // one cache accepts connections and answers no request
	FaultAggressiveRetries = Fault("retries")       // caches are cold, and clients ignore Retry-After
	FaultRoutersKilled     = Fault("half-killed")   // seven routers in ten are killed and start again
)

// Extent of the faults.
const (
	slowDiscoveryFactor    = 4 // a call takes this many times as long under FaultDiscoverySlow
	silentCachesOneIn      = 3 // one cache in three is silent under FaultCachesSilent
	restartedRoutersPerTen = 7 // of ten routers, this many are killed and restarted under FaultRoutersKilled
)

// Faults lists all values that Plan.Fault may have.
var Faults = []Fault{
	FaultNone,
	FaultDiscoveryDown,
	FaultDiscoverySlow,
	FaultCachesWarmingUp,
	FaultCachesSilent,
	FaultCacheUnresponsive,
	FaultAggressiveRetries,
	FaultRoutersKilled,
}

// FaultNames returns the names of all faults, in the order of Faults.
func FaultNames() []string {
	names := make([]string, len(Faults))
	for i, fault := range Faults {
		names[i] = string(fault)
	}
	return names
}

// UnknownFaultError reports a fault that is not one of Faults.
type UnknownFaultError struct{ Fault Fault }

func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("unknown fault %q: must be one of %s", e.Fault, strings.Join(FaultNames(), ", "))
}

// Plan describes one run of the simulation.
type Plan struct {
	Routers             int
	Caches              int
	Seed                uint64
	Fault               Fault
	Duration            time.Duration // simulated time from the start of the run to its end
	RequestRate         float64       // requests per second by all clients, not counting retries
	MaxAttempts         int           // attempts of a client at one request, including the first; 0 means 1
	Baseline            bool          // routers call discovery without jitter, and connect without a connection plan
	MaxConnections      int           // connections that one cache accepts; 0 means 4/3 of Routers
	MaxConnectRate      float64       // new connections per second that the plan allows to one cache; 0: no limit
	ReadinessHold       time.Duration // longest time for which a router waits for discovery before it is ready
	ConfiguredRouters   int           // number of routers that the settings state; 0 means Routers
	EndpointsConfigured bool          // the routers' configuration contains the endpoint list
	DiscoveryCallRate   float64       // calls per second that the discovery service takes; 0 means 100
}

// withDefaults sets the defaults of fields that are zero.
func (p Plan) withDefaults() Plan {
	p.MaxAttempts = max(1, p.MaxAttempts)
	p.ConfiguredRouters = cmp.Or(p.ConfiguredRouters, p.Routers)
	p.MaxConnections = cmp.Or(p.MaxConnections, p.Routers*4/3)
	p.DiscoveryCallRate = cmp.Or(p.DiscoveryCallRate, 100)
	return p
}

// Run simulates the plan for its duration and returns what it measured. The error is an *UnknownFaultError if the
// plan has an unknown fault.
func (p Plan) Run() (Result, error) {
	if !slices.Contains(Faults, p.Fault) {
		return Result{}, &UnknownFaultError{p.Fault}
	}
	run := newSimulation(p.withDefaults())
	run.scheduleRouters()
	run.scheduleClients()
	run.scheduler.RunUntil(startTime + int64(p.Duration))
	return run.result(), nil
}

// faultEnd returns the time at which the cause of the fault has ended, ns after the start of the run.
func (p Plan) faultEnd() int64 {
	switch p.Fault {
	case FaultDiscoveryDown, FaultRoutersKilled:
		return faultDuration
	case FaultCachesWarmingUp, FaultAggressiveRetries:
		return cacheWarmUp
	}
	return startSpread
}

// Times of the simulated deployment, ns.
const (
	startTime           = int64(1e18)    // wall-clock time at which the run begins
	startSpread         = int64(1e9)     // time within which all routers start
	networkDelay        = int64(500_000) // latency of a message in one direction
	cacheServiceTime    = int64(60e6)
	cacheFillTime       = int64(60e6) // added to cacheServiceTime if the object is not cached
	cacheWarmUp         = int64(15e9)
	cacheOverloadWindow = int64(15e8)
	cacheDownTime       = int64(3e9)
	faultDuration       = int64(5e9)  // how long the discovery service is down, or the time until routers are killed
	clientTimeout       = int64(15e8) // longest duration of a client's request, with all its attempts
	requestTimeout      = int64(1e9)  // longest duration of one attempt
	unreadyRetryDelay   = int64(2e8)  // time until a client retries if the router was not ready
	impatientRetryDelay = int64(5e7)  // the longest delay of a client that ignores Retry-After
)

// Capacities and load of the simulated deployment.
const (
	cacheConcurrency    = 8
	cacheSlowStartShare = .16 // capacity of a cache that has just started, as a share of its full capacity
	cacheOverloadFactor = 2.5
	distinctObjects     = 4000
	objectSkew          = 2.5 // an object is drawn as distinctObjects · u^objectSkew, with u uniform between 0 and 1
	location            = "here"
	requestClass        = "stills"
	requestGroup        = 17
)

// cacheLimits returns the capacity limits of a cache. index is its index among all caches.
func (p Plan) cacheLimits(index int) cache.Limits {
	return cache.Limits{
		MaxConnections: p.MaxConnections,
		Concurrency:    cacheConcurrency,
		ServiceTime:    cacheServiceTime,
		FillTime:       cacheFillTime,
		InitialShare:   cacheSlowStartShare,
		OverloadFactor: cacheOverloadFactor,
		WarmUpDuration: cacheWarmUp,
		OverloadWindow: cacheOverloadWindow,
		DownTime:       cacheDownTime,
		Unresponsive:   p.Fault == FaultCacheUnresponsive && index == 0,
	}
}

// settings returns the routers' settings, with one location and one class of requests.
func (p Plan) settings() control.Settings {
	settings := control.DefaultSettings()
	settings.Location = location
	settings.Routers = p.ConfiguredRouters
	settings.LocationRouters = max(1, p.ConfiguredRouters)
	settings.MaxAttempts = 6
	settings.Hedging = true
	settings.CancelAttempts = true
	settings.RetryAfter = true
	settings.MaxRetryAfter = 5e8
	settings.ConnectTimeout = 4e8
	settings.MaxStreamsPerConnection = 100
	settings.ResponseGrace = 8e6
	settings.MaxInFlight = maxInFlight
	settings.LongestDeadline = 12e8
	settings.Classes = []control.ClassSettings{{
		Name:             requestClass,
		LatencyObjective: 4e8,
		PriorityWeight:   1,
		Idempotency:      control.Idempotent,
		KeyScope:         control.ScopeAll,
	}}
	settings.CacheSlowStart = control.SlowStartSettings{
		Share:          cacheSlowStartShare,
		Factor:         cacheOverloadFactor,
		Window:         cacheOverloadWindow,
		WarmUpDuration: cacheWarmUp,
	}
	settings.ParentSlowStart = control.SlowStartSettings{
		Share:  1,
		Factor: cacheOverloadFactor,
		Window: cacheOverloadWindow,
	}
	return settings
}
