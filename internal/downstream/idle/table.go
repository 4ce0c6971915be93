// Package idle decides what becomes of clients' connections: which may come, which expires when, which makes room, and
// how many are closed or taken in at a time. It does no input or output, reads no clock and starts no goroutine; every
// call changes one connection and costs the same whatever their number.
//
// An entry is 40 bytes without a pointer, so that a hundred thousand of them cost the collector nothing.
package idle

import (
	"math"
	"math/rand/v2"
)

// ID names a connection in the table. It is used again after the connection has gone; Generation tells two apart.
type ID int32

// None is no connection.
const None ID = -1

// State is where a connection stands.
type State uint8

// The states. Fresh has connected and asked for nothing, Busy has something open or unwritten, Reading has sent part of
// a request at least, Idle has had an answer and nothing since, Closing has had its last answer.
const (
	StateNew State = iota
	StateActive
	StateReading
	StateIdle
	StateClosing
	states
)

func (s State) String() string { return []string{"fresh", "busy", "reading", "idle", "closing"}[s] }

const free State = states

// Policy is how connections of one network are kept.
type Policy struct {
	FirstRequestTimeout int64 // ns from connecting until something must have been asked
	IdleTimeout         int64 // ns for which an idle connection is kept
	MaxJitter           int64 // ns, at most: by chance so much later, so that those that came together do not all go together
	MaxConnections      int   // connections of the network; 0 is no bound of its own
	MaxPerClient        int   // connections of one client; 0 is no bound
}

// Limits bound a table.
type Limits struct {
	MaxConnections int
	Cores          float64
}

// entry is one connection. Links are places in the table, so the collector has nothing to follow.
type entry struct {
	due        int64 // when it expires, in Fresh and Idle
	since      int64 // when it got into its state
	client     uint64
	prev, next ID
	generation uint32
	network    uint16
	state      State
}

// line is the connections of one state and network, in the order in which they got there.
type line struct {
	first, last ID
	count       int
}

// Table is all connections of a front.
type Table struct {
	limits   Limits
	policies []Policy
	entries  []entry
	unused   ID // first of the free entries, by next
	lines    [][states]line
	counts   [states]int
	all      int
	each     []int // by network
	clients  map[uint64]int32
	rng      *rand.Rand
	pace     tokenBucket
}

// NewTable makes a table; the first of the networks is for whoever is in no other.
func NewTable(limits Limits, policies []Policy, seed uint64) *Table {
	t := &Table{limits: limits, unused: None, clients: map[uint64]int32{}, rng: rand.New(rand.NewPCG(seed, 0)),
		pace: tokenBucket{rate: closesPerCore * part(limits.Cores)}}
	t.SetPolicies(policies)
	return t
}

// SetPolicies takes other spans and bounds into force. Spans hold for what becomes idle from now on, bounds for what comes.
func (t *Table) SetPolicies(policies []Policy) {
	t.policies = policies
	for len(t.lines) < len(policies) {
		var fresh [states]line
		for s := range fresh {
			fresh[s] = line{first: None, last: None}
		}
		t.lines, t.each = append(t.lines, fresh), append(t.each, 0)
	}
}

// Verdict is what becomes of a connection that wants to come.
type Verdict uint8

// The verdicts. Full asks for room to be made first; PerClient and PerNetwork are bounds of the one who comes.
const (
	Admitted Verdict = iota
	TableFull
	ClientLimitReached
	NetworkLimitReached
)

// Add takes a connection in as StateNew. client tells clients apart, as a hash of the address.
func (t *Table) Add(now int64, client uint64, network uint16) (ID, Verdict) {
	if int(network) >= len(t.policies) {
		network = 0
	}
	k := &t.policies[network]
	switch {
	case k.MaxPerClient > 0 && int(t.clients[client]) >= k.MaxPerClient:
		return None, ClientLimitReached
	case k.MaxConnections > 0 && t.each[network] >= k.MaxConnections:
		return None, NetworkLimitReached
	case t.all >= t.limits.MaxConnections:
		return None, TableFull
	}
	id := t.unused
	if id == None {
		id = ID(len(t.entries))
		t.entries = append(t.entries, entry{})
	} else {
		t.unused = t.entries[id].next
	}
	e := &t.entries[id]
	*e = entry{client: client, generation: e.generation + 1, network: network, since: now, due: now + k.FirstRequestTimeout}
	t.clients[client]++
	t.each[network]++
	t.all++
	t.link(id, StateNew)
	return id, Admitted
}

// SetState notes that a connection has got into a state. One that stays Idle is put behind the others again only if it did
// something in between, which is another state.
func (t *Table) SetState(now int64, id ID, s State) {
	e := &t.entries[id]
	if e.state == s || e.state == free {
		return
	}
	t.unlink(id)
	e.since, e.due = now, math.MaxInt64
	if s == StateIdle {
		k := &t.policies[e.network]
		e.due = now + k.IdleTimeout
		if k.MaxJitter > 0 {
			e.due += t.rng.Int64N(k.MaxJitter)
		}
	}
	t.link(id, s)
}

// Remove takes a connection out.
func (t *Table) Remove(id ID) {
	e := &t.entries[id]
	if e.state == free {
		return
	}
	t.unlink(id)
	t.all--
	t.each[e.network]--
	if t.clients[e.client]--; t.clients[e.client] == 0 {
		delete(t.clients, e.client)
	}
	e.state, e.next, t.unused = free, t.unused, id
}

func (t *Table) link(id ID, s State) {
	e := &t.entries[id]
	l := &t.lines[e.network][s]
	e.state, e.prev, e.next = s, l.last, None
	if l.last == None {
		l.first = id
	} else {
		t.entries[l.last].next = id
	}
	l.last = id
	l.count++
	t.counts[s]++
}

func (t *Table) unlink(id ID) {
	e := &t.entries[id]
	l := &t.lines[e.network][e.state]
	if e.prev == None {
		l.first = e.next
	} else {
		t.entries[e.prev].next = e.next
	}
	if e.next == None {
		l.last = e.prev
	} else {
		t.entries[e.next].prev = e.prev
	}
	l.count--
	t.counts[e.state]--
}

// EvictionCandidate picks the connection that is to be closed for a new one: one that has had its last answer, else one that has
// asked for nothing or not wholly since a while, else the one idle longest, else the oldest that has just come. None if
// all are busy. settle is how long a request may take to come.
func (t *Table) EvictionCandidate(now, settle int64) ID {
	if id := t.oldest(StateClosing); id != None {
		return id
	}
	fresh := t.oldest(StateNew)
	for _, id := range []ID{fresh, t.oldest(StateReading)} {
		if id != None && now-t.entries[id].since >= settle {
			return id
		}
	}
	if id := t.oldest(StateIdle); id != None {
		return id
	}
	return fresh
}

// oldest is the first to have got into a state, over all networks.
func (t *Table) oldest(s State) ID {
	best := None
	for i := range t.lines {
		if id := t.lines[i][s].first; id != None && (best == None || t.entries[id].since < t.entries[best].since) {
			best = id
		}
	}
	return best
}

// NextExpired picks a connection whose time is up, if one more may be closed now: closing is paced, and stands back while
// others wait for answers. The caller closes it, or finds that something has come on it and moves it to Busy; else it
// is asked for again. When none is, it tells when to come again.
//
// Spread makes due times of a line not strictly rise, so one may wait behind another for up to the spread.
func (t *Table) NextExpired(now int64, saturated bool) (ID, int64) {
	next := int64(math.MaxInt64)
	found := None
	for i := range t.lines {
		for _, s := range []State{StateNew, StateIdle} {
			id := t.lines[i][s].first
			if id == None {
				continue
			}
			e := &t.entries[id]
			if next = min(next, e.due); e.due <= now && (found == None || e.due < t.entries[found].due) {
				found = id
			}
		}
	}
	if found == None {
		return None, next
	}
	if wait := t.pace.take(now, saturated); wait > 0 {
		return None, now + wait
	}
	return found, now
}

// State is a connection's.
func (t *Table) State(id ID) State { return t.entries[id].state }

// Generation tells two connections that had one ID apart.
func (t *Table) Generation(id ID) uint32 { return t.entries[id].generation }

// StateSince is when a connection got into its state.
func (t *Table) StateSince(id ID) int64 { return t.entries[id].since }

// Count is how many are in a state.
func (t *Table) Count(s State) int { return t.counts[s] }

// Len is how many there are.
func (t *Table) Len() int { return t.all }
