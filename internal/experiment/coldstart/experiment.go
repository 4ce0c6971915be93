// Package coldstart measures the load on the discovery service and on caches when many routers start at once.
// Experiment starts real router processes next to a discovery service that fails or has little capacity.
// Simulation runs only the routers' schedules of discovery calls, in simulated time.
package coldstart

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"tealpath/internal/experiment/report"
)

// Fault is what goes wrong while the routers start.
type Fault string

// Faults of the discovery service, of routers and of caches.
const (
	NoFault            Fault = "none"
	ServiceDown        Fault = "list-down"     // the discovery service refuses calls at first
	ServiceSlow        Fault = "list-slow"     // the discovery service accepts few calls per second
	ListTruncated      Fault = "list-half"     // the discovery service disconnects in the middle of the endpoint list
	ListStale          Fault = "list-old"      // the discovery service sends an endpoint list that is out of date
	ServiceRestarted   Fault = "list-restart"  // the discovery service restarts and loses its state
	RoutersKilled      Fault = "half-killed"   // seven routers in ten are killed and started again
	RoutersKilledTwice Fault = "killed-twice"  // all routers are killed and started again, twice
	CachesWarmingUp    Fault = "caches-cold"   // all caches have just been started
	CachesUnresponsive Fault = "caches-silent" // one cache in three accepts connections and answers nothing
	OneCacheHangs      Fault = "cache-hangs"   // one cache accepts connections and answers nothing
	CacheDraining      Fault = "drained"       // one cache drains, but the routers' configurations list it as active
)

// Faults returns all faults, in the order of docs/coldstart.md.
func Faults() []Fault {
	return []Fault{
		NoFault, ServiceDown, ServiceSlow, ListTruncated, ListStale, ServiceRestarted,
		RoutersKilled, RoutersKilledTwice,
		CachesWarmingUp, CachesUnresponsive, OneCacheHangs, CacheDraining,
	}
}

// FaultNames returns the names of all faults in the order of Faults, separated by commas.
func FaultNames() string {
	var names []string
	for _, fault := range Faults() {
		names = append(names, string(fault))
	}
	return strings.Join(names, ", ")
}

const (
	page = "docs/coldstart.md" // the design note whose bounds the results are checked against

	// callRateTolerance is the factor by which the measured peak of calls may exceed the peak that the call
	// schedules allow. Calls are counted when they reach the service, and on a machine with fewer cores than
	// routers, processes are scheduled late, so that their calls arrive in bunches.
	callRateTolerance = 1.5

	minCallRate = 20 // calls per second that are always allowed, even to few routers

	// holdMargin is the ratio of the readiness hold to the time over which first calls are spread.
	holdMargin = 1.25
)

// Experiment starts real routers all at once and sends requests to them as their clients.
type Experiment struct {
	Routers  int
	Caches   int
	Seed     uint64
	Fault    Fault
	Duration time.Duration
	Rate     float64 // requests per second to all routers together
	Dir      string  // an existing directory for the routers' files

	ConfiguredRouters int // number of routers that the settings state; 0 means Routers
	MaxConnections    int // connections that one cache accepts; 0 means 4/3 of Routers
}

// Build is a router binary with the options that it is started with.
type Build struct {
	Binary string
	// ReadinessHold is the longest time for which a router that has had no answer from the discovery service
	// reports that it is not ready. The first calls of all routers are spread over most of it. 0 turns it off.
	ReadinessHold time.Duration
	// PlanConnections has routers limit their connections to caches by a connection plan.
	PlanConnections bool
}

// Result holds what one run measured. Times are counted from the start of the routers, unless a field says otherwise.
type Result struct {
	Binary              string  `json:"binary"`
	Fault               Fault   `json:"faults"`
	Routers             int     `json:"routers"`
	Calls               int     `json:"list_calls"` // number of calls to the discovery service
	PeakCallsPerSecond  int     `json:"list_connects_peak_per_s"`
	PeakCallsPer100MS   int     `json:"list_connects_peak_per_100ms"`
	ListBytes           int     `json:"list_bytes"`             // bytes sent by the discovery service
	PeakConnections     int     `json:"cache_connections_peak"` // highest number at any one cache
	HealthyP50MS        float64 `json:"time_to_listed_p50_ms"`
	HealthyP99MS        float64 `json:"time_to_listed_p99_ms"`
	NeverHealthy        int     `json:"unlisted"` // routers that were not healthy once
	Sent                int     `json:"sent"`     // requests sent to all routers
	ServedShare         float64 `json:"settled_share_first_10s"`
	Lost                int     `json:"lost"` // requests that were never answered
	HoldSeconds         float64 `json:"hold_s"`
	PlannedConnections  bool    `json:"links"`
	MaxConnections      int     `json:"cache_connections_held"` // connections that one cache accepts
	RefusedConnections  int     `json:"cache_connections_refused"`
	PeakLoad            float64 `json:"cold_budget_worst_share"` // highest while warming up; above 1 a cache crashes
	CacheCrashes        int     `json:"caches_fallen"`
	WarmP99MS           float64 `json:"time_to_whole_p99_ms"`  // ms from a router's start to startup.Warm
	StaleListAttempts   int     `json:"stale_list_dispatches"` // attempts at the draining cache after drainGrace
	NotNotified         int     `json:"not_notified"`          // routers not notified of the drain in time
	CPUMSPerRouter      float64 `json:"cpu_ms_a_router"`
	ResidentKBPerRouter int64   `json:"resident_kb_a_router"`
	MaxCallsPerSecond   int     `json:"bound_connects_per_s"`
}

// CheckBounds returns a *report.BoundError if the result breaks a bound of docs/coldstart.md, otherwise nil.
func (r Result) CheckBounds() error {
	broken := r.PeakCallsPerSecond > r.MaxCallsPerSecond ||
		r.NeverHealthy > 0 ||
		r.Lost > 0 ||
		r.CacheCrashes > 0 ||
		r.PeakLoad > 1 ||
		r.PlannedConnections && r.PeakConnections > r.MaxConnections
	if broken {
		return &report.BoundError{Page: page, Detail: fmt.Sprintf("%d calls per second (at most %d), "+
			"%d routers never healthy, %d requests lost, %d cache crashes, load %g (at most 1), "+
			"%d connections to a cache (at most %d, if planned: %t)",
			r.PeakCallsPerSecond, r.MaxCallsPerSecond, r.NeverHealthy, r.Lost, r.CacheCrashes, r.PeakLoad,
			r.PeakConnections, r.MaxConnections, r.PlannedConnections)}
	}
	return nil
}

// Run starts the routers of one build under the fault, sends requests to them, and returns what it measured.
func (e Experiment) Run(ctx context.Context, build Build) (Result, error) {
	r, err := e.newRun(build)
	if err != nil {
		return Result{}, err
	}
	return r.run(ctx)
}

// newRun checks the fault and sets the defaults of fields that are zero.
func (e Experiment) newRun(build Build) (*experimentRun, error) {
	if !slices.Contains(Faults(), e.Fault) {
		return nil, fmt.Errorf("unknown fault %q: must be one of %s", e.Fault, FaultNames())
	}
	e.MaxConnections = cmp.Or(e.MaxConnections, e.Routers*4/3)
	e.ConfiguredRouters = cmp.Or(e.ConfiguredRouters, e.Routers)
	return &experimentRun{
		Experiment: e,
		build:      build,
		result: Result{
			Binary:             filepath.Base(build.Binary),
			Fault:              e.Fault,
			Routers:            e.Routers,
			MaxCallsPerSecond:  maxCallRate(e.Routers),
			HoldSeconds:        build.ReadinessHold.Seconds(),
			PlannedConnections: build.PlanConnections,
			MaxConnections:     e.MaxConnections,
		},
	}, nil
}

// maxCallRate returns the highest allowed number of calls in a second. It is the number of routers, but at least
// minCallRate, increased by a tenth and multiplied by callRateTolerance. docs/coldstart.md explains it.
func maxCallRate(routers int) int {
	return int(callRateTolerance * 1.1 * math.Max(minCallRate, float64(routers)))
}

// operatorFile returns the contents of the operator's file for a build, or "" if the build needs none.
func (e Experiment) operatorFile(build Build) string {
	text := ""
	if hold := build.ReadinessHold; hold > 0 {
		rate := float64(e.Routers) / hold.Seconds() * holdMargin
		text = fmt.Sprintf("(start (rate %g) (hold %s))\n", rate, hold)
	}
	if build.PlanConnections {
		text += fmt.Sprintf("(links (holds %[1]d) (opens %[1]d))\n", e.MaxConnections)
	}
	return text
}
