package heartbeatgossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
)

// memberState is the state of one member in the table.
type memberState struct {
	Member
	configured   bool
	incarnations map[uint64]*incarnation // the current one, and former ones whose entries may still arrive
}

// incarnation holds the heartbeat counter of one start of an instance.
type incarnation struct {
	heartbeat     uint64
	heardAt       int64 // time at which an entry with this counter was first received
	incrementedAt int64 // time at which the instance incremented the counter, computed from the entry's age
}

// Table holds the members that one instance knows. All times are ns of one monotonic clock.
type Table struct {
	config        Config
	self          Entry
	members       map[string]*memberState
	duplicates    memberState // other incarnations under this instance's name
	nextHeartbeat int64
	random        *rand.Rand
	version       uint64
	rejected      int64
}

// New returns a table with the configured contacts as members.
func New(now int64, config Config) *Table {
	table := &Table{
		config:        config,
		self:          config.Self,
		members:       map[string]*memberState{},
		duplicates:    memberState{incarnations: map[uint64]*incarnation{}},
		nextHeartbeat: now,
		random:        rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
	}
	for _, contact := range config.Contacts {
		if contact.Name == table.self.Name {
			continue
		}
		member := table.members[contact.Name]
		if member == nil {
			member = table.add(now, contact.Name)
		}
		member.configured = true
		member.Address, member.Weight = contact.Address, contact.Weight
	}
	table.version++
	return table
}

// add adds a member, in the state Unheard and without an address, and increments the version of the table.
func (table *Table) add(now int64, name string) *memberState {
	member := &memberState{
		Member:       Member{Since: now, Entry: Entry{Name: name}},
		incarnations: map[uint64]*incarnation{},
	}
	table.members[name] = member
	table.version++
	return member
}

// Tick detects members that have died, and increments this instance's counter when a heartbeat is due. It returns
// the messages to send and the members whose state has changed.
func (table *Table) Tick(now int64) (messages []Message, changes []Change) {
	interval := table.config.Interval
	for _, name := range table.names() {
		member := table.members[name]
		silence := now - member.HeardAt
		switch {
		case member.State == Alive && silence > deadIntervals*interval:
			changes = append(changes, table.setState(now, member, Dead))
		case member.State != Alive && !member.configured && silence > forgetIntervals*interval:
			delete(table.members, name)
			table.version++
		}
		member.forgetIncarnations(now, interval)
	}
	table.duplicates.forgetIncarnations(now, interval)
	if now < table.nextHeartbeat {
		return nil, changes
	}
	table.nextHeartbeat = now + interval
	table.self.Heartbeat++
	return table.heartbeat(now), changes
}

// names returns the names of all members in a fixed order, since the order of iteration over a map is random.
func (table *Table) names() []string { return slices.Sorted(maps.Keys(table.members)) }

// heartbeat returns messages to fanOut random members. Dead members can be among them, since they may have restarted.
func (table *Table) heartbeat(now int64) []Message {
	names := table.names()
	table.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	entries := table.entries(now)
	var messages []Message
	for _, name := range names[:min(fanOut, len(names))] {
		messages = append(messages, Message{To: name, Entries: entries})
	}
	return messages
}

// entries returns the entries of this instance and of members whose counter was incremented recently. The other
// members are omitted: otherwise instances would keep sending each other the dead ones, and none would be forgotten.
func (table *Table) entries(now int64) []Entry {
	entries := []Entry{table.self}
	for _, name := range table.names() {
		member := table.members[name]
		current := member.incarnations[member.Incarnation]
		if current == nil || now-current.incrementedAt > 2*deadIntervals*table.config.Interval {
			continue
		}
		entry := member.Entry
		entry.Age = max(0, now-current.incrementedAt)
		entries = append(entries, entry)
	}
	return entries
}

// Receive updates the table from the entries of a heartbeat message. It returns the members whose state has changed.
func (table *Table) Receive(now int64, entries []Entry) (changes []Change) {
	for _, entry := range entries {
		if entry.Name == table.self.Name {
			if entry.Incarnation != table.self.Incarnation {
				table.update(now, &table.duplicates, entry)
			}
			continue
		}
		member := table.memberFor(now, entry)
		if member == nil {
			table.rejected++
			continue
		}
		if change, changed := table.update(now, member, entry); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// memberFor returns the member that an entry belongs to, and adds it to the table if necessary. It returns nil if the
// entry is invalid or the table is full.
func (table *Table) memberFor(now int64, entry Entry) *memberState {
	validName := entry.Name != "" && len(entry.Name) <= maxNameLength
	validWeight := entry.Weight > 0 && entry.Weight < maxWeight
	if !validName || !validWeight || len(entry.Address) > maxAddressLength {
		return nil
	}
	if member := table.members[entry.Name]; member != nil {
		return member
	}
	if len(table.members) >= MaxMembers {
		return nil
	}
	return table.add(now, entry.Name)
}

// update updates a member from an entry. It returns the change of the member's state, or false if the state is the
// same as before. Entries of a former incarnation circulate for a while. They have no effect, because their counter no
// longer increases.
func (table *Table) update(now int64, member *memberState, entry Entry) (Change, bool) {
	known := member.incarnations[entry.Incarnation]
	switch {
	case known != nil && entry.Heartbeat <= known.heartbeat:
		return Change{}, false
	case known == nil && entry.Age > deadIntervals*table.config.Interval:
		// The entry is too old to be of a new incarnation, so it is of one that the table has forgotten. If
		// instances accepted it, they would keep passing it on to each other and none would forget it.
		return Change{}, false
	case known == nil && len(member.incarnations) >= maxIncarnations:
		table.rejected++
		return Change{}, false
	case known == nil:
		known = &incarnation{}
		member.incarnations[entry.Incarnation] = known
	}
	known.heartbeat = entry.Heartbeat
	known.heardAt = now
	known.incrementedAt = now - max(0, entry.Age)
	if member.configured {
		entry.Address, entry.Weight = member.Address, member.Weight // the configuration takes precedence over peers
	}
	if member.Weight != entry.Weight || member.Incarnation != entry.Incarnation {
		table.version++
	}
	member.Entry, member.HeardAt = entry, now
	state := Alive
	if entry.Leaving {
		state = Left
	}
	if member.State == state || member == &table.duplicates {
		return Change{}, false
	}
	return table.setState(now, member, state), true
}

func (table *Table) setState(now int64, member *memberState, state State) Change {
	previous := member.State
	member.State, member.Since = state, now
	table.version++
	return Change{Member: member.Member, Previous: previous}
}

// forgetIncarnations removes former incarnations whose entries no longer circulate.
func (member *memberState) forgetIncarnations(now, interval int64) {
	maps.DeleteFunc(member.incarnations, func(id uint64, former *incarnation) bool {
		return id != member.Incarnation && now-former.heardAt > forgetIntervals*interval
	})
}

// recentIncarnations counts the incarnations whose counter has increased within the last timeout ns.
func (member *memberState) recentIncarnations(now, timeout int64) int {
	count := 0
	for _, known := range member.incarnations {
		if now-known.heardAt <= timeout {
			count++
		}
	}
	return count
}

// HasDuplicate reports whether more than one running instance may be using the name, which may be this instance's own.
func (table *Table) HasDuplicate(now int64, name string) bool {
	if name == table.self.Name {
		return table.duplicates.recentIncarnations(now, table.config.ReplacedTimeout) > 0
	}
	member := table.members[name]
	return member != nil && member.recentIncarnations(now, table.config.ReplacedTimeout) > 1
}

// Member returns the member with a name, and whether the table has it.
func (table *Table) Member(name string) (Member, bool) {
	if member := table.members[name]; member != nil {
		return member.Member, true
	}
	return Member{}, false
}

// Members returns all members except this instance, sorted by name.
func (table *Table) Members() []Member {
	members := make([]Member, 0, len(table.members))
	for _, name := range table.names() {
		members = append(members, table.members[name].Member)
	}
	return members
}

// Alive returns the instances that can hold leases, sorted by name: this instance unless it is leaving, and all
// members in the state Alive.
func (table *Table) Alive() []Entry {
	var alive []Entry
	if !table.self.Leaving {
		alive = append(alive, table.self)
	}
	for _, member := range table.members {
		if member.State == Alive {
			alive = append(alive, member.Entry)
		}
	}
	slices.SortFunc(alive, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// Version returns a number that increases whenever the set of members, or a member's state, weight or incarnation
// changes.
func (table *Table) Version() uint64 { return table.version }

// Rejected returns the number of entries that were rejected because they were invalid or exceeded a limit.
func (table *Table) Rejected() int64 { return table.rejected }

// Next returns the time at which the next heartbeat is due.
func (table *Table) Next() int64 { return table.nextHeartbeat }

// Leave marks this instance as leaving. It returns messages that announce this to all members.
func (table *Table) Leave(now int64) []Message {
	table.self.Leaving = true
	table.self.Heartbeat++
	table.version++
	entries := table.entries(now)
	var messages []Message
	for _, name := range table.names() {
		messages = append(messages, Message{To: name, Entries: entries})
	}
	return messages
}
