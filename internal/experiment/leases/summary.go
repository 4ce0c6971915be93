package leases

import (
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"tealpath/internal/emulator/cache"
	"tealpath/internal/experiment/report"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg/draw"
)

const (
	// warmUpBudget is the load that health checks may put on a cold cache in one window, in load units. Its factors
	// are the values in testcluster's files: the part of the warm-up load that is left to health checks, the
	// overload factor, the initial share, the capacity of a cache and the window in seconds.
	warmUpBudget = 0.05 * 2.5 * 0.16 * 4 * 1.5
	warmUpWindow = 1500 * time.Millisecond
	probeCost    = 0.001 // load units per health check

	// minPeriodPercent is the percentage of a probe period that must pass between health checks by two holders. It is
	// below 100 because the holders' clocks drift and the network delay to the target varies.
	minPeriodPercent = 98

	maxIdleProbesPerPeriod = 1.05 // bound of Result.IdleProbesPerPeriod, set by docs/duties.md
)

// summarize fills in the result from the takeovers and from the health checks that the caches received.
func (r *experimentRun) summarize(startedAt, endedAt time.Time) {
	r.summarizeGaps()
	for _, target := range r.cluster.Caches {
		probes := target.HealthChecks()
		r.summarizeTarget(probes)
		for _, probe := range probes {
			if probe.At.After(startedAt) && probe.At.Before(endedAt) {
				r.result.Probes++
			}
		}
	}
	r.result.Seconds = endedAt.Sub(startedAt).Seconds()
	r.result.ProbesPerPeriod = r.probesPerPeriod(r.result.Probes, r.result.Seconds)
	r.result.GapBoundMS = float64(r.LeaseDuration+2*r.RenewInterval) / float64(time.Millisecond)
	r.result.BrokenBounds = brokenBounds(r.result)
}

func (r *experimentRun) summarizeGaps() {
	gaps := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	maxGapByFault := map[Fault]*float64{
		Kill:      &r.result.KillGapMaxMS,
		Terminate: &r.result.TerminateGapMaxMS,
		Freeze:    &r.result.FreezeGapMaxMS,
		Isolate:   &r.result.IsolateGapMaxMS,
		Delay:     &r.result.DelayGapMaxMS,
	}
	for _, takeover := range r.takeovers {
		// The wait for a takeover ends long before a minute, the histogram's range.
		_ = gaps.RecordValue(max(1, int64(takeover.GapMS*1000)))
		*maxGapByFault[takeover.Fault] = max(*maxGapByFault[takeover.Fault], takeover.GapMS)
		r.result.GapMaxMS = max(r.result.GapMaxMS, takeover.GapMS)
	}
	r.result.Kills = len(r.takeovers)
	r.result.GapP50MS = float64(gaps.ValueAtQuantile(50)) / 1000
	r.result.GapP99MS = float64(gaps.ValueAtQuantile(99)) / 1000
}

// summarizeTarget counts overlaps and stale actions in the health checks that one target received, and updates the
// largest share of warmUpBudget used. The ID of a health check is the ballot under which it was sent. A ballot belongs
// to a single holder.
func (r *experimentRun) summarizeTarget(probes []cache.HealthCheck) {
	if len(probes) == 0 {
		r.result.TargetsNeverProbed++
	}
	var highest, previous uint64
	var previousAt time.Time
	for i, probe := range probes {
		ballot, _ := strconv.ParseUint(probe.ID, 16, 64) // an invalid ID gives 0, which is below all ballots
		if ballot < highest {
			r.result.StaleActions++
		}
		holderChanged := previous != 0 && ballot != previous
		if holderChanged && probe.At.Sub(previousAt) < r.ProbePeriod*minPeriodPercent/100 {
			r.result.Overlaps++
		}
		highest, previous, previousAt = max(highest, ballot), ballot, probe.At
		r.result.PeakWarmUpShare = max(r.result.PeakWarmUpShare, windowCost(probes[i:])/warmUpBudget)
	}
}

// windowCost returns the load of the health checks in the warm-up window that starts with the first one, in load
// units.
func windowCost(probes []cache.HealthCheck) float64 {
	cost := 0.
	for _, probe := range probes {
		if probe.At.Sub(probes[0].At) < warmUpWindow {
			cost += probeCost
		}
	}
	return cost
}

// brokenBounds names the bounds that a result breaks, each followed by "; ". It returns "" if there are none.
func brokenBounds(result Result) string {
	bounds := []struct {
		name     string
		isBroken bool
	}{
		{"takeover", result.GapP99MS > result.GapBoundMS},
		{"two owners", result.Overlaps > 0},
		{"stale actions", result.StaleActions > 0},
		{"cold budget", result.PeakWarmUpShare > 1},
		{"probes", result.IdleProbesPerPeriod > maxIdleProbesPerPeriod},
		{"targets left out", result.TargetsNeverProbed > 0},
	}
	broken := ""
	for _, bound := range bounds {
		if bound.isBroken {
			broken += bound.name + "; "
		}
	}
	return broken
}

// report writes the result as JSON, and the takeovers as a CSV table and as a chart.
func (r *experimentRun) report() error {
	err := report.WriteJSON(filepath.Join(r.ResultsDir, "duties.json"), struct {
		Result    Result
		Takeovers []Takeover
	}{r.result, r.takeovers})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, takeover := range r.takeovers {
		rows = append(rows, []string{
			strconv.Itoa(takeover.Kill),
			string(takeover.Fault),
			takeover.Victim,
			strconv.Itoa(takeover.Slots),
			strconv.FormatFloat(takeover.GapMS, 'f', 1, 64),
		})
	}
	header := []string{"kill", "how", "victim", "slots", "gap_ms"}
	if err := report.WriteCSV(filepath.Join(r.ResultsDir, "duties.csv"), header, rows); err != nil {
		return err
	}
	return r.chart().SaveAs(filepath.Join(r.ResultsDir, "duties"), "svg", "png")
}

// chart draws the sorted takeover times of each fault, and their bound as a line.
func (r *experimentRun) chart() report.Chart {
	chart := report.Chart{
		Title:      "Time until all slots of a failed lease holder have a new one",
		XLabel:     "share of the faults of one kind",
		YLabel:     "ms",
		XMax:       1,
		FromZero:   true,
		LegendLeft: true,
	}
	for _, fault := range []struct {
		Fault
		series report.Series
	}{
		{Kill, report.Series{Color: report.Red}},
		{Terminate, report.Series{Color: report.Green}},
		{Freeze, report.Series{Color: report.Blue}},
		{Isolate, report.Series{Color: report.Brown}},
		{Delay, report.Series{Color: report.Purple}},
	} {
		fault.series.Name = string(fault.Fault)
		fault.series.Points = sortedGaps(r.takeovers, fault.Fault)
		fault.series.Shape = draw.CircleGlyph{}
		if len(fault.series.Points) > 0 {
			chart.Series = append(chart.Series, fault.series)
		}
	}
	bound := r.result.GapBoundMS
	chart.Series = append(chart.Series, report.Series{
		Name:   "bound: lease and two renewals",
		Points: plotter.XYs{{X: 0, Y: bound}, {X: 1, Y: bound}},
		Color:  report.Black,
		Dashed: true,
	})
	return chart
}

// sortedGaps returns the takeover times of one fault in ascending order. The X value of each is the share of the
// fault's takeovers that took at most as long.
func sortedGaps(takeovers []Takeover, fault Fault) plotter.XYs {
	var gaps []float64
	for _, takeover := range takeovers {
		if takeover.Fault == fault {
			gaps = append(gaps, takeover.GapMS)
		}
	}
	slices.Sort(gaps)
	var points plotter.XYs
	for i, gap := range gaps {
		points = append(points, plotter.XY{X: float64(i+1) / float64(len(gaps)), Y: gap})
	}
	return points
}
