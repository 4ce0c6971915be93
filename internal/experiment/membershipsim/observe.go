package membershipsim

import "slices"

const (
	// observersPerRound is roughly the number of members whose beliefs one observation checks in a large run, in which
	// members take turns. A run with at most twice as many members is small: each observation checks them all.
	observersPerRound = 24
	// connectionSamplingInterval is the number of messages between two counts of a member's connections while there
	// is no fault. Counting at every message would take too long.
	connectionSamplingInterval = 16
	detectionPollInterval      = int64(20e6) // ns between two checks whether all believe a member dead
	notDiffering               = int64(-1)   // value of differSince while views are equal
)

// measurements collects the detections, wrong beliefs, differing views and traffic of a run.
type measurements struct {
	kills          int
	missedKills    int
	detections     []float64 // ms from each kill until all other healthy members believed the victim dead
	pauses         int
	missedOneWay   int
	maxOneWay      float64 // longest time in ms until a one-way fault was detected
	falseDeaths    int
	believedDead   map[directedPair]bool // pairs of observer and member whose false death was counted
	maxDifference  float64               // longest time in ms for which views differed
	differSince    int64                 // ns; when views began to differ, or notDiffering
	formedAt       int64                 // ns; when all first believed all others alive, or notFormed
	bytes          int
	messages       int
	faultFreeBytes int
	faultFreeTime  int64 // ns without a fault or its effects
	maxConnections int
	observations   int
}

// notFormed is the value of formedAt until all members believe all others alive.
const notFormed = int64(-1)

func newMeasurements() measurements {
	return measurements{
		believedDead: map[directedPair]bool{},
		differSince:  notDiffering,
		formedAt:     notFormed,
	}
}

func (m *measurements) countSent(message message, faultFree bool) {
	m.bytes += message.bytes
	m.messages++
	if faultFree {
		m.faultFreeBytes += message.bytes
	}
}

func (m *measurements) killDetected(ms float64)   { m.detections = append(m.detections, ms) }
func (m *measurements) killMissed()               { m.missedKills++ }
func (m *measurements) oneWayDetected(ms float64) { m.maxOneWay = max(m.maxOneWay, ms) }
func (m *measurements) oneWayMissed()             { m.missedOneWay++ }

// observe records when all members first believe all others alive, counts false deaths and compares views.
func (s *runState) observe() {
	if s.measured.formedAt == notFormed && s.allBelieveAllAlive() {
		s.measured.formedAt = s.now()
	}
	s.countFalseDeaths()
	s.compareViews()
}

func (s *runState) allBelieveAllAlive() bool {
	for _, member := range s.members {
		if !member.healthy() {
			return false
		}
		for _, other := range s.members {
			if _, alive := member.protocol.belief(other.name); other != member && !alive {
				return false
			}
		}
	}
	return true
}

// countFalseDeaths counts the members that others believe dead although no fault justifies it.
func (s *runState) countFalseDeaths() {
	s.measured.observations++
	inTurns := len(s.members) > 2*observersPerRound
	for i, observer := range s.members {
		if inTurns && (i+s.measured.observations)%(len(s.members)/observersPerRound) != 0 || !observer.healthy() {
			continue
		}
		for _, member := range s.members {
			if member != observer && s.mustBelieveAlive(observer, member) {
				s.recordBelief(observer, member)
			}
		}
	}
}

// mustBelieveAlive reports whether an observer must not believe a member dead: the member is healthy and in the same
// partition, and no fault of either justifies the belief.
func (s *runState) mustBelieveAlive(observer, member *simulatedMember) bool {
	justified := member.mayBeDeadUntil > s.now() || observer.mayBeDeadUntil > s.now()
	return member.healthy() && !justified && member.host.Partition == observer.host.Partition
}

func (s *runState) recordBelief(observer, member *simulatedMember) {
	pair := directedPair{observer.index, member.index}
	dead := observer.believesDead(member)
	if dead && !s.measured.believedDead[pair] {
		s.measured.falseDeaths++
	}
	s.measured.believedDead[pair] = dead
}

// compareViews measures how long the views of healthy members differ after the end of a fault.
func (s *runState) compareViews() {
	if s.now() < s.faultFreeFrom {
		s.measured.differSince = notDiffering
		return
	}
	s.measured.faultFreeTime += s.observationInterval()
	if s.sameViews() {
		s.measured.differSince = notDiffering
		return
	}
	if s.measured.differSince == notDiffering {
		s.measured.differSince = s.faultFreeFrom
	}
	s.measured.maxDifference = max(s.measured.maxDifference, float64(s.now()-s.measured.differSince)/1e6)
}

func (s *runState) sameViews() bool {
	var digests []uint64
	for _, member := range s.members {
		if member.healthy() {
			digest, _ := member.protocol.view()
			digests = append(digests, digest)
		}
	}
	return len(slices.Compact(digests)) <= 1
}

// awaitDetection calls detected with the time in ms until all other healthy members believe the victim dead, or
// missed if they do not within the timeout.
func (s *runState) awaitDetection(victim *simulatedMember, timeout int64, detected func(ms float64), missed func()) {
	began := s.now()
	var poll func()
	poll = func() {
		switch elapsed := s.now() - began; {
		case elapsed >= timeout:
			missed()
		case s.allBelieveDead(victim):
			detected(float64(elapsed) / 1e6)
		default:
			s.scheduler.After(detectionPollInterval, poll)
		}
	}
	s.scheduler.After(detectionPollInterval, poll)
}

func (s *runState) allBelieveDead(victim *simulatedMember) bool {
	for _, member := range s.members {
		if member != victim && member.healthy() && !member.believesDead(victim) {
			return false
		}
	}
	return true
}
