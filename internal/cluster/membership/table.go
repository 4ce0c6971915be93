// Package membership holds which other instances are there, in fleets of hundreds. Each instance is watched
// by up to eight others on rings that all compute alike, is believed dead when most of them report it, and
// can refute. Changes go round once by every link, and digests find what was missed. Observers on rings and
// counted reports are from Rapid (Suresh and others, 2018), refutation from SWIM (Das, Gupta and Motivala,
// 2002), distrust of oneself from Lifeguard (Dadgar, Phillips and Currey, 2018). docs/membership.md has the
// options, the choice and the bounds.
//
// What it says is belief: it decides who tries for a lease, never who holds one (docs/duties.md).
//
// A Table does no input or output, reads no clock and is not safe for concurrent use. Times are ns of one
// clock that never goes back.
package membership

import (
	"math/rand/v2"
	"slices"

	"tealpath/internal/cluster/timing"
)

// Table is which instances are known, and what is believed of them. Each part below has its own state; the
// methods of Table are the steps that touch several of them.
type Table struct {
	config    Config
	rng       *rand.Rand
	startedAt int64

	self      selfState
	health    localHealth
	members   memberList
	suspicion suspicion
	links     neighbourhood
	stray     stray
	gossip    gossipQueue
	digests   digests
	view      view

	nextHeartbeat int64
	revision      uint64 // grows with each change of what is known
	version       uint64 // grows with each change of the view handed on, and of whom to link to
	rejected      int64  // entries and reports that were not taken
	changes       []Change
}

// New makes a table that knows its contacts alone.
func New(now int64, config Config) *Table {
	config = config.withDefaults()
	table := &Table{
		config:        config,
		rng:           rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		startedAt:     now,
		self:          newSelfState(now, config),
		health:        localHealth{tickedAt: now},
		members:       newMemberList(),
		suspicion:     newSuspicion(config.Self.Start),
		links:         newNeighbourhood(),
		stray:         stray{triedAt: now},
		gossip:        newGossipQueue(),
		view:          view{dirtySince: timing.Never, handedAt: now},
		nextHeartbeat: now,
	}
	table.Configure(now, config.Contacts, config.Self.Weight, config.Self.Epoch)
	table.publish(now)
	table.gossip = newGossipQueue() // who does not know this instance gets its entry with the first heartbeat
	return table
}

// Configure applies the contacts of a newer configuration. A member that is no longer a contact stays
// known while it is heard.
func (table *Table) Configure(now int64, contacts []Contact, weight float64, epoch uint64) {
	for _, member := range table.members.byName {
		member.configured = false
	}
	for _, contact := range contacts {
		if contact.Name == table.self.entry.Name {
			continue
		}
		member := table.members.byName[contact.Name]
		if member == nil {
			member = table.addMember(now, contact.Name)
		}
		member.configured, member.Address, member.Weight = true, contact.Address, contact.Weight
	}
	if self := &table.self.entry; self.Weight != weight || self.Epoch != epoch {
		self.Weight, self.Epoch = weight, epoch
		table.raiseSelf(now)
	}
	table.revision++
	table.version++
	table.touch(now)
	table.publish(now)
}

// Tick does what is due: heartbeats, reports, judgements, gossip, and the view handed on.
func (table *Table) Tick(now int64) ([]Send, []Change) {
	var sends []Send
	table.checkOwnDelay(now)
	table.watchLinks(now)
	table.judgeSuspects(now)
	table.forget(now)
	if now >= table.nextHeartbeat {
		table.nextHeartbeat = table.config.NextHeartbeat(now)
		sends = table.heartbeats(now)
	}
	if now >= table.gossip.next() {
		sends = append(sends, table.sendGossip(now)...)
	}
	table.settleView(now)
	return sends, table.takeChanges()
}

func (table *Table) takeChanges() []Change {
	changes := table.changes
	table.changes = nil
	return changes
}

// Next is when Tick has something to do.
func (table *Table) Next() int64 {
	return min(
		table.nextHeartbeat,
		table.gossip.next(),
		table.view.next(table.config.HeartbeatInterval),
		table.links.nextSilence(table.silenceTimeout()),
		table.suspicion.next(table.config.intervals(confirmIntervals)),
	)
}

// Leave has the own instance tell its neighbours that it leaves, at once.
func (table *Table) Leave(now int64) []Send {
	table.self.entry.Leaving = true
	table.raiseSelf(now)
	table.touch(now)
	table.publish(now)
	return table.sendGossip(now)
}

// Self is the own entry as it is passed on.
func (table *Table) Self() Entry { return table.self.entry }

// Member is what is believed of a member, if it is known.
func (table *Table) Member(name string) (Member, bool) {
	if member := table.members.byName[name]; member != nil {
		return member.member(), true
	}
	return Member{}, false
}

// Members is what is believed of all but the own instance, by name.
func (table *Table) Members() []Member {
	members := make([]Member, 0, len(table.members.byName))
	for _, name := range table.members.sortedNames() {
		members = append(members, table.members.byName[name].member())
	}
	return members
}

// Count is how many are known beside the own instance.
func (table *Table) Count() int { return len(table.members.byName) }

// Rejected is how many entries and reports were not taken: unusable ones, and those past the bounds.
func (table *Table) Rejected() int64 { return table.rejected }

// Version grows with each view handed on, and each change of whom to link to.
func (table *Table) Version() uint64 { return table.version }

func (table *Table) addMember(now int64, name string) *record {
	table.revision++
	return table.members.add(now, name)
}

// raiseSelf raises the version of the own entry, so that it outranks all that was said of it, and passes
// it on.
func (table *Table) raiseSelf(now int64) {
	table.self.raise(now)
	table.revision++
	table.passOn(now, table.self.entry.Name, "")
}

// enter moves a member to a state and emits the change.
func (table *Table) enter(now int64, member *record, state State, reason string) {
	previous := member.State
	member.State, member.Since, member.confirmSince = state, now, timing.Never
	table.revision++
	table.touch(now)
	if state == Dead {
		member.deaths = append(member.deaths, now)
	}
	if state != Alive {
		table.links.remove(member)
		table.version++
	}
	table.changes = append(table.changes, Change{Member: member.member(), Previous: previous, Reason: reason})
}

// noteSelf emits a change of the own instance.
func (table *Table) noteSelf(now int64, reason string) {
	self := Member{Entry: table.self.entry, State: Alive, Since: now}
	table.changes = append(table.changes, Change{Member: self, Previous: Alive, Reason: reason})
}

// forget drops members that were last heard of long ago, and outdated deaths and incarnations of the
// others.
func (table *Table) forget(now int64) {
	if now-table.members.forgotAt < table.config.intervals(forgetEvery) {
		return
	}
	table.members.forgotAt = now
	age := table.config.intervals(forgetAfter)
	for _, name := range table.members.sortedNames() {
		member := table.members.byName[name]
		if member.State != Alive && !member.configured && now-max(member.Since, member.HeardAt) > age {
			table.removeMember(now, member)
			continue
		}
		window := table.config.intervals(flapWindow)
		member.deaths = slices.DeleteFunc(member.deaths, func(at int64) bool { return now-at > window })
		member.incarnations.forget(now, age, member.Incarnation)
	}
	const noIncarnation = 0
	table.self.starts.forget(now, age, noIncarnation)
}

func (table *Table) removeMember(now int64, member *record) {
	table.members.remove(member)
	table.links.remove(member)
	table.suspicion.remove(member)
	delete(table.gossip.rumours, member.Name)
	table.revision++
	table.version++
	table.touch(now)
}

// ObserveIncarnation notes which start under a name a message came from, as its link has proved.
func (table *Table) ObserveIncarnation(now int64, name string, incarnation uint64) {
	if member := table.members.byName[name]; member != nil {
		member.incarnations.observe(now, incarnation)
	}
}

// IsDuplicated reports whether two starts under a name, the own one included, may both be there.
func (table *Table) IsDuplicated(now int64, name string) bool {
	timeout := table.config.ReplacedTimeout
	if name == table.self.entry.Name {
		return table.self.isDuplicated(now, timeout)
	}
	member := table.members.byName[name]
	return member != nil && member.countPresent(now, timeout) > 1
}
