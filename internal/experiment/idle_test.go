package experiment

import (
	"context"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// The experiment on idle connections at a size that fits here, and a planned end with all of them open.
func TestIdleOfRealInstances(t *testing.T) {
	tool := filepath.Join(t.TempDir(), "tealexperiment")
	if out, err := exec.Command("go", "build", "-o", tool, "../../cmd/tealexperiment").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	d := Idle{Binary: build(t), Holder: tool, Folder: t.TempDir(), Out: t.TempDir(), Counts: []int{0, 1000}, Most: 14900, Rate: 100,
		Seconds: 2 * time.Second, Process: t.Output()}
	r, err := d.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if last := r.Rows[1]; r.Failed != 0 || last.Parked < 1000 || last.Goroutines > 100 || last.Settled < 0.9 {
		t.Errorf("%+v", r)
	}

	g, err := d.rig("leaving", d.Binary, 1, time.Hour)
	if g != nil {
		defer g.close()
	}
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.all("open", 2000); err != nil || g.failed != 0 {
		t.Fatalf("%v, %d failed", err, g.failed)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	answered := make(chan LoadResult, 1)
	go func() {
		l, _ := g.load(ctx, 100, time.Second)
		answered <- l
	}()
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	if err := g.Signal("n00", syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	logged(t, g.Cluster, "n00", "server_phase_changed", `"phase":"stopped"`)
	if took := time.Since(began); took > 3500*time.Millisecond {
		t.Errorf("it ended after %s with 2,000 idle connections", took)
	}
	if l := <-answered; l.Settled < l.Sent/2 {
		t.Errorf("%d of %d were answered beside the end", l.Settled, l.Sent)
	}
}
