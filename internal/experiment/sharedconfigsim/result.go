package sharedconfigsim

import (
	"slices"

	"tealpath/internal/compatibility"
	"tealpath/internal/experiment/report"
)

// Result holds what a run measured.
type Result struct {
	Instances          int     `json:"instances"`
	Hours              float64 `json:"hours"`
	Changes            int     `json:"changes"`          // proposed changes
	InForce            int     `json:"changes_in_force"` // changes that all running instances used at some moment
	Rejected           int     `json:"changes_refused"`
	Contradictions     int     `json:"contradictions"`       // observed pairs of incompatible versions in use
	MaxOverlapMS       float64 `json:"contradiction_max_ms"` // longest time for which two versions were in use
	OverlapBoundMS     float64 `json:"bound_ms"`             // upper bound of MaxOverlapMS
	InForceP50         float64 `json:"in_force_p50_ms"`      // from acceptance until all running instances use it
	InForceP99         float64 `json:"in_force_p99_ms"`
	InactiveShare      float64 `json:"floor_share_of_time"` // share of running time without an active version
	PeakSlowStartShare float64 `json:"share_sum_worst"`     // of a warming-up cache's budget; sum of all instances
}

// shareTolerance allows for rounding errors in the sum of all instances' shares.
const shareTolerance = 1e-6

// BoundsHold reports whether the bounds of docs/agreement.md hold.
func (r Result) BoundsHold() bool {
	return r.Contradictions == 0 && r.MaxOverlapMS <= r.OverlapBoundMS && r.PeakSlowStartShare <= 1+shareTolerance
}

// notInForceTimeout is the time, in ns, after which a change that not all instances use is ignored. Another change has
// probably replaced it by then, or some instances have not received it.
const notInForceTimeout = 60 * second

// measurements holds what a run has measured so far.
type measurements struct {
	changes            int
	rejectedChanges    int
	contradictions     int
	maxOverlapMS       float64
	timesToForce       []float64        // from a change's acceptance until all use it, ms
	acceptedAt         map[uint64]int64 // times by version number, of changes that not all use yet
	firstUsedAt        map[uint64]int64 // times by version number
	runningInstances   int              // summed over the observations
	inactiveInstances  int              // summed over the observations
	peakSlowStartShare float64
	incompatiblePairs  map[contentPair]bool
}

// contentPair holds the contents of two versions.
type contentPair struct{ older, newer string }

func newMeasurements() measurements {
	return measurements{
		acceptedAt:        map[uint64]int64{},
		firstUsedAt:       map[uint64]int64{},
		incompatiblePairs: map[contentPair]bool{},
	}
}

// observe records the versions that are in use at the current time.
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

// compareVersions checks each pair of versions in use for contradictions and overlap.
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

// incompatible reports whether two contents are incompatible, and caches the result.
func (m *measurements) incompatible(older, newer []byte) bool {
	pair := contentPair{string(older), string(newer)}
	incompatible, known := m.incompatiblePairs[pair]
	if !known {
		incompatible, _ = compatibility.Incompatible(older, newer)
		m.incompatiblePairs[pair] = incompatible
	}
	return incompatible
}

// noteInForce records the changes that all running instances now use, and drops those that took too long.
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
