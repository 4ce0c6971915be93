package membership

// claimsNeeded is how many neighbours must believe a member dead, so that it is believed here without reports.
const claimsNeeded = 2

// Receive takes a message of a member, and returns what is answered at once. from is whom the link has proved
// it to be from.
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

// receiveEntry brings what is known of a name up to date.
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
		entry.Address, entry.Weight = member.Address, member.Weight // the file says so: a peer can't move another
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

// memberFor returns the member that an entry is about, or nil. An unknown member is added, unless the
// entry says that it is gone already, because entries of members that are gone must not use memory, or
// unless there are too many members.
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

// update takes a newer entry of a member.
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
		member.incarnations[previous.Incarnation] = now // it may be there still
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
		table.enter(now, member, state, "")
	}
	table.passOn(now, member.Name, from)
	if dead {
		table.receiveDeathClaim(now, member, from)
	}
}

// dropSuspicion forgets what was said of an earlier version of a member.
func (table *Table) dropSuspicion(member *record) {
	clear(member.reports)
	clear(member.deathClaims)
	table.suspicion.remove(member)
	if member.link != nil {
		member.link.reported = Healthy
	}
}

// receiveDeathClaim handles an entry of a peer that believes a member dead. One claim is not believed, but
// is passed on as a rumour, so that the member can refute. Two claims are believed, because those peers
// may have received reports that were lost on the way here.
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
	if claims >= min(claimsNeeded, max(1, len(table.links.members))) {
		table.believeDead(now, member, "neighbours believe it dead")
		return
	}
	rumour := Report{Subject: member.Name, Incarnation: member.Incarnation, Version: member.Version, Kind: Rumour}
	table.passOnRumour(now, member, rumour, from)
}

// passOnRumour passes a rumour that a member is dead on, once for each version of the member.
func (table *Table) passOnRumour(now int64, member *record, rumour Report, from string) {
	if table.gossip.isNewRumour(member) {
		table.passOnReport(now, rumour, from)
	}
}

// receiveOwnEntry handles an entry under the own name. An entry of this incarnation that says more than
// the own entry is refuted. An entry of another incarnation is of an earlier start, which this one has to
// outrank, or of a second instance that runs now.
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
		table.self.starts[entry.Incarnation] = now
	}
	if now-table.self.raisedAt >= table.config.HeartbeatInterval {
		self.Start = entry.Start + 1
		table.raiseSelf(now)
	}
}

// receiveReport takes an observer's report.
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
	// A version that is not known here is an old one that was refuted, or one of the future, which can't be
	// true yet.
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

// receiveAccusation refutes once a quarter of the observers, or a rumour, say that this instance is dead.
// A single report may be about a link, not about this instance.
func (table *Table) receiveAccusation(now int64, report Report) {
	if report.Incarnation != table.self.entry.Incarnation || report.Version != table.self.entry.Version {
		return
	}
	accusers := table.self.noteAccusation(report)
	if report.Kind == Healthy {
		return
	}
	observers := table.links.observersOf(table.self.entry.Name)
	if report.Kind == Rumour || accusers >= quarterOf(len(observers)) {
		clear(table.self.accusedVersions)
		table.raiseSelf(now)
	}
}
