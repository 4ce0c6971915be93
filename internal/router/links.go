package router

import (
	"cmp"
	"maps"
	"slices"

	"tealpath/control"
)

const (
	// linksMost is how many connections one endpoint has beside those that carry all they may.
	maxConnectionsPerEndpoint = 4

	// shareFrom is how much is open on an endpoint's least used connection from which it gets one more: one spoilt answer
	// takes all with it that is open on its connection.
	shareThreshold = 3
)

// endpoint is one instance of the list.
type endpoint struct {
	EndpointEntry
	connections []*connection
	inPlan      bool // the plan of connections counts it among the caches
}

// connection is one connection to an endpoint.
type connection struct {
	id             ConnectionID
	endpoint       *endpoint
	address        string
	established    bool
	unresponsive   bool // it has been silent on what it was asked: nothing new is sent on it
	closed         bool
	inFlight       map[string]*attempt // by the id that is on the connection
	abandonedAt    map[string]int64    // ids given up on it, with the time: an answer may come yet
	lastReceivedAt int64
	lastUsedAt     int64
}

// startAttempt starts an attempt that the policy decided on.
func (r *Router) startAttempt(request *inFlightRequest, decided control.Attempt) {
	attempt := &attempt{request: request, number: len(request.attempts), cache: r.endpointsByID[decided.Cache], startedAt: r.now}
	request.attempts = append(request.attempts, attempt)
	timeout := decided.Timeout
	if timeout <= 0 || timeout > request.Deadline-r.now {
		timeout = request.Deadline - r.now
	}
	attempt.upstream = UpstreamRequest{ID: request.fields["txn"], Class: request.fields["verb"], Object: request.fields["item"],
		Part: request.fields["nth"], Body: request.body, Deadline: r.now + timeout, Attempt: decided}
	if tag := request.fields["got"]; isHex(tag) {
		attempt.upstream.ClientETag = tag
	}
	attempt.upstream.IdempotencyKey = request.fields["unique"]
	if !decided.CacheOnly {
		if attempt.source = r.endpointsByID[decided.Source]; attempt.source != nil {
			attempt.upstream.Source = attempt.source.Instance
		}
	}
	if attempt.cache != nil {
		attempt.connection = r.pickConnection(attempt.cache, attempt.upstream.ID)
	}
	if attempt.connection == nil {
		// It uses up an attempt, also while this machine can open no connections: the endpoint may look reachable by a connection
		// that is full, and an attempt that cost nothing was made again at once, without end.
		attempt.connection = &connection{}
		r.attemptEnded(attempt, control.Outcome{Result: control.NotSent})
		return
	}
	attempt.connection.inFlight[attempt.upstream.ID] = attempt
	attempt.connection.lastUsedAt = r.now
	attempt.deadline = r.now + timeout
	attempt.sendDeadline = min(attempt.deadline-millisecond, r.now+decided.SendTimeout) // with less than the wire's unit left it could not be told
	if attempt.connection.established {
		r.send(attempt)
		return
	}
	attempt.timer = r.timers.Push(attempt.sendDeadline, timerTask{attempt: attempt})
}

// pickConnection gives the least used connection to an endpoint, or dials one. A connection on which this id was given up before is
// left out: a late answer to that could be taken for one to this.
func (r *Router) pickConnection(endpoint *endpoint, id string) *connection {
	var best, stalled *connection
	fullConnections := 0
	for _, connection := range endpoint.connections {
		_, wasAbandoned := connection.abandonedAt[id]
		switch {
		case int64(len(connection.inFlight)) >= r.maxPerConnection:
			fullConnections++
		case connection.unresponsive || wasAbandoned || connection.inFlight[id] != nil || !r.limits.ConnectionPlan.CanSend(r.now, endpoint.Instance):
		case r.isStalled(connection):
			stalled = connection
		case best == nil || connection.established && !best.established || connection.established == best.established && len(connection.inFlight) < len(best.inFlight):
			best = connection
		}
	}
	switch atLimit := len(endpoint.connections)-fullConnections >= maxConnectionsPerEndpoint || len(r.connections) >= r.limits.MaxConnections; {
	case best != nil && (atLimit || len(best.inFlight) < shareThreshold):
		return best
	case atLimit:
		return stalled
	case r.localBackoff.Active(r.now), !r.limits.ConnectionPlan.CanConnect(r.now, endpoint.Instance, len(endpoint.connections)):
		return cmp.Or(best, stalled)
	}
	connection := r.dial(endpoint)
	if best != nil && best.established {
		return best // the new one is for what follows
	}
	return connection
}

// dial opens one more connection to an endpoint.
func (r *Router) dial(endpoint *endpoint) *connection {
	r.lastConnection++
	connection := &connection{id: r.lastConnection, endpoint: endpoint, address: endpoint.Address, inFlight: map[string]*attempt{}, abandonedAt: map[string]int64{},
		lastReceivedAt: r.now, lastUsedAt: r.now}
	endpoint.connections = append(endpoint.connections, connection)
	r.connections[connection.id] = connection
	r.limits.ConnectionPlan.Dialled(r.now, endpoint.Instance)
	r.emit(Dial{Connection: connection.id, Address: connection.address, Timeout: r.connectTimeout})
	return connection
}

// reachable tells whether an attempt to an endpoint would find a connection, or may open one: by the plan, and within the connections that
// the router may have in all. It is the policy's to pass over a cache that can't be reached, in the order of an object's
// ranking: where there are more caches than connections, what has no connection of its own goes to one that stands.
func (r *Router) reachable(id uint32) bool {
	endpoint := r.endpointsByID[id]
	if endpoint == nil || !r.isCache(endpoint) {
		return true
	}
	mayDial := !r.localBackoff.Active(r.now) && len(r.connections) < r.limits.MaxConnections
	if mayDial && r.limits.ConnectionPlan.CanConnect(r.now, endpoint.Instance, len(endpoint.connections)) {
		return true
	}
	return r.limits.ConnectionPlan.CanSend(r.now, endpoint.Instance) && slices.ContainsFunc(endpoint.connections, func(connection *connection) bool { return !connection.unresponsive })
}

// isCache tells whether an endpoint is a cache of this router's location.
func (r *Router) isCache(endpoint *endpoint) bool {
	return endpoint.Location == r.location && !slices.Contains(r.nonCacheKinds, endpoint.Kind)
}

// preconnect dials caches ahead of what is to be sent there, as the plan says.
func (r *Router) preconnect() {
	if r.localBackoff.Active(r.now) {
		return
	}
	for _, name := range r.limits.ConnectionPlan.Preconnect(r.now) {
		if endpoint := r.endpoints[name]; endpoint != nil && len(endpoint.connections) == 0 && len(r.connections) < r.limits.MaxConnections {
			r.dial(endpoint)
		}
	}
}

// isStalled tells whether nothing has come on a connection for a while though something is open on it: a slow answer
// may be on its way, and whatever is asked behind it would wait for that.
func (r *Router) isStalled(connection *connection) bool {
	if !connection.established || len(connection.inFlight) == 0 {
		return false
	}
	oldest := r.now
	for _, attempt := range connection.inFlight {
		oldest = min(oldest, attempt.startedAt)
	}
	return r.now-max(oldest, connection.lastReceivedAt) > r.connectTimeout
}

// connectionUp sends what has waited for a connection.
func (r *Router) connectionUp(e ConnectionUp) {
	connection := r.connections[e.Connection]
	if connection == nil {
		return
	}
	for _, attempt := range r.attemptsOn(connection) {
		if !connection.established && r.now >= attempt.sendDeadline {
			// Its time came in the same moment or before, and only the timer was late: it was written past its deadline, or past
			// the window in which its repeats are dropped.
			r.attemptTimerFired(attempt)
		}
	}
	r.dialSucceeded()
	connection.established, connection.lastReceivedAt = true, r.now
	r.limits.ConnectionPlan.Established(connection.endpoint.Instance)
	for _, attempt := range r.attemptsOn(connection) {
		r.send(attempt)
	}
	r.closeIfUnresponsive(connection)
}

// send sends an attempt on a connection that is up.
func (r *Router) send(attempt *attempt) {
	r.setAttemptTimer(attempt)
	r.emit(Send{Connection: attempt.connection.id, Request: attempt.upstream, SendDeadline: attempt.sendDeadline})
}

// setAttemptTimer sets a attempt's timer: to the end of the time in which it may be written, then to its time-out.
func (r *Router) setAttemptTimer(attempt *attempt) {
	at := attempt.deadline
	if r.now < attempt.sendDeadline {
		at = attempt.sendDeadline
	}
	r.timers.Remove(attempt.timer)
	attempt.timer = r.timers.Push(at, timerTask{attempt: attempt})
}

// withdrawAttempt ends an attempt that is not written yet. On a connection that is up only the connection's writer can tell: Withdrawn follows.
func (r *Router) withdrawAttempt(attempt *attempt) {
	if attempt.connection.established {
		r.emit(WithdrawAttempt{Connection: attempt.connection.id, ID: attempt.upstream.ID})
		return
	}
	r.abandonAttempt(attempt)
	r.attemptEnded(attempt, control.Outcome{Result: control.NotSent})
}

// attemptWithdrawn ends an attempt that waited on a connection that is up, and was not written.
func (r *Router) attemptWithdrawn(e AttemptWithdrawn) {
	connection := r.connections[e.Connection]
	if connection == nil || connection.inFlight[e.ID] == nil {
		return // it was given up meanwhile
	}
	attempt := connection.inFlight[e.ID]
	delete(connection.inFlight, e.ID)
	r.checkResponsive(attempt)
	r.attemptEnded(attempt, control.Outcome{Result: control.NotSent})
	r.closeIfUnresponsive(connection)
}

// attemptsOn is what is open on a connection, in the order of its sending.
func (r *Router) attemptsOn(connection *connection) []*attempt {
	return slices.SortedFunc(maps.Values(connection.inFlight), func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.startedAt, b.startedAt), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
}

// connectionDown ends what was open on a connection that has ended or never came up.
func (r *Router) connectionDown(event ConnectionDown) {
	connection := r.connections[event.Connection]
	switch {
	case connection == nil:
		return
	case connection.established:
		r.limits.ConnectionPlan.Disconnected(r.now, connection.endpoint.Instance)
	case event.Cause == Local:
		r.limits.ConnectionPlan.LocalError(connection.endpoint.Instance)
		if r.localBackoff.DialFailed(r.now) {
			r.log(ConnectUnavailable{Cause: event.Reason})
		}
	default:
		r.dialSucceeded()
		r.limits.ConnectionPlan.ConnectFailed(r.now, connection.endpoint.Instance)
	}
	r.connectionLost(connection, event.Unsent, event.Cause)
}

// dialSucceeded notes that a dial got as far as its endpoint.
func (r *Router) dialSucceeded() {
	if r.localBackoff.DialSucceeded() {
		r.log(ConnectAvailable{})
	}
}

// connectionLost takes a connection out of use. What was not wholly written, or waited for it to come up, did not run.
func (r *Router) connectionLost(connection *connection, unsent []string, cause Cause) {
	r.removeConnection(connection)
	open := r.attemptsOn(connection)
	clear(connection.inFlight)
	shared := cause == Local // nothing is held against the endpoint
	for _, attempt := range open {
		result := control.ConnectionLost
		switch {
		case !connection.established && cause == Local:
			result = control.LocalError
		case !connection.established:
			result = control.Unreachable
		case slices.Contains(unsent, attempt.upstream.ID):
			result = control.SendInterrupted
		}
		r.attemptEnded(attempt, control.Outcome{Result: result, SharedCause: shared})
		shared = shared || result == control.ConnectionLost
	}
}

func (r *Router) removeConnection(connection *connection) {
	connection.closed = true
	delete(r.connections, connection.id)
	connection.endpoint.connections = without(connection.endpoint.connections, connection)
}

// closeConnection closes a connection from this side.
func (r *Router) closeConnection(connection *connection) {
	if connection.closed {
		return
	}
	r.emit(Close{Connection: connection.id})
	r.connectionLost(connection, nil, Remote)
}

// abandonAttempt takes an attempt off its connection. A connection that has said nothing since is doubted: one to a machine that
// vanished stays open and silent, also after the machine is back.
func (r *Router) abandonAttempt(attempt *attempt) {
	connection := attempt.connection
	if connection.closed || connection.inFlight[attempt.upstream.ID] != attempt {
		return
	}
	delete(connection.inFlight, attempt.upstream.ID)
	if !connection.established {
		return // nothing was sent
	}
	connection.abandonedAt[attempt.upstream.ID] = r.now
	if r.canCancel {
		r.emit(CancelAttempt{Connection: connection.id, ID: attempt.upstream.ID})
	} else {
		r.emit(WithdrawAttempt{Connection: connection.id, ID: attempt.upstream.ID}) // what is not written yet needs no word to the other side
	}
	r.checkResponsive(attempt)
	r.closeIfUnresponsive(connection)
}

// checkResponsive doubts a attempt's connection if that has been silent since for as long as a dial may take.
func (r *Router) checkResponsive(attempt *attempt) {
	if attempt.connection.lastReceivedAt <= attempt.startedAt && r.now-attempt.startedAt >= r.connectTimeout {
		attempt.connection.unresponsive = true
	}
}

// closeIfUnresponsive closes a doubted connection once nothing is open on it.
func (r *Router) closeIfUnresponsive(connection *connection) {
	if connection.unresponsive && len(connection.inFlight) == 0 && !connection.closed {
		r.closeConnection(connection)
	}
}

// closeUnused closes what has not been used for a while, before the other side does, which could cross with a
// request; and forgets ids to which no answer will come any more.
func (r *Router) closeUnused() {
	var unused []ConnectionID
	for id, connection := range r.connections {
		if len(connection.abandonedAt) > 0 {
			maps.DeleteFunc(connection.abandonedAt, func(_ string, at int64) bool { return r.now-at > 2*r.longestDeadline })
		}
		if r.isUnused(connection) {
			unused = append(unused, id)
		}
	}
	slices.Sort(unused)
	for _, id := range unused {
		if connection := r.connections[id]; connection != nil && r.isUnused(connection) { // what was closed before it may have made it one of few
			r.closeConnection(connection)
		}
	}
}

// isUnused tells whether a connection is to be closed for want of use.
func (r *Router) isUnused(connection *connection) bool {
	return connection.established && len(connection.inFlight) == 0 && (r.now-connection.lastUsedAt > r.idleTimeout/2 ||
		r.limits.ConnectionPlan.ShouldClose(r.now, connection.endpoint.Instance, len(connection.endpoint.connections), connection.lastUsedAt))
}

// purgeReceived tells the policy of a purge; what was planned before it and not yet written is planned anew.
func (r *Router) purgeReceived(e PurgeReceived) {
	r.policy.Purge(r.now, e.Object, e.Group, e.PurgedAt)
	r.withdrawMatching(func(attempt *attempt) bool {
		return attempt.request.Object == e.Object || e.Object == "" && attempt.request.Group == e.Group
	})
}

// withdrawMatching takes back attempts that are not written yet: written later than the grace, they would break the rule on drains
// or on purges.
func (r *Router) withdrawMatching(which func(*attempt) bool) {
	for _, id := range sortedKeys(r.connections) {
		connection := r.connections[id]
		if connection == nil || !anyInFlight(connection, which) {
			continue
		}
		for _, attempt := range r.attemptsOn(connection) {
			if which(attempt) && !attempt.ended {
				r.withdrawAttempt(attempt)
			}
		}
	}
}

// anyInFlight tells whether something holds for an attempt on a connection.
func anyInFlight(connection *connection, which func(*attempt) bool) bool {
	for _, attempt := range connection.inFlight {
		if which(attempt) {
			return true
		}
	}
	return false
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func inSequence(hands map[int32]*inFlightRequest) []*inFlightRequest {
	out := make([]*inFlightRequest, 0, len(hands))
	for _, seq := range sortedKeys(hands) {
		out = append(out, hands[seq])
	}
	return out
}

// without removes an item from a list, in place.
func without[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}
