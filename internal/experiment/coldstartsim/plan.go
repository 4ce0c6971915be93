// Package coldstartsim simulates a cold start: many routers start within a second, next to caches of little
// capacity, a discovery service that may be down or slow, and clients that retry.
//
// Each router is made of the real parts, which read no clock and open nothing: the routing module (package
// control), the router's reducer (internal/router), the schedule of discovery calls and the readiness hold
// (internal/lifecycle/startup), and the connection plan (internal/connpool). What is simulated is time, the
// network, the caches' capacity, the discovery service and the clients.
package coldstartsim

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tealpath/control"
	"tealpath/internal/emulator/cache"
)

// Fault is what is wrong during a run.
type Fault string

// The faults.
const (
	FaultNone              = Fault("none")
	FaultDiscoveryDown     = Fault("list-down")     // the discovery service refuses calls for its first seconds
	FaultDiscoverySlow     = Fault("list-slow")     // it takes a quarter of the calls that it usually takes
	FaultCachesWarmingUp   = Fault("caches-cold")   // all caches have just been started
	FaultCachesSilent      = Fault("caches-silent") // a third of the caches answers no connection attempt
	FaultCacheUnresponsive = Fault("cache-hangs")   // one cache takes connections and answers no request
	FaultAggressiveRetries = Fault("retries")       // caches are cold, and clients ignore Retry-After
	FaultRoutersKilled     = Fault("half-killed")   // seven routers in ten are killed and start again
)

// How far the faults go.
const (
	slowDiscoveryFactor    = 4
	silentCachesOneIn      = 3
	restartedRoutersPerTen = 7
)

// Faults are all faults.
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

// FaultNames are the names of all faults.
func FaultNames() []string {
	names := make([]string, len(Faults))
	for i, fault := range Faults {
		names[i] = string(fault)
	}
	return names
}

// UnknownFaultError is a fault that is not one of Faults.
type UnknownFaultError struct{ Fault Fault }

func (e *UnknownFaultError) Error() string { return fmt.Sprintf("faults are one of %v", Faults) }

// Plan is one run of the experiment.
type Plan struct {
	Routers             int
	Caches              int
	Seed                uint64
	Fault               Fault
	Duration            time.Duration // simulated
	RequestRate         float64       // objects wanted a second by all clients
	MaxAttempts         int           // requests of a client for one object, the first included; 0 is 1
	Baseline            bool          // routers call without jitter, and connect without a connection plan
	MaxConnections      int           // that one cache takes; 0 is four for each three routers
	MaxConnectRate      float64       // new connections that one cache takes a second; 0 is no bound
	ReadinessHold       time.Duration // for how long a router may wait for the discovery service before it is ready
	ConfiguredRouters   int           // how many routers the settings say there are; 0 is as many as there are
	EndpointsConfigured bool          // the configuration contains the endpoint list
	DiscoveryCallRate   float64       // calls that the discovery service takes a second; 0 is 100
}

// withDefaults fills in what a plan leaves at zero.
func (p Plan) withDefaults() Plan {
	p.MaxAttempts = max(1, p.MaxAttempts)
	p.ConfiguredRouters = cmp.Or(p.ConfiguredRouters, p.Routers)
	p.MaxConnections = cmp.Or(p.MaxConnections, p.Routers*4/3)
	p.DiscoveryCallRate = cmp.Or(p.DiscoveryCallRate, 100)
	return p
}

// Run simulates the plan.
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

// faultEnd is when the cause of the fault has ended, ns from the start of the run.
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
	startSpread         = int64(1e9)     // all routers start within it
	networkDelay        = int64(500_000) // one way
	cacheServiceTime    = int64(60e6)
	cacheFillTime       = int64(60e6)
	cacheWarmUp         = int64(15e9)
	cacheOverloadWindow = int64(15e8)
	cacheDownTime       = int64(3e9)
	faultDuration       = int64(5e9)  // for how long the discovery service is down; after it routers are killed
	clientTimeout       = int64(15e8) // for an object, over all attempts
	requestTimeout      = int64(1e9)  // of one attempt
	unreadyRetryDelay   = int64(2e8)
	maxIgnoredDelay     = int64(5e7) // after which a client that ignores Retry-After comes again
)

// Capacities of the simulated deployment.
const (
	cacheConcurrency    = 8
	cacheSlowStartShare = .16 // of the requests that a warm cache takes
	cacheOverloadFactor = 2.5
	distinctObjects     = 4000
	objectSkew          = 2.5 // objects are drawn as the number of objects times an even draw to this power
	location            = "here"
	requestClass        = "stills"
	requestGroup        = 17
)

// cacheLimits are the capacity of one cache.
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

// settings are a deployment of one location and one class of requests.
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
	settings.AnswerGrace = 8e6
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
