// Package membership holds who else is there, in fleets of hundreds: each instance is watched by up to eight others on rings that
// all compute alike, is believed dead when most of them report it, and can refute; changes go round once by every
// link, and digests find what was missed. It does no input or output, reads no clock and is not safe for use by two
// goroutines at once. docs/membership.md has the options, the choice and the bounds.
//
// What it says is belief: it decides who tries for a duty, never who holds one (docs/duties.md).
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Bounds of what is kept and told.
const (
	// MaxMembers is how many instances are known at most; a peer that tells of more is not believed.
	MaxMembers = 8192

	// MaxPerMessage is how many entries, and how many alerts, one message holds at most; the rest goes with the next.
	MaxPerMessage = 256

	// DigestBuckets is into how many parts of all records digests are taken apart to find what differs.
	DigestBuckets = 64

	nameMost    = 128
	addressMost = 256
	livesMost   = 64 // starts under one name that are kept apart
)

// Spans in intervals, unless said otherwise.
const (
	silenceUsual = 3  // without a beat, or without an echo, from which a neighbour is reported
	confirmParts = 1  // a member is believed dead once most of its observers reported it for an interval over so many
	alertLife    = 50 // a report counts unless it is said again
	alertAgain   = 20 // and so it is
	forgetBeats  = 60 // after which one that is not configured is forgotten
	strayEvery   = 4  // between two tries to reach one that is not there
	quietParts   = 5  // a view is handed on once nothing has changed for an interval over so many
	changingMost = 8  // or has gone on changing for so long
	batchParts   = 10 // changes wait for so much of an interval to go in one message
	flapWindow   = 120
	flapMost     = 60 // for so long at most one that keeps dying is held out of the view handed on
	syncAfter    = 2  // digests have differed for so long before all is compared
	healthMost   = 8
	healthShare  = 4 // each point of local health lengthens the silence by a part of one in so many
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

// Entry is one instance as it is told among instances. Of two entries under a name the one with the higher start counts, then
// the higher version, then the one that says dead. Start and Version are raised by the instance itself alone.
type Entry struct {
	Name        string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"` // drawn at each start
	Start       uint64  `cbor:"3,keyasint"` // ms since 1970 at its start, or one above what was heard of itself
	Version     uint64  `cbor:"4,keyasint"`
	Address     string  `cbor:"5,keyasint"` // where it takes links
	Weight      float64 `cbor:"6,keyasint"` // its part of the duties
	Leaving     bool    `cbor:"7,keyasint,omitempty"`
	Epoch       uint64  `cbor:"8,keyasint,omitempty"` // of its voters
	Dead        bool    `cbor:"9,keyasint,omitempty"`
}

// newer tells whether an entry counts before another under the same name.
func (e Entry) newer(than Entry) bool {
	switch {
	case e.Start != than.Start:
		return e.Start > than.Start
	case e.Incarnation != than.Incarnation:
		return e.Incarnation > than.Incarnation
	case e.Version != than.Version:
		return e.Version > than.Version
	}
	return e.Dead && !than.Dead
}

// Report is an observer's report of a member, for one start and version of it.
type Report struct {
	Subject     string     `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	Version     uint64     `cbor:"3,keyasint"`
	Observer    string     `cbor:"4,keyasint"`
	Seq         uint64     `cbor:"5,keyasint"` // grows with each report of the observer
	Kind        ReportKind `cbor:"6,keyasint"`
}

// ReportKind is what a report says.
type ReportKind uint8

// The kinds. Silent: nothing comes from it. Deaf: it comes, and shows that nothing sent to it arrives. Healthy takes a report back.
const (
	Healthy ReportKind = iota
	Silent
	Deaf
)

func (k ReportKind) String() string { return []string{"fine", "silent", "deaf"}[k] }

// Gossip is what one instance tells another.
type Gossip struct {
	Heartbeat     uint64   `cbor:"1,keyasint,omitempty"` // number of the beat on this way; 0: only news
	Echo          uint64   `cbor:"2,keyasint,omitempty"` // the last beat that came the other way
	Digest        uint64   `cbor:"3,keyasint,omitempty"` // of all live records
	Entries       []Entry  `cbor:"4,keyasint,omitempty"`
	Reports       []Report `cbor:"5,keyasint,omitempty"`
	BucketDigests []uint64 `cbor:"6,keyasint,omitempty"` // digests by bucket: what differs is asked for
}

// Contact is an instance as it is configured: somebody to ask at the start.
type Contact struct {
	Name, Address string
	Weight        float64
}

// Config is what a table starts with.
type Config struct {
	Self              Entry
	Contacts          []Contact             // others; those that are not reached are tried on
	HeartbeatInterval int64                 // between two beats, ns
	SilenceTimeout    int64                 // without a sign from which a neighbour is reported, ns; 0 is three intervals
	ReplacedTimeout   int64                 // for how long an incarnation that was replaced still counts as possibly there, ns
	Seed              uint64                // for chance
	NextHeartbeat     func(now int64) int64 // when the next beat is due; nil is an interval on

	fault fault
}

// fault is set by tests alone: faults that a checker must find.
type fault struct{ noRefuting, believeOne, blameOthers bool }

// Member is what is believed of one member.
type Member struct {
	Entry
	State   State
	Since   int64 // when it got into this state
	HeardAt int64 // when it last said something new, or beat here; 0 is never
	Reports []Report
	HeldOut bool // alive, but held out of the view handed on, as it keeps dying
}

// Change tells that what is believed of a member has changed.
type Change struct {
	Member
	Previous State
	Reason   string
}

// Send is a message to be sent.
type Send struct {
	To     string
	Gossip Gossip
}

// known is one member in the table.
type known struct {
	Member
	configured bool
	lives      map[uint64]int64 // by incarnation: when it was last known to be there
	reports    map[string]report
	pending    int64 // since when most observers report it; -1: they don't
	claims     map[string]bool
	deaths     []int64
	edge       *edge // nil: it is no neighbour
}

// report is a report kept, with when it came.
type report struct {
	Report
	at int64
}

// edge is the way to and from a neighbour.
type edge struct {
	since   int64
	heard   int64 // the last beat
	in      uint64
	out     uint64
	echoed  uint64
	echoAt  int64 // when it last showed that it hears
	said    ReportKind
	saidAt  int64
	caller  bool // it beats here, but is no neighbour by the own rings
	differs int64
	asked   int64
	parts   bool // asked in the next beat
}

// Table is who is known. All times are of one clock that never goes back.
type Table struct {
	config  Config
	self    Entry
	members map[string]*known
	rng     *rand.Rand
	next    int64 // beat
	ticked  int64
	version uint64 // of what Alive says, and of addresses
	raw     uint64 // of what is known
	refused int64
	twins   known
	seq     uint64
	refuted int64 // when the own entry was last raised
	health  int
	away    int64 // for how long this instance was away, when it last was
	cutOff  bool

	begun     int64
	news      map[string]string // names whose entry is to be passed on, but to who told it
	newAlerts []told
	sendAt    int64             // when news go; 0: there are none
	rumours   map[string]uint64 // version of whom somebody believes dead, plus one, that was passed on
	accusers  map[string]uint64 // version of the own entry, plus one, that an observer reported
	suspects  map[string]*known // with reports
	edges     map[string]*known // neighbours and callers
	ways      []string          // their names, in order; nil is to be made

	order    []string // names known, sorted
	orderAt  uint64
	joins    uint64
	ringed   []string // names that the rings are of
	rings    *Rings
	near     map[string][]string
	stray    string
	strayAt  int64
	digest   uint64
	digested uint64 // raw at which the digest was taken
	parts    []uint64

	stable    []Entry // handed on
	dirty     int64   // since when what is known differs from it; -1 does not
	changed   int64   // when it last changed
	number    uint64  // of views handed on
	stableAt  int64
	heldUntil int64 // when one that is held out may count; 0: none is
	forgotAt  int64
	notes     []Change
}

// New makes a table.
func New(now int64, c Config) *Table {
	c.SilenceTimeout = cmp.Or(c.SilenceTimeout, silenceUsual*c.HeartbeatInterval)
	t := &Table{config: c, self: c.Self, members: map[string]*known{}, next: now, ticked: now,
		rng:   rand.New(rand.NewPCG(c.Seed, c.Self.Incarnation)),
		twins: known{lives: map[uint64]int64{}, pending: -1}, news: map[string]string{}, rumours: map[string]uint64{},
		accusers: map[string]uint64{}, suspects: map[string]*known{}, edges: map[string]*known{}, begun: now,
		near: map[string][]string{}, dirty: -1, stableAt: now, refuted: now - c.HeartbeatInterval, strayAt: now}
	t.self.Start = max(1, t.self.Start)
	t.seq = t.self.Start << 16
	t.Configure(now, c.Contacts, c.Self.Weight, c.Self.Epoch)
	t.publish(now)
	t.news, t.sendAt = map[string]string{}, 0 // who does not know this instance gets its entry with the first beat
	return t
}

// join takes a name into the table.
func (t *Table) join(now int64, name string) *known {
	m := &known{Member: Member{Since: now, Entry: Entry{Name: name}}, lives: map[uint64]int64{}, reports: map[string]report{},
		claims: map[string]bool{}, pending: -1}
	t.members[name] = m
	t.raw++
	t.joins++
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
	if t.self.Weight != weight || t.self.Epoch != epoch {
		t.self.Weight, t.self.Epoch = weight, epoch
		t.raise(now)
	}
	t.raw++
	t.version++
	t.touch(now)
	t.publish(now)
}

// raise makes the own entry count before all that went round of it, and passes it on.
func (t *Table) raise(now int64) {
	t.self.Version++
	t.raw++
	t.refuted = now
	t.pass(now, t.self.Name, "")
}

// pass has an entry passed on with what else is new.
func (t *Table) pass(now int64, name, from string) {
	t.news[name] = from
	t.hurry(now)
}

// hurry has what is new sent soon.
func (t *Table) hurry(now int64) {
	if t.sendAt == 0 {
		t.sendAt = now + t.config.HeartbeatInterval/batchParts
	}
}

// touch notes that what is known differs from the view handed on.
func (t *Table) touch(now int64) {
	if t.changed = now; t.dirty < 0 {
		t.dirty = now
	}
}

// Tick does what is due: beats, reports, judgements, news, and the view handed on.
func (t *Table) Tick(now int64) (tell []Send, changes []Change) {
	t.awake(now)
	t.watch(now)
	t.judge(now)
	t.forget(now)
	if now >= t.next {
		t.next = now + t.config.HeartbeatInterval
		if t.config.NextHeartbeat != nil {
			t.next = t.config.NextHeartbeat(now)
		}
		tell = t.beats(now)
	}
	if t.sendAt > 0 && now >= t.sendAt {
		tell = append(tell, t.tellNews(now)...)
	}
	t.settle(now)
	changes, t.notes = t.notes, nil
	return tell, changes
}

// awake finds whether this instance itself was late, and how much: what it then holds against others is its own fault. One
// that was away takes all back.
func (t *Table) awake(now int64) {
	late := now - max(t.ticked, t.next)
	if t.ticked = now; late <= t.config.HeartbeatInterval/2 {
		return
	}
	t.health = min(t.health+1, healthMost)
	if late < t.config.HeartbeatInterval || t.config.fault.blameOthers {
		return
	}
	t.away = late
	for _, m := range t.members {
		if m.edge != nil {
			m.edge.heard, m.edge.echoAt, m.edge.since = now, now, now
		}
		m.pending = -1
		for _, r := range m.reports { // what others said is as old as the time away
			if r.Observer != t.self.Name {
				delete(m.reports, r.Observer)
			}
		}
	}
	t.notes = append(t.notes, Change{Member: Member{Entry: t.self, State: Alive, Since: now}, Previous: Alive, Reason: "away"})
}

// Away is for how long this instance was away when it last was, ns; 0 is never.
func (t *Table) Away() int64 { return t.away }

// LocalHealth is how this instance judges itself, from 0, well, to 8.
func (t *Table) LocalHealth() int { return t.health }

// IsCutOff tells whether nothing is heard from any neighbour.
func (t *Table) IsCutOff() bool { return t.cutOff }

// limit is how long a neighbour may be silent.
func (t *Table) limit() int64 {
	return t.config.SilenceTimeout + t.config.SilenceTimeout*int64(t.health)/healthShare
}

// Member gives what is believed of a member.
func (t *Table) Member(name string) (Member, bool) {
	if m := t.members[name]; m != nil {
		return m.view(), true
	}
	return Member{}, false
}

func (m *known) view() Member {
	v := m.Member
	for _, r := range m.reports {
		v.Reports = append(v.Reports, r.Report)
	}
	slices.SortFunc(v.Reports, func(a, b Report) int { return cmp.Compare(a.Observer, b.Observer) })
	return v
}

// Self is the own entry as it is told.
func (t *Table) Self() Entry { return t.self }

// Members is every member but the own instance, by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, name := range t.names() {
		out = append(out, t.members[name].view())
	}
	return out
}

// LinkState is how a neighbour is reached: when it was last heard, and when it last showed that it hears.
type LinkState struct {
	HeardAgo, EchoedAgo int64 // ns ago
	Inbound             bool  // it beats here, but is no neighbour by the own rings
}

// LinkStates is the ways to and from neighbours, by name.
func (t *Table) LinkStates(now int64) map[string]LinkState {
	out := map[string]LinkState{}
	for name, m := range t.members {
		if m.edge != nil {
			out[name] = LinkState{HeardAgo: now - m.edge.heard, EchoedAgo: now - m.edge.echoAt, Inbound: m.edge.caller}
		}
	}
	return out
}

// Rejected is how many entries and alerts were not taken: unusable ones, and those past the bound.
func (t *Table) Rejected() int64 { return t.refused }

// Next is when Tick has something to do.
func (t *Table) Next() int64 {
	next := t.next
	if t.sendAt > 0 {
		next = min(next, t.sendAt)
	}
	if t.dirty >= 0 {
		next = min(next, t.changed+t.config.HeartbeatInterval/quietParts)
	}
	if t.heldUntil > 0 {
		next = min(next, t.heldUntil)
	}
	limit := t.limit()
	for _, name := range t.edgeNames() { // looked at with the beats alone, silence was found up to an interval late
		if m := t.edges[name]; m.State == Alive && !m.edge.caller && m.edge.said == Healthy {
			next = min(next, max(m.edge.heard, m.edge.since)+limit+1)
		}
	}
	for _, m := range t.suspects {
		if m.pending >= 0 && m.State == Alive {
			next = min(next, m.pending+t.config.HeartbeatInterval/confirmParts)
		}
	}
	return next
}

// Leave has the own instance tell its neighbours that it leaves, at once.
func (t *Table) Leave(now int64) []Send {
	t.self.Leaving = true
	t.raise(now)
	t.raw++
	t.touch(now)
	t.publish(now)
	return t.tellNews(now)
}

// enter puts a member into a state.
func (t *Table) enter(now int64, m *known, s State, why string) {
	was := m.State
	m.State, m.Since, m.pending = s, now, -1
	t.raw++
	if t.touch(now); s == Dead {
		m.deaths = append(m.deaths, now)
	}
	if s != Alive {
		t.unlink(m)
		t.version++
	}
	t.notes = append(t.notes, Change{Member: m.view(), Previous: was, Reason: why})
}

// forget drops who is long gone, and what has no meaning any more.
func (t *Table) forget(now int64) {
	span := forgetBeats * t.config.HeartbeatInterval
	if now-t.forgotAt < t.config.HeartbeatInterval*forgetBeats/6 {
		return
	}
	t.forgotAt = now
	for _, name := range t.names() {
		m := t.members[name]
		if m.State != Alive && !m.configured && now-max(m.Since, m.HeardAt) > span {
			delete(t.members, name)
			t.unlink(m)
			delete(t.suspects, name)
			delete(t.rumours, name)
			t.raw++
			t.joins++
			t.version++
			t.touch(now)
			continue
		}
		m.deaths = slices.DeleteFunc(m.deaths, func(at int64) bool { return now-at > flapWindow*t.config.HeartbeatInterval })
		m.prune(now, span)
	}
	t.twins.prune(now, span)
}

func (m *known) prune(now, span int64) {
	for i, at := range m.lives {
		if i != m.Incarnation && now-at > span {
			delete(m.lives, i)
		}
	}
}

// ObserveIncarnation notes which start under a name a message came from, as its link has proved.
func (t *Table) ObserveIncarnation(now int64, name string, incarnation uint64) {
	if m := t.members[name]; m != nil {
		if _, known := m.lives[incarnation]; known || len(m.lives) < livesMost {
			m.lives[incarnation] = now
		}
	}
}

// there counts the starts under a name that may be there.
func (m *known) there(now, silence int64) (n int) {
	for i, at := range m.lives {
		if now-at <= silence || i == m.Incarnation && m.State == Alive {
			n++
		}
	}
	return n
}

// IsDuplicated tells whether two starts under a name, the own one included, may both be there.
func (t *Table) IsDuplicated(now int64, name string) bool {
	if name == t.self.Name {
		return t.twins.there(now, t.config.ReplacedTimeout) > 0
	}
	m := t.members[name]
	return m != nil && m.there(now, t.config.ReplacedTimeout) > 1
}
