// Package idle keeps the table of a router's client connections. It decides which new connection is admitted,
// which connection is closed because its timeout has passed or because a new one needs its slot, and how fast
// connections are accepted, resumed and closed.
//
// The package does no I/O, reads no clock and starts no goroutine: callers pass the time in, as nanoseconds of
// a monotonic clock, and lock a table or a pacer that several goroutines use. Every change concerns one
// connection and takes constant time, however many there are.
package idle

import (
	"math"
	"math/rand/v2"
)

// ID is the index of a connection in the table. It is used again after its connection has been removed;
// Generation tells the two apart.
type ID int32

// None is the ID of no connection.
const None ID = -1

// Limits bound a table.
type Limits struct {
	MaxConnections int     // in all networks together
	Cores          float64 // that the process may use; closing is paced by them. 0 is one
}

// entry is one connection. It has 40 bytes and refers to others by their index: without a pointer in it the
// garbage collector does not look at a hundred thousand entries one by one.
type entry struct {
	expiresAt  int64  // ns; math.MaxInt64 in states that have no timeout
	stateSince int64  // ns
	client     uint64 // hash of the client's address
	prev, next ID     // neighbours in the list of its network and state, or the next unused entry
	generation uint32
	network    uint16 // index in Table.policies
	state      State
}

// Table holds all client connections of a router. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	policies    []Policy // by network
	entries     []entry  // by ID
	firstUnused ID       // the entries that are not in use are linked by next

	lists        [][numStates]list // by network
	stateCounts  [numStates]int    // over all networks
	networkCount []int             // connections by network
	clientCount  map[uint64]int32  // connections by client
	total        int

	jitter      *rand.Rand
	closeBucket tokenBucket // paces NextExpired
}

// NewTable returns an empty table. There is one policy for each network; the first one applies to every client
// whose network is not among them. seed determines the jitter of idle timeouts.
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

	// TableFull means that another connection has to be removed first.
	TableFull

	// ClientLimitReached means that the client has as many connections as its network's policy allows.
	ClientLimitReached

	// NetworkLimitReached means that the client's network has as many connections as its policy allows.
	NetworkLimitReached
)

// Add admits a new connection, in StateNew, if no limit forbids it. client is a hash of the client's address; a
// network that has no policy is taken for the first one.
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

// admit checks the limits; those of the client and of its network come first, since removing another connection
// would not help there.
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

// allocate returns an unused entry.
func (t *Table) allocate() ID {
	if t.firstUnused == None {
		t.entries = append(t.entries, entry{})
		return ID(len(t.entries) - 1)
	}
	id := t.firstUnused
	t.firstUnused = t.entries[id].next
	return id
}

// SetState records that a connection has changed its state. An idle connection goes to the end of the list of
// idle ones only after it has been in another state.
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

// idleTimeout draws how long a connection that becomes idle now is kept, in ns.
func (t *Table) idleTimeout(network uint16) int64 {
	policy := &t.policies[network]
	if policy.MaxJitter <= 0 {
		return policy.IdleTimeout
	}
	return policy.IdleTimeout + t.jitter.Int64N(policy.MaxJitter)
}

// Remove takes a connection out of the table. Removing it again has no effect as long as its ID is not used
// again.
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

// State returns the state of a connection.
func (t *Table) State(id ID) State { return t.entries[id].state }

// StateSince returns when a connection got into its state, in ns.
func (t *Table) StateSince(id ID) int64 { return t.entries[id].stateSince }

// Generation returns a number that differs between two connections that have had the same ID one after the
// other.
func (t *Table) Generation(id ID) uint32 { return t.entries[id].generation }

// Count returns how many connections are in a state.
func (t *Table) Count(state State) int { return t.stateCounts[state] }

// Len returns how many connections there are.
func (t *Table) Len() int { return t.total }
