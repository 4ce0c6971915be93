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
	// seedStride is the distance between the router seeds of simulations with consecutive seeds. It exceeds the number
	// of routers, so that routers of different simulations have different seeds.
	seedStride = 1_000_003

	// The baseline calls at once and then retries after waits without jitter, which double from baselineFirstWait to
	// baselineLongestWait, in ns.
	baselineFirstWait   = int64(50 * time.Millisecond)
	baselineLongestWait = int64(500 * time.Millisecond)
)

// Simulation simulates the routers' schedules of calls to a discovery service that is down at first.
type Simulation struct {
	Routers      int
	Seed         uint64
	DownDuration time.Duration // time from the start until the discovery service accepts calls
	Duration     time.Duration // simulated time from the start of the routers to the end
}

// SimulationResult compares two simulations: one of routers that follow their call schedules, and a baseline of
// routers that retry with exponential backoff without jitter. Fields of the baseline start with Baseline.
type SimulationResult struct {
	Routers            int     `json:"routers"`
	PeakCallsPerSecond int     `json:"list_connects_peak_per_s"`
	BaselinePeak       int     `json:"before_peak_per_s"`
	ReachedP99MS       float64 `json:"time_to_heard_p99_ms"` // from the outage's end to a router's successful call
	BaselineReached    float64 `json:"before_time_to_heard_p99_ms"`
	MaxCallsPerSecond  int     `json:"bound_connects_per_s"`
	Calls              []int   `json:"-"` // by second: number of calls of all routers
	BaselineCalls      []int   `json:"-"`
}

// nextCall returns the time of a router's next call, in ns after the start of the simulation.
type nextCall func() int64

// Run simulates the routers twice, first with their call schedules and then as the baseline.
func (s Simulation) Run() SimulationResult {
	result := SimulationResult{Routers: s.Routers, MaxCallsPerSecond: max(minCallRate, s.Routers+s.Routers/10)}
	result.Calls, result.ReachedP99MS = s.simulateCalls(s.scheduled)
	result.BaselineCalls, result.BaselineReached = s.simulateCalls(baseline)
	result.PeakCallsPerSecond, result.BaselinePeak = slices.Max(result.Calls), slices.Max(result.BaselineCalls)
	return result
}

// simulateCalls counts the calls in each second. Each router calls until a call succeeds; reachedP99MS is the 99th
// percentile of the time from the end of the outage to that call.
func (s Simulation) simulateCalls(schedule func(router int) nextCall) (calls []int, reachedP99MS float64) {
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

// scheduled returns a function that computes the call times of a router with a call schedule, as long as the discovery
// service refuses the calls.
func (s Simulation) scheduled(router int) nextCall {
	schedule := startup.NewCallSchedule(s.Seed*seedStride+uint64(router), s.Routers, startup.ReadinessHold{})
	at, isFirst := int64(0), true
	return func() int64 {
		wait := schedule.FirstDelay(0)
		if !isFirst {
			wait = schedule.CallEnded(at, startup.Refused)
		}
		isFirst = false
		at += wait
		return at
	}
}

// baseline returns a function that computes the call times of a router that retries with exponential backoff without
// jitter.
func baseline(int) nextCall {
	at, wait := int64(0), int64(0)
	return func() int64 {
		at += wait
		wait = min(max(2*wait, baselineFirstWait), baselineLongestWait)
		return at
	}
}

// CheckBounds returns a *report.BoundError if the result breaks a bound of docs/coldstart.md, otherwise nil.
func (r SimulationResult) CheckBounds() error {
	if r.PeakCallsPerSecond > r.MaxCallsPerSecond {
		return &report.BoundError{
			Page:   page,
			Detail: fmt.Sprintf("%d calls per second, at most %d", r.PeakCallsPerSecond, r.MaxCallsPerSecond),
		}
	}
	return nil
}

// Write writes a table and a chart of the calls in each second into a directory.
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
		Title:     fmt.Sprintf("Calls to a discovery service that is down, %d routers, simulated", r.Routers),
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
