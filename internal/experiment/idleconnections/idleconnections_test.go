package idleconnections

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/experiment/testcluster"
	"tealpath/internal/experiment/testcluster/clustertest"
)

// The experiment on idle connections at a size that fits here, and a graceful shutdown with all of them open.
func TestIdleConnectionsOfRealInstances(t *testing.T) {
	e := Experiment{
		Binary:       clustertest.Build(t, "tealpath"),
		ClientBinary: clustertest.Build(t, "tealexperiment"),
		Dir:          t.TempDir(),
		ResultsDir:   t.TempDir(),
		Counts:       []int{0, 1000},
		MaxPerRouter: 14900,
		Rate:         100,
		Duration:     2 * time.Second,
		Progress:     t.Output(),
	}
	r, err := e.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	last := r.Rows[1]
	if r.Failed != 0 || last.Suspended < 1000 || last.Goroutines > 100 || last.ServedShare < 0.9 {
		t.Errorf("%+v", r)
	}

	b, err := e.plan().startBench("leaving", e.Binary, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	if _, err := b.open(2000); err != nil || b.failed != 0 {
		t.Fatalf("%v, %d failed", err, b.failed)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	answered := make(chan testcluster.LoadResult, 1)
	go func() {
		load, err := b.load(ctx, 100, time.Second)
		if err != nil {
			t.Error(err)
		}
		answered <- load
	}()
	time.Sleep(500 * time.Millisecond)
	startedAt := time.Now()
	if err := b.Signal("n00", syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	clustertest.WaitForLog(t, b.Cluster, "n00", "server_phase_changed", `"phase":"stopped"`)
	if took := time.Since(startedAt); took > 3500*time.Millisecond {
		t.Errorf("it ended after %s with 2,000 idle connections", took)
	}
	if load := <-answered; load.Served < load.Sent/2 {
		t.Errorf("%d of %d were answered beside the end", load.Served, load.Sent)
	}
}

// A client that can't connect would try for a minute, so only commands without connections are given here.
func TestClientCommands(t *testing.T) {
	var out strings.Builder
	in := strings.NewReader("open 0\n\nwake\nrenew\nended\nnonsense\nquit\nwake\n")
	if err := RunClients("127.0.0.1:1", "127.0.0.1", in, &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []command{"open", "wake", "renew", "ended", "nonsense"}
	if len(lines) != len(want) {
		t.Fatalf("%q", lines)
	}
	for i, line := range lines {
		if got, err := parseAnswer(line); err != nil || got.command != want[i] || got.open != 0 || got.failed != 0 {
			t.Errorf("%q: %+v, %v", line, got, err)
		}
	}
}

func TestRowsOfBaselineAreInTheChart(t *testing.T) {
	p := &play{result: Result{Rows: []Row{
		{Version: Current, Idle: 0, LatencyP99MS: 1},
		{Version: Current, Idle: 10, LatencyP99MS: 2},
		{Version: Baseline, Idle: 0, LatencyP99MS: 3},
	}}}
	chart := p.chart()
	if len(chart.Series) != 2 || len(chart.Series[0].Points) != 2 || len(chart.Series[1].Points) != 1 {
		t.Errorf("%+v", chart.Series)
	}
}
