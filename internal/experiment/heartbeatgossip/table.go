package heartbeatgossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
)

// memberState is one member in the table.
type memberState struct {
	Member
	configured   bool
	incarnations map[uint64]*incarnation // the one in the entry, and others that may still be there
}

// incarnation is one start under a name.
type incarnation struct {
	heartbeat uint64
	heardAt   int64 // when the counter grew here
	raisedAt  int64 // when the instance raised it, by the age in the entry
}

// Table holds the members that one instance knows. All times are of one clock that never goes back.
type Table struct {
	config        Config
	self          Entry
	members       map[string]*memberState
	duplicates    memberState // other starts under the own name
	nextHeartbeat int64
	random        *rand.Rand
	version       uint64
	rejected      int64
}

// New makes a table that knows the configured contacts.
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

// add takes a name into the table.
func (table *Table) add(now int64, name string) *memberState {
	member := &memberState{
		Member:       Member{Since: now, Entry: Entry{Name: name}},
		incarnations: map[uint64]*incarnation{},
	}
	table.members[name] = member
	table.version++
	return member
}

// Tick notices members that have died and raises the own counter when that is due. It returns the
// heartbeats to send and what has changed.
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

// names are those of all members, sorted.
func (table *Table) names() []string { return slices.Sorted(maps.Keys(table.members)) }

// heartbeat goes to a few members drawn from all; dead ones are among them, as they may be back.
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

// entries are the own one, and those of members whose counter grew lately. Older ones are left out, so that
// instances do not keep each other's memory of a dead one alive.
func (table *Table) entries(now int64) []Entry {
	entries := []Entry{table.self}
	for _, name := range table.names() {
		member := table.members[name]
		current := member.incarnations[member.Incarnation]
		if current == nil || now-current.raisedAt > 2*deadIntervals*table.config.Interval {
			continue
		}
		entry := member.Entry
		entry.Age = max(0, now-current.raisedAt)
		entries = append(entries, entry)
	}
	return entries
}

// Receive takes the entries of a heartbeat, and returns what has changed.
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

// memberFor finds or adds the member of an entry; nil if the entry is invalid or the table is full.
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

// update brings a member up to date with an entry. Entries of a former incarnation go round for a while;
// they are told from news by their counter, which does not grow any more.
func (table *Table) update(now int64, member *memberState, entry Entry) (Change, bool) {
	known := member.incarnations[entry.Incarnation]
	switch {
	case known != nil && entry.Heartbeat <= known.heartbeat:
		return Change{}, false
	case known == nil && entry.Age > deadIntervals*table.config.Interval:
		// An incarnation that was forgotten here. Taken as new, it would be passed on as new by others as
		// well, and would never be forgotten by all.
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
	known.raisedAt = now - max(0, entry.Age)
	if member.configured {
		entry.Address, entry.Weight = member.Address, member.Weight // a peer cannot change what is configured
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

// forgetIncarnations drops former ones of which no entry can go round any more.
func (member *memberState) forgetIncarnations(now, interval int64) {
	maps.DeleteFunc(member.incarnations, func(id uint64, former *incarnation) bool {
		return id != member.Incarnation && now-former.heardAt > forgetIntervals*interval
	})
}

// recentIncarnations counts the incarnations that were heard of within a time.
func (member *memberState) recentIncarnations(now, timeout int64) int {
	count := 0
	for _, known := range member.incarnations {
		if now-known.heardAt <= timeout {
			count++
		}
	}
	return count
}

// HasDuplicate tells whether two instances under one name, which may be the own one, may both be there.
func (table *Table) HasDuplicate(now int64, name string) bool {
	if name == table.self.Name {
		return table.duplicates.recentIncarnations(now, table.config.ReplacedTimeout) > 0
	}
	member := table.members[name]
	return member != nil && member.recentIncarnations(now, table.config.ReplacedTimeout) > 1
}

// Member returns what is believed of a member.
func (table *Table) Member(name string) (Member, bool) {
	if member := table.members[name]; member != nil {
		return member.Member, true
	}
	return Member{}, false
}

// Members returns all members but the own instance, by name.
func (table *Table) Members() []Member {
	members := make([]Member, 0, len(table.members))
	for _, name := range table.names() {
		members = append(members, table.members[name].Member)
	}
	return members
}

// Alive returns who can hold leases, by name: the own instance unless it leaves, and whoever is believed alive.
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

// Version grows with each change of who is known, in which state, and with which weight.
func (table *Table) Version() uint64 { return table.version }

// Rejected returns how many entries were rejected: invalid ones, and those beyond a limit.
func (table *Table) Rejected() int64 { return table.rejected }

// Next returns when the next heartbeat is due.
func (table *Table) Next() int64 { return table.nextHeartbeat }

// Leave returns the messages that tell all members at once that the own instance leaves.
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
