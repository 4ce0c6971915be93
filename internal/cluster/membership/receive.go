package membership

// minDeathClaims is the number of peers that must claim a member's death before a table that has not received enough
// reports believes it.
const minDeathClaims = 2

// Receive handles a message from the instance named from, whose name the link has authenticated. It returns the
// messages to send in reply and the changes that the message caused.
func (table *Table) Receive(now int64, from string, gossip Gossip) ([]Send, []Change) {
	if !gossip.withinBounds() {
		table.rejected++
		return nil, nil
	}
	if from == table.self.entry.Name {
		return nil, nil
	}
	for _, entry := range gossip.Entries {
		table.receiveEntry(now, entry, from)
	}
	for _, report := range gossip.Reports {
		table.receiveReport(now, report, from)
	}
	var sends []Send
	if member := table.members.byName[from]; member != nil {
		if gossip.Heartbeat > 0 {
			sends = table.receiveHeartbeat(now, member, gossip)
		}
		if len(gossip.BucketDigests) > 0 {
			sends = append(sends, table.answerBuckets(from, gossip.BucketDigests)...)
		}
	}
	return sends, table.takeChanges()
}

// receiveEntry handles an entry that arrived in a message from the instance named from: an unusable one is rejected,
// one about this instance or with a death claim is handled separately, and a newer one replaces that of the member.
func (table *Table) receiveEntry(now int64, entry Entry, from string) {
	if !entry.usable() {
		table.rejected++
		return
	}
	if entry.Name == table.self.entry.Name {
		table.receiveOwnEntry(now, entry)
		return
	}
	member := table.memberFor(now, entry)
	if member == nil {
		return
	}
	if member.configured {
		// The configuration has precedence. Otherwise a peer could redirect links to a configured member.
		entry.Address, entry.Weight = member.Address, member.Weight
	}
	sameVersion := entry.Incarnation == member.Incarnation && entry.Version == member.Version
	switch {
	case member.State == Unheard:
		if entry.Dead || entry.Leaving {
			return
		}
	case entry.Dead && sameVersion:
		table.receiveDeathClaim(now, member, from)
		return
	case !entry.newer(member.Entry):
		return
	}
	table.update(now, member, entry, from)
}

// memberFor returns the member that an entry is about, and adds it if it is unknown. It returns nil for an unknown
// member if MaxMembers are known already, or if the entry says that the member is dead or leaving, since such a member
// need not be remembered.
func (table *Table) memberFor(now int64, entry Entry) *record {
	if member := table.members.byName[entry.Name]; member != nil {
		return member
	}
	if entry.Dead || entry.Leaving {
		return nil
	}
	if len(table.members.byName) >= MaxMembers {
		table.rejected++
		return nil
	}
	return table.addMember(now, entry.Name)
}

// update replaces a member's entry by a newer one, drops reports and death claims about the earlier version, and
// passes the new entry on.
func (table *Table) update(now int64, member *record, entry Entry, from string) {
	previous := member.Entry
	if !member.incarnations.observe(now, entry.Incarnation) {
		table.rejected++
		return
	}
	dead := entry.Dead
	entry.Dead = false
	restarted := previous.Incarnation != entry.Incarnation
	if restarted && member.State == Alive {
		member.incarnations[previous.Incarnation] = now // the previous incarnation may still be running
	}
	if restarted && member.link != nil {
		member.link = newLink(now, member.link.inbound)
		table.links.add(member)
	}
	member.Entry, member.HeardAt = entry, now
	table.dropSuspicion(member)
	table.revision++
	if restarted || previous.Address != entry.Address || previous.Weight != entry.Weight {
		table.touch(now)
	}
	state := Alive
	if entry.Leaving {
		state = Left
	}
	if member.State != state {
		table.setState(now, member, state, "")
	}
	table.passOn(now, member.Name, from)
	if dead {
		table.receiveDeathClaim(now, member, from)
	}
}

// dropSuspicion drops all reports and death claims about a member, because they are about an earlier version of it.
func (table *Table) dropSuspicion(member *record) {
	clear(member.reports)
	clear(member.deathClaims)
	table.suspicion.remove(member)
	if member.link != nil {
		member.link.reported = Healthy
	}
}

// receiveDeathClaim handles an entry in which a peer claims that a member is dead. If only one peer claims it, the
// claim is passed on as a rumour, so that the member can refute it. If minDeathClaims peers claim it, it is believed:
// they may have received reports that were lost on the way to this instance.
func (table *Table) receiveDeathClaim(now int64, member *record, from string) {
	if member.State != Alive {
		return
	}
	member.deathClaims[from] = true
	claims := 0
	for claimant := range member.deathClaims {
		if table.canReport(claimant) {
			claims++
		}
	}
	if claims >= min(minDeathClaims, max(1, len(table.links.members))) {
		table.believeDead(now, member, "neighbours believe it dead")
		return
	}
	rumour := Report{Subject: member.Name, Incarnation: member.Incarnation, Version: member.Version, Kind: Rumour}
	table.passOnRumour(now, member, rumour, from)
}

// passOnRumour queues a rumour that a member is dead for all neighbours except the named sender. It does so once for
// each version of the member.
func (table *Table) passOnRumour(now int64, member *record, rumour Report, from string) {
	if table.gossip.isNewRumour(member) {
		table.passOnReport(now, rumour, from)
	}
}

// receiveOwnEntry handles an entry under this instance's name. If it has this instance's incarnation and a higher
// version or a death claim, this instance refutes it by raising its own version above that of the entry. If it has
// another incarnation, it comes from an earlier run of this instance, which the present entry must outrank, or from a
// second instance under the same name.
func (table *Table) receiveOwnEntry(now int64, entry Entry) {
	self := &table.self.entry
	if entry.Incarnation == self.Incarnation {
		outdone := entry.Version > self.Version || entry.Dead && entry.Version == self.Version
		if entry.Start == self.Start && outdone {
			self.Version = entry.Version
			table.raiseSelf(now)
		}
		return
	}
	if !entry.newer(*self) {
		return
	}
	if !entry.Dead && !entry.Leaving {
		table.self.otherIncarnations[entry.Incarnation] = now
	}
	if now-table.self.raisedAt >= table.config.HeartbeatInterval {
		self.Start = entry.Start + 1
		table.raiseSelf(now)
	}
}

// receiveReport keeps an observer's report about the present version of a member and passes it on. Reports about this
// instance go to receiveAccusation.
func (table *Table) receiveReport(now int64, report Report, from string) {
	if len(report.Subject) > maxNameSize || len(report.Observer) > maxNameSize || report.Kind > Rumour {
		table.rejected++
		return
	}
	if report.Observer == table.self.entry.Name {
		return
	}
	if report.Subject == table.self.entry.Name {
		table.receiveAccusation(now, report)
		return
	}
	member := table.members.byName[report.Subject]
	// A report of another version is ignored: a lower version has been refuted, and a higher one is not known
	// here yet.
	if member == nil || member.State != Alive ||
		report.Incarnation != member.Incarnation || report.Version != member.Version {
		return
	}
	if report.Kind == Rumour {
		table.passOnRumour(now, member, report, from)
		return
	}
	kept, known := member.reports[report.Observer]
	if known && report.Seq <= kept.Seq || !known && len(member.reports) >= maxReports {
		return
	}
	table.suspicion.keep(now, member, report)
	table.passOnReport(now, report, from)
}

// receiveAccusation handles a report about this instance. The instance refutes a rumour at once, and other reports
// once a quarter of its observers have made them: fewer may be due to broken links rather than to this instance.
func (table *Table) receiveAccusation(now int64, report Report) {
	if report.Incarnation != table.self.entry.Incarnation || report.Version != table.self.entry.Version {
		return
	}
	accusers := table.self.recordAccusation(report)
	if report.Kind == Healthy {
		return
	}
	observers := table.links.observersOf(table.self.entry.Name)
	if report.Kind == Rumour || accusers >= quarterOf(len(observers)) {
		clear(table.self.accusedVersions)
		table.raiseSelf(now)
	}
}
