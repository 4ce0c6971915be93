package membership

import "slices"

// heartbeats is what goes out at each interval: to every neighbour its number and an echo, with what is new;
// and now and then a try at one that is not there.
func (table *Table) heartbeats(now int64) []Send {
	table.pickStray(now)
	batch := table.gossip.take(table)
	digest, _ := table.digests.of(table)
	var sends []Send
	for _, name := range table.links.sortedNames() {
		gossip := table.heartbeat(now, table.members.byName[name], batch.forPeer(name))
		gossip.Digest = digest
		sends = append(sends, Send{To: name, Gossip: gossip})
	}
	if table.stray.name != "" && table.stray.triedAt == now {
		hello := Gossip{Heartbeat: 1, Digest: digest, Entries: []Entry{table.self.entry}}
		sends = append(sends, Send{To: table.stray.name, Gossip: hello})
	}
	return sends
}

// heartbeat makes the next heartbeat to a neighbour from the gossip for it.
func (table *Table) heartbeat(now int64, member *record, gossip Gossip) Gossip {
	link := member.link
	link.sent++
	gossip.Heartbeat, gossip.Echo = link.sent, link.received
	isSelf := func(entry Entry) bool { return entry.Name == table.self.entry.Name }
	mayNotKnowSelf := link.echoed == 0
	if mayNotKnowSelf && !slices.ContainsFunc(gossip.Entries, isSelf) {
		gossip.Entries = append([]Entry{table.self.entry}, gossip.Entries...)
	}
	if member.State == Dead { // so that it can refute
		gossip.Entries = append(gossip.Entries, member.announcement())
	}
	return gossip
}

// stray is a member without a link that is tried now and then.
type stray struct {
	name    string // empty: none
	triedAt int64
}

// pickStray draws a member that is believed dead, or has not been heard of, to be tried. After a split
// only such attempts bring the sides together again.
func (table *Table) pickStray(now int64) {
	if now-table.stray.triedAt < table.config.intervals(strayEvery) {
		return
	}
	previous := table.stray.name
	table.stray.name, table.stray.triedAt = "", now
	var away []string
	for _, name := range table.members.sortedNames() {
		member := table.members.byName[name]
		if member.link == nil && member.Address != "" && (member.State == Dead || member.State == Unheard) {
			away = append(away, name)
		}
	}
	if len(away) > 0 {
		table.stray.name = away[table.rng.IntN(len(away))]
	}
	if previous != table.stray.name {
		table.version++
	}
}

// receiveHeartbeat takes a heartbeat. One from who is no neighbour makes an inbound link, if there are not
// too many.
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

// compareDigest asks for what differs at the first heartbeat, and once digests have differed for a while.
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
