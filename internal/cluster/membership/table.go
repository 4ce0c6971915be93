// Package membership tracks which other instances are alive, in fleets of hundreds of instances. Each instance is
// watched by up to eight others on rings that all instances compute alike. It is believed dead when most of its
// observers report it, and it can refute the reports. Each change is passed on once on every link, and digests
// find missed changes. Observers on rings and counted reports are from Rapid (Suresh and others, 2018), refutation
// is from SWIM (Das, Gupta and Motivala, 2002), and local health is from Lifeguard (Dadgar, Phillips and Currey,
// 2018). docs/membership.md has the options, the choice and the bounds.
//
// Membership may be wrong. It decides which instances try to acquire a lease, never which instance holds one
// (docs/duties.md).
//
// A Table does no input or output, reads no clock and is not safe for concurrent use. Times are ns of one
// monotonic clock.
package membership

import (
	"math/rand/v2"
	"slices"

	"tealpath/internal/cluster/timing"
)

// Table holds the known instances and their states. Each of its components has its own state and methods; methods of
// Table itself use several of them.
type Table struct {
	config    Config
	rng       *rand.Rand
	startedAt int64

	self      selfState
	health    localHealth
	members   memberList
	suspicion suspicion
	links     neighbourhood
	reconnect reconnect
	gossip    gossipQueue
	digests   digests
	view      view

	nextHeartbeat int64
	revision      uint64 // incremented with each change of an entry or of a member's state
	version       uint64 // incremented with each change of the published view or of the result of Peers
	rejected      int64  // number of messages, entries and reports that were rejected
	changes       []Change
}

// New returns a table that knows only the contacts of its configuration, all of them Unheard.
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
		reconnect:     reconnect{triedAt: now},
		gossip:        newGossipQueue(),
		view:          view{dirtySince: timing.Never, publishedAt: now},
		nextHeartbeat: now,
	}
	table.Configure(now, config.Contacts, config.Self.Weight, config.Self.Epoch)
	table.publish(now)
	// Nothing has to be passed on yet: the first heartbeat to each neighbour contains this instance's entry.
	table.gossip = newGossipQueue()
	return table
}

// Configure applies a reloaded configuration: the contacts, the weight of this instance and the epoch of its voters. A
// member that is no longer a contact stays in the table as long as it is alive.
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

// Tick does the work that is due at now: it checks links and reports, sends heartbeats and gossip, and publishes the
// view. It returns the messages to send and the changes since the last call of Tick or Receive.
func (table *Table) Tick(now int64) ([]Send, []Change) {
	var sends []Send
	table.checkOwnDelay(now)
	table.watchLinks(now)
	table.evaluateSuspects(now)
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

// Next returns the earliest time at which Tick has work to do again.
func (table *Table) Next() int64 {
	return min(
		table.nextHeartbeat,
		table.gossip.next(),
		table.view.next(table.config.HeartbeatInterval),
		table.links.nextSilence(table.silenceTimeout()),
		table.suspicion.next(table.config.intervals(confirmIntervals)),
	)
}

// Leave marks this instance as leaving, takes it out of its view, and returns messages that tell its neighbours at
// once.
func (table *Table) Leave(now int64) []Send {
	table.self.entry.Leaving = true
	table.raiseSelf(now)
	table.touch(now)
	table.publish(now)
	return table.sendGossip(now)
}

// Self returns this instance's entry as it is passed on to others.
func (table *Table) Self() Entry { return table.self.entry }

// Member returns a copy of the member with this name. ok is false if the name is unknown or that of this instance.
func (table *Table) Member(name string) (Member, bool) {
	if member := table.members.byName[name]; member != nil {
		return member.member(), true
	}
	return Member{}, false
}

// Members returns a copy of each member, sorted by name. This instance is not among them.
func (table *Table) Members() []Member {
	members := make([]Member, 0, len(table.members.byName))
	for _, name := range table.members.sortedNames() {
		members = append(members, table.members.byName[name].member())
	}
	return members
}

// Count returns the number of known members in any state. This instance is not counted.
func (table *Table) Count() int { return len(table.members.byName) }

// Rejected returns how many messages, entries and reports were rejected since the start, because they exceeded a limit
// or were unusable.
func (table *Table) Rejected() int64 { return table.rejected }

// Version returns a number that increases with each change of the published view or of the result of Peers.
func (table *Table) Version() uint64 { return table.version }

func (table *Table) addMember(now int64, name string) *record {
	table.revision++
	return table.members.add(now, name)
}

// raiseSelf increments the version of this instance's entry, so that it outranks those passed on before, and queues
// the entry for all neighbours.
func (table *Table) raiseSelf(now int64) {
	table.self.raise(now)
	table.revision++
	table.passOn(now, table.self.entry.Name, "")
}

// setState moves a member to a state and records the change, with its reason. A member that is no longer alive loses
// its link.
func (table *Table) setState(now int64, member *record, state State, reason string) {
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

// recordSelfChange records a change of this instance's own condition; reason is one of the constants above Change.
func (table *Table) recordSelfChange(now int64, reason string) {
	self := Member{Entry: table.self.entry, State: Alive, Since: now}
	table.changes = append(table.changes, Change{Member: self, Previous: Alive, Reason: reason})
}

// forget runs every forgetEvery intervals. It removes each unconfigured member that is not alive and of which nothing
// was heard for forgetAfter intervals. It also removes recorded deaths and other incarnations that are too old to
// matter.
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
	table.self.otherIncarnations.forget(now, age, noIncarnation)
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

// ObserveIncarnation records that a message arrived from an incarnation of a member. The link has authenticated the
// member's name.
func (table *Table) ObserveIncarnation(now int64, name string, incarnation uint64) {
	if member := table.members.byName[name]; member != nil {
		member.incarnations.observe(now, incarnation)
	}
}

// IsDuplicated reports whether two instances may be running under a name, which may be that of this instance.
func (table *Table) IsDuplicated(now int64, name string) bool {
	timeout := table.config.ReplacedTimeout
	if name == table.self.entry.Name {
		return table.self.isDuplicated(now, timeout)
	}
	member := table.members.byName[name]
	return member != nil && member.countPresent(now, timeout) > 1
}
