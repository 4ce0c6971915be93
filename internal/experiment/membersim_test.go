package experiment

import (
	"fmt"
	"testing"
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
