package coldstart

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/lifecycle/startup"

	"gonum.org/v1/plot/plotter"
)

const (
	seedStride = 1_000_003 // between the seeds of two simulations, so that routers' seeds do not meet

	// The baseline calls at once, and then after waits that double from the first to the longest, without
	// jitter.
	baselineFirstWait   = int64(50 * time.Millisecond)
	baselineLongestWait = int64(500 * time.Millisecond)
)

// Simulation plays the routers' schedules of calls to a discovery service that is down, in simulated time.
type Simulation struct {
	Routers      int
	Seed         uint64
	DownDuration time.Duration // since the start
	Duration     time.Duration
}

// SimulationResult is what a simulation found. The baseline is how routers called before they had a schedule.
type SimulationResult struct {
	Routers            int     `json:"routers"`
	PeakCallsPerSecond int     `json:"list_connects_peak_per_s"`
	BaselinePeak       int     `json:"before_peak_per_s"`
	ReachedP99MS       float64 `json:"time_to_heard_p99_ms"` // since the service is up
	BaselineReached    float64 `json:"before_time_to_heard_p99_ms"`
	MaxCallsPerSecond  int     `json:"bound_connects_per_s"`
	Calls              []int   `json:"-"` // by second
	BaselineCalls      []int   `json:"-"`
}

// nextCall returns the time of a router's next call, ns since the start.
type nextCall func() int64

// Run plays the simulation.
func (s Simulation) Run() SimulationResult {
	result := SimulationResult{Routers: s.Routers, MaxCallsPerSecond: max(minCallRate, s.Routers+s.Routers/10)}
	result.Calls, result.ReachedP99MS = s.play(s.scheduled)
	result.BaselineCalls, result.BaselineReached = s.play(baseline)
	result.PeakCallsPerSecond, result.BaselinePeak = slices.Max(result.Calls), slices.Max(result.BaselineCalls)
	return result
}

// play counts the calls by second, each router's up to the first one that succeeds, and returns the 99th
// percentile of the time from the end of the outage to that call, ms.
func (s Simulation) play(schedule func(router int) nextCall) (calls []int, reachedP99MS float64) {
	calls = make([]int, int(s.Duration/time.Second)+1)
	var reachedMS []float64
	for router := range s.Routers {
		next := schedule(router)
		for at := next(); at < int64(s.Duration); at = next() {
			calls[at/int64(time.Second)]++
			if at >= int64(s.DownDuration) {
				reachedMS = append(reachedMS, float64(at-int64(s.DownDuration))/float64(time.Millisecond))
				break
			}
		}
	}
	return calls, percentile(reachedMS, 99)
}

// scheduled calls as routers do.
func (s Simulation) scheduled(router int) nextCall {
	schedule := startup.NewCallSchedule(s.Seed*seedStride+uint64(router), s.Routers, startup.ReadinessHold{})
	at, isFirst := int64(0), true
	return func() int64 {
		wait := schedule.FirstDelay()
		if !isFirst {
			wait = schedule.CallEnded(at, startup.Refused)
		}
		isFirst = false
		at += wait
		return at
	}
}

// baseline calls as routers did before they had a schedule.
func baseline(int) nextCall {
	at, wait := int64(0), int64(0)
	return func() int64 {
		at += wait
		wait = min(max(2*wait, baselineFirstWait), baselineLongestWait)
		return at
	}
}

// CheckBounds returns a *report.BoundError where the result breaks a bound.
func (r SimulationResult) CheckBounds() error {
	if r.PeakCallsPerSecond > r.MaxCallsPerSecond {
		return &report.BoundError{Page: page}
	}
	return nil
}

// Write writes the calls by second as a table and a chart into a directory.
func (r SimulationResult) Write(dir string) error {
	name := fmt.Sprintf("coldstart-%d", r.Routers)
	var rows [][]string
	for second := range r.Calls {
		rows = append(rows, []string{
			strconv.Itoa(second),
			strconv.Itoa(r.Calls[second]),
			strconv.Itoa(r.BaselineCalls[second]),
		})
	}
	header := []string{"second", "calls", "calls_before"}
	if err := report.WriteCSV(filepath.Join(dir, name+".csv"), header, rows); err != nil {
		return err
	}
	return report.Chart{
		Title:     fmt.Sprintf("Calls at a list service that is down, %d routers, simulated", r.Routers),
		XLabel:    "s after the start",
		YLabel:    "calls a second",
		LegendTop: true,
		Series: []report.Series{
			{Baseline: true, Points: points(r.BaselineCalls)},
			{Points: points(r.Calls)},
		},
	}.Save(filepath.Join(dir, name+".svg"))
}

func points(values []int) plotter.XYs {
	xys := make(plotter.XYs, len(values))
	for i, value := range values {
		xys[i] = plotter.XY{X: float64(i), Y: float64(value)}
	}
	return xys
}
