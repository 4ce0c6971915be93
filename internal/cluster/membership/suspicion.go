package membership

import (
	"maps"
	"slices"

	"tealpath/internal/cluster/timing"
)

// suspicion holds the members that observers report, and the sequence number of this instance's last report.
type suspicion struct {
	members   map[string]*record // members that observers have reported, by name
	reportSeq uint64
}

// newSuspicion returns a suspicion without reports. Its sequence numbers begin at the start time, shifted left, so
// that the reports of this incarnation replace those of earlier ones.
func newSuspicion(start uint64) suspicion {
	const seqBits = 16
	return suspicion{members: map[string]*record{}, reportSeq: max(1, start) << seqBits}
}

// nextSeq returns the sequence number for the next report of this instance.
func (suspicion *suspicion) nextSeq() uint64 {
	suspicion.reportSeq++
	return suspicion.reportSeq
}

// keep stores a report in place of an earlier one of the same observer.
func (suspicion *suspicion) keep(now int64, member *record, report Report) {
	member.reports[report.Observer] = receivedReport{report, now}
	suspicion.members[member.Name] = member
}

// remove ends the suspicion of a member. It does not delete the member's reports.
func (suspicion *suspicion) remove(member *record) {
	member.confirmSince = timing.Never
	delete(suspicion.members, member.Name)
}

// sortedNames returns the names of the suspected members.
func (suspicion *suspicion) sortedNames() []string {
	return slices.Sorted(maps.Keys(suspicion.members))
}

// next returns when the first suspected member is to be marked as dead, or noTime.
func (suspicion *suspicion) next(confirmDuration int64) int64 {
	next := noTime
	for _, member := range suspicion.members {
		if timing.Happened(member.confirmSince) && member.State == Alive {
			next = min(next, member.confirmSince+confirmDuration)
		}
	}
	return next
}
