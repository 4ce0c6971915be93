package downstream

import (
	"net"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/neterr"
)

// wakeUp is a suspended connection to be resumed, with the earliest time at which its unread data can have arrived.
type wakeUp struct {
	slot      slotKey
	since     time.Time
	rejecting bool // there is no memory to serve what the connection has received
}

// canSuspend reports whether idle connections can be suspended: the system supports it, and no system call for it has
// failed for good.
func (ic *idleConnections) canSuspend() bool {
	return ic.poller != nil && !ic.suspendDisabled.Load()
}

// disableSuspend ends the suspension of idle connections, which stay active from then on. The first call emits
// SuspendDisabled.
func (ic *idleConnections) disableSuspend(cause error) {
	if !ic.suspendDisabled.Swap(true) {
		ic.emit(SuspendDisabled{Cause: cause.Error()})
	}
}

// suspendFailed handles an error of suspending a connection. If a resource is exhausted, the connection is suspended
// later, after it has been idle for as long again. After any other error, no connection is suspended from then on.
func (ic *idleConnections) suspendFailed(cause error) {
	if !neterr.IsExhausted(cause) {
		ic.disableSuspend(cause)
	}
}

// suspend releases everything of an active connection except its descriptor, and reports whether it succeeded.
// Only the connection's reader may call it.
func (ic *idleConnections) suspend(c *connection) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if !ic.isCurrent(c.slot) {
		return false // the connection was evicted
	}
	return ic.suspendAs(c.conn, c.slot, slot{segments: uint16(c.arrivals.segments)})
}

// suspendNew suspends a connection that was just accepted and has sent nothing yet. It reports whether it
// succeeded.
func (ic *idleConnections) suspendNew(conn net.Conn, key slotKey) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.suspendAs(conn, key, slot{beforeFirstRequest: true})
}

// suspendAs hands a connection to the poller and stores its descriptor in its slot. ic.mu must be locked, so
// that a wake-up for the descriptor finds the slot.
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

// hasData reports whether a suspended connection has unread data, rather than the end of the stream.
func (ic *idleConnections) hasData(key slotKey) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	s, found := ic.suspended(key)
	return found && ic.calls.Peek(int(s.fd)) == poller.Data
}

// takeForResume empties the slot of a suspended connection, which is to be resumed. The caller then owns its
// descriptor. abandoned means that the client has closed its sending side and its data has waited too long to be read.
// If the connection is no longer suspended, found is false; if it has ended, takeForResume also closes it.
func (ic *idleConnections) takeForResume(wake wakeUp) (taken slot, abandoned, found bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	taken, found = ic.suspended(wake.slot)
	if !found {
		return slot{}, false, false // the connection was evicted or has expired meanwhile
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

// putBack returns a suspended connection to its slot after it could not be resumed, and schedules the next try.
func (ic *idleConnections) putBack(w wakeUp, taken slot) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.slots[w.slot.id] = taken
	ic.postpone(w)
}

// removeTaken frees the slot of a connection that was taken by takeForResume and is not resumed.
func (ic *idleConnections) removeTaken(key slotKey) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.table.Remove(key.id)
}

// postpone schedules a suspended connection to be resumed later. In the table it counts as active, so that it is not
// evicted before that. ic.mu must be locked.
func (ic *idleConnections) postpone(w wakeUp) {
	ic.table.SetState(ic.clock.Now(), w.slot.id, idle.StateActive)
	ic.postponed = append(ic.postponed, w)
}

// hasPostponed reports whether suspended connections wait for another try to resume them, or are being retried.
func (ic *idleConnections) hasPostponed() bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.retrying || len(ic.postponed) > 0
}

// beginRetry returns the postponed connections, of which none is postponed any more. After trying to resume them, the
// caller has to call endRetry.
func (ic *idleConnections) beginRetry() []wakeUp {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	again := ic.postponed
	ic.postponed, ic.retrying = nil, true
	return again
}

// endRetry ends the retry that beginRetry began, and reports whether some connections are postponed again.
func (ic *idleConnections) endRetry() bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.retrying = false
	return len(ic.postponed) > 0
}

// allSuspended returns the key of each connection that is suspended now.
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

// hasUnread reports whether any suspended connection may have received data that has not been handled yet.
func (ic *idleConnections) hasUnread() bool {
	return ic.poller != nil && (ic.poller.HasEvents() || ic.hasPostponed())
}
