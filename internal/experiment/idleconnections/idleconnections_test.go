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

// Idle connections must be suspended without failures and without a goroutine each, while active traffic is served. A
// router with 2,000 idle connections must still shut down gracefully in time.
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
		t.Errorf("want no failed connections, at least 1000 suspended, at most 100 goroutines and a served share of at "+
			"least 0.9; got %+v", r)
	}

	b, err := e.newRun().startTestbed("leaving", e.Binary, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	if _, err := b.open(2000); err != nil || b.failed != 0 {
		t.Fatalf("opening 2000 connections: %v, %d connections failed", err, b.failed)
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
		t.Errorf("graceful shutdown with 2,000 idle connections took %s, want at most 3.5s", took)
	}
	if load := <-answered; load.Served < load.Sent/2 {
		t.Errorf("%d of %d requests were served during the shutdown, want at least half", load.Served, load.Sent)
	}
}

// The test opens no connections, since a client that cannot connect to its router retries for a minute.
func TestClientCommands(t *testing.T) {
	var out strings.Builder
	in := strings.NewReader("open 0\n\nwake\nrenew\nended\nnonsense\nquit\nwake\n")
	if err := RunClients("127.0.0.1:1", "127.0.0.1", in, &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []command{"open", "wake", "renew", "ended", "nonsense"}
	if len(lines) != len(want) {
		t.Fatalf("got answers %q, want one for each of %q", lines, want)
	}
	for i, line := range lines {
		if got, err := parseAnswer(line); err != nil || got.command != want[i] || got.open != 0 || got.failed != 0 {
			t.Errorf("answer %q: got %+v and error %v, want command %s, no connections", line, got, err, want[i])
		}
	}
}

func TestRowsOfBaselineAreInTheChart(t *testing.T) {
	r := &experimentRun{result: Result{Rows: []Row{
		{Version: Current, Idle: 0, LatencyP99MS: 1},
		{Version: Current, Idle: 10, LatencyP99MS: 2},
		{Version: Baseline, Idle: 0, LatencyP99MS: 3},
	}}}
	chart := r.chart()
	if len(chart.Series) != 2 || len(chart.Series[0].Points) != 2 || len(chart.Series[1].Points) != 1 {
		t.Errorf("want two series, with 2 and 1 points, got %+v", chart.Series)
	}
}
