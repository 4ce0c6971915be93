package downstream

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tealpath/internal/clock"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/logevent"
)

// closingDivisor gives, from the maximum of connections, how many may be lingering or being rejected beside
// those that count towards it.
const closingDivisor = 8

// slotKey names a slot of the table, and which of the connections that had it one after another.
type slotKey struct {
	id         idle.ID
	generation uint32
}

// encode returns the key as the poller keeps it.
func (k slotKey) encode() uint64 { return uint64(uint32(k.id))<<32 | uint64(k.generation) }

func decodeSlotKey(key uint64) slotKey {
	return slotKey{id: idle.ID(int32(key >> 32)), generation: uint32(key)}
}

// slot is the content of a slot of the table: an active connection, a suspended descriptor, or neither.
type slot struct {
	connection         *connection
	fd                 int32  // noDescriptor: not suspended
	segments           uint16 // that had come when it was suspended, modulo 2^16: enough to count those since
	beforeFirstRequest bool   // suspended before a request came
}

const noDescriptor = -1

var emptySlot = slot{fd: noDescriptor}

// closingDescriptor is a suspended connection whose sending side was closed.
type closingDescriptor struct {
	fd       int
	deadline time.Time
}

// idleConnections holds the table of all connections, and the descriptors of those that are suspended.
type idleConnections struct {
	clock      clock.Clock
	calls      *poller.SystemCalls
	poller     *poller.Poller // nil: the system has none, and idle connections stay active
	policies   *NetworkPolicies
	maxEntries int // connections in the table
	emit       func(logevent.Event)

	suspendDisabled atomic.Bool  // a system call that suspending needs is refused
	waiting         atomic.Int64 // suspended connections on which something has come that is not handled yet

	mu        sync.Mutex
	table     *idle.Table         // guarded by mu
	slots     []slot              // guarded by mu; by the table's IDs
	postponed []wakeUp            // guarded by mu; could not be resumed, as a resource was exhausted
	retrying  bool                // guarded by mu; some that were postponed are being tried again
	closing   []closingDescriptor // guarded by mu; no longer in the table
}

func newIdleConnections(config Config, emit func(logevent.Event)) *idleConnections {
	limits := idle.Limits{MaxConnections: config.MaxConnections, Cores: config.Cores}
	ic := &idleConnections{
		clock:      config.Clock,
		calls:      config.SystemCalls,
		policies:   config.Policies,
		maxEntries: config.MaxConnections,
		emit:       emit,
		table:      idle.NewTable(limits, config.Policies.Policies, config.Seed),
	}
	set, err := poller.NewWithSystemCalls(config.SystemCalls)
	if err != nil {
		ic.disableSuspend(err)
		return ic
	}
	ic.poller = set
	return ic
}

// add gives a new connection a slot, if the table admits it.
func (ic *idleConnections) add(address net.Addr) (slotKey, idle.Verdict) {
	client, policy := ic.policies.find(address)
	ic.mu.Lock()
	defer ic.mu.Unlock()
	id, verdict := ic.table.Add(ic.clock.Now(), client, policy)
	if verdict != idle.Admitted {
		return slotKey{id: id}, verdict
	}
	return slotKey{id: id, generation: ic.table.Generation(id)}, verdict
}

// attach puts an active connection into its slot, and returns its state in the table.
func (ic *idleConnections) attach(c *connection) idle.State {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.setSlot(c.slot.id, slot{connection: c, fd: noDescriptor})
	return ic.table.State(c.slot.id)
}

// setSlot sets the content of the slot of an ID, which may be new. ic.mu is locked.
func (ic *idleConnections) setSlot(id idle.ID, s slot) {
	for len(ic.slots) <= int(id) {
		ic.slots = append(ic.slots, emptySlot)
	}
	ic.slots[id] = s
}

// isCurrent tells whether a key still names the connection that has the slot. ic.mu is locked.
func (ic *idleConnections) isCurrent(key slotKey) bool {
	return ic.table.Generation(key.id) == key.generation
}

// suspended returns the slot of a suspended connection. ic.mu is locked.
func (ic *idleConnections) suspended(key slotKey) (s slot, found bool) {
	if int(key.id) >= len(ic.slots) || !ic.isCurrent(key) {
		return slot{}, false
	}
	s = ic.slots[key.id]
	return s, s.fd != noDescriptor
}

// setState sets the state of a connection in the table, unless its slot was freed.
func (ic *idleConnections) setState(key slotKey, state idle.State) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.isCurrent(key) {
		ic.table.SetState(ic.clock.Now(), key.id, state)
	}
}

// remove frees the slot of an active connection, unless it has none any more.
func (ic *idleConnections) remove(c *connection) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.isCurrent(c.slot) && ic.slots[c.slot.id].connection == c {
		ic.free(c.slot.id)
	}
}

// free frees a slot. ic.mu is locked.
func (ic *idleConnections) free(id idle.ID) {
	ic.slots[id] = emptySlot
	ic.table.Remove(id)
}

// len returns how many connections have a slot.
func (ic *idleConnections) len() int {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.table.Len()
}

// openDescriptors returns how many connections have a slot, or were suspended and are closing.
func (ic *idleConnections) openDescriptors() int {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.table.Len() + len(ic.closing)
}

// counts returns how many connections are in which state, but for how many are suspended.
func (ic *idleConnections) counts() ConnectionCounts {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ConnectionCounts{
		All:     ic.table.Len(),
		New:     ic.table.Count(idle.StateNew),
		Active:  ic.table.Count(idle.StateActive),
		Reading: ic.table.Count(idle.StateReading),
		Idle:    ic.table.Count(idle.StateIdle),
		Closing: ic.table.Count(idle.StateClosing),
		Waiting: int(ic.waiting.Load()),
	}
}

// evictionCandidate returns the connection that is to be closed for a new one, or tells that there is capacity.
func (ic *idleConnections) evictionCandidate() (id idle.ID, hasCapacity bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.table.Len() < ic.maxEntries {
		return idle.None, true
	}
	return ic.table.EvictionCandidate(ic.clock.Now(), int64(requestGracePeriod)), false
}

// nextExpired returns a connection whose timeout has passed, if it may be closed now, or idle.None and when
// to call again.
func (ic *idleConnections) nextExpired(saturated bool) (id idle.ID, next int64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.table.NextExpired(ic.clock.Now(), saturated)
}

// evictSuspended closes a suspended connection unless something has come on it. An active one is returned
// instead.
func (ic *idleConnections) evictSuspended(id idle.ID) (active *connection, evicted bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	s := ic.slots[id]
	if s.connection != nil || s.fd == noDescriptor {
		return s.connection, false
	}
	switch ic.calls.Peek(int(s.fd)) {
	case poller.Data: // the poller reports it too: the request is read and answered
		ic.table.SetState(ic.clock.Now(), id, idle.StateActive)
		return nil, false
	case poller.Undetermined: // its reader will find out
		ic.postpone(wakeUp{slot: slotKey{id: id, generation: ic.table.Generation(id)}, since: time.Now()})
		return nil, false
	}
	ic.closeSuspended(id)
	return nil, true
}

// closeSuspended closes the sending side of a suspended connection on which nothing has come, and frees its
// slot. What still comes is discarded until the client has closed too, or for closeNotifyTimeout: to close the
// descriptor with unread data would reset the connection. ic.mu is locked.
func (ic *idleConnections) closeSuspended(id idle.ID) {
	fd := int(ic.slots[id].fd)
	ic.free(id)
	ic.poller.Remove(fd)
	poller.CloseWrite(fd)
	if len(ic.closing) > ic.maxEntries/closingDivisor {
		ic.poller.CloseDescriptor(ic.closing[0].fd)
		ic.closing = ic.closing[1:]
	}
	ic.closing = append(ic.closing, closingDescriptor{fd: fd, deadline: time.Now().Add(closeNotifyTimeout)})
}

// closeAllIdle closes the sending side of each suspended connection on which nothing has come.
func (ic *idleConnections) closeAllIdle() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for i := range ic.slots {
		if ic.slots[i].fd == noDescriptor {
			continue
		}
		switch ic.calls.Peek(int(ic.slots[i].fd)) {
		case poller.NoData, poller.EndOfStream:
			ic.closeSuspended(idle.ID(i))
		}
	}
}

// closeFinished closes the connections of closeSuspended whose clients have closed too, or whose time is up.
func (ic *idleConnections) closeFinished() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	now := time.Now()
	ic.closing = slices.DeleteFunc(ic.closing, func(c closingDescriptor) bool {
		finished := ic.calls.Discard(c.fd) || now.After(c.deadline)
		if finished {
			ic.poller.CloseDescriptor(c.fd)
		}
		return finished
	})
}

// closeAll closes all suspended connections, as the process ends.
func (ic *idleConnections) closeAll() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for i := range ic.slots {
		if fd := ic.slots[i].fd; fd != noDescriptor {
			ic.poller.CloseDescriptor(int(fd))
			ic.slots[i].fd = noDescriptor
		}
	}
	for _, c := range ic.closing {
		ic.poller.CloseDescriptor(c.fd)
	}
	ic.closing = nil
}
