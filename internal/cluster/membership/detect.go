package membership

import (
	"maps"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"
)

// minWatched is the smallest number of watched neighbours for which this instance concludes, if all of them are
// silent, that it is cut off itself.
const minWatched = 3

// quarterOf returns a quarter of a member's number of observers, but at least 1. If that many of the observers report
// the member, those that may be unable to report it count as well (see countSilenced): when a zone is lost, the
// members in it cannot report each other.
func quarterOf(observers int) int { return max(1, observers/4) }

// checkOwnDelay checks whether this instance ticked late, because it would otherwise take others for silent. If it was
// away (late by a heartbeat interval or more), it drops the reports of other observers and restarts the silence
// timeouts of its links.
func (table *Table) checkOwnDelay(now int64) {
	interval := table.config.HeartbeatInterval
	wasAway := table.health.recordTick(now, table.nextHeartbeat, interval)
	if !wasAway {
		return
	}
	for _, member := range table.members.byName {
		if member.link != nil {
			member.link.heardAt, member.link.echoedAt, member.link.since = now, now, now
		}
		member.confirmSince = timing.Never
		maps.DeleteFunc(member.reports, func(observer string, _ receivedReport) bool {
			return observer != table.self.entry.Name // the other observers' reports may date from before the pause
		})
	}
	table.recordSelfChange(now, ReasonAway)
}

// Away returns the length of this instance's last pause of a heartbeat interval or more, ns; 0 if there was none.
func (table *Table) Away() int64 { return table.health.away }

// LocalHealth returns this instance's local health score, from 0 (healthy) to maxLocalHealth; see localHealth.
func (table *Table) LocalHealth() int { return table.health.score }

// IsCutOff reports whether this instance watches minWatched neighbours or more and all of them are silent.
func (table *Table) IsCutOff() bool { return table.health.cutOff }

// silenceTimeout returns how long a neighbour may be silent before it is reported, ns. A poor local health lengthens
// it.
func (table *Table) silenceTimeout() int64 {
	return table.health.lengthen(table.config.SilenceTimeout)
}

// watchLinks checks the links to neighbours and reports neighbours whose link does not work. A link works if
// heartbeats arrive from the neighbour and echo recent heartbeats of this instance. So a neighbour that can send
// but not receive is detected like one that can receive but not send.
func (table *Table) watchLinks(now int64) {
	watched, silent := 0, 0
	timeout := table.silenceTimeout()
	for _, name := range table.links.sortedNames() {
		member := table.links.members[name]
		if member.link.inbound {
			table.forgetInbound(now, member)
			continue
		}
		if member.State != Alive {
			continue
		}
		watched++
		kind := member.link.evaluate(now, timeout)
		if kind == Silent {
			silent++
		}
		again := now-member.link.reportedAt >= table.config.intervals(reportRepeat)
		if kind != member.link.reported || kind != Healthy && again {
			table.reportNeighbour(now, member, kind)
		}
	}
	table.setCutOff(now, watched >= minWatched && silent == watched)
	if silent == 0 && now >= table.nextHeartbeat {
		table.health.improve()
	}
}

// evaluate returns what this instance has to report about the member at the other end of a link: Silent, Deaf or
// Healthy.
func (link *link) evaluate(now, timeout int64) ReportKind {
	switch {
	case now-max(link.heardAt, link.since) > timeout:
		return Silent
	case now-max(link.echoedAt, link.since) > timeout+timeout/2: // longer, because an echo takes a round trip
		return Deaf
	}
	return Healthy
}

// forgetInbound removes the inbound link of a member from which no heartbeat has arrived for more than as many
// heartbeat intervals as the constant forgetInbound states.
func (table *Table) forgetInbound(now int64, member *record) {
	if now-member.link.heardAt > table.config.intervals(forgetInbound) {
		table.links.remove(member)
		table.version++
	}
}

func (table *Table) setCutOff(now int64, cutOff bool) {
	if cutOff == table.health.cutOff {
		return
	}
	table.health.cutOff = cutOff
	if cutOff {
		table.recordSelfChange(now, ReasonCutOff)
	} else {
		table.recordSelfChange(now, ReasonReconnected)
	}
}

// reportNeighbour queues a report that a neighbour is Silent or Deaf for all other instances. With the kind Healthy it
// withdraws this instance's earlier report, if there is one.
func (table *Table) reportNeighbour(now int64, member *record, kind ReportKind) {
	link := member.link
	if kind == Healthy && link.reported == Healthy {
		return
	}
	link.reported, link.reportedAt = kind, now
	report := Report{
		Subject:     member.Name,
		Incarnation: member.Incarnation,
		Version:     member.Version,
		Observer:    table.self.entry.Name,
		Seq:         table.suspicion.nextSeq(),
		Kind:        kind,
	}
	table.suspicion.keep(now, member, report)
	table.passOnReport(now, report, "")
}

// evaluateSuspects marks a reported member as dead once most of its observers have reported it for confirmIntervals,
// in which the member could have refuted the reports. Instances with the same reports and the same rings come to the
// same result.
func (table *Table) evaluateSuspects(now int64) {
	if len(table.suspicion.members) == 0 {
		return
	}
	reporting := map[string]int{} // by member: number of its observers that report it
	for _, name := range table.suspicion.sortedNames() {
		member := table.suspicion.members[name]
		member.dropOutdatedReports(now, table.config.intervals(reportLifetime))
		if len(member.reports) == 0 || member.State != Alive {
			clear(member.reports)
			table.suspicion.remove(member)
			continue
		}
		for _, observer := range table.links.observersOf(name) {
			if table.isReportedBy(member, observer) {
				reporting[name]++
			}
		}
	}
	for _, name := range table.suspicion.sortedNames() {
		table.evaluate(now, table.suspicion.members[name], reporting)
	}
}

// dropOutdatedReports drops the reports of a member that arrived more than lifetime ns ago or that are about another
// incarnation or an earlier version of the member.
func (member *record) dropOutdatedReports(now, lifetime int64) {
	maps.DeleteFunc(member.reports, func(_ string, report receivedReport) bool {
		return now-report.at > lifetime || report.Incarnation != member.Incarnation || report.Version < member.Version
	})
}

// isReportedBy reports whether an observer reports a member as silent or deaf and this report counts.
func (table *Table) isReportedBy(member *record, observer string) bool {
	report, ok := member.reports[observer]
	return ok && report.Kind != Healthy && table.canReport(observer)
}

// canReport reports whether the reports of an observer count: it must be this instance or a member believed alive.
func (table *Table) canReport(name string) bool {
	if name == table.self.entry.Name {
		return true
	}
	member := table.members.byName[name]
	return member != nil && member.State == Alive
}

// evaluate marks a member as dead if enough of its observers have reported it for confirmIntervals. reporting holds,
// by member, the number of its observers that report it.
func (table *Table) evaluate(now int64, member *record, reporting map[string]int) {
	observers := table.links.observersOf(member.Name)
	count := reporting[member.Name]
	if count >= quarterOf(len(observers)) {
		count += table.countSilenced(member, observers, reporting)
	}
	switch {
	case count < paxos.Majority(len(observers)) || table.health.cutOff:
		member.confirmSince = timing.Never
	case !timing.Happened(member.confirmSince):
		member.confirmSince = now
	case now-member.confirmSince >= table.config.intervals(confirmIntervals):
		table.believeDead(now, member, "most of its observers report it")
	}
}

// countSilenced counts the observers of a member that do not report it but may be unable to: those that a quarter of
// their own observers report, and those not believed alive.
func (table *Table) countSilenced(member *record, observers []string, reporting map[string]int) int {
	count := 0
	for _, observer := range observers {
		if table.isReportedBy(member, observer) {
			continue
		}
		reported := reporting[observer] >= quarterOf(len(table.links.observersOf(observer)))
		if reported || !table.canReport(observer) {
			count++
		}
	}
	return count
}

// believeDead marks a member as dead and passes its entry on with that mark.
func (table *Table) believeDead(now int64, member *record, reason string) {
	table.setState(now, member, Dead, reason)
	table.suspicion.remove(member)
	table.passOn(now, member.Name, "")
}
