// Package idle keeps the table of a router's client connections. It decides which new connection is admitted,
// which connection is closed because its timeout has passed or because a new one needs its slot, and how fast
// connections are accepted, resumed and closed.
//
// The package does no I/O, reads no clock and starts no goroutine. Callers pass in the time, as nanoseconds of
// a monotonic clock, and lock a table or a pacer that several goroutines use. Every change to the table
// concerns one connection and takes constant time, however many connections there are.
package idle

import (
	"math"
	"math/rand/v2"
)

// ID is the index of a connection in the table. It is reused after its connection has been removed; Generation tells
// the connections that had the same ID apart.
type ID int32

// None is returned in place of an ID if there is no connection.
const None ID = -1

// Limits bound the number of connections in a Table and the rate at which it lets them be closed.
type Limits struct {
	MaxConnections int     // maximum number of connections, all networks together
	Cores          float64 // processor cores for the process; 0: one; more connections are closed per second with more
}

// entry is one connection. It takes 40 bytes and refers to other entries by index: without pointers, the
// garbage collector does not scan a hundred thousand entries individually.
type entry struct {
	expiresAt  int64  // time at which the connection expires, ns; math.MaxInt64 in states without a timeout
	stateSince int64  // time at which the connection entered its state, ns
	client     uint64 // hash of the client's address
	prev, next ID     // neighbours in the connection's list, or None; in an unused entry, next is the next unused one
	generation uint32
	network    uint16 // index of the client's network in Table.policies
	state      State
}

// Table holds the state, timeout and client of each client connection of a router, and enforces connection limits. It
// is not safe for concurrent use.
type Table struct {
	limits      Limits
	policies    []Policy // timeouts and limits, by network
	entries     []entry  // connections and unused entries, by ID
	firstUnused ID       // first of the unused entries, which are linked through next; None: all are in use

	lists        [][numStates]list // connections, by network and state
	stateCounts  [numStates]int    // number of connections in all networks, by state
	networkCount []int             // number of connections, by network
	clientCount  map[uint64]int32  // number of connections, by hash of the client's address
	total        int

	jitter      *rand.Rand
	closeBucket tokenBucket // limits the rate at which NextExpired returns connections
}

// NewTable returns an empty table. policies is indexed by network; the first one also applies to clients of unknown
// networks. seed determines the jitter of idle timeouts.
func NewTable(limits Limits, policies []Policy, seed uint64) *Table {
	t := &Table{
		limits:       limits,
		policies:     policies,
		firstUnused:  None,
		lists:        make([][numStates]list, len(policies)),
		networkCount: make([]int, len(policies)),
		clientCount:  map[uint64]int32{},
		jitter:       rand.New(rand.NewPCG(seed, 0)),
		closeBucket:  tokenBucket{rate: closeRate * effectiveCores(limits.Cores)},
	}
	for network := range t.lists {
		for state := range t.lists[network] {
			t.lists[network][state] = emptyList
		}
	}
	return t
}

// Verdict says whether a new connection is admitted to the table.
type Verdict uint8

const (
	// Admitted means that the connection is in the table.
	Admitted Verdict = iota

	// TableFull means that the table has as many connections as it may hold: one has to be removed first.
	TableFull

	// ClientLimitReached means that the client has as many connections as its network's policy allows.
	ClientLimitReached

	// NetworkLimitReached means that the client's network has as many connections as its policy allows.
	NetworkLimitReached
)

// Add admits a new connection in StateNew and returns its ID, or returns None and the limit that is reached. client is
// a hash of the client's address, network an index of the table's policies. If it is out of range, the first policy
// applies.
func (t *Table) Add(now int64, client uint64, network uint16) (ID, Verdict) {
	if int(network) >= len(t.policies) {
		network = 0
	}
	policy := &t.policies[network]
	if verdict := t.admit(policy, client, network); verdict != Admitted {
		return None, verdict
	}
	id := t.allocate()
	added := &t.entries[id]
	*added = entry{
		client:     client,
		generation: added.generation + 1,
		network:    network,
		stateSince: now,
		expiresAt:  now + policy.FirstRequestTimeout,
	}
	t.clientCount[client]++
	t.networkCount[network]++
	t.total++
	t.link(id, StateNew)
	return id, Admitted
}

// admit returns the first limit that a new connection would exceed, or Admitted. The limits of the client and its
// network are checked first: if one of them is reached, evicting some other connection from a full table would not
// admit the new one.
func (t *Table) admit(policy *Policy, client uint64, network uint16) Verdict {
	switch {
	case policy.MaxPerClient > 0 && int(t.clientCount[client]) >= policy.MaxPerClient:
		return ClientLimitReached
	case policy.MaxConnections > 0 && t.networkCount[network] >= policy.MaxConnections:
		return NetworkLimitReached
	case t.total >= t.limits.MaxConnections:
		return TableFull
	}
	return Admitted
}

// allocate returns the ID of an entry that holds no connection. If there is none, it adds one.
func (t *Table) allocate() ID {
	if t.firstUnused == None {
		t.entries = append(t.entries, entry{})
		return ID(len(t.entries) - 1)
	}
	id := t.firstUnused
	t.firstUnused = t.entries[id].next
	return id
}

// SetState records that a connection is in a state since now, in ns. If it is in that state already, nothing changes,
// so that it keeps its place in the list. Nothing changes either if the connection has been removed.
func (t *Table) SetState(now int64, id ID, state State) {
	changed := &t.entries[id]
	if changed.state == state || changed.state == stateUnused {
		return
	}
	t.unlink(id)
	changed.stateSince = now
	changed.expiresAt = math.MaxInt64
	if state == StateIdle {
		changed.expiresAt = now + t.idleTimeout(changed.network)
	}
	t.link(id, state)
}

// idleTimeout returns how long a connection that becomes idle now is kept, in ns, including random jitter.
func (t *Table) idleTimeout(network uint16) int64 {
	policy := &t.policies[network]
	if policy.MaxJitter <= 0 {
		return policy.IdleTimeout
	}
	return policy.IdleTimeout + t.jitter.Int64N(policy.MaxJitter)
}

// Remove frees the connection's ID for reuse. Removing a connection again has no effect until its ID is reused.
func (t *Table) Remove(id ID) {
	removed := &t.entries[id]
	if removed.state == stateUnused {
		return
	}
	t.unlink(id)
	t.total--
	t.networkCount[removed.network]--
	t.clientCount[removed.client]--
	if t.clientCount[removed.client] == 0 {
		delete(t.clientCount, removed.client)
	}
	removed.state = stateUnused
	removed.next = t.firstUnused
	t.firstUnused = id
}

// State returns the current state of the connection with that ID.
func (t *Table) State(id ID) State { return t.entries[id].state }

// StateSince returns the time, in ns, at which a connection entered its current state.
func (t *Table) StateSince(id ID) int64 { return t.entries[id].stateSince }

// Generation returns a number that differs between a connection and the next one with the same ID.
func (t *Table) Generation(id ID) uint32 { return t.entries[id].generation }

// Count returns how many connections, of all networks, are in the given state.
func (t *Table) Count(state State) int { return t.stateCounts[state] }

// Len returns how many connections, in all states, are in the table.
func (t *Table) Len() int { return t.total }
