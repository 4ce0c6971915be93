package membership

import (
	"maps"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"
)

// minWatched is how many watched neighbours must all be silent for this instance to take itself for cut off.
const minWatched = 3

// quarterOf is how many of so many observers let the silence of those that are reported themselves count as
// well: those of a zone that is lost at once can't report each other.
func quarterOf(observers int) int { return max(1, observers/4) }

// checkOwnDelay finds whether this instance itself was late, and by how much: it would otherwise blame
// others for its own fault. An instance that was away drops all reports that it holds, and starts to watch
// anew.
func (table *Table) checkOwnDelay(now int64) {
	interval := table.config.HeartbeatInterval
	wasAway := table.health.noteStep(now, table.nextHeartbeat, interval)
	if !wasAway {
		return
	}
	for _, member := range table.members.byName {
		if member.link != nil {
			member.link.heardAt, member.link.echoedAt, member.link.since = now, now, now
		}
		member.confirmSince = timing.Never
		maps.DeleteFunc(member.reports, func(observer string, _ receivedReport) bool {
			return observer != table.self.entry.Name // what others said is as old as the time away
		})
	}
	table.noteSelf(now, ReasonAway)
}

// Away is for how long this instance was away when it last was, ns; 0 is never.
func (table *Table) Away() int64 { return table.health.away }

// LocalHealth is how this instance judges itself, from 0, well, to 8.
func (table *Table) LocalHealth() int { return table.health.points }

// IsCutOff reports whether nothing is heard from any neighbour.
func (table *Table) IsCutOff() bool { return table.health.cutOff }

// silenceTimeout is how long a neighbour may be silent, ns: longer where this instance is not well itself.
func (table *Table) silenceTimeout() int64 {
	return table.health.lengthen(table.config.SilenceTimeout)
}

// watchLinks looks at the links to neighbours, and reports those that don't work. A link works if heartbeats
// come by it and show that heartbeats sent by it arrive: so one that can send but not hear is found like one
// that can hear but not send.
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
		kind := member.link.judge(now, timeout)
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

// judge says how a link works.
func (link *link) judge(now, timeout int64) ReportKind {
	switch {
	case now-max(link.heardAt, link.since) > timeout:
		return Silent
	case now-max(link.echoedAt, link.since) > timeout+timeout/2: // it takes a way there and one back
		return Deaf
	}
	return Healthy
}

// forgetInbound lets an inbound link go that has been silent for long.
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
		table.noteSelf(now, ReasonCutOff)
	} else {
		table.noteSelf(now, ReasonHeardAgain)
	}
}

// reportNeighbour reports a neighbour, or takes a report back.
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

// judgeSuspects believes a member dead once most of its observers have reported it for a moment, which is the
// time that it has to refute. All have the same reports and rings, so all judge alike.
func (table *Table) judgeSuspects(now int64) {
	if len(table.suspicion.members) == 0 {
		return
	}
	reporting := map[string]int{} // observers that report a member, by its name
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
		table.judge(now, table.suspicion.members[name], reporting)
	}
}

// dropOutdatedReports drops reports that are too old, or of an earlier start or version.
func (member *record) dropOutdatedReports(now, lifetime int64) {
	maps.DeleteFunc(member.reports, func(_ string, report receivedReport) bool {
		return now-report.at > lifetime || report.Incarnation != member.Incarnation || report.Version < member.Version
	})
}

// isReportedBy reports whether an observer's report of a member counts against it.
func (table *Table) isReportedBy(member *record, observer string) bool {
	report, ok := member.reports[observer]
	return ok && report.Kind != Healthy && table.canReport(observer)
}

// canReport reports whether a name can report: it is this instance, or believed alive.
func (table *Table) canReport(name string) bool {
	if name == table.self.entry.Name {
		return true
	}
	member := table.members.byName[name]
	return member != nil && member.State == Alive
}

// judge weighs what observers say of a member.
func (table *Table) judge(now int64, member *record, reporting map[string]int) {
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

// countSilenced counts the observers that don't report a member but can't any more, or are not believed to.
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

// believeDead believes a member dead and passes that on.
func (table *Table) believeDead(now int64, member *record, reason string) {
	table.enter(now, member, Dead, reason)
	table.suspicion.remove(member)
	table.passOn(now, member.Name, "")
}
