package idle

import "math"

// Policy sets the timeouts and limits for the connections from one network of clients.
type Policy struct {
	FirstRequestTimeout int64 // maximum time from connecting to the first byte of a request, ns
	IdleTimeout         int64 // time for which an idle connection is kept, ns
	MaxJitter           int64 // upper bound of a random addition to IdleTimeout, ns; spreads expiry; 0: none
	MaxConnections      int   // maximum number from the network; 0: only the table's limit applies
	MaxPerClient        int   // maximum number from one client; 0: no limit per client
}

// expiringStates are the states in which a connection has a timeout.
var expiringStates = [...]State{StateNew, StateIdle}

// NextExpired returns a connection whose timeout has passed, provided that another connection may be closed
// now: closing is paced, and slower while the router is saturated. The caller has to close and remove the
// connection, or set another state if something has been received on it. Otherwise the next call returns the
// same connection. If no connection may be closed now, NextExpired returns None and the time of the next call.
//
// Because of jitter, connections may expire in a different order than that of their list. A connection may
// therefore be returned up to MaxJitter late.
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

// firstToExpire returns the connection that expires first among the first entries of all lists, and its expiry time in
// ns. Without such a connection it returns None and math.MaxInt64.
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

// EvictionCandidate returns the connection to close for a new one, or None if none may be closed. maxRequestTime
// is how long, in ns, a request may take to arrive. The candidates, in order of preference, are: a connection
// whose last response has been written; one that has not sent a complete request within maxRequestTime; the
// one that has been idle longest; the oldest new one.
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
