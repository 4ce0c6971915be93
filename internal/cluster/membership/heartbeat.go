package membership

import "slices"

// heartbeats returns the messages that are sent once in a heartbeat interval: for each link a numbered heartbeat with
// an echo and queued gossip and, every reconnectEvery intervals, a first heartbeat to a member without a link.
func (table *Table) heartbeats(now int64) []Send {
	table.pickReconnect(now)
	batch := table.gossip.take(table)
	digest, _ := table.digests.of(table)
	var sends []Send
	for _, name := range table.links.sortedNames() {
		gossip := table.heartbeat(now, table.members.byName[name], batch.forPeer(name))
		gossip.Digest = digest
		sends = append(sends, Send{To: name, Gossip: gossip})
	}
	if table.reconnect.name != "" && table.reconnect.triedAt == now {
		hello := Gossip{Heartbeat: 1, Digest: digest, Entries: []Entry{table.self.entry}}
		sends = append(sends, Send{To: table.reconnect.name, Gossip: hello})
	}
	return sends
}

// heartbeat makes gossip for a member into the next heartbeat on the member's link: it adds the heartbeat's number,
// the echo and the entries that the member may lack.
func (table *Table) heartbeat(now int64, member *record, gossip Gossip) Gossip {
	link := member.link
	link.sent++
	gossip.Heartbeat, gossip.Echo = link.sent, link.received
	isSelf := func(entry Entry) bool { return entry.Name == table.self.entry.Name }
	mayNotKnowSelf := link.echoed == 0
	if mayNotKnowSelf && !slices.ContainsFunc(gossip.Entries, isSelf) {
		gossip.Entries = append([]Entry{table.self.entry}, gossip.Entries...)
	}
	if member.State == Dead { // so that the member can refute it
		gossip.Entries = append(gossip.Entries, member.announcement())
	}
	return gossip
}

// reconnect is the member without a link that the table currently tries to reach.
type reconnect struct {
	name    string // empty: there is none
	triedAt int64
}

// pickReconnect picks, every reconnectEvery intervals, a random member that has no link and is dead or unheard. These
// attempts are the only way in which the two sides of a network split find each other again.
func (table *Table) pickReconnect(now int64) {
	if now-table.reconnect.triedAt < table.config.intervals(reconnectEvery) {
		return
	}
	previous := table.reconnect.name
	table.reconnect.name, table.reconnect.triedAt = "", now
	var away []string
	for _, name := range table.members.sortedNames() {
		member := table.members.byName[name]
		if member.link == nil && member.Address != "" && (member.State == Dead || member.State == Unheard) {
			away = append(away, name)
		}
	}
	if len(away) > 0 {
		table.reconnect.name = away[table.rng.IntN(len(away))]
	}
	if previous != table.reconnect.name {
		table.version++
	}
}

// receiveHeartbeat handles a heartbeat and returns the replies to it. If the sender has no link, it gets an inbound
// one, unless there are maxInbound already; then the heartbeat is ignored.
func (table *Table) receiveHeartbeat(now int64, member *record, gossip Gossip) []Send {
	if member.link == nil {
		if len(table.links.inbound()) >= maxInbound {
			return nil
		}
		member.link = newLink(now, true)
		table.links.add(member)
		table.version++
	}
	link := member.link
	member.HeardAt, link.heardAt = now, now
	if gossip.Heartbeat > link.received || gossip.Heartbeat == 1 {
		link.received = gossip.Heartbeat
	}
	if gossip.Echo > link.echoed {
		link.echoed, link.echoedAt = min(gossip.Echo, link.sent), now
	}
	return table.compareDigest(now, member, gossip.Digest)
}

// compareDigest compares a member's digest with this instance's. If they differ, it returns a message with bucket
// digests, which asks the member for the differing entries, in two cases: at its first heartbeat, and when the
// digests have differed for syncAfter intervals. The second case occurs at most once in syncEvery intervals.
func (table *Table) compareDigest(now int64, member *record, theirs uint64) []Send {
	link := member.link
	own, buckets := table.digests.of(table)
	switch {
	case theirs == own:
		link.differsSince = 0
	case link.differsSince == 0:
		link.differsSince = now
	}
	if link.differsSince == 0 {
		return nil
	}
	first := link.received == 1 && link.syncedAt == 0
	longEnough := now-link.differsSince >= table.config.intervals(syncAfter) &&
		now-link.syncedAt >= table.config.intervals(syncEvery)
	if !first && !longEnough {
		return nil
	}
	link.syncedAt = now
	return []Send{{To: member.Name, Gossip: Gossip{Entries: []Entry{table.self.entry}, BucketDigests: buckets}}}
}
