package experiment

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// Simulated members under every fault keep to the bounds of docs/membership.md; the counters of before do not.
func TestMembersSimulated(t *testing.T) {
	for _, faults := range [][]string{{"kill"}, {"pause"}, {"loss", "late", "twice"}, {"deaf", "mute", "oneway"}, {"split"}, {"flap"}} {
		t.Run(fmt.Sprint(faults), func(t *testing.T) {
			t.Parallel()
			play := MemberSim{Instances: 40, Span: 150e9, Seed: 7, Interval: 5e8, Quiet: 21e8, Faults: faults, Every: 20e9, Spread: 1e9}
			if r := play.Run(); r.Broken() || r.Formed < 0 || r.Calm > 2000 {
				t.Errorf("%+v", r)
			}
		})
	}
	t.Run("a fifth of all messages lost", func(t *testing.T) {
		t.Parallel()
		if r := (MemberSim{Instances: 40, Span: 100e9, Seed: 7, Interval: 5e8, Quiet: 21e8, Loss: 0.2}).Run(); r.Broken() {
			t.Errorf("%+v", r)
		}
	})
	t.Run("before", func(t *testing.T) {
		t.Parallel()
		old := MemberSim{Instances: 40, Span: 30e9, Seed: 7, Interval: 5e8, Before: true}
		now := old
		now.Before = false
		was, is := old.Run(), now.Run()
		if was.False == 0 || is.False > 0 || is.Bytes > was.Bytes/4 {
			t.Errorf("%+v, before %+v", is, was)
		}
		if again := now.Run(); again != is {
			t.Error("another play of the same seed differs")
		}
	})
}

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
