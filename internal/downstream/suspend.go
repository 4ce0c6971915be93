package downstream

import (
	"net"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/neterr"
)

// wakeUp is a suspended connection that is to be resumed, and since when data may wait on it.
type wakeUp struct {
	slot  slotKey
	since time.Time
}

// canSuspend tells whether idle connections can be suspended on this system.
func (ic *idleConnections) canSuspend() bool {
	return ic.poller != nil && !ic.suspendDisabled.Load()
}

// disableSuspend keeps idle connections active from now on. It emits an event the first time.
func (ic *idleConnections) disableSuspend(cause error) {
	if !ic.suspendDisabled.Swap(true) {
		ic.emit(SuspendDisabled{Cause: cause.Error()})
	}
}

// suspendFailed handles an error of suspending a connection. Where a resource is exhausted it is tried again
// once the connection has been idle for as long again; after any other error no connection is suspended any
// more.
func (ic *idleConnections) suspendFailed(cause error) {
	if !neterr.IsExhausted(cause) {
		ic.disableSuspend(cause)
	}
}

// suspend gives up all of an active connection but its descriptor, and tells whether that is done. Only the
// connection's reader calls it.
func (ic *idleConnections) suspend(c *connection) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if !ic.isCurrent(c.slot) {
		return false // it was evicted
	}
	return ic.suspendAs(c.conn, c.slot, slot{segments: uint16(c.arrivals.segments)})
}

// suspendNew suspends a connection that was just accepted and has sent nothing yet. It tells whether that
// is done.
func (ic *idleConnections) suspendNew(conn net.Conn, key slotKey) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.suspendAs(conn, key, slot{beforeFirstRequest: true})
}

// suspendAs hands a connection to the poller and puts its descriptor into its slot. ic.mu is locked, so that a
// wake-up for the descriptor finds the slot.
func (ic *idleConnections) suspendAs(conn net.Conn, key slotKey, s slot) bool {
	fd, err := ic.poller.Suspend(conn, key.encode())
	if err != nil {
		ic.suspendFailed(err)
		return false
	}
	s.fd = int32(fd)
	ic.setSlot(key.id, s)
	return true
}

// hasData tells whether data can be read from a suspended connection, rather than its end.
func (ic *idleConnections) hasData(key slotKey) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	s, found := ic.suspended(key)
	return found && ic.calls.Peek(int(s.fd)) == poller.Data
}

// takeForResume takes a suspended connection, to be resumed; the caller owns its descriptor. abandoned
// tells that its client has closed its sending side, and its data has waited for too long since then. A
// connection that has ended is closed and not found.
func (ic *idleConnections) takeForResume(wake wakeUp) (taken slot, abandoned, found bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	taken, found = ic.suspended(wake.slot)
	if !found {
		return slot{}, false, false // it was evicted or has expired
	}
	fd := int(taken.fd)
	abandoned = idle.Abandoned(int64(time.Since(wake.since)), ic.calls.PeerClosed(fd))
	if ic.calls.Peek(fd) == poller.EndOfStream {
		ic.poller.CloseDescriptor(fd)
		ic.free(wake.slot.id)
		return slot{}, false, false
	}
	ic.slots[wake.slot.id] = emptySlot
	ic.table.SetState(ic.clock.Now(), wake.slot.id, idle.StateReading)
	return taken, abandoned, true
}

// putBack suspends a connection again that could not be resumed, for the next try.
func (ic *idleConnections) putBack(w wakeUp, taken slot) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.slots[w.slot.id] = taken
	ic.postpone(w)
}

// removeTaken frees the slot of a connection that was taken and is not resumed.
func (ic *idleConnections) removeTaken(key slotKey) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.table.Remove(key.id)
}

// postpone keeps a suspended connection for the next try. Its state in the table is active, so that it is not
// evicted meanwhile. ic.mu is locked.
func (ic *idleConnections) postpone(w wakeUp) {
	ic.table.SetState(ic.clock.Now(), w.slot.id, idle.StateActive)
	ic.postponed = append(ic.postponed, w)
}

// hasPostponed tells whether suspended connections wait to be resumed again.
func (ic *idleConnections) hasPostponed() bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.retrying || len(ic.postponed) > 0
}

// beginRetry returns the postponed connections. endRetry has to follow once they were tried.
func (ic *idleConnections) beginRetry() []wakeUp {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	again := ic.postponed
	ic.postponed, ic.retrying = nil, true
	return again
}

// endRetry tells whether some of the postponed connections still can't be resumed.
func (ic *idleConnections) endRetry() bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.retrying = false
	return len(ic.postponed) > 0
}

// allSuspended returns the keys of all suspended connections.
func (ic *idleConnections) allSuspended() []slotKey {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	var keys []slotKey
	for i := range ic.slots {
		if ic.slots[i].fd != noDescriptor {
			id := idle.ID(i)
			keys = append(keys, slotKey{id: id, generation: ic.table.Generation(id)})
		}
	}
	return keys
}

// hasUnread tells whether something may have come on a suspended connection that is not handled yet.
func (ic *idleConnections) hasUnread() bool {
	return ic.poller != nil && (ic.poller.HasEvents() || ic.hasPostponed())
}
