package membership

import (
	"maps"
	"slices"

	"tealpath/internal/cluster/timing"
)

// suspicion is the members that observers report, and the number of the last report made here.
type suspicion struct {
	members   map[string]*record // with reports
	reportSeq uint64
}

// newSuspicion has no reports. Sequence numbers begin with the time of the start, so that reports of a later
// start count before those of an earlier one.
func newSuspicion(start uint64) suspicion {
	const seqBits = 16
	return suspicion{members: map[string]*record{}, reportSeq: max(1, start) << seqBits}
}

// nextSeq is the sequence number of the next report made here.
func (suspicion *suspicion) nextSeq() uint64 {
	suspicion.reportSeq++
	return suspicion.reportSeq
}

// keep keeps a report to judge by, in place of an earlier one of the same observer.
func (suspicion *suspicion) keep(now int64, member *record, report Report) {
	member.reports[report.Observer] = receivedReport{report, now}
	suspicion.members[member.Name] = member
}

// remove ends the suspicion of a member.
func (suspicion *suspicion) remove(member *record) {
	member.confirmSince = timing.Never
	delete(suspicion.members, member.Name)
}

// sortedNames returns the names of the suspected members.
func (suspicion *suspicion) sortedNames() []string {
	return slices.Sorted(maps.Keys(suspicion.members))
}

// next returns when the first suspected member is to be believed dead, or noTime.
func (suspicion *suspicion) next(confirmDuration int64) int64 {
	next := noTime
	for _, member := range suspicion.members {
		if timing.Happened(member.confirmSince) && member.State == Alive {
			next = min(next, member.confirmSince+confirmDuration)
		}
	}
	return next
}
