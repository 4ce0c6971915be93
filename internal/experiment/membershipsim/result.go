package membershipsim

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"

	"tealpath/internal/experiment/membership"
	"tealpath/internal/experiment/report"

	"gonum.org/v1/plot/plotter"
)

// Result is the outcome of a run.
type Result struct {
	Instances    int     `json:"instances"`
	Baseline     bool    `json:"before"`
	Seconds      float64 `json:"simulated_s"`
	Kills        int     `json:"kills"`
	DetectionP50 float64 `json:"detect_p50_ms"` // ms until all healthy members believe a killed one dead
	DetectionP99 float64 `json:"detect_p99_ms"`
	MaxDetection float64 `json:"detect_max_ms"`
	MissedKills  int     `json:"kills_not_believed_by_all"`
	FalseDeaths  int     `json:"false_deaths"` // times that a member wrongly believed another one dead
	Pauses       int     `json:"pauses"`
	// MaxOneWayDetection is the longest time in ms until all others believed a member with a one-way fault dead.
	MaxOneWayDetection float64 `json:"oneway_judged_max_ms"`
	MissedOneWayFaults int     `json:"oneway_not_judged"`
	// MaxDisagreement is the longest time in ms for which views differed after a fault and its effects had ended.
	MaxDisagreement         float64 `json:"disagree_max_ms"`
	BytesPerSecond          float64 `json:"bytes_per_member_per_s"`
	FaultFreeBytesPerSecond float64 `json:"bytes_per_member_per_s_calm"` // sent while there is no fault
	MessagesPerSecond       float64 `json:"messages_per_member_per_s"`
	MaxConnections          int     `json:"links_per_member_max"`
	ViewChanges             float64 `json:"view_changes"` // changes of a member's view, mean over all members

	// TimeToFormMS is the time from the end of the plan's StartSpread until all members believed all others alive, or
	// -1 if they never did.
	TimeToFormMS float64 `json:"formed_ms"`
}

// BoundsHold reports whether the result keeps the bounds of docs/membership.md.
func (r Result) BoundsHold() bool {
	return r.MaxDetection <= membership.MaxDetectionMS &&
		r.MissedKills+r.FalseDeaths+r.MissedOneWayFaults == 0 &&
		r.MaxOneWayDetection <= membership.MaxOneWayDetectionMS &&
		r.MaxDisagreement <= membership.MaxDisagreementMS &&
		r.MaxConnections <= membership.MaxLinks
}

func (s *runState) result() Result {
	measured := &s.measured
	slices.Sort(measured.detections)
	instances, seconds := float64(s.plan.Instances), float64(s.plan.Duration)/1e9
	result := Result{
		Instances:          s.plan.Instances,
		Baseline:           s.plan.Baseline,
		Seconds:            seconds,
		Kills:              measured.kills,
		DetectionP50:       report.Percentile(measured.detections, 50),
		DetectionP99:       report.Percentile(measured.detections, 99),
		MaxDetection:       report.Percentile(measured.detections, 100),
		MissedKills:        measured.missedKills,
		FalseDeaths:        measured.falseDeaths,
		Pauses:             measured.pauses,
		MaxOneWayDetection: measured.maxOneWay,
		MissedOneWayFaults: measured.missedOneWay,
		MaxDisagreement:    measured.maxDifference,
		BytesPerSecond:     float64(measured.bytes) / seconds / instances,
		MessagesPerSecond:  float64(measured.messages) / seconds / instances,
		MaxConnections:     measured.maxConnections,
		TimeToFormMS:       notFormedMS,
	}
	if measured.faultFreeTime > 0 {
		result.FaultFreeBytesPerSecond =
			float64(measured.faultFreeBytes) / (float64(measured.faultFreeTime) / 1e9) / instances
	}
	if measured.formedAt != notFormed {
		result.TimeToFormMS = float64(measured.formedAt-int64(s.plan.StartSpread)) / 1e6
	}
	for _, member := range s.members {
		if member.protocol != nil {
			_, number := member.protocol.view()
			result.ViewChanges += float64(number) / instances
		}
	}
	return result
}

// notFormedMS is the value of Result.TimeToFormMS if members never all believed all others alive.
const notFormedMS = -1

// WriteTable writes a row for each run to members.csv.
func WriteTable(folder string, runs []Result) error {
	header := []string{"instances", "before", "detect_p99_ms", "false_deaths", "bytes_calm", "links"}
	var rows [][]string
	for _, run := range runs {
		rows = append(rows, []string{
			strconv.Itoa(run.Instances),
			strconv.FormatBool(run.Baseline),
			fmt.Sprint(run.DetectionP99),
			strconv.Itoa(run.FalseDeaths),
			fmt.Sprint(run.FaultFreeBytesPerSecond),
			strconv.Itoa(run.MaxConnections),
		})
	}
	return report.WriteCSV(filepath.Join(folder, "members.csv"), header, rows)
}

// WriteCharts draws the bytes sent and the detection times over the number of members.
func WriteCharts(folder string, runs []Result) error {
	bytes := report.Chart{
		Title:  "Bytes a member sends a second, no fault at work, simulated",
		YLabel: "bytes a second",
		Series: bySize(runs, func(r Result) float64 { return r.FaultFreeBytesPerSecond }),
	}
	if err := writeChart(filepath.Join(folder, "members-bytes.svg"), bytes); err != nil {
		return err
	}
	detection := report.Chart{
		Title:  "Until all believe a killed one dead, p99, simulated",
		YLabel: "ms",
		Series: bySize(runs, func(r Result) float64 { return r.DetectionP99 }),
	}
	return writeChart(filepath.Join(folder, "members-detect.svg"), detection)
}

func writeChart(path string, chart report.Chart) error {
	chart.XLabel = "members"
	chart.FromZero = true
	chart.Markers = true
	return chart.Save(path)
}

// bySize returns a series for the runs of the baseline and one for all other runs. A series without runs is left out.
// Each point has the number of instances as X and the figure as Y.
func bySize(runs []Result, figure func(Result) float64) []report.Series {
	var all []report.Series
	for _, baseline := range []bool{true, false} {
		series := report.Series{Baseline: baseline}
		for _, run := range runs {
			if run.Baseline == baseline {
				series.Points = append(series.Points, plotter.XY{X: float64(run.Instances), Y: figure(run)})
			}
		}
		if len(series.Points) > 0 {
			all = append(all, series)
		}
	}
	return all
}
