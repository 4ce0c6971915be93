package membership

import (
	"maps"
	"slices"

	"tealpath/internal/cluster/timing"
)

// suspicion holds the members that observers have reported, and the sequence number of the last report that this
// instance made.
type suspicion struct {
	members   map[string]*record // by name: the members with reports
	reportSeq uint64
}

// newSuspicion returns a suspicion without members. Its sequence numbers start above those of earlier incarnations,
// because they contain the start time, so that reports of this incarnation replace earlier ones.
func newSuspicion(start uint64) suspicion {
	const seqBits = 16
	return suspicion{members: map[string]*record{}, reportSeq: max(1, start) << seqBits}
}

// nextSeq returns a sequence number above those of all reports that this instance has made.
func (suspicion *suspicion) nextSeq() uint64 {
	suspicion.reportSeq++
	return suspicion.reportSeq
}

// keep stores a report about a member and adds the member to the suspected ones. It replaces an earlier report of the
// same observer.
func (suspicion *suspicion) keep(now int64, member *record, report Report) {
	member.reports[report.Observer] = receivedReport{report, now}
	suspicion.members[member.Name] = member
}

// remove ends the suspicion of a member. The reports about it remain.
func (suspicion *suspicion) remove(member *record) {
	member.confirmSince = timing.Never
	delete(suspicion.members, member.Name)
}

// sortedNames returns the sorted names of the suspected members.
func (suspicion *suspicion) sortedNames() []string {
	return slices.Sorted(maps.Keys(suspicion.members))
}

// next returns when the first suspected member is to be marked as dead: confirmDuration after most of its observers
// have reported it. It returns noTime if no member is reported by most of its observers.
func (suspicion *suspicion) next(confirmDuration int64) int64 {
	next := noTime
	for _, member := range suspicion.members {
		if timing.Happened(member.confirmSince) && member.State == Alive {
			next = min(next, member.confirmSince+confirmDuration)
		}
	}
	return next
}
