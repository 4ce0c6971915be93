package router

import (
	"maps"
	"slices"
	"tealpath/control"
)

// connection is one connection to an endpoint.
type connection struct {
	id             ConnectionID
	endpoint       *endpoint
	address        string
	established    bool
	unresponsive   bool // it was silent on what was sent, or its endpoint has gone: nothing new is sent on it
	closed         bool
	inFlight       map[RequestID]*attempt
	abandonedAt    map[RequestID]int64 // requests to which a late response may come, with the time, ns
	lastReceivedAt int64
	lastUsedAt     int64
}

// dial opens one more connection to an endpoint.
func (r *Router) dial(endpoint *endpoint) *connection {
	r.lastConnection++
	dialled := &connection{
		id:             r.lastConnection,
		endpoint:       endpoint,
		address:        endpoint.Address,
		inFlight:       map[RequestID]*attempt{},
		abandonedAt:    map[RequestID]int64{},
		lastReceivedAt: r.now,
		lastUsedAt:     r.now,
	}
	endpoint.connections = append(endpoint.connections, dialled)
	r.connections[dialled.id] = dialled
	r.limits.ConnectionPlan.Dialled(r.now, endpoint.Instance)
	r.emit(Dial{Connection: dialled.id, Address: dialled.address, Timeout: r.config.ConnectTimeout})
	return dialled
}

// connectionUp sends what has waited for a connection.
func (r *Router) connectionUp(event ConnectionUp) {
	connection := r.connections[event.Connection]
	if connection == nil {
		return
	}
	if !connection.established {
		r.endExpired(connection)
	}
	r.dialReachedEndpoint()
	connection.established = true
	connection.lastReceivedAt = r.now
	r.limits.ConnectionPlan.Established(connection.endpoint.Instance)
	for _, attempt := range connection.attempts() {
		r.send(attempt)
	}
	r.closeIfUnresponsive(connection)
}

// endExpired ends the attempts on a connection whose send deadline has passed but whose timer has not fired
// yet. They may not be sent any more: servers drop repetitions within a window only.
func (r *Router) endExpired(connection *connection) {
	for _, attempt := range connection.attempts() {
		if r.now >= attempt.sendDeadline {
			r.attemptTimerFired(attempt)
		}
	}
}

// connectionDown handles a connection that has ended or was never established.
func (r *Router) connectionDown(event ConnectionDown) {
	connection := r.connections[event.Connection]
	if connection == nil {
		return
	}
	instance := connection.endpoint.Instance
	switch {
	case connection.established:
		r.limits.ConnectionPlan.Disconnected(r.now, instance)
	case event.Cause == Local:
		r.limits.ConnectionPlan.LocalError(instance)
		r.dialFailedLocally(event.Reason)
	default:
		r.dialReachedEndpoint()
		r.limits.ConnectionPlan.ConnectFailed(r.now, instance)
	}
	r.connectionLost(connection, event.Unsent, event.Cause)
}

// dialFailedLocally begins the backoff of all dialling, for an error of this machine's own.
func (r *Router) dialFailedLocally(reason string) {
	if r.localBackoff.DialFailed(r.now) {
		r.log(ConnectUnavailable{Cause: reason})
	}
}

// dialReachedEndpoint ends that backoff: a dial got as far as its endpoint, whatever that answered.
func (r *Router) dialReachedEndpoint() {
	if r.localBackoff.DialSucceeded() {
		r.log(ConnectAvailable{})
	}
}

// connectionLost removes a connection and ends the attempts on it. Of these, what was not completely written,
// or waited for the connection to be established, was not executed.
func (r *Router) connectionLost(connection *connection, unsent []RequestID, cause Cause) {
	r.removeConnection(connection)
	attempts := connection.attempts()
	clear(connection.inFlight)
	shared := cause == Local // nothing is held against the endpoint
	for _, attempt := range attempts {
		result := lostResult(connection, cause, slices.Contains(unsent, attempt.upstream.ID))
		r.attemptEnded(attempt, control.Outcome{Result: result, SharedCause: shared})
		shared = shared || result == control.ConnectionLost // one lost connection is one failure of its endpoint
	}
}

// lostResult is the result of an attempt whose connection was lost.
func lostResult(connection *connection, cause Cause, unsent bool) control.Result {
	switch {
	case !connection.established && cause == Local:
		return control.LocalError
	case !connection.established:
		return control.Unreachable
	case unsent:
		return control.SendInterrupted
	}
	return control.ConnectionLost
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

// checkResponsive marks an attempt's connection as unresponsive if it has been silent since the attempt began,
// for as long as a dial may take.
func (r *Router) checkResponsive(attempt *attempt) {
	silent := attempt.connection.lastReceivedAt <= attempt.startedAt
	if silent && r.now-attempt.startedAt >= r.config.ConnectTimeout {
		attempt.connection.unresponsive = true
	}
}

// closeIfUnresponsive closes an unresponsive connection once nothing is in flight on it.
func (r *Router) closeIfUnresponsive(connection *connection) {
	if connection.unresponsive && len(connection.inFlight) == 0 && !connection.closed {
		r.closeConnection(connection)
	}
}

// closeUnused closes connections that have not been used for some time. It also forgets abandoned requests to
// which no response will come any more.
func (r *Router) closeUnused() {
	var unused []ConnectionID
	for id, connection := range r.connections {
		r.forgetAbandoned(connection)
		if r.isUnused(connection) {
			unused = append(unused, id)
		}
	}
	slices.Sort(unused)
	for _, id := range unused {
		// A connection that was closed before it may have left too few for this one to be closed.
		if connection := r.connections[id]; connection != nil && r.isUnused(connection) {
			r.closeConnection(connection)
		}
	}
}

func (r *Router) forgetAbandoned(connection *connection) {
	maps.DeleteFunc(connection.abandonedAt, func(_ RequestID, at int64) bool {
		return r.now-at > 2*r.config.LongestDeadline
	})
}

// isUnused reports whether a connection is to be closed because it is not used: half the idle timeout before
// its endpoint would close it, which could cross with a request, or as soon as the plan of connections wants
// it.
func (r *Router) isUnused(connection *connection) bool {
	if !connection.established || len(connection.inFlight) > 0 {
		return false
	}
	if r.now-connection.lastUsedAt > r.config.IdleTimeout/2 {
		return true
	}
	endpoint := connection.endpoint
	open := len(endpoint.connections)
	return r.limits.ConnectionPlan.ShouldClose(r.now, endpoint.Instance, open, connection.lastUsedAt)
}
