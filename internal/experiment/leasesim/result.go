package leasesim

import (
	"tealpath/internal/cluster"
	"tealpath/internal/logevent"
)

// Result is the outcome of one or more runs.
type Result struct {
	Instances int     `json:"instances"`
	Hours     float64 `json:"hours"`
	// Overlaps counts acquisitions of a slot that another instance still held, and probes by instances that did not
	// hold the lease of the endpoint's slot.
	Overlaps int `json:"overlaps"`
	// BallotRegressions counts acquisitions of a slot under a ballot that is not higher than all earlier ballots of
	// the slot, in runs without ClockSteps.
	BallotRegressions int `json:"backward"`
	// BallotRegressionsWithClockSteps is the equivalent of BallotRegressions for runs with ClockSteps.
	BallotRegressionsWithClockSteps int `json:"backward_with_clocks_set_back"`
	// DuplicateProbes counts probes of an endpoint within one period after a probe by another instance.
	DuplicateProbes int     `json:"duplicated"`
	Tenures         int     `json:"tenures"` // acquisitions of a slot
	Kills           int     `json:"kills"`
	Partitions      int     `json:"splits"`
	Messages        int     `json:"messages"`
	Probes          int     `json:"probes"`
	ExpectedProbes  float64 `json:"probes_of_an_undisturbed_owner"` // probes if each slot always had one holder
	LeasedShare     float64 `json:"owned_share"`                    // share of time with a holder, mean over all slots
}

// BoundsHold reports whether the result keeps the bounds of docs/duties.md.
func (r Result) BoundsHold() bool { return r.Overlaps+r.BallotRegressions+r.DuplicateProbes == 0 }

// Add adds the result of another run. It also sums LeasedShare, which the caller divides by the number of runs.
func (r *Result) Add(other Result) {
	r.Hours += other.Hours
	r.Overlaps += other.Overlaps
	r.BallotRegressions += other.BallotRegressions
	r.BallotRegressionsWithClockSteps += other.BallotRegressionsWithClockSteps
	r.DuplicateProbes += other.DuplicateProbes
	r.Tenures += other.Tenures
	r.Kills += other.Kills
	r.Partitions += other.Partitions
	r.Messages += other.Messages
	r.Probes += other.Probes
	r.ExpectedProbes += other.ExpectedProbes
	r.LeasedShare += other.LeasedShare
}

// recordLeaseEvent updates the holders of slots by an event that an instance logs.
func (s *runState) recordLeaseEvent(instance *simulatedInstance, logged logevent.Event) {
	switch event := logged.(type) {
	case cluster.LeasesAcquired:
		for _, slot := range event.Slots {
			s.recordAcquisition(instance, slot, event.Ballot)
		}
	case cluster.LeasesLost:
		for _, slot := range event.Slots {
			s.release(instance.index, slot)
		}
	}
}

// recordAcquisition records that an instance has acquired a slot. It counts a regression if the ballot has not grown,
// and an overlap for each other instance that still holds the slot.
func (s *runState) recordAcquisition(instance *simulatedInstance, slot int, ballot uint64) {
	s.result.Tenures++
	switch {
	case ballot > s.ballots[slot]:
	case s.plan.ClockSteps:
		s.result.BallotRegressionsWithClockSteps++
	default:
		s.result.BallotRegressions++
	}
	s.ballots[slot] = max(s.ballots[slot], ballot)
	for _, other := range s.instances {
		if other != instance && other.holds(slot) {
			s.result.Overlaps++
		}
	}
	if s.holders[slot] == noHolder {
		s.leasedSlots++
	}
	s.holders[slot] = instance.index
}

// release records that an instance no longer holds a slot. It has no effect if the instance was not the holder.
func (s *runState) release(index, slot int) {
	if s.holders[slot] == index {
		s.holders[slot] = noHolder
		s.leasedSlots--
	}
}

// releaseAll records that an instance no longer holds any slot.
func (s *runState) releaseAll(index int) {
	for slot := range s.holders {
		s.release(index, slot)
	}
}

// recordProbe counts a probe. It checks that the sender holds the endpoint's slot and that no other instance has
// probed the endpoint within the last period.
func (s *runState) recordProbe(instance *simulatedInstance, effect cluster.SendProbe) {
	s.result.Probes++
	last, probed := s.lastProbes[effect.Target]
	if probed && last.holder != instance.index && s.now()-last.at < probePeriod {
		s.result.DuplicateProbes++
	}
	s.lastProbes[effect.Target] = sentProbe{s.now(), instance.index}
	if !instance.holds(effect.Slot) {
		s.result.Overlaps++
	}
}
