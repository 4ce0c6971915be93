package coldstartsim

import (
	"errors"
	"fmt"
	"path/filepath"
	"strconv"

	"tealpath/internal/experiment/report"

	"gonum.org/v1/plot/plotter"
)

// WriteReport writes a table of runs under one fault, and charts with a curve for each run.
func WriteReport(folder string, runs ...Result) error {
	base := filepath.Join(folder, fmt.Sprintf("coldfleet-%s-%d", runs[0].Fault, runs[0].Routers))
	return errors.Join(
		writeTable(base+".csv", runs),
		chart("Settled of what is wanted", "share settled", runs,
			func(s Second) float64 { return servedShare([]Second{s}) }).Save(base+"-shar.svg"),
		chart("Calls at the list service", "calls a second", runs,
			func(s Second) float64 { return float64(s.Calls) }).Save(base+"-call.svg"),
		chart("Connections opened to caches", "opened a second", runs,
			func(s Second) float64 { return float64(s.Connects) }).Save(base+"-open.svg"),
	)
}

func writeTable(path string, runs []Result) error {
	header := []string{"before", "second", "calls", "connects", "wanted", "settled", "fallen"}
	var rows [][]string
	for _, run := range runs {
		for i, second := range run.Seconds {
			rows = append(rows, []string{
				strconv.FormatBool(run.Baseline),
				strconv.Itoa(i),
				strconv.Itoa(second.Calls),
				strconv.Itoa(second.Connects),
				strconv.Itoa(second.Wanted),
				strconv.Itoa(second.Served),
				strconv.Itoa(second.Crashes),
			})
		}
	}
	return report.WriteCSV(path, header, rows)
}

// chart returns a chart that shows a value of each second, computed by valueOf.
func chart(title, unit string, runs []Result, valueOf func(Second) float64) report.Chart {
	chart := report.Chart{
		Title:     fmt.Sprintf("%s, %d routers, %s, simulated", title, runs[0].Routers, runs[0].Fault),
		XLabel:    "s after the start",
		YLabel:    unit,
		LegendTop: true,
	}
	for _, run := range runs {
		points := make(plotter.XYs, len(run.Seconds))
		for i, second := range run.Seconds {
			points[i] = plotter.XY{X: float64(i), Y: valueOf(second)}
		}
		chart.Series = append(chart.Series, report.Series{Baseline: run.Baseline, Points: points})
	}
	return chart
}
