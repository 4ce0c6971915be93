package membershipsim

import "slices"

const (
	// observersAtOnce is how many members' beliefs are looked at in one observation; with more than twice
	// as many, they take turns.
	observersAtOnce = 24
	// connectionSampling: connections are counted at every so manieth message only, as counting them takes
	// long.
	connectionSampling = 16
	detectionPoll      = int64(20e6) // ns between two looks at whether all believe a member dead
	notDiffering       = int64(-1)
)

// measurements are what a run counts.
type measurements struct {
	kills          int
	missedKills    int
	detections     []float64 // of kills, ms
	pauses         int
	missedOneWay   int
	maxOneWay      float64 // ms
	falseDeaths    int
	believedDead   map[directedPair]bool // which of them were counted
	maxDifference  float64               // ms
	differSince    int64                 // when views began to differ; notDiffering is not now
	formedAt       int64                 // when all first believed all alive; notFormed is not yet
	bytes          int
	messages       int
	calmBytes      int
	calmTime       int64 // ns
	maxConnections int
	observations   int
}

const notFormed = int64(-1)

func newMeasurements() measurements {
	return measurements{
		believedDead: map[directedPair]bool{},
		differSince:  notDiffering,
		formedAt:     notFormed,
	}
}

func (m *measurements) sent(message message, calm bool) {
	m.bytes += message.bytes
	m.messages++
	if calm {
		m.calmBytes += message.bytes
	}
}

func (m *measurements) killDetected(ms float64)   { m.detections = append(m.detections, ms) }
func (m *measurements) killMissed()               { m.missedKills++ }
func (m *measurements) oneWayDetected(ms float64) { m.maxOneWay = max(m.maxOneWay, ms) }
func (m *measurements) oneWayMissed()             { m.missedOneWay++ }

// observe looks at what members believe at this moment.
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

// countFalseDeaths counts beliefs that a member is dead which no fault justifies.
func (s *runState) countFalseDeaths() {
	s.measured.observations++
	inTurns := len(s.members) > 2*observersAtOnce
	for i, observer := range s.members {
		if inTurns && (i+s.measured.observations)%(len(s.members)/observersAtOnce) != 0 || !observer.healthy() {
			continue
		}
		for _, member := range s.members {
			if member != observer && s.mustBelieveAlive(observer, member) {
				s.noteBelief(observer, member)
			}
		}
	}
}

// mustBelieveAlive tells whether no fault justifies that an observer believes a member dead.
func (s *runState) mustBelieveAlive(observer, member *simulatedMember) bool {
	justified := member.mayBeDeadUntil > s.now() || observer.mayBeDeadUntil > s.now()
	return member.healthy() && !justified && member.host.Partition == observer.host.Partition
}

func (s *runState) noteBelief(observer, member *simulatedMember) {
	pair := directedPair{observer.index, member.index}
	dead := observer.believesDead(member)
	if dead && !s.measured.believedDead[pair] {
		s.measured.falseDeaths++
	}
	s.measured.believedDead[pair] = dead
}

// compareViews measures for how long the views of healthy members differ after the end of a fault.
func (s *runState) compareViews() {
	if s.now() < s.calmFrom {
		s.measured.differSince = notDiffering
		return
	}
	s.measured.calmTime += s.observationInterval()
	if s.sameViews() {
		s.measured.differSince = notDiffering
		return
	}
	if s.measured.differSince == notDiffering {
		s.measured.differSince = s.calmFrom
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

// awaitDetection reports when all other healthy members believe one dead, in ms from now, or that they do
// not in time.
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
			s.scheduler.After(detectionPoll, poll)
		}
	}
	s.scheduler.After(detectionPoll, poll)
}

func (s *runState) allBelieveDead(victim *simulatedMember) bool {
	for _, member := range s.members {
		if member != victim && member.healthy() && !member.believesDead(victim) {
			return false
		}
	}
	return true
}
