// Package membership holds which other instances are there, in fleets of hundreds. Each instance is watched by up to eight others
// on rings that all compute alike, is believed dead when most of them report it, and can refute. Changes go round once by every
// link, and digests find what was missed. Observers on rings and counted reports are from Rapid (Suresh and others, 2018),
// refutation from SWIM (Das, Gupta and Motivala, 2002), distrust of oneself from Lifeguard (Dadgar, Phillips and Currey, 2018).
// docs/membership.md has the options, the choice and the bounds.
//
// What it says is belief: it decides who tries for a lease, never who holds one (docs/duties.md).
//
// A Table does no input or output, reads no clock and is not safe for concurrent use. Times are ns of one clock that never goes
// back.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Table is which instances are known, and what is believed of them.
type Table struct {
	config    Config
	rng       *rand.Rand
	startedAt int64
	tickedAt  int64

	self            Entry
	selfRaisedAt    int64             // when the own entry was last raised
	selfStarts      incarnations      // other starts under the own name
	accusedVersions map[string]uint64 // version of the own entry, plus one, that an observer reported
	health          int
	away            int64 // for how long this instance was away, when it last was
	cutOff          bool

	members    map[string]*record
	membership uint64   // grows with each name that comes or goes
	names      []string // known but the own, sorted, as of namesAt
	namesAt    uint64
	revision   uint64 // grows with each change of what is known
	version    uint64 // grows with each change of the view handed on, and of whom to link to
	rejected   int64
	forgotAt   int64
	changes    []Change

	nextHeartbeat int64
	links         neighbourhood
	strayName     string // one that is not there and is tried; empty: none
	strayAt       int64
	digests       digests
	news          newsQueue
	suspects      map[string]*record // members with reports
	reportSeq     uint64
	rumours       map[string]uint64 // version of a member that somebody believes dead, plus one, that was passed on
	view          view
}

// New makes a table that knows its contacts alone.
func New(now int64, config Config) *Table {
	config = config.withDefaults()
	table := &Table{
		config:          config,
		rng:             rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		startedAt:       now,
		tickedAt:        now,
		self:            config.Self,
		selfRaisedAt:    now - config.HeartbeatInterval,
		selfStarts:      incarnations{},
		accusedVersions: map[string]uint64{},
		members:         map[string]*record{},
		nextHeartbeat:   now,
		links:           newNeighbourhood(),
		strayAt:         now,
		news:            newNewsQueue(),
		suspects:        map[string]*record{},
		rumours:         map[string]uint64{},
		view:            view{dirtySince: never, handedAt: now},
	}
	const reportSeqBits = 16 // under the start, so that the reports of a later start count before
	table.self.Start = max(1, table.self.Start)
	table.reportSeq = table.self.Start << reportSeqBits
	table.Configure(now, config.Contacts, config.Self.Weight, config.Self.Epoch)
	table.publish(now)
	table.news = newNewsQueue() // who does not know this instance gets its entry with the first heartbeat
	return table
}

// Configure takes the contacts of a newer configuration; who is no longer named stays known while it is heard.
func (table *Table) Configure(now int64, contacts []Contact, weight float64, epoch uint64) {
	for _, member := range table.members {
		member.configured = false
	}
	for _, contact := range contacts {
		if contact.Name == table.self.Name {
			continue
		}
		member := table.members[contact.Name]
		if member == nil {
			member = table.addMember(now, contact.Name)
		}
		member.configured, member.Address, member.Weight = true, contact.Address, contact.Weight
	}
	if table.self.Weight != weight || table.self.Epoch != epoch {
		table.self.Weight, table.self.Epoch = weight, epoch
		table.raiseSelf(now)
	}
	table.revision++
	table.version++
	table.touch(now)
	table.publish(now)
}

// Tick does what is due: heartbeats, reports, judgements, news, and the view handed on.
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
	if table.news.sendAt > 0 && now >= table.news.sendAt {
		sends = append(sends, table.sendNews(now)...)
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
	next := table.nextHeartbeat
	if table.news.sendAt > 0 {
		next = min(next, table.news.sendAt)
	}
	if happened(table.view.dirtySince) {
		next = min(next, table.view.changedAt+table.config.HeartbeatInterval/quietPart)
	}
	if table.view.heldOutUntil > 0 {
		next = min(next, table.view.heldOutUntil)
	}
	timeout := table.silenceTimeout()
	for _, name := range table.links.sortedNames() { // looked at with heartbeats alone, silence was found an interval late
		if member := table.links.members[name]; member.State == Alive && !member.link.inbound && member.link.reported == Healthy {
			next = min(next, max(member.link.heardAt, member.link.since)+timeout+1)
		}
	}
	for _, member := range table.suspects {
		if happened(member.confirmSince) && member.State == Alive {
			next = min(next, member.confirmSince+table.config.intervals(confirmIntervals))
		}
	}
	return next
}

// Leave has the own instance tell its neighbours that it leaves, at once.
func (table *Table) Leave(now int64) []Send {
	table.self.Leaving = true
	table.raiseSelf(now)
	table.touch(now)
	table.publish(now)
	return table.sendNews(now)
}

// Self is the own entry as it is passed on.
func (table *Table) Self() Entry { return table.self }

// Member is what is believed of a member, if it is known.
func (table *Table) Member(name string) (Member, bool) {
	if member := table.members[name]; member != nil {
		return member.member(), true
	}
	return Member{}, false
}

// Members is what is believed of all but the own instance, by name.
func (table *Table) Members() []Member {
	members := make([]Member, 0, len(table.members))
	for _, name := range table.sortedNames() {
		members = append(members, table.members[name].member())
	}
	return members
}

// Count is how many are known beside the own instance.
func (table *Table) Count() int { return len(table.members) }

// Rejected is how many entries and reports were not taken: unusable ones, and those past the bounds.
func (table *Table) Rejected() int64 { return table.rejected }

// Version grows with each view handed on, and each change of whom to link to.
func (table *Table) Version() uint64 { return table.version }

// sortedNames is every name known but the own; the slice is not changed later.
func (table *Table) sortedNames() []string {
	if len(table.names) != len(table.members) || table.namesAt != table.membership {
		table.names, table.namesAt = slices.Sorted(maps.Keys(table.members)), table.membership
	}
	return table.names
}

func (table *Table) addMember(now int64, name string) *record {
	member := newRecord(now, name)
	table.members[name] = member
	table.revision++
	table.membership++
	return member
}

// raiseSelf makes the own entry count before all that went round of it, and passes it on.
func (table *Table) raiseSelf(now int64) {
	table.self.Version++
	table.revision++
	table.selfRaisedAt = now
	table.passOn(now, table.self.Name, "")
}

// enter puts a member into a state.
func (table *Table) enter(now int64, member *record, state State, reason string) {
	previous := member.State
	member.State, member.Since, member.confirmSince = state, now, never
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

// noteSelf tells something of the own instance.
func (table *Table) noteSelf(now int64, reason string) {
	self := Member{Entry: table.self, State: Alive, Since: now}
	table.changes = append(table.changes, Change{Member: self, Previous: Alive, Reason: reason})
}

// forget drops who is long gone, and what has no meaning any more.
func (table *Table) forget(now int64) {
	if now-table.forgotAt < table.config.intervals(forgetEvery) {
		return
	}
	table.forgotAt = now
	age := table.config.intervals(forgetAfter)
	for _, name := range table.sortedNames() {
		member := table.members[name]
		if member.State != Alive && !member.configured && now-max(member.Since, member.HeardAt) > age {
			table.removeMember(now, member)
			continue
		}
		window := table.config.intervals(flapWindow)
		member.deaths = slices.DeleteFunc(member.deaths, func(at int64) bool { return now-at > window })
		member.incarnations.forget(now, age, member.Incarnation)
	}
	const noIncarnation = 0
	table.selfStarts.forget(now, age, noIncarnation)
}

func (table *Table) removeMember(now int64, member *record) {
	delete(table.members, member.Name)
	table.links.remove(member)
	delete(table.suspects, member.Name)
	delete(table.rumours, member.Name)
	table.revision++
	table.membership++
	table.version++
	table.touch(now)
}

// ObserveIncarnation notes which start under a name a message came from, as its link has proved.
func (table *Table) ObserveIncarnation(now int64, name string, incarnation uint64) {
	if member := table.members[name]; member != nil {
		member.incarnations.observe(now, incarnation)
	}
}

// IsDuplicated tells whether two starts under a name, the own one included, may both be there.
func (table *Table) IsDuplicated(now int64, name string) bool {
	timeout := table.config.ReplacedTimeout
	if name == table.self.Name {
		for _, at := range table.selfStarts {
			if now-at <= timeout {
				return true
			}
		}
		return false
	}
	member := table.members[name]
	return member != nil && member.countPresent(now, timeout) > 1
}
