package sharedconfigsim

import (
	"slices"

	"tealpath/internal/compatibility"
	"tealpath/internal/experiment/report"
)

// Result is what a run gave.
type Result struct {
	Instances          int     `json:"instances"`
	Hours              float64 `json:"hours"`
	Changes            int     `json:"changes"`          // proposed
	InForce            int     `json:"changes_in_force"` // used by all that run, at some moment
	Rejected           int     `json:"changes_refused"`
	Contradictions     int     `json:"contradictions"`       // incompatible versions in use at once
	MaxOverlapMS       float64 `json:"contradiction_max_ms"` // for which two versions were in use at once
	OverlapBoundMS     float64 `json:"bound_ms"`             // of MaxOverlapMS
	InForceP50         float64 `json:"in_force_p50_ms"`      // from acceptance until all that run use it
	InForceP99         float64 `json:"in_force_p99_ms"`
	InactiveShare      float64 `json:"floor_share_of_time"` // of running instances, without a version
	PeakSlowStartShare float64 `json:"share_sum_worst"`     // of the budget of a cache in slow start, all instances
}

// shareTolerance allows for rounding where shares of all instances are added.
const shareTolerance = 1e-6

// BoundsHold tells whether the bounds of docs/agreement.md hold.
func (r Result) BoundsHold() bool {
	return r.Contradictions == 0 && r.MaxOverlapMS <= r.OverlapBoundMS && r.PeakSlowStartShare <= 1+shareTolerance
}

// notInForceTimeout is how long a change may take until all use it, ns; later it counts as overtaken by
// another one, or not known to some.
const notInForceTimeout = 60 * second

// measurements are what a run counts.
type measurements struct {
	changes            int
	rejectedChanges    int
	contradictions     int
	maxOverlapMS       float64
	timesToForce       []float64        // ms
	acceptedAt         map[uint64]int64 // by version number, of changes that not all use yet
	firstUsedAt        map[uint64]int64 // by version number
	runningInstances   int              // summed over the observations
	inactiveInstances  int              // summed over the observations
	peakSlowStartShare float64
	incompatiblePairs  map[contentPair]bool
}

// contentPair is the contents of two versions, the older one first.
type contentPair struct{ older, newer string }

func newMeasurements() measurements {
	return measurements{
		acceptedAt:        map[uint64]int64{},
		firstUsedAt:       map[uint64]int64{},
		incompatiblePairs: map[contentPair]bool{},
	}
}

// observe looks at the versions that are in use at this moment.
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
	s.noteInForce(users, running)
}

// compareVersions looks at each pair of versions in use.
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

// incompatible tells whether contents exclude each other, and remembers the answer.
func (m *measurements) incompatible(older, newer []byte) bool {
	pair := contentPair{string(older), string(newer)}
	incompatible, known := m.incompatiblePairs[pair]
	if !known {
		incompatible, _ = compatibility.Incompatible(older, newer)
		m.incompatiblePairs[pair] = incompatible
	}
	return incompatible
}

// noteInForce notes the changes that all running instances use by now.
func (s *runState) noteInForce(users map[uint64]int, running int) {
	for number, acceptedAt := range s.measured.acceptedAt {
		elapsed := s.now() - acceptedAt
		switch {
		case users[number] == running && running > 0:
			s.measured.timesToForce = append(s.measured.timesToForce, float64(elapsed)/1e6)
			delete(s.measured.acceptedAt, number)
		case elapsed > notInForceTimeout:
			delete(s.measured.acceptedAt, number)
		}
	}
}

func (s *runState) result() Result {
	measured := &s.measured
	slices.Sort(measured.timesToForce)
	return Result{
		Instances:          s.plan.Instances,
		Hours:              float64(s.plan.Duration) / 3600e9,
		Changes:            measured.changes,
		InForce:            len(measured.timesToForce),
		Rejected:           measured.rejectedChanges,
		Contradictions:     measured.contradictions,
		MaxOverlapMS:       measured.maxOverlapMS,
		OverlapBoundMS:     float64(s.plan.LeaseDuration+s.plan.RenewInterval/5) / 1e6,
		InForceP50:         report.Percentile(measured.timesToForce, 50),
		InForceP99:         report.Percentile(measured.timesToForce, 99),
		InactiveShare:      float64(measured.inactiveInstances) / max(1, float64(measured.runningInstances)),
		PeakSlowStartShare: measured.peakSlowStartShare,
	}
}
