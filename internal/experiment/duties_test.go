package experiment

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// build builds the real program.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tealpath")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/tealpath").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// Real instances on loopback: owners are killed, told to leave, frozen and cut off. What a busy machine can stretch is
// held to twice the bound here; the tool holds it to the bound.
func TestDutiesOfRealInstances(t *testing.T) {
	d := Duties{Setup: Setup{Core: -1, Binary: build(t), Folder: t.TempDir(), Instances: 3, Caches: 5, Slots: 16, Lease: 1500 * time.Millisecond,
		Renewal: 500 * time.Millisecond, Period: time.Second}, Kills: len(kinds), Seed: 3, Out: t.TempDir(), Calm: 3 * time.Second, Process: t.Output()}
	r, err := d.Run(t.Context())
	if err != nil && r.Kills == 0 {
		t.Fatal(err)
	}
	if r.Overlaps != 0 || r.Stale != 0 || r.ColdWorst > 1 || r.TargetsNeverProbed != 0 || r.GapMax > 2*r.BoundMS {
		t.Errorf("%+v", r)
	}
	if r.CalmProbes < 0.5 || r.CalmProbes > 1.5 {
		t.Errorf("%.2f probes a target and period in the calm", r.CalmProbes)
	}
}
