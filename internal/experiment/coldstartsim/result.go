package coldstartsim

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"

	"tealpath/internal/experiment/report"
)

// Result holds what a run measured. Times in ms are counted from a router's start.
type Result struct {
	Fault              Fault    `json:"faults"`
	Baseline           bool     `json:"before"`
	Routers            int      `json:"routers"`
	PeakDiscoveryCalls int      `json:"list_connects_peak_per_s"` // most calls in one second, by all routers together
	PeakConnections    int      `json:"cache_connections_peak"`   // highest number of connections at one cache
	MaxConnections     int      `json:"cache_connections_held"`   // connections that one cache accepts
	RefusedConnections int      `json:"cache_connections_refused"`
	PeakWarmUpLoad     float64  `json:"cold_budget_worst_share"` // highest while warming up; above 1 a cache crashes
	Crashes            int      `json:"caches_fallen"`
	TimeToEndpointsP99 float64  `json:"time_to_listed_p99_ms"` // ms until a router has the endpoint list; -1: never
	TimeToWarmP99      float64  `json:"time_to_whole_p99_ms"`  // ms until the phase startup.Warm; -1: never
	Requests           int      `json:"sent"`
	ServedFirst10s     float64  `json:"settled_share_first_10s"` // like Served, but for the first firstSeconds only
	Served             float64  `json:"settled_share"`           // share of all requests that were served
	RecoveryTime       float64  `json:"usual_service_again_s"`   // s from the end of the fault to recovery; -1: never
	Lost               int      `json:"lost"`                    // requests that a running router never answered
	Connects           int      `json:"connects"`                // connection attempts to caches
	Seconds            []Second `json:"-"`
}

// Second holds the counts of one second of a run.
type Second struct {
	Calls           int // calls to the discovery service
	Connects        int // connection attempts to caches
	Wanted          int // client requests that began in this second
	Served          int // client requests that began in this second and were served, then or later
	Crashes         int // crashes of caches
	PeakConnections int // highest number of connections at one cache so far; 0: none was established in this second
}

// String returns the result as JSON.
func (r Result) String() string {
	raw, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// BoundsHold reports whether the bounds of docs/coldstart.md hold.
func (r Result) BoundsHold() bool {
	return r.PeakConnections <= r.MaxConnections && r.Crashes == 0 && r.PeakWarmUpLoad <= 1 && r.Lost == 0
}

const (
	// firstSeconds is the number of seconds that ServedFirst10s covers. It is one more than 10, because the
	// routers start in the first second and no requests begin in it.
	firstSeconds = 11
	// lostAfter is the time after a client's deadline from which a request without a response counts as lost, ns.
	lostAfter = int64(3e9)
	// recoveredShare is the fraction of the usual served share at which the service counts as recovered.
	recoveredShare = 0.95
	// recoveryWindow is the number of seconds over which the served share is averaged to detect the recovery.
	recoveryWindow = 2
	// usualWindow is the number of seconds, near the end of a run, over which the usual served share is averaged.
	usualWindow = 3
	// unfinishedSeconds is the number of seconds at the end of a run that are left out, because requests that
	// began in them may be served after the end.
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

// lostRequests counts the requests that still have no response when lostAfter has passed since their client's deadline.
// Requests at a router without an endpoint list do not count: it was killed, which reset its clients' connections.
func (s *runState) lostRequests() int {
	lost := 0
	for key, request := range s.requests {
		if request.deadline+lostAfter < s.now() && s.routers[key.router].hasEndpoints {
			lost++
		}
	}
	return lost
}

// percentile99 returns the 99th percentile of times. A time of 0 stands for an event that never happened and counts as
// infinite. If the percentile is infinite, percentile99 returns -1.
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

// recoveryTime returns the time in s from the end of the fault to the recovery: the start of the first recoveryWindow
// in which the served share is at least recoveredShare times the usual one. It returns -1 if there is no such window.
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

// servedShare returns the share of requests that were served, among all that began in the given seconds.
func servedShare(seconds []Second) float64 {
	wanted, served := 0, 0
	for _, second := range seconds {
		wanted += second.Wanted
		served += second.Served
	}
	return float64(served) / math.Max(1, float64(wanted))
}
