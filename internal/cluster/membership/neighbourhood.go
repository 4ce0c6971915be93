package membership

import (
	"cmp"
	"maps"
	"slices"
)

// maxInbound is the largest number of inbound links. An instance whose view differs may take this one for a neighbour
// and send it heartbeats. This instance answers them on an inbound link.
const maxInbound = 6

// link is the state of the heartbeats exchanged with one member.
type link struct {
	since   int64 // time from which the silence of the member counts, even if heardAt is earlier
	inbound bool  // this instance does not watch the member, but the member sends it heartbeats

	heardAt  int64  // when the member's last heartbeat arrived
	received uint64 // number of the member's last heartbeat; 0: none arrived
	sent     uint64 // number of the last heartbeat that was sent to the member; 0: none
	echoed   uint64 // highest number of a heartbeat that the member has echoed; 0: none
	echoedAt int64  // when echoed last increased

	reported   ReportKind // kind of this instance's last report about the member
	reportedAt int64      // when this instance made that report

	differsSince int64 // since when this instance's digest and the member's have differed; 0: they are equal
	syncedAt     int64 // when bucket digests were last sent to the member; 0: never
}

func newLink(now int64, inbound bool) *link {
	return &link{since: now, heardAt: now, echoedAt: now, inbound: inbound}
}

// neighbourhood holds the members with a link, and the rings, which determine which members are neighbours and watch
// each other.
type neighbourhood struct {
	members   map[string]*record // the members with a link, by name
	names     []string           // the sorted names of members; nil: to be computed again
	rings     *Rings
	ringNames []string            // names that rings was computed from
	observers map[string][]string // by name: its observers on rings; computed when first needed
}

func newNeighbourhood() neighbourhood {
	return neighbourhood{members: map[string]*record{}, observers: map[string][]string{}}
}

// add adds a member to the members with a link. The member's link must be set.
func (links *neighbourhood) add(member *record) {
	links.members[member.Name] = member
	links.names = nil
}

// remove ends the link of a member, if it has one.
func (links *neighbourhood) remove(member *record) {
	member.link = nil
	delete(links.members, member.Name)
	links.names = nil
}

// sortedNames returns the sorted names of the members with a link. The slice does not change when links are added or
// removed.
func (links *neighbourhood) sortedNames() []string {
	if links.names == nil {
		links.names = slices.Sorted(maps.Keys(links.members))
	}
	return links.names
}

// nextSilence returns when the first silence timeout of a watched neighbour ends, or noTime if there is none. Without
// this time, silence would be noticed only at the next heartbeat, up to an interval late.
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

// observersOf returns the observers of a member: its neighbours on this instance's rings.
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

// trimInbound drops inbound links until maxInbound are left, those that were silent for longest first. Otherwise,
// after some changes of the view, links to all former neighbours would be kept.
func (links *neighbourhood) trimInbound() {
	inbound := links.inbound()
	slices.SortStableFunc(inbound, func(a, b *record) int { return cmp.Compare(b.link.heardAt, a.link.heardAt) })
	for _, member := range inbound[min(len(inbound), maxInbound):] {
		links.remove(member)
	}
}

// ringMembers returns the sorted names on the rings: this instance, the members in the published view and, for
// unheardOnRings intervals after the start, the contacts that are Unheard. With these contacts, instances that start
// at the same time have the same rings from the beginning.
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

// updateRings computes the rings again if the names on them have changed. It gives each new neighbour a link; links to
// former neighbours become inbound ones.
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

// Peers returns the members to connect to: those with a link, inbound ones included, and the one without a link that
// the table currently tries to reach.
func (table *Table) Peers() []Contact {
	var peers []Contact
	for _, name := range table.links.sortedNames() {
		if member := table.members.byName[name]; member.Address != "" && member.State != Left {
			peers = append(peers, Contact{name, member.Address, member.Weight})
		}
	}
	target := table.members.byName[table.reconnect.name]
	if target != nil && target.link == nil && target.Address != "" {
		peers = append(peers, Contact{table.reconnect.name, target.Address, target.Weight})
	}
	return peers
}

// LinkState is the state of the heartbeats exchanged with one member.
type LinkState struct {
	HeardAgo  int64 // time since the member's last heartbeat arrived, ns
	EchoedAgo int64 // time since the member last echoed a new heartbeat of this instance, ns
	Inbound   bool  // this instance does not watch the member, but the member sends it heartbeats
}

// LinkStates returns the state of each link, by the name of the member.
func (table *Table) LinkStates(now int64) map[string]LinkState {
	states := map[string]LinkState{}
	for name, member := range table.links.members {
		link := member.link
		states[name] = LinkState{HeardAgo: now - link.heardAt, EchoedAgo: now - link.echoedAt, Inbound: link.inbound}
	}
	return states
}
