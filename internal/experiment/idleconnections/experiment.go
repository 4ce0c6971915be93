// Package idleconnections measures the memory and processor time that idle client connections cost a real router,
// and the latency of active traffic on other connections: while the idle connections stay idle, while all of them
// reconnect or send at once, and while the router closes all of them because they have been idle too long.
package idleconnections

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg/draw"
)

const (
	// spareConnections is the number of connections to each router that are reserved for active traffic.
	spareConnections = 100

	// suspendDelay is the time within which the router suspends connections after they were opened or used.
	suspendDelay = 3 * time.Second

	// maxBaselineDuration is shorter than the 10 s after which a baseline router closes idle connections.
	maxBaselineDuration = 6 * time.Second

	minP99MS = 0.001 // lower limit of the 99th percentile that ratios are divided by; it avoids a division by 0
)

// Version identifies the build of the router with which a Row was measured.
type Version string

// Builds that are compared.
const (
	Current  Version = "now"
	Baseline Version = "before"
)

// Experiment opens a growing number of idle connections to routers that share one core.
type Experiment struct {
	Binary         string
	BaselineBinary string // an earlier build of the router; empty if there is none
	ClientBinary   string // the program whose hold command calls RunClients
	Dir            string // an existing directory for the routers' files
	ResultsDir     string
	Counts         []int         // numbers of idle connections, in ascending order from 0
	MaxPerRouter   int           // largest number of connections to one router process
	Rate           float64       // requests per second of active traffic to all routers together
	Duration       time.Duration // how long active traffic is sent for each Row
	IdleTimeout    time.Duration // idle timeout of the routers in the expiry measurement; 0 skips it
	Progress       io.Writer     // receives a line for each step
}

// Row holds the measurements with one number of idle connections.
type Row struct {
	Version             Version `json:"version"`
	Idle                int     `json:"idle"`
	Suspended           int     `json:"parked"`
	MemoryPerConnection float64 `json:"heap_per_conn_bytes"` // heap and stacks after a collection; 0 for a baseline
	ResidentPerConn     float64 `json:"rss_per_conn_bytes"`
	Goroutines          int     `json:"goroutines"`
	LatencyP50MS        float64 `json:"active_p50_ms"`
	LatencyP99MS        float64 `json:"active_p99_ms"`
	LatencyP999MS       float64 `json:"active_p999_ms"`
	ServedShare         float64 `json:"settled_share"`
	CPUShare            float64 `json:"cpu_share"`   // fraction of their shared core that the routers used
	OpenSeconds         float64 `json:"opened_in_s"` // time to open the connections that the previous row did not have
}

// Result holds the measurements of an experiment. Each P99MS is the latency of active traffic during one event, and
// each ratio compares a 99th percentile with that of the first row, which has no idle connections.
type Result struct {
	Routers          int     `json:"routers"` // router processes, which share one core
	Rows             []Row   `json:"rows"`
	ReconnectSeconds float64 `json:"wave_s"` // time until all connections were closed and opened again
	ReconnectP99MS   float64 `json:"wave_active_p99_ms"`
	WakeSeconds      float64 `json:"wake_s"` // time until a health check was answered on every connection
	WakeP99MS        float64 `json:"wake_active_p99_ms"`
	ExpirySeconds    float64 `json:"expiry_s"` // time from 1% of the connections closed until nearly all are
	ExpiryP99MS      float64 `json:"expiry_active_p99_ms"`
	Failed           int     `json:"failed"`                 // connections not opened or not answered
	P99Ratio         float64 `json:"p99_ratio_most_to_none"` // ratio of the row with the most idle connections
	ReconnectRatio   float64 `json:"p99_ratio_wave_to_none"`
	ExpiryRatio      float64 `json:"p99_ratio_expiry_to_none"`
}

// Run runs the experiment, writes its files and returns its result.
func (e Experiment) Run(ctx context.Context) (Result, error) {
	if err := testcluster.AvoidRouterCore(); err != nil {
		return Result{}, err
	}
	r := e.newRun()
	if err := r.run(ctx); err != nil {
		return r.result, err
	}
	return r.result, r.report()
}

// newRun computes the number of router processes from the largest number of connections.
func (e Experiment) newRun() *experimentRun {
	maxIdle := e.Counts[len(e.Counts)-1]
	perRouter := e.MaxPerRouter - spareConnections
	routers := max(1, (maxIdle+perRouter-1)/perRouter)
	return &experimentRun{Experiment: e, maxIdle: maxIdle, result: Result{Routers: routers}}
}

// experimentRun holds the settings of one run and what has been measured so far.
type experimentRun struct {
	Experiment
	maxIdle int // the largest of Counts
	result  Result
}

func (r *experimentRun) run(ctx context.Context) error {
	if err := r.measureCurrent(ctx); err != nil {
		return err
	}
	if r.IdleTimeout > 0 && r.maxIdle > 0 {
		if err := r.measureExpiry(ctx); err != nil {
			return err
		}
	}
	if r.BaselineBinary != "" {
		if err := r.measureBaseline(ctx); err != nil {
			return err
		}
	}
	base := max(r.result.Rows[0].LatencyP99MS, minP99MS)
	r.result.P99Ratio = r.result.Rows[len(r.Counts)-1].LatencyP99MS / base
	r.result.ReconnectRatio = r.result.ReconnectP99MS / base
	r.result.ExpiryRatio = r.result.ExpiryP99MS / base
	return nil
}

// measureCurrent measures the current build with each number of connections, and then while all connections reconnect
// and while all send at once.
func (r *experimentRun) measureCurrent(ctx context.Context) error {
	b, err := r.startTestbed("now", r.Binary, time.Hour)
	if err != nil {
		return err
	}
	defer b.close()
	if err := r.measureRows(ctx, b, Current); err != nil {
		return err
	}
	if r.maxIdle > 0 {
		if err := r.measureCommand(
			ctx, b, reconnectCommand, &r.result.ReconnectSeconds, &r.result.ReconnectP99MS,
		); err != nil {
			return err
		}
		if err := r.measureCommand(ctx, b, wakeCommand, &r.result.WakeSeconds, &r.result.WakeP99MS); err != nil {
			return err
		}
	}
	r.result.Failed = b.failed
	return nil
}

// measureBaseline measures the baseline build with each number of connections.
func (r *experimentRun) measureBaseline(ctx context.Context) error {
	b, err := r.startTestbed("before", r.BaselineBinary, 0)
	if err != nil {
		return err
	}
	defer b.close()
	return r.measureRows(ctx, b, Baseline)
}

// measureCommand measures active traffic while all client processes execute a command.
func (r *experimentRun) measureCommand(
	ctx context.Context, b *testbed, command command, seconds, p99MS *float64,
) error {
	var err error
	*p99MS, err = r.measureDuring(ctx, b, func() (err error) {
		*seconds, err = b.sendAll(command)
		return err
	})
	if err != nil {
		return err
	}
	r.logf("%s of %d connections: %.1f s, active p99 %.2f ms\n", command, r.maxIdle, *seconds, *p99MS)
	time.Sleep(suspendDelay)
	return nil
}

// report writes the result as JSON, and its rows as a table and a chart.
func (r *experimentRun) report() error {
	if err := report.WriteJSON(filepath.Join(r.ResultsDir, "idle.json"), r.result); err != nil {
		return err
	}
	var rows [][]string
	for _, row := range r.result.Rows {
		rows = append(rows, row.columns())
	}
	header := []string{
		"version", "idle", "parked", "goroutines",
		"heap_per_conn", "rss_per_conn", "p50_ms", "p99_ms", "p999_ms", "cpu",
	}
	if err := report.WriteCSV(filepath.Join(r.ResultsDir, "idle.csv"), header, rows); err != nil {
		return err
	}
	return r.chart().SaveAs(filepath.Join(r.ResultsDir, "idle"), "svg", "png")
}

// columns returns the values of the row, formatted and in the order of the columns in idle.csv.
func (r Row) columns() []string {
	columns := []string{string(r.Version), strconv.Itoa(r.Idle), strconv.Itoa(r.Suspended), strconv.Itoa(r.Goroutines)}
	for _, value := range []float64{
		r.MemoryPerConnection, r.ResidentPerConn, r.LatencyP50MS, r.LatencyP99MS, r.LatencyP999MS, r.CPUShare,
	} {
		columns = append(columns, strconv.FormatFloat(value, 'f', 3, 64))
	}
	return columns
}

// chart returns a chart of active traffic's latency by the number of idle connections.
func (r *experimentRun) chart() report.Chart {
	chart := report.Chart{
		Title:    "Latency of active traffic while other connections are idle",
		XLabel:   "idle connections",
		YLabel:   "p99, ms",
		FromZero: true,
	}
	for _, version := range []Version{Current, Baseline} {
		series := report.Series{
			Name:   string(version),
			Color:  report.Black,
			Dashed: version == Baseline,
			Shape:  draw.RingGlyph{},
		}
		for _, row := range r.result.Rows {
			if row.Version == version {
				series.Points = append(series.Points, plotter.XY{X: float64(row.Idle), Y: row.LatencyP99MS})
			}
		}
		if len(series.Points) > 0 {
			chart.Series = append(chart.Series, series)
		}
	}
	return chart
}

// logf reports progress. It ignores errors of the writer, which must not end the experiment.
func (r *experimentRun) logf(format string, values ...any) {
	_, _ = fmt.Fprintf(r.Progress, format, values...)
}

// ValidateCounts reports whether counts start at 0 and are in ascending order.
func ValidateCounts(counts []int) bool {
	return len(counts) > 0 && counts[0] == 0 && slices.IsSorted(counts)
}
