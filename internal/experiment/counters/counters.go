// Package counters is how membership was kept before fleet/member watched by rings, for comparison: a table of instances, each with a counter that only the instance itself
// raises, passed on from one to another (a gossip-style failure detector after van Renesse, Minsky and Hayden,
// 1998). Whose counter has not grown for a while is believed dead. The package does no input or output, reads no
// clock and is not safe for use by two goroutines at once.
//
// What it says is belief: it decides who tries for a duty, never who holds one (docs/duties.md).
package counters

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
)

// Bounds of what is kept and told.
const (
	// EntriesMost is how many instances are known at most; a peer that tells of more is not believed.
	EntriesMost = 4096

	nameMost    = 128
	addressMost = 256

	fanOut = 3 // members told at each beat

	deadBeats   = 3  // intervals without a higher counter from which a member is believed dead
	forgetBeats = 60 // intervals after which one that is not configured is forgotten; it is told of no longer by then
	livesMost   = 64 // starts under one name that are kept apart
)

// State is what is believed of a member.
type State int

// The states. Unheard is a configured member that has not been heard of yet.
const (
	Unheard State = iota
	Alive
	Dead
	Left
)

func (s State) String() string { return []string{"unheard", "alive", "dead", "left"}[s] }

// Entry is one instance as it is told among instances.
type Entry struct {
	Name        string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"` // drawn at each start
	Beat        uint64  `cbor:"3,keyasint"` // raised by the instance itself alone
	Address     string  `cbor:"4,keyasint"` // where it takes links
	Weight      float64 `cbor:"5,keyasint"` // its part of the duties
	Leaving     bool    `cbor:"6,keyasint,omitempty"`
	Epoch       uint64  `cbor:"7,keyasint,omitempty"` // of its voters
	Age         int64   `cbor:"8,keyasint,omitempty"` // ns since the counter was raised, but for the ways it went
}

// Contact is an instance as it is configured: somebody to ask at the start.
type Contact struct {
	Name, Address string
	Weight        float64
}

// Config is what a table starts with.
type Config struct {
	Self     Entry
	Contacts []Contact             // others; those that are not reached are tried on
	Interval int64                 // between two beats, ns
	Silence  int64                 // for how long an incarnation that was replaced still counts as possibly there, ns
	Seed     uint64                // for the draw of those who are told
	Beat     func(now int64) int64 // when the next beat is due; nil is an interval on
}

// View is what is believed of one member.
type View struct {
	Entry
	State State
	Since int64 // when it got into this state
	Heard int64 // when its counter last grew; 0 is never
}

// Change tells that what is believed of a member has changed.
type Change struct {
	View
	Was State
}

// Telling is a beat to be sent: all of the entries to one member.
type Telling struct {
	To      string
	Entries []Entry
}

// known is one member in the table.
type known struct {
	View
	configured bool
	lives      map[uint64]*life // by incarnation: the one in the view, and others that may still be there
}

// life is one start under a name.
type life struct {
	beat  uint64
	heard int64 // when the counter grew here
	grown int64 // when it grew at its instance, as told
}

// Table is who is known. All times are of one clock that never goes back.
type Table struct {
	config  Config
	self    Entry
	members map[string]*known
	next    int64
	rng     *rand.Rand
	version uint64
	refused int64 // entries not taken
	twins   known // other starts under the own name
}

// New makes a table.
func New(now int64, c Config) *Table {
	t := &Table{config: c, self: c.Self, members: map[string]*known{}, next: now,
		rng: rand.New(rand.NewPCG(c.Seed, c.Self.Incarnation)), twins: known{lives: map[uint64]*life{}}}
	t.Configure(now, c.Contacts, c.Self.Weight, c.Self.Epoch)
	return t
}

// join takes a name into the table.
func (t *Table) join(now int64, name string) *known {
	m := &known{View: View{Since: now, Entry: Entry{Name: name}}, lives: map[uint64]*life{}}
	t.members[name] = m
	t.version++
	return m
}

// Configure takes the contacts of a newer configuration; who is no longer named stays known while it is heard.
func (t *Table) Configure(now int64, contacts []Contact, weight float64, epoch uint64) {
	for _, m := range t.members {
		m.configured = false
	}
	for _, c := range contacts {
		if c.Name == t.self.Name {
			continue
		}
		m := t.members[c.Name]
		if m == nil {
			m = t.join(now, c.Name)
		}
		m.configured, m.Address, m.Weight = true, c.Address, c.Weight
	}
	t.self.Weight, t.self.Epoch = weight, epoch
	t.version++
}

// Tick raises the own counter when that is due, and says whom to tell and what has changed.
func (t *Table) Tick(now int64) (tell []Telling, changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		quiet := now - m.Heard
		switch {
		case m.State == Alive && quiet > deadBeats*t.config.Interval:
			changes = append(changes, t.enter(now, m, Dead))
		case m.State != Alive && !m.configured && quiet > forgetBeats*t.config.Interval:
			delete(t.members, name)
			t.version++
		}
		m.prune(now, t.config.Interval)
	}
	t.twins.prune(now, t.config.Interval)
	if now < t.next {
		return nil, changes
	}
	t.next = now + t.config.Interval
	if t.config.Beat != nil {
		t.next = t.config.Beat(now)
	}
	t.self.Beat++
	return t.telling(now), changes
}

// telling is a beat to a few members drawn from all, those believed dead among them: they may be back.
func (t *Table) telling(now int64) (out []Telling) {
	names := slices.Sorted(maps.Keys(t.members))
	t.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	entries := t.entries(now)
	for _, name := range names[:min(fanOut, len(names))] {
		out = append(out, Telling{To: name, Entries: entries})
	}
	return out
}

// entries is what is told: the own entry, and others whose counter grew lately. Old ones are left out, so that
// who is gone is not kept in memory by rumour.
func (t *Table) entries(now int64) []Entry {
	out := []Entry{t.self}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		if l := m.lives[m.Incarnation]; l != nil && now-l.grown <= 2*deadBeats*t.config.Interval {
			e := m.Entry
			e.Age = max(0, now-l.grown)
			out = append(out, e)
		}
	}
	return out
}

// Heard takes entries that a member told, and says what has changed.
func (t *Table) Heard(now int64, entries []Entry) (changes []Change) {
	for _, e := range entries {
		if e.Name == t.self.Name {
			if e.Incarnation != t.self.Incarnation {
				t.take(now, &t.twins, e)
			}
			continue
		}
		if e.Name == "" || len(e.Name) > nameMost || len(e.Address) > addressMost || !(e.Weight > 0 && e.Weight < 1e6) {
			t.refused++
			continue
		}
		m := t.members[e.Name]
		if m == nil {
			if len(t.members) >= EntriesMost {
				t.refused++
				continue
			}
			m = t.join(now, e.Name)
		}
		if c, changed := t.take(now, m, e); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// take brings a member's entry up to date. Word of a former start goes round for a while; it is told apart by its
// counter, which does not grow any more.
func (t *Table) take(now int64, m *known, e Entry) (Change, bool) {
	l := m.lives[e.Incarnation]
	switch {
	case l != nil && e.Beat <= l.beat:
		return Change{}, false
	case l == nil && e.Age > deadBeats*t.config.Interval:
		// Word of a start that was forgotten here: taken for news it went round without end, and no name that
		// had ever been restarted had a vote any more.
		return Change{}, false
	case l == nil && len(m.lives) >= livesMost:
		t.refused++
		return Change{}, false
	case l == nil:
		l = &life{}
		m.lives[e.Incarnation] = l
	}
	l.beat, l.heard, l.grown = e.Beat, now, now-max(0, e.Age)
	if m.configured {
		e.Address, e.Weight = m.Address, m.Weight // the file says so: a peer can't move another
	}
	if m.Weight != e.Weight || m.Incarnation != e.Incarnation {
		t.version++
	}
	m.Entry, m.Heard = e, now
	state := Alive
	if e.Leaving {
		state = Left
	}
	if m.State == state || m == &t.twins {
		return Change{}, false
	}
	return t.enter(now, m, state), true
}

// prune forgets former starts of which no word can go round any more.
func (m *known) prune(now, interval int64) {
	maps.DeleteFunc(m.lives, func(i uint64, l *life) bool { return i != m.Incarnation && now-l.heard > forgetBeats*interval })
}

// there counts the starts under a name that may be there.
func (m *known) there(now, silence int64) (n int) {
	for _, l := range m.lives {
		if now-l.heard <= silence {
			n++
		}
	}
	return n
}

// Doubled tells whether two starts under a name, the own one included, may both be there.
func (t *Table) Doubled(now int64, name string) bool {
	m := t.members[name]
	if name == t.self.Name {
		m = &t.twins
	}
	if m == nil {
		return false
	}
	others := m.there(now, t.config.Silence)
	if name == t.self.Name {
		return others > 0
	}
	return others > 1
}

// View gives what is believed of a member.
func (t *Table) View(name string) (View, bool) {
	if m := t.members[name]; m != nil {
		return m.View, true
	}
	return View{}, false
}

// Self is the own entry as it is told.
func (t *Table) Self() Entry { return t.self }

// All is every member but the own instance, by name.
func (t *Table) All() []View {
	out := make([]View, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.View)
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Alive is who can hold duties: the own instance unless it leaves, and whoever is believed alive, by name.
func (t *Table) Alive() []Entry {
	var out []Entry
	if !t.self.Leaving {
		out = append(out, t.self)
	}
	for _, m := range t.members {
		if m.State == Alive {
			out = append(out, m.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Version grows with each change of who is known, where they are or what they weigh.
func (t *Table) Version() uint64 { return t.version }

// Refused is how many entries were not taken: unusable ones, and those past the bound.
func (t *Table) Refused() int64 { return t.refused }

// Next is when Tick has something to do.
func (t *Table) Next() int64 { return t.next }

// Leave has the own instance tell everybody that it leaves, at once.
func (t *Table) Leave(now int64) (out []Telling) {
	t.self.Leaving = true
	t.self.Beat++
	t.version++
	entries := t.entries(now)
	for _, m := range t.All() {
		out = append(out, Telling{To: m.Name, Entries: entries})
	}
	return out
}

func (t *Table) enter(now int64, m *known, s State) Change {
	was := m.State
	m.State, m.Since = s, now
	t.version++
	return Change{View: m.View, Was: was}
}
