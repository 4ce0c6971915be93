package coldstartsim

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"

	"tealpath/internal/experiment/report"
)

// Result is what a run gave. Shares are of the objects that clients wanted.
type Result struct {
	Fault              Fault    `json:"faults"`
	Baseline           bool     `json:"before"`
	Routers            int      `json:"routers"`
	PeakDiscoveryCalls int      `json:"list_connects_peak_per_s"` // in the worst second, by all routers
	PeakConnections    int      `json:"cache_connections_peak"`   // at any one cache
	MaxConnections     int      `json:"cache_connections_held"`   // that a cache takes
	RefusedConnections int      `json:"cache_connections_refused"`
	PeakWarmUpLoad     float64  `json:"cold_budget_worst_share"` // 1 is the load under which a cold cache crashes
	Crashes            int      `json:"caches_fallen"`
	TimeToEndpointsP99 float64  `json:"time_to_listed_p99_ms"` // from a router's start; -1 is never
	TimeToWarmP99      float64  `json:"time_to_whole_p99_ms"`  // from a router's start; -1 is never
	Requests           int      `json:"sent"`
	ServedFirst10s     float64  `json:"settled_share_first_10s"` // share served of what was wanted by then
	Served             float64  `json:"settled_share"`
	RecoveryTime       float64  `json:"usual_service_again_s"` // after the fault ended; -1 is never
	Lost               int      `json:"lost"`                  // requests that a running router never answered
	Connects           int      `json:"connects"`              // connection attempts to caches
	Seconds            []Second `json:"-"`
}

// Second is one second of a run. Wanted and Served count the clients' requests by the second in which they
// began.
type Second struct {
	Calls           int // of the discovery service
	Connects        int // connection attempts to caches
	Wanted          int
	Served          int
	Crashes         int // of caches
	PeakConnections int // at any one cache so far, where one was opened
}

// String is the result as JSON.
func (r Result) String() string {
	raw, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// BoundsHold tells whether the bounds of docs/coldstart.md hold.
func (r Result) BoundsHold() bool {
	return r.PeakConnections <= r.MaxConnections && r.Crashes == 0 && r.PeakWarmUpLoad <= 1 && r.Lost == 0
}

const (
	// firstSeconds are the seconds that ServedFirst10s covers: the routers start in the first of them, and
	// nothing is wanted in it.
	firstSeconds = 11
	// lostAfter is how long after a client's deadline a request without a response counts as lost, ns.
	lostAfter = int64(3e9)
	// recoveredShare is the part of the usual service from which on it counts as recovered.
	recoveredShare = 0.95
	// recoveryWindow is over how many seconds the service is averaged to tell whether it has recovered.
	recoveryWindow = 2
	// usualWindow is over how many seconds at the end of a run the usual service is averaged.
	usualWindow = 3
	// unfinishedSeconds at the end of a run are left out: what was wanted then may be served later.
	unfinishedSeconds = 4
)

func (s *runState) result() Result {
	result := Result{
		Fault:          s.plan.Fault,
		Baseline:       s.plan.Baseline,
		Routers:        s.plan.Routers,
		MaxConnections: s.plan.MaxConnections,
		Requests:       s.clientRequests,
		Lost:           s.lostRequests(),
		Connects:       s.connects,
		Seconds:        s.seconds,
	}
	result.countSeconds()
	result.RecoveryTime = result.recoveryTime(s.plan.faultEnd())
	for _, cache := range s.caches {
		result.PeakConnections = max(result.PeakConnections, cache.PeakConnections)
		result.PeakWarmUpLoad = math.Max(result.PeakWarmUpLoad, cache.PeakLoad)
		result.RefusedConnections += cache.RefusedConnections
		result.Crashes += cache.Crashes
	}
	var timesToEndpoints, timesToWarm []float64
	for _, router := range s.routers {
		timesToEndpoints = append(timesToEndpoints, router.timeToEndpoints)
		timesToWarm = append(timesToWarm, router.timeToWarm)
	}
	result.TimeToEndpointsP99 = percentile99(timesToEndpoints)
	result.TimeToWarmP99 = percentile99(timesToWarm)
	return result
}

func (r *Result) countSeconds() {
	served := 0
	for _, second := range r.Seconds {
		r.PeakDiscoveryCalls = max(r.PeakDiscoveryCalls, second.Calls)
		served += second.Served
	}
	r.Served = float64(served) / math.Max(1, float64(r.Requests))
	r.ServedFirst10s = servedShare(r.Seconds[:min(firstSeconds, len(r.Seconds))])
}

// lostRequests counts requests whose clients have stopped waiting long ago. Those at a router that has not
// got the endpoint list again after it was killed are not lost: its clients' connections were reset.
func (s *runState) lostRequests() int {
	lost := 0
	for key, request := range s.requests {
		if request.deadline+lostAfter < s.now() && s.routers[key.router].hasEndpoints {
			lost++
		}
	}
	return lost
}

// percentile99 is the 99th percentile of times in which 0 stands for never, and -1 if that is never.
func percentile99(times []float64) float64 {
	for i := range times {
		times[i] = cmp.Or(times[i], math.Inf(1))
	}
	slices.Sort(times)
	if p99 := report.Percentile(times, 99); !math.IsInf(p99, 1) {
		return p99
	}
	return -1
}

// recoveryTime is how long after the fault the share served is nearly what it is at the end of the run.
func (r *Result) recoveryTime(faultEnd int64) float64 {
	last := len(r.Seconds) - unfinishedSeconds
	usual := servedShare(r.Seconds[max(0, last-usualWindow):last])
	for from := int(faultEnd / 1e9); from+recoveryWindow < last; from++ {
		if servedShare(r.Seconds[from:from+recoveryWindow]) >= recoveredShare*usual {
			return float64(from) - float64(faultEnd)/1e9
		}
	}
	return -1
}

// servedShare is the part of what was wanted in some seconds that was served.
func servedShare(seconds []Second) float64 {
	wanted, served := 0, 0
	for _, second := range seconds {
		wanted += second.Wanted
		served += second.Served
	}
	return float64(served) / math.Max(1, float64(wanted))
}
