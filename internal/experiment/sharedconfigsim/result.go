package sharedconfigsim

import (
	"slices"

	"tealpath/internal/compatibility"
	"tealpath/internal/experiment/report"
)

// Result is the outcome of a run.
type Result struct {
	Instances int     `json:"instances"`
	Hours     float64 `json:"hours"`
	Changes   int     `json:"changes"`          // changes proposed and not rejected by the proposing instance
	InForce   int     `json:"changes_in_force"` // changes that all running instances used at some moment
	Rejected  int     `json:"changes_refused"`
	// Contradictions counts pairs of incompatible versions in use at once, summed over all observations.
	Contradictions int     `json:"contradictions"`
	MaxOverlapMS   float64 `json:"contradiction_max_ms"` // longest time for which two versions were in use at once
	OverlapBoundMS float64 `json:"bound_ms"`             // upper bound of MaxOverlapMS
	InForceP50     float64 `json:"in_force_p50_ms"`      // ms from acceptance of a change until all use it
	InForceP99     float64 `json:"in_force_p99_ms"`
	InactiveShare  float64 `json:"floor_share_of_time"` // share of running instances without an active version
	// PeakSlowStartShare is the largest sum, over all instances, of their shares of the budget of a cache in slow
	// start.
	PeakSlowStartShare float64 `json:"share_sum_worst"`
}

// shareTolerance allows for rounding errors in the sum of all instances' shares.
const shareTolerance = 1e-6

// BoundsHold reports whether the result keeps the bounds of docs/agreement.md.
func (r Result) BoundsHold() bool {
	return r.Contradictions == 0 && r.MaxOverlapMS <= r.OverlapBoundMS && r.PeakSlowStartShare <= 1+shareTolerance
}

// inForceTimeout is the time, in ns, within which a change must be used by all running instances to be measured. A
// change that takes longer was replaced by a newer one or has not reached some instances.
const inForceTimeout = 60 * second

// measurements collects the changes of a run, how long they take, and the contradictions between versions in use.
type measurements struct {
	changes            int
	rejectedChanges    int
	contradictions     int
	maxOverlapMS       float64
	timesToInForce     []float64        // ms from the acceptance of each change until all used it
	acceptedAt         map[uint64]int64 // ns; acceptance time of each change not yet in force, by version number
	firstUsedAt        map[uint64]int64 // ns; when each version was first seen in use, by version number
	runningInstances   int              // running instances, summed over the observations
	inactiveInstances  int              // running instances without an active version, summed over the observations
	peakSlowStartShare float64
	incompatiblePairs  map[contentPair]bool // cached results of compatibility.Incompatible
}

// contentPair holds the contents of two versions, the older one first.
type contentPair struct{ older, newer string }

func newMeasurements() measurements {
	return measurements{
		acceptedAt:        map[uint64]int64{},
		firstUsedAt:       map[uint64]int64{},
		incompatiblePairs: map[contentPair]bool{},
	}
}

// observe records which versions are in use at this moment, and checks them against each other.
func (s *runState) observe() {
	inUse := map[uint64][]byte{} // contents by version number
	users := map[uint64]int{}
	running := 0
	slowStartShare := 0.
	for _, instance := range s.instances {
		if !instance.host.Running(s.now()) {
			continue
		}
		running++
		version, _, active := instance.node.Active(instance.localTime())
		if !active {
			s.measured.inactiveInstances++
			continue
		}
		inUse[version.Number] = version.Content
		users[version.Number]++
		if s.measured.firstUsedAt[version.Number] == 0 {
			s.measured.firstUsedAt[version.Number] = s.now()
		}
		if settings, err := compatibility.Decode(version.Content); err == nil {
			slowStartShare += 1 / float64(settings.Routers)
		}
	}
	s.measured.runningInstances += running
	s.measured.peakSlowStartShare = max(s.measured.peakSlowStartShare, slowStartShare)
	s.compareVersions(inUse)
	s.recordInForce(users, running)
}

// compareVersions checks each pair of versions in use for contradictions and for how long it has been in use.
func (s *runState) compareVersions(inUse map[uint64][]byte) {
	for older, olderContent := range inUse {
		for newer, newerContent := range inUse {
			if older >= newer {
				continue
			}
			if s.measured.incompatible(olderContent, newerContent) {
				s.measured.contradictions++
			}
			overlap := float64(s.now()-s.measured.firstUsedAt[newer]) / 1e6
			s.measured.maxOverlapMS = max(s.measured.maxOverlapMS, overlap)
		}
	}
}

// incompatible reports whether the contents of two versions are incompatible. It caches the answer.
func (m *measurements) incompatible(older, newer []byte) bool {
	pair := contentPair{string(older), string(newer)}
	incompatible, known := m.incompatiblePairs[pair]
	if !known {
		incompatible, _ = compatibility.Incompatible(older, newer)
		m.incompatiblePairs[pair] = incompatible
	}
	return incompatible
}

// recordInForce records the changes that have come into force: all running instances use them.
func (s *runState) recordInForce(users map[uint64]int, running int) {
	for number, acceptedAt := range s.measured.acceptedAt {
		elapsed := s.now() - acceptedAt
		switch {
		case users[number] == running && running > 0:
			s.measured.timesToInForce = append(s.measured.timesToInForce, float64(elapsed)/1e6)
			delete(s.measured.acceptedAt, number)
		case elapsed > inForceTimeout:
			delete(s.measured.acceptedAt, number)
		}
	}
}

func (s *runState) result() Result {
	measured := &s.measured
	slices.Sort(measured.timesToInForce)
	return Result{
		Instances:          s.plan.Instances,
		Hours:              float64(s.plan.Duration) / 3600e9,
		Changes:            measured.changes,
		InForce:            len(measured.timesToInForce),
		Rejected:           measured.rejectedChanges,
		Contradictions:     measured.contradictions,
		MaxOverlapMS:       measured.maxOverlapMS,
		OverlapBoundMS:     float64(s.plan.LeaseDuration+s.plan.RenewInterval/5) / 1e6,
		InForceP50:         report.Percentile(measured.timesToInForce, 50),
		InForceP99:         report.Percentile(measured.timesToInForce, 99),
		InactiveShare:      float64(measured.inactiveInstances) / max(1, float64(measured.runningInstances)),
		PeakSlowStartShare: measured.peakSlowStartShare,
	}
}
