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

// Result holds what a run measured.
type Result struct {
	Instances       int     `json:"instances"`
	Baseline        bool    `json:"before"`
	Seconds         float64 `json:"simulated_s"`
	Kills           int     `json:"kills"`
	DetectionP50    float64 `json:"detect_p50_ms"` // from a kill until all live members believe the member dead
	DetectionP99    float64 `json:"detect_p99_ms"`
	MaxDetection    float64 `json:"detect_max_ms"`
	MissedKills     int     `json:"kills_not_believed_by_all"`
	FalseDeaths     int     `json:"false_deaths"` // times that a member believed another one dead without reason
	Pauses          int     `json:"pauses"`
	MaxOneWay       float64 `json:"oneway_judged_max_ms"` // until all believe a member with a one-way fault dead
	MissedOneWay    int     `json:"oneway_not_judged"`
	MaxDisagreement float64 `json:"disagree_max_ms"` // longest time for which views differed after a fault
	BytesPerSecond  float64 `json:"bytes_per_member_per_s"`
	CalmBytes       float64 `json:"bytes_per_member_per_s_calm"` // while no fault lasts
	Messages        float64 `json:"messages_per_member_per_s"`
	PeakConnections int     `json:"links_per_member_max"`
	ViewChanges     float64 `json:"view_changes"` // changes of a member's view, mean
	TimeToFormMS    float64 `json:"formed_ms"`    // until all believe all alive; -1: never
}

// BoundsHold reports whether the bounds of docs/membership.md hold.
func (r Result) BoundsHold() bool {
	return r.MaxDetection <= membership.MaxDetectionMS &&
		r.MissedKills+r.FalseDeaths+r.MissedOneWay == 0 &&
		r.MaxOneWay <= membership.MaxJudgementMS &&
		r.MaxDisagreement <= membership.MaxDisagreementMS &&
		r.PeakConnections <= membership.MaxLinks
}

func (s *runState) result() Result {
	measured := &s.measured
	slices.Sort(measured.detections)
	instances, seconds := float64(s.plan.Instances), float64(s.plan.Duration)/1e9
	result := Result{
		Instances:       s.plan.Instances,
		Baseline:        s.plan.Baseline,
		Seconds:         seconds,
		Kills:           measured.kills,
		DetectionP50:    report.Percentile(measured.detections, 50),
		DetectionP99:    report.Percentile(measured.detections, 99),
		MaxDetection:    report.Percentile(measured.detections, 100),
		MissedKills:     measured.missedKills,
		FalseDeaths:     measured.falseDeaths,
		Pauses:          measured.pauses,
		MaxOneWay:       measured.maxOneWay,
		MissedOneWay:    measured.missedOneWay,
		MaxDisagreement: measured.maxDifference,
		BytesPerSecond:  float64(measured.bytes) / seconds / instances,
		Messages:        float64(measured.messages) / seconds / instances,
		PeakConnections: measured.maxConnections,
		TimeToFormMS:    notFormedMS,
	}
	if measured.calmTime > 0 {
		result.CalmBytes = float64(measured.calmBytes) / (float64(measured.calmTime) / 1e9) / instances
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

const notFormedMS = -1

// WriteTable writes members.csv, with a line for each run.
func WriteTable(folder string, runs []Result) error {
	header := []string{"instances", "before", "detect_p99_ms", "false_deaths", "bytes_calm", "links"}
	var rows [][]string
	for _, run := range runs {
		rows = append(rows, []string{
			strconv.Itoa(run.Instances),
			strconv.FormatBool(run.Baseline),
			fmt.Sprint(run.DetectionP99),
			strconv.Itoa(run.FalseDeaths),
			fmt.Sprint(run.CalmBytes),
			strconv.Itoa(run.PeakConnections),
		})
	}
	return report.WriteCSV(filepath.Join(folder, "members.csv"), header, rows)
}

// WriteCharts writes charts of the bytes sent and of the detection times by the number of members.
func WriteCharts(folder string, runs []Result) error {
	bytes := report.Chart{
		Title:  "Bytes a member sends a second, no fault at work, simulated",
		YLabel: "bytes a second",
		Series: bySize(runs, func(r Result) float64 { return r.CalmBytes }),
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

// bySize returns a series of the baseline's runs and one of the other runs, without series that would be empty.
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
