package leasesim

import (
	"tealpath/internal/cluster"
	"tealpath/internal/logevent"
)

// Result holds what a run measured.
type Result struct {
	Instances              int     `json:"instances"`
	Hours                  float64 `json:"hours"`
	Overlaps               int     `json:"overlaps"`                      // events at which a slot had two holders
	BallotsBack            int     `json:"backward"`                      // leases with a ballot not above earlier ones
	BallotsBackClocksWrong int     `json:"backward_with_clocks_set_back"` // the same, in runs with ClockSteps
	DuplicateProbes        int     `json:"duplicated"`                    // probes by two holders within one period
	Tenures                int     `json:"tenures"`
	Kills                  int     `json:"kills"`
	Partitions             int     `json:"splits"`
	Messages               int     `json:"messages"`
	Probes                 int     `json:"probes"`
	ExpectedProbes         float64 `json:"probes_of_an_undisturbed_owner"`
	LeasedShare            float64 `json:"owned_share"` // of the slots' total time
}

// BoundsHold reports whether the bounds of docs/duties.md hold.
func (r Result) BoundsHold() bool { return r.Overlaps+r.BallotsBack+r.DuplicateProbes == 0 }

// Add adds the result of another run. It also adds LeasedShare, which the caller must divide by the number of runs.
func (r *Result) Add(other Result) {
	r.Hours += other.Hours
	r.Overlaps += other.Overlaps
	r.BallotsBack += other.BallotsBack
	r.BallotsBackClocksWrong += other.BallotsBackClocksWrong
	r.DuplicateProbes += other.DuplicateProbes
	r.Tenures += other.Tenures
	r.Kills += other.Kills
	r.Partitions += other.Partitions
	r.Messages += other.Messages
	r.Probes += other.Probes
	r.ExpectedProbes += other.ExpectedProbes
	r.LeasedShare += other.LeasedShare
}

// leasesChanged updates the holders of slots from an event that an instance has logged.
func (s *runState) leasesChanged(instance *simulatedInstance, logged logevent.Event) {
	switch event := logged.(type) {
	case cluster.LeasesAcquired:
		for _, slot := range event.Slots {
			s.acquired(instance, slot, event.Ballot)
		}
	case cluster.LeasesLost:
		for _, slot := range event.Slots {
			s.release(instance.index, slot)
		}
	}
}

// acquired records that an instance holds a slot from now on, and checks that no other instance holds it too.
func (s *runState) acquired(instance *simulatedInstance, slot int, ballot uint64) {
	s.result.Tenures++
	switch {
	case ballot > s.ballots[slot]:
	case s.plan.ClockSteps:
		s.result.BallotsBackClocksWrong++
	default:
		s.result.BallotsBack++
	}
	s.ballots[slot] = max(s.ballots[slot], ballot)
	for _, other := range s.instances {
		if other != instance && other.holds(slot) {
			s.result.Overlaps++
		}
	}
	if s.holders[slot] == nobody {
		s.leasedSlots++
	}
	s.holders[slot] = instance.index
}

// release records that an instance no longer holds a slot.
func (s *runState) release(index, slot int) {
	if s.holders[slot] == index {
		s.holders[slot] = nobody
		s.leasedSlots--
	}
}

// releaseAll records that an instance holds no slots, since it was killed.
func (s *runState) releaseAll(index int) {
	for slot := range s.holders {
		s.release(index, slot)
	}
}

// probeSent checks that the sender holds the endpoint's slot, and that no other instance has probed the endpoint
// within the last probe period.
func (s *runState) probeSent(instance *simulatedInstance, effect cluster.SendProbe) {
	s.result.Probes++
	last, probed := s.lastProbes[effect.Target]
	if probed && last.owner != instance.index && s.now()-last.at < probePeriod {
		s.result.DuplicateProbes++
	}
	s.lastProbes[effect.Target] = sentProbe{s.now(), instance.index}
	if !instance.holds(effect.Slot) {
		s.result.Overlaps++
	}
}
