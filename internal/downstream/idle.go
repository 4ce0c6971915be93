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

// closingDivisor limits the connections that have no slot in the table and so do not count towards MaxConnections. At
// the same time, about MaxConnections/closingDivisor connections may be closing after suspension, and as many may be
// having their requests rejected.
const closingDivisor = 8

// slotKey identifies a connection by its slot in the table and the slot's generation, which changes whenever
// the slot is reused.
type slotKey struct {
	id         idle.ID
	generation uint32
}

// encode returns the key in the form in which the poller stores it.
func (k slotKey) encode() uint64 { return uint64(uint32(k.id))<<32 | uint64(k.generation) }

// decodeSlotKey returns the key that encode turned into the given number.
func decodeSlotKey(key uint64) slotKey {
	return slotKey{id: idle.ID(int32(key >> 32)), generation: uint32(key)}
}

// slot is the content of one slot of idleConnections: an active connection, the descriptor of a suspended one, or
// neither.
type slot struct {
	connection         *connection
	fd                 int32  // descriptor of the suspended connection, or noDescriptor
	segments           uint16 // TCP segments received before suspension, modulo 2^16: enough to count later ones
	beforeFirstRequest bool   // suspended connection on which no request has arrived yet
}

const noDescriptor = -1

var emptySlot = slot{fd: noDescriptor}

// closingDescriptor is a suspended connection whose sending side has been closed.
type closingDescriptor struct {
	fd       int
	deadline time.Time
}

// idleConnections holds the table of all connections, active ones included, and the descriptors of the
// suspended ones.
type idleConnections struct {
	clock          clock.Clock
	calls          *poller.SystemCalls
	poller         *poller.Poller // nil if the system does not support it: idle connections then stay active
	policies       *NetworkPolicies
	maxConnections int // maximum number of connections in table, active ones included
	emit           func(logevent.Event)

	suspendDisabled atomic.Bool  // a system call that is needed to suspend connections failed for good
	waiting         atomic.Int64 // suspended connections reported by the poller and not yet resumed or closed

	mu        sync.Mutex
	table     *idle.Table         // guarded by mu
	slots     []slot              // guarded by mu; content of each slot, by ID in table
	postponed []wakeUp            // guarded by mu; to be resumed later, for example once a descriptor is free
	retrying  bool                // guarded by mu; true between beginRetry and endRetry
	closing   []closingDescriptor // guarded by mu; suspended connections that are closing and no longer in the table
}

func newIdleConnections(config Config, emit func(logevent.Event)) *idleConnections {
	limits := idle.Limits{MaxConnections: config.MaxConnections, Cores: config.Cores}
	ic := &idleConnections{
		clock:          config.Clock,
		calls:          config.SystemCalls,
		policies:       config.Policies,
		maxConnections: config.MaxConnections,
		emit:           emit,
		table:          idle.NewTable(limits, config.Policies.Policies, config.Seed),
	}
	created, err := poller.NewWithSystemCalls(config.SystemCalls)
	if err != nil {
		ic.disableSuspend(err)
		return ic
	}
	ic.poller = created
	return ic
}

// add assigns a slot to a new connection if the table admits it. Otherwise the verdict says which limit is reached,
// and the key is invalid.
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

// attach stores an active connection in the slot that it was assigned, and returns its state in the table.
func (ic *idleConnections) attach(c *connection) idle.State {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.setSlot(c.slot.id, slot{connection: c, fd: noDescriptor})
	return ic.table.State(c.slot.id)
}

// setSlot sets the content of the slot with the given ID, and extends the slots if the ID is new. ic.mu must
// be locked.
func (ic *idleConnections) setSlot(id idle.ID, s slot) {
	for len(ic.slots) <= int(id) {
		ic.slots = append(ic.slots, emptySlot)
	}
	ic.slots[id] = s
}

// isCurrent reports whether the connection that a key identifies still has its slot. ic.mu must be locked.
func (ic *idleConnections) isCurrent(key slotKey) bool {
	return ic.table.Generation(key.id) == key.generation
}

// suspended returns the slot of the connection with the given key. found is false if that connection has no slot any
// more or is not suspended. ic.mu must be locked.
func (ic *idleConnections) suspended(key slotKey) (s slot, found bool) {
	if int(key.id) >= len(ic.slots) || !ic.isCurrent(key) {
		return slot{}, false
	}
	s = ic.slots[key.id]
	return s, s.fd != noDescriptor
}

// setState records a connection's state in the table. It has no effect once the connection's slot has been freed.
func (ic *idleConnections) setState(key slotKey, state idle.State) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.isCurrent(key) {
		ic.table.SetState(ic.clock.Now(), key.id, state)
	}
}

// remove frees the slot of an active connection, unless the connection no longer has one.
func (ic *idleConnections) remove(c *connection) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.isCurrent(c.slot) && ic.slots[c.slot.id].connection == c {
		ic.free(c.slot.id)
	}
}

// free empties a slot and removes its connection from the table, which can then reuse the ID. ic.mu must be locked.
func (ic *idleConnections) free(id idle.ID) {
	ic.slots[id] = emptySlot
	ic.table.Remove(id)
}

// len returns the number of connections that have a slot, active and suspended ones together.
func (ic *idleConnections) len() int {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.table.Len()
}

// openDescriptors returns the number of connections that have a slot or are closing after suspension.
func (ic *idleConnections) openDescriptors() int {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.table.Len() + len(ic.closing)
}

// counts returns the number of connections by state. Its field Suspended is 0, to be set by the caller.
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

// evictionCandidate returns the connection to close so that a new one gets a slot, or idle.None if none may be closed.
// If a slot is free, it returns idle.None and true.
func (ic *idleConnections) evictionCandidate() (id idle.ID, hasCapacity bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.table.Len() < ic.maxConnections {
		return idle.None, true
	}
	return ic.table.EvictionCandidate(ic.clock.Now(), int64(requestGracePeriod)), false
}

// nextExpired returns a connection whose timeout has passed, if one may be closed now. Otherwise it returns idle.None
// and the time, in ns, at which to call it again.
func (ic *idleConnections) nextExpired(saturated bool) (id idle.ID, next int64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.table.NextExpired(ic.clock.Now(), saturated)
}

// evictSuspended starts to close a suspended connection and returns true, unless the connection has or may have unread
// data. If the connection is active, it is returned instead.
func (ic *idleConnections) evictSuspended(id idle.ID) (active *connection, evicted bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	s := ic.slots[id]
	if s.connection != nil || s.fd == noDescriptor {
		return s.connection, false
	}
	switch ic.calls.Peek(int(s.fd)) {
	case poller.Data: // the poller reports the data too, so the request is read
		ic.table.SetState(ic.clock.Now(), id, idle.StateActive)
		return nil, false
	// The reader finds out whether there is unread data once the connection is resumed.
	case poller.Undetermined:
		ic.postpone(wakeUp{slot: slotKey{id: id, generation: ic.table.Generation(id)}, since: time.Now()})
		return nil, false
	}
	ic.closeSuspended(id)
	return nil, true
}

// closeSuspended closes the sending side of a suspended connection that has received nothing, and frees its
// slot. Data that still arrives is discarded until the client has closed its side, or for closeNotifyTimeout:
// closing the descriptor with unread data would reset the connection. ic.mu must be locked.
func (ic *idleConnections) closeSuspended(id idle.ID) {
	fd := int(ic.slots[id].fd)
	ic.free(id)
	ic.poller.Remove(fd)
	poller.CloseWrite(fd)
	if len(ic.closing) > ic.maxConnections/closingDivisor {
		ic.poller.CloseDescriptor(ic.closing[0].fd)
		ic.closing = ic.closing[1:]
	}
	ic.closing = append(ic.closing, closingDescriptor{fd: fd, deadline: time.Now().Add(closeNotifyTimeout)})
}

// closeAllIdle starts to close each suspended connection without unread data, as closeSuspended does.
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

// closeFinished closes the descriptors of closing connections whose clients have closed their side, or whose
// deadline has passed.
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

// closeAll closes the descriptors of all suspended and closing connections. It is called when Serve ends.
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
