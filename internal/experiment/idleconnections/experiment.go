// Package idleconnections measures what idle client connections cost the real router, and how active traffic
// fares beside them: while they are idle, while all reconnect or send at once, and while all are closed for
// being idle too long.
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
	// spareConnections of a router process are left for active traffic.
	spareConnections = 100

	// suspendDelay is the time in which connections come to rest after they were opened or woken.
	suspendDelay = 3 * time.Second

	// maxBaselineDuration is shorter than the 10 s after which a baseline closes idle connections.
	maxBaselineDuration = 6 * time.Second

	minP99MS = 0.001 // against a division by 0
)

// Version names the build that a row belongs to.
type Version string

// The builds that are compared.
const (
	Current  Version = "now"
	Baseline Version = "before"
)

// Experiment opens more and more idle connections to routers that share one core.
type Experiment struct {
	Binary         string
	BaselineBinary string // an earlier build; empty is none
	ClientBinary   string // the program whose hold command is RunClients
	Dir            string // an existing directory for the routers' files
	ResultsDir     string
	Counts         []int // of idle connections, rising from 0
	MaxPerRouter   int   // connections that one router process holds
	Rate           float64
	Duration       time.Duration // for which active traffic is measured
	IdleTimeout    time.Duration // in the measurement of the mass expiry; 0 leaves that out
	Progress       io.Writer     // a line for each step
}

// Row is what was seen with so many idle connections.
type Row struct {
	Version             Version `json:"version"`
	Idle                int     `json:"idle"`
	Suspended           int     `json:"parked"`
	MemoryPerConnection float64 `json:"heap_per_conn_bytes"` // heap and stacks after a collection; 0 of a baseline
	ResidentPerConn     float64 `json:"rss_per_conn_bytes"`
	Goroutines          int     `json:"goroutines"`
	LatencyP50MS        float64 `json:"active_p50_ms"`
	LatencyP99MS        float64 `json:"active_p99_ms"`
	LatencyP999MS       float64 `json:"active_p999_ms"`
	ServedShare         float64 `json:"settled_share"`
	CPUShare            float64 `json:"cpu_share"` // of the one core
	OpenSeconds         float64 `json:"opened_in_s"`
}

// Result is what an experiment found.
type Result struct {
	Routers          int     `json:"routers"` // processes on the one core
	Rows             []Row   `json:"rows"`
	ReconnectSeconds float64 `json:"wave_s"`
	ReconnectP99MS   float64 `json:"wave_active_p99_ms"`
	WakeSeconds      float64 `json:"wake_s"`
	WakeP99MS        float64 `json:"wake_active_p99_ms"`
	ExpirySeconds    float64 `json:"expiry_s"`
	ExpiryP99MS      float64 `json:"expiry_active_p99_ms"`
	Failed           int     `json:"failed"` // connections that could not be opened or were not answered
	P99Ratio         float64 `json:"p99_ratio_most_to_none"`
	ReconnectRatio   float64 `json:"p99_ratio_wave_to_none"`
	ExpiryRatio      float64 `json:"p99_ratio_expiry_to_none"`
}

// Run plays the experiment, writes its files and returns its result.
func (e Experiment) Run(ctx context.Context) (Result, error) {
	if err := testcluster.AvoidRouterCore(); err != nil {
		return Result{}, err
	}
	p := e.plan()
	if err := p.run(ctx); err != nil {
		return p.result, err
	}
	return p.result, p.report()
}

// plan finds out how many router processes the connections need.
func (e Experiment) plan() *play {
	maxIdle := e.Counts[len(e.Counts)-1]
	perRouter := e.MaxPerRouter - spareConnections
	routers := max(1, (maxIdle+perRouter-1)/perRouter)
	return &play{Experiment: e, maxIdle: maxIdle, result: Result{Routers: routers}}
}

// play is one run of an experiment.
type play struct {
	Experiment
	maxIdle int // the highest of the counts
	result  Result
}

func (p *play) run(ctx context.Context) error {
	if err := p.measureCurrent(ctx); err != nil {
		return err
	}
	if p.IdleTimeout > 0 && p.maxIdle > 0 {
		if err := p.measureExpiry(ctx); err != nil {
			return err
		}
	}
	if p.BaselineBinary != "" {
		if err := p.measureBaseline(ctx); err != nil {
			return err
		}
	}
	base := max(p.result.Rows[0].LatencyP99MS, minP99MS)
	p.result.P99Ratio = p.result.Rows[len(p.Counts)-1].LatencyP99MS / base
	p.result.ReconnectRatio = p.result.ReconnectP99MS / base
	p.result.ExpiryRatio = p.result.ExpiryP99MS / base
	return nil
}

// measureCurrent measures each number of connections, and then all reconnecting and all sending at once.
func (p *play) measureCurrent(ctx context.Context) error {
	b, err := p.startBench("now", p.Binary, time.Hour)
	if err != nil {
		return err
	}
	defer b.close()
	if err := p.measureRows(ctx, b, Current); err != nil {
		return err
	}
	if p.maxIdle > 0 {
		if err := p.measureWave(ctx, b, reconnect, &p.result.ReconnectSeconds, &p.result.ReconnectP99MS); err != nil {
			return err
		}
		if err := p.measureWave(ctx, b, wake, &p.result.WakeSeconds, &p.result.WakeP99MS); err != nil {
			return err
		}
	}
	p.result.Failed = b.failed
	return nil
}

func (p *play) measureBaseline(ctx context.Context) error {
	b, err := p.startBench("before", p.BaselineBinary, 0)
	if err != nil {
		return err
	}
	defer b.close()
	return p.measureRows(ctx, b, Baseline)
}

// measureWave measures active traffic while all connections do something at once.
func (p *play) measureWave(ctx context.Context, b *bench, command command, seconds, p99MS *float64) error {
	var err error
	*p99MS, err = p.measureDuring(ctx, b, func() (err error) {
		*seconds, err = b.tellAll(command)
		return err
	})
	if err != nil {
		return err
	}
	p.logf("%s of %d: %.1f s, active p99 %.2f ms\n", command, p.maxIdle, *seconds, *p99MS)
	time.Sleep(suspendDelay)
	return nil
}

// report writes the result as JSON, and its rows as a table and a chart.
func (p *play) report() error {
	if err := report.WriteJSON(filepath.Join(p.ResultsDir, "idle.json"), p.result); err != nil {
		return err
	}
	var rows [][]string
	for _, row := range p.result.Rows {
		rows = append(rows, row.columns())
	}
	header := []string{
		"version", "idle", "parked", "goroutines",
		"heap_per_conn", "rss_per_conn", "p50_ms", "p99_ms", "p999_ms", "cpu",
	}
	if err := report.WriteCSV(filepath.Join(p.ResultsDir, "idle.csv"), header, rows); err != nil {
		return err
	}
	return p.chart().SaveAs(filepath.Join(p.ResultsDir, "idle"), "svg", "png")
}

// columns returns the row as it stands in the table.
func (r Row) columns() []string {
	columns := []string{string(r.Version), strconv.Itoa(r.Idle), strconv.Itoa(r.Suspended), strconv.Itoa(r.Goroutines)}
	for _, value := range []float64{
		r.MemoryPerConnection, r.ResidentPerConn, r.LatencyP50MS, r.LatencyP99MS, r.LatencyP999MS, r.CPUShare,
	} {
		columns = append(columns, strconv.FormatFloat(value, 'f', 3, 64))
	}
	return columns
}

// chart shows the latency of active traffic by the number of idle connections.
func (p *play) chart() report.Chart {
	chart := report.Chart{
		Title:    "Active traffic beside idle connections",
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
		for _, row := range p.result.Rows {
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

// logf reports progress. A writer that fails is no reason to end the experiment.
func (p *play) logf(format string, values ...any) { _, _ = fmt.Fprintf(p.Progress, format, values...) }

// ValidateCounts tells whether counts rise from 0.
func ValidateCounts(counts []int) bool {
	return len(counts) > 0 && counts[0] == 0 && slices.IsSorted(counts)
}
