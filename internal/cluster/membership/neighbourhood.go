package membership

import (
	"cmp"
	"maps"
	"slices"
)

// maxInbound is how many that are no neighbours are answered: while views differ somebody's neighbours may
// not know it yet.
const maxInbound = 6

// link is the way to and from a neighbour.
type link struct {
	since   int64
	inbound bool // it sends heartbeats here, but is no neighbour by the own rings

	heardAt  int64  // when the last heartbeat came
	received uint64 // number of the last heartbeat that came
	sent     uint64 // and of the last one that was sent
	echoed   uint64 // the last one sent that is known to have arrived
	echoedAt int64  // when it last showed that it hears

	reported   ReportKind // what was last reported of it
	reportedAt int64

	differsSince int64 // since when the digests differ; 0: they don't
	syncedAt     int64 // when bucket digests were last exchanged
}

func newLink(now int64, inbound bool) *link {
	return &link{since: now, heardAt: now, echoedAt: now, inbound: inbound}
}

// neighbourhood is the members with links, and who watches whom.
type neighbourhood struct {
	members   map[string]*record // with a link
	names     []string           // theirs, sorted; nil is to be made
	rings     *Rings
	ringNames []string            // that the rings are of
	observers map[string][]string // by name, as of the rings
}

func newNeighbourhood() neighbourhood {
	return neighbourhood{members: map[string]*record{}, observers: map[string][]string{}}
}

// add notes that a member has a link.
func (links *neighbourhood) add(member *record) {
	links.members[member.Name] = member
	links.names = nil
}

// remove takes a member's link away.
func (links *neighbourhood) remove(member *record) {
	member.link = nil
	delete(links.members, member.Name)
	links.names = nil
}

// sortedNames is who has a link; the slice is not changed later.
func (links *neighbourhood) sortedNames() []string {
	if links.names == nil {
		links.names = slices.Sorted(maps.Keys(links.members))
	}
	return links.names
}

// nextSilence is when the first watched neighbour will have been silent for a timeout, or noTime. Silence
// that was looked at with heartbeats alone would be found up to an interval late.
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

// observersOf is who watches a member, as the rings are here.
func (links *neighbourhood) observersOf(name string) []string {
	if observers, ok := links.observers[name]; ok {
		return observers
	}
	observers := links.rings.Neighbours(name)
	links.observers[name] = observers
	return observers
}

// inbound is who has an inbound link, by name.
func (links *neighbourhood) inbound() []*record {
	var members []*record
	for _, name := range links.sortedNames() {
		if member := links.members[name]; member.link.inbound {
			members = append(members, member)
		}
	}
	return members
}

// trimInbound drops the inbound links that have been silent longest, beyond the bound. Without it a series
// of view changes would keep a link to everyone that was a neighbour in any of them.
func (links *neighbourhood) trimInbound() {
	inbound := links.inbound()
	slices.SortStableFunc(inbound, func(a, b *record) int { return cmp.Compare(b.link.heardAt, a.link.heardAt) })
	for _, member := range inbound[min(len(inbound), maxInbound):] {
		links.remove(member)
	}
}

// ringMembers returns the names on the rings: the members of the published view and, for a while after the
// start, contacts that have not been heard of yet, so that all instances start with the same rings.
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

// updateRings computes the rings anew, and with them the links to neighbours.
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

// Peers is to whom links are to stand: neighbours, those that send heartbeats here, and one that is tried.
func (table *Table) Peers() []Contact {
	var peers []Contact
	for _, name := range table.links.sortedNames() {
		if member := table.members.byName[name]; member.Address != "" && member.State != Left {
			peers = append(peers, Contact{name, member.Address, member.Weight})
		}
	}
	if stray := table.members.byName[table.stray.name]; stray != nil && stray.link == nil && stray.Address != "" {
		peers = append(peers, Contact{table.stray.name, stray.Address, stray.Weight})
	}
	return peers
}

// LinkState is how a neighbour is reached.
type LinkState struct {
	HeardAgo  int64 // since its last heartbeat, ns
	EchoedAgo int64 // since it last showed that it hears, ns
	Inbound   bool  // it sends heartbeats here, but is no neighbour by the own rings
}

// LinkStates is the links to and from neighbours, by name.
func (table *Table) LinkStates(now int64) map[string]LinkState {
	states := map[string]LinkState{}
	for name, member := range table.links.members {
		link := member.link
		states[name] = LinkState{HeardAgo: now - link.heardAt, EchoedAgo: now - link.echoedAt, Inbound: link.inbound}
	}
	return states
}
