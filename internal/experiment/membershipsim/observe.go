package membershipsim

import "slices"

const (
	// observersAtOnce is the approximate number of members whose beliefs one observation checks if there are more
	// than twice as many members. They take turns. In smaller clusters each observation checks all members.
	observersAtOnce = 24
	// connectionSampling is the number of messages between two counts of connections, since counting is slow.
	connectionSampling = 16
	detectionPoll      = int64(20e6) // ns between two checks whether all believe a member dead
	notDiffering       = int64(-1)   // value of differSince while views do not differ
)

// measurements holds what a run has measured so far.
type measurements struct {
	kills          int
	missedKills    int
	detections     []float64 // times from a kill until all others believed the member dead, ms
	pauses         int
	missedOneWay   int
	maxOneWay      float64 // longest time until all believed a member with a one-way fault dead, ms
	falseDeaths    int
	believedDead   map[directedPair]bool // pairs whose from believes its to dead without a fault that justifies it
	maxDifference  float64               // longest time for which views differed after a fault, ms
	differSince    int64                 // when views began to differ; notDiffering: they do not differ
	formedAt       int64                 // when all first believed all alive; notFormed: not yet
	bytes          int
	messages       int
	calmBytes      int
	calmTime       int64 // observed time without a fault, ns
	maxConnections int
	observations   int
}

// notFormed is the value of formedAt before all believed all alive.
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

// observe checks and compares the beliefs of all members at the current time.
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

// countFalseDeaths counts beliefs that a member is dead if no fault justifies them.
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

// mustBelieveAlive reports whether no fault justifies that an observer believes a member dead.
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

// awaitDetection calls detected once all other healthy members believe the victim dead, with the time in ms that this
// took. If it takes longer than timeout, awaitDetection calls missed.
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
