package membership

import (
	"cmp"
	"maps"
	"slices"
)

// maxInbound bounds the inbound links. While views differ, an instance may send heartbeats to a member that does
// not know yet that they are neighbours. The member answers on an inbound link.
const maxInbound = 6

// link is the state of the heartbeats exchanged with a member.
type link struct {
	since   int64 // silence counts from this time at the earliest
	inbound bool  // the member sends heartbeats here, but is not a neighbour on this instance's rings

	heardAt  int64  // when the last heartbeat arrived
	received uint64 // number of the last heartbeat that arrived
	sent     uint64 // number of the last heartbeat that was sent
	echoed   uint64 // number of the last sent heartbeat that the member has confirmed
	echoedAt int64  // when the member last confirmed a new one

	reported   ReportKind // kind of this instance's last report of the member
	reportedAt int64      // when that report was made

	differsSince int64 // since when the digests differ; 0: they are equal
	syncedAt     int64 // when bucket digests were last sent
}

func newLink(now int64, inbound bool) *link {
	return &link{since: now, heardAt: now, echoedAt: now, inbound: inbound}
}

// neighbourhood holds the members with links, and the rings that determine who watches whom.
type neighbourhood struct {
	members   map[string]*record // the members with a link, by name
	names     []string           // the sorted names of members; nil: not computed
	rings     *Rings
	ringNames []string            // the names that rings was built from; rings is rebuilt when they change
	observers map[string][]string // cached observers of a name
}

func newNeighbourhood() neighbourhood {
	return neighbourhood{members: map[string]*record{}, observers: map[string][]string{}}
}

// add adds a member, whose link must be set, to the members with links.
func (links *neighbourhood) add(member *record) {
	links.members[member.Name] = member
	links.names = nil
}

// remove removes a member's link.
func (links *neighbourhood) remove(member *record) {
	member.link = nil
	delete(links.members, member.Name)
	links.names = nil
}

// sortedNames returns the names of the members with links. The returned slice is never modified.
func (links *neighbourhood) sortedNames() []string {
	if links.names == nil {
		links.names = slices.Sorted(maps.Keys(links.members))
	}
	return links.names
}

// nextSilence returns when the silence timeout of the first watched neighbour ends, or noTime. If timeouts were
// checked only at heartbeats, silence would be detected up to an interval late.
func (links *neighbourhood) nextSilence(timeout int64) int64 {
	next := noTime
	for _, member := range links.members {
		link := member.link
		watched := member.State == Alive && !link.inbound
		if watched && link.reported == Healthy {
			next = min(next, max(link.heardAt, link.since)+timeout+1)
		}
	}
	return next
}

// observersOf returns the observers of a member on this instance's rings.
func (links *neighbourhood) observersOf(name string) []string {
	if observers, ok := links.observers[name]; ok {
		return observers
	}
	observers := links.rings.Neighbours(name)
	links.observers[name] = observers
	return observers
}

// inbound returns the members with inbound links, sorted by name.
func (links *neighbourhood) inbound() []*record {
	var members []*record
	for _, name := range links.sortedNames() {
		if member := links.members[name]; member.link.inbound {
			members = append(members, member)
		}
	}
	return members
}

// trimInbound drops the inbound links beyond maxInbound, those that have been silent longest first. Without it, a
// series of view changes would keep links to all members that were neighbours in any of the views.
func (links *neighbourhood) trimInbound() {
	inbound := links.inbound()
	slices.SortStableFunc(inbound, func(a, b *record) int { return cmp.Compare(b.link.heardAt, a.link.heardAt) })
	for _, member := range inbound[min(len(inbound), maxInbound):] {
		links.remove(member)
	}
}

// ringMembers returns the names on the rings: this instance, the members of the published view and, for
// unheardOnRings intervals after the start, contacts that are Unheard. Because of these contacts all instances start
// with the same rings.
func (table *Table) ringMembers(now int64) []string {
	starting := now-table.startedAt < table.config.intervals(unheardOnRings)
	names := []string{table.self.entry.Name}
	for _, name := range table.members.sortedNames() {
		member := table.members.byName[name]
		inView := member.State == Alive && !member.HeldOut
		expected := member.State == Unheard && member.configured && starting
		if inView || expected {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// updateRings recomputes the rings, and the links to neighbours from them, if the names on the rings have changed.
func (table *Table) updateRings(now int64) {
	names := table.ringMembers(now)
	links := &table.links
	if slices.Equal(names, links.ringNames) {
		return
	}
	links.ringNames, links.rings = names, NewRings(names)
	clear(links.observers)
	neighbours := links.rings.Neighbours(table.self.entry.Name)
	for _, name := range table.members.sortedNames() {
		member := table.members.byName[name]
		switch {
		case slices.Contains(neighbours, name):
			table.becomeNeighbour(now, member)
		case member.link != nil:
			member.link.inbound = true
			table.reportNeighbour(now, member, Healthy)
		}
	}
	links.trimInbound()
	table.version++
}

func (table *Table) becomeNeighbour(now int64, member *record) {
	if member.link == nil {
		member.link = newLink(now, false)
	} else if member.link.inbound {
		member.link.inbound, member.link.since = false, now
	}
	table.links.add(member)
}

// Peers returns the members to connect to: those with links, inbound ones included, and the one that the table
// tries to reconnect to.
func (table *Table) Peers() []Contact {
	var peers []Contact
	for _, name := range table.links.sortedNames() {
		if member := table.members.byName[name]; member.Address != "" && member.State != Left {
			peers = append(peers, Contact{name, member.Address, member.Weight})
		}
	}
	if target := table.members.byName[table.reconnect.name]; target != nil && target.link == nil && target.Address != "" {
		peers = append(peers, Contact{table.reconnect.name, target.Address, target.Weight})
	}
	return peers
}

// LinkState is the state of the heartbeats exchanged with a member.
type LinkState struct {
	HeardAgo  int64 // since its last heartbeat arrived, ns
	EchoedAgo int64 // since it last confirmed a heartbeat from this instance, ns
	Inbound   bool  // it sends heartbeats here, but is not a neighbour on this instance's rings
}

// LinkStates returns the states of all links, by the member's name.
func (table *Table) LinkStates(now int64) map[string]LinkState {
	states := map[string]LinkState{}
	for name, member := range table.links.members {
		link := member.link
		states[name] = LinkState{HeardAgo: now - link.heardAt, EchoedAgo: now - link.echoedAt, Inbound: link.inbound}
	}
	return states
}
