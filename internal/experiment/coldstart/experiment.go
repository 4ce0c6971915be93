// Package coldstart measures what happens when many routers start at once: with real processes beside a
// discovery service that fails or can bear little, and with the routers' call schedules alone in simulated
// time.
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

// Fault is what is wrong while the routers start.
type Fault string

// Faults of the discovery service, of routers and of caches.
const (
	NoFault              Fault = "none"
	ServiceDown          Fault = "list-down"
	ServiceSlow          Fault = "list-slow"
	ListTruncated        Fault = "list-half"
	ListStale            Fault = "list-old"
	ServiceRestarted     Fault = "list-restart"
	RoutersKilled        Fault = "half-killed"
	RoutersKilledTwice   Fault = "killed-twice"
	CachesWarmingUp      Fault = "caches-cold"
	CachesUnresponsive   Fault = "caches-silent"
	OneCacheHangs        Fault = "cache-hangs"
	CacheDrainsUnnoticed Fault = "drained"
)

// Faults returns all faults, in the order of docs/coldstart.md.
func Faults() []Fault {
	return []Fault{
		NoFault, ServiceDown, ServiceSlow, ListTruncated, ListStale, ServiceRestarted,
		RoutersKilled, RoutersKilledTwice,
		CachesWarmingUp, CachesUnresponsive, OneCacheHangs, CacheDrainsUnnoticed,
	}
}

// FaultNames returns the faults as they are written on a command line.
func FaultNames() string {
	var names []string
	for _, fault := range Faults() {
		names = append(names, string(fault))
	}
	return strings.Join(names, ", ")
}

const (
	page = "docs/coldstart.md"

	// callRateTolerance is allowed beside what the call schedules alone keep to: calls are counted as they
	// reach the service, and on a machine with fewer cores than routers the lateness of processes bunches them.
	callRateTolerance = 1.5

	minCallRate = 20 // calls a second

	// holdMargin is by how much the readiness hold is longer than the time over which first calls are spread.
	holdMargin = 1.25
)

// Experiment starts real routers within a second and plays their clients.
type Experiment struct {
	Routers  int
	Caches   int
	Seed     uint64
	Fault    Fault
	Duration time.Duration
	Rate     float64 // requests a second, over all routers together
	Dir      string  // an existing directory for the routers' files

	ConfiguredRouters int // how many routers the settings say that there are; 0 is as many as there are
	MaxConnections    int // that a cache takes; 0 is four for each three routers
}

// Build is a build of the router, with the options that it is started with.
type Build struct {
	Binary string
	// ReadinessHold spreads first calls over a part of it and keeps health back meanwhile; 0 is off.
	ReadinessHold time.Duration
	// PlanConnections plans the connections to caches ahead of requests.
	PlanConnections bool
}

// Result is what one run found.
type Result struct {
	Binary              string  `json:"binary"`
	Fault               Fault   `json:"faults"`
	Routers             int     `json:"routers"`
	Calls               int     `json:"list_calls"`
	PeakCallsPerSecond  int     `json:"list_connects_peak_per_s"`
	PeakCallsPer100MS   int     `json:"list_connects_peak_per_100ms"`
	ListBytes           int     `json:"list_bytes"`
	PeakConnections     int     `json:"cache_connections_peak"`
	HealthyP50MS        float64 `json:"time_to_listed_p50_ms"`
	HealthyP99MS        float64 `json:"time_to_listed_p99_ms"`
	NeverHealthy        int     `json:"unlisted"`
	Sent                int     `json:"sent"`
	ServedShare         float64 `json:"settled_share_first_10s"`
	Lost                int     `json:"lost"`
	HoldSeconds         float64 `json:"hold_s"`
	PlannedConnections  bool    `json:"links"`
	MaxConnections      int     `json:"cache_connections_held"`
	RefusedConnections  int     `json:"cache_connections_refused"`
	PeakLoad            float64 `json:"cold_budget_worst_share"`
	CacheCrashes        int     `json:"caches_fallen"`
	WarmP99MS           float64 `json:"time_to_whole_p99_ms"`
	StaleListAttempts   int     `json:"stale_list_dispatches"`
	NotNotified         int     `json:"not_notified"` // routers, of a drain, within maxNotificationDelay
	CPUMSPerRouter      float64 `json:"cpu_ms_a_router"`
	ResidentKBPerRouter int64   `json:"resident_kb_a_router"`
	MaxCallsPerSecond   int     `json:"bound_connects_per_s"`
}

// CheckBounds returns a *report.BoundError where the result breaks a bound.
func (r Result) CheckBounds() error {
	broken := r.PeakCallsPerSecond > r.MaxCallsPerSecond ||
		r.NeverHealthy > 0 ||
		r.Lost > 0 ||
		r.CacheCrashes > 0 ||
		r.PeakLoad > 1 ||
		r.PlannedConnections && r.PeakConnections > r.MaxConnections
	if broken {
		return &report.BoundError{Page: page}
	}
	return nil
}

// Run plays the experiment with one build.
func (e Experiment) Run(ctx context.Context, build Build) (Result, error) {
	p, err := e.plan(build)
	if err != nil {
		return Result{}, err
	}
	return p.run(ctx)
}

// plan fills in what the experiment leaves open.
func (e Experiment) plan(build Build) (*play, error) {
	if !slices.Contains(Faults(), e.Fault) {
		return nil, fmt.Errorf("faults are one of %s", FaultNames())
	}
	e.MaxConnections = cmp.Or(e.MaxConnections, e.Routers*4/3)
	e.ConfiguredRouters = cmp.Or(e.ConfiguredRouters, e.Routers)
	return &play{
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

// maxCallRate is the peak of calls a second that docs/coldstart.md derives for so many routers.
func maxCallRate(routers int) int {
	return int(callRateTolerance * 1.1 * math.Max(minCallRate, float64(routers)))
}

// operatorFile returns the operator's file of a build; empty is none.
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
