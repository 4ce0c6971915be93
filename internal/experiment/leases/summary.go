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
	// warmUpBudget is the work, in s, that health checks of a cold cache may cost within a window. It is the product
	// of values that testcluster writes into the settings: the part for probing, the overload factor, the initial
	// share, the capacity and the window in s.
	warmUpBudget = 0.05 * 2.5 * 0.16 * 4 * 1.5
	warmUpWindow = 1500 * time.Millisecond
	probeCost    = 0.001

	// minPeriodPercent is the percentage of a period that must pass between health checks by two holders. It is
	// below 100, because their clocks may differ by the drift and the network delay varies.
	minPeriodPercent = 98

	maxCalmProbesPerPeriod = 1.05
)

// summarize computes the result from the takeovers and the health checks that the caches received.
func (p *play) summarize(startedAt, endedAt time.Time) {
	p.summarizeGaps()
	for _, target := range p.cluster.Caches {
		probes := target.HealthChecks()
		p.summarizeTarget(probes)
		for _, probe := range probes {
			if probe.At.After(startedAt) && probe.At.Before(endedAt) {
				p.result.Probes++
			}
		}
	}
	p.result.Seconds = endedAt.Sub(startedAt).Seconds()
	p.result.ProbesPerPeriod = p.probesPerPeriod(p.result.Probes, p.result.Seconds)
	p.result.MaxGapMS = float64(p.LeaseDuration+2*p.RenewInterval) / float64(time.Millisecond)
	p.result.BrokenBounds = brokenBounds(p.result)
}

func (p *play) summarizeGaps() {
	gaps := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	maxOf := map[Fault]*float64{
		Kill:      &p.result.KillGapMaxMS,
		Terminate: &p.result.TerminateGapMaxMS,
		Freeze:    &p.result.FreezeGapMaxMS,
		Isolate:   &p.result.IsolateGapMaxMS,
		Delay:     &p.result.DelayGapMaxMS,
	}
	for _, takeover := range p.takeovers {
		// RecordValue cannot fail: waiting for a takeover times out long before a minute, the histogram's maximum.
		_ = gaps.RecordValue(max(1, int64(takeover.GapMS*1000)))
		*maxOf[takeover.Fault] = max(*maxOf[takeover.Fault], takeover.GapMS)
		p.result.GapMaxMS = max(p.result.GapMaxMS, takeover.GapMS)
	}
	p.result.Kills = len(p.takeovers)
	p.result.GapP50MS = float64(gaps.ValueAtQuantile(50)) / 1000
	p.result.GapP99MS = float64(gaps.ValueAtQuantile(99)) / 1000
}

// summarizeTarget checks the health checks of one target for overlaps, stale ballots and cost. Each health check
// carries the ballot of the lease under which it was sent, and each ballot belongs to one holder.
func (p *play) summarizeTarget(probes []cache.HealthCheck) {
	if len(probes) == 0 {
		p.result.TargetsNeverProbed++
	}
	var highest, previous uint64
	var previousAt time.Time
	for i, probe := range probes {
		ballot, _ := strconv.ParseUint(probe.ID, 16, 64) // an invalid ID gives 0, which counts as stale
		if ballot < highest {
			p.result.StaleActions++
		}
		isOther := previous != 0 && ballot != previous
		if isOther && probe.At.Sub(previousAt) < p.ProbePeriod*minPeriodPercent/100 {
			p.result.Overlaps++
		}
		highest, previous, previousAt = max(highest, ballot), ballot, probe.At
		p.result.PeakWarmUpBudget = max(p.result.PeakWarmUpBudget, windowCost(probes[i:])/warmUpBudget)
	}
}

// windowCost returns the cost, in s, of the health checks in the window that begins with the first of them.
func windowCost(probes []cache.HealthCheck) float64 {
	cost := 0.
	for _, probe := range probes {
		if probe.At.Sub(probes[0].At) < warmUpWindow {
			cost += probeCost
		}
	}
	return cost
}

// brokenBounds returns the names of the bounds that a result breaks, each followed by "; ".
func brokenBounds(result Result) string {
	bounds := []struct {
		name     string
		isBroken bool
	}{
		{"takeover", result.GapP99MS > result.MaxGapMS},
		{"two owners", result.Overlaps > 0},
		{"stale actions", result.StaleActions > 0},
		{"cold budget", result.PeakWarmUpBudget > 1},
		{"probes", result.CalmProbesPerPeriod > maxCalmProbesPerPeriod},
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

// report writes the result as JSON, and the takeovers as a table and a chart.
func (p *play) report() error {
	err := report.WriteJSON(filepath.Join(p.ResultsDir, "duties.json"), struct {
		Result    Result
		Takeovers []Takeover
	}{p.result, p.takeovers})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, takeover := range p.takeovers {
		rows = append(rows, []string{
			strconv.Itoa(takeover.Kill),
			string(takeover.Fault),
			takeover.Victim,
			strconv.Itoa(takeover.Slots),
			strconv.FormatFloat(takeover.GapMS, 'f', 1, 64),
		})
	}
	header := []string{"kill", "how", "victim", "slots", "gap_ms"}
	if err := report.WriteCSV(filepath.Join(p.ResultsDir, "duties.csv"), header, rows); err != nil {
		return err
	}
	return p.chart().SaveAs(filepath.Join(p.ResultsDir, "duties"), "svg", "png")
}

// chart returns a chart with a curve of the sorted gaps of each fault, and a line for the bound.
func (p *play) chart() report.Chart {
	chart := report.Chart{
		Title:      "Until all slots of a lost owner have a new one",
		XLabel:     "share of the kills of a kind",
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
		fault.series.Points = sortedGaps(p.takeovers, fault.Fault)
		fault.series.Shape = draw.CircleGlyph{}
		if len(fault.series.Points) > 0 {
			chart.Series = append(chart.Series, fault.series)
		}
	}
	bound := p.result.MaxGapMS
	chart.Series = append(chart.Series, report.Series{
		Name:   "bound: lease and two renewals",
		Points: plotter.XYs{{X: 0, Y: bound}, {X: 1, Y: bound}},
		Color:  report.Black,
		Dashed: true,
	})
	return chart
}

// sortedGaps returns the gaps of one fault as a curve: for each gap in ascending order, the share of the takeovers
// whose gap is not longer.
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
