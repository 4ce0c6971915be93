package idle

import "math"

// Policy says how connections from one network of clients are kept.
type Policy struct {
	FirstRequestTimeout int64 // ns from connecting to the first byte of a request
	IdleTimeout         int64 // ns for which an idle connection is kept
	MaxJitter           int64 // ns; a random part of it is added to IdleTimeout, so that many do not expire at once
	MaxConnections      int   // of the network; 0 is no limit of its own
	MaxPerClient        int   // of one client; 0 is no limit
}

// expiringStates are the states that have a timeout.
var expiringStates = [...]State{StateNew, StateIdle}

// NextExpired returns a connection whose timeout has passed, if another one may be closed now: closing is
// paced, and slowed down while the router is saturated. The caller closes the connection and removes it, or
// sets another state if something has been received on it; else the same one is returned again. If there is
// none it returns None and the time at which to call again.
//
// Jitter makes the order of a list differ from the order in which its connections expire. One may therefore be
// returned late, by MaxJitter at most.
func (t *Table) NextExpired(now int64, saturated bool) (id ID, callAt int64) {
	id, callAt = t.firstToExpire()
	if id == None || t.entries[id].expiresAt > now {
		return None, callAt
	}
	if wait := t.closeBucket.take(now, saturated); wait > 0 {
		return None, now + wait
	}
	return id, now
}

// firstToExpire returns, of the connections at the head of a list, the one that expires first, and when.
func (t *Table) firstToExpire() (id ID, expiresAt int64) {
	id, expiresAt = None, math.MaxInt64
	for network := range t.lists {
		for _, state := range expiringStates {
			head := t.lists[network][state].first
			if head == None {
				continue
			}
			if id == None || t.entries[head].expiresAt < expiresAt {
				id, expiresAt = head, t.entries[head].expiresAt
			}
		}
	}
	return id, expiresAt
}

// EvictionCandidate returns the connection to close for a new one, or None if all are active. The order is: one
// whose last response has been written; one that has sent no complete request for maxRequestTime, in ns, which
// is how long a request may take to arrive; the one that has been idle for longest; the oldest new one.
func (t *Table) EvictionCandidate(now, maxRequestTime int64) ID {
	if closing := t.oldest(StateClosing); closing != None {
		return closing
	}
	oldestNew := t.oldest(StateNew)
	for _, id := range []ID{oldestNew, t.oldest(StateReading)} {
		if id != None && now-t.entries[id].stateSince >= maxRequestTime {
			return id
		}
	}
	if idle := t.oldest(StateIdle); idle != None {
		return idle
	}
	return oldestNew
}
