package experiment

import (
	"errors"
	"testing"
	"time"
)

// Real instances: killed, cut off in one direction, a tenth stopped, split, one starved.
func TestMembersOfRealInstances(t *testing.T) {
	t.Parallel()
	m := Members{Setup: Setup{Core: -1, Binary: build(t), Folder: t.TempDir(), Instances: 10, Slots: 8, Lease: 1500 * time.Millisecond,
		Renewal: 500 * time.Millisecond, Period: time.Second}, Faults: []string{"kill", "deaf", "mute", "many", "split", "slow"},
		Span: 42 * time.Second, Seed: 7}
	r, err := m.Run(t.Context())
	// How long it took is the machine's as well: tests hold only what was believed, and that all agreed again.
	if err != nil && !errors.Is(err, ErrBound) || r.False+r.Missed+r.Unjudged > 0 || len(r.Trouble) < 5 {
		t.Errorf("%v %+v", err, r)
	}
}
