package router

import (
	"maps"
	"slices"

	"tealpath/control"
)

// connection is the state of one connection to an endpoint, from the time it is dialled until it is closed.
type connection struct {
	id          ConnectionID
	endpoint    *endpoint
	address     string
	established bool
	draining    bool // no new attempt may use the connection, which is closed once none is in flight
	closed      bool
	inFlight    map[RequestID]*attempt

	// abandonedAt contains the requests for which another response may still be received on this connection, and the
	// time in ns at which their attempt was abandoned or, if it was not idempotent, got its first response.
	abandonedAt map[RequestID]int64

	lastReceivedAt int64 // ns; when a response was last received, or the connection dialled or established
	lastUsedAt     int64 // ns; when an attempt last started on the connection, or when it was dialled
}

// dial starts opening a connection to an endpoint and returns it. It does not check the limits.
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

// connectionUp handles a connection that is now established: it sends the attempts that were waiting for it.
func (r *Router) connectionUp(event ConnectionUp) {
	connection := r.connections[event.Connection]
	if connection == nil {
		return
	}
	if !connection.established {
		r.endExpired(connection)
	}
	r.endLocalBackoff()
	connection.established = true
	connection.lastReceivedAt = r.now
	r.limits.ConnectionPlan.Established(connection.endpoint.Instance)
	for _, attempt := range connection.attempts() {
		r.send(attempt)
	}
	r.closeIfDrained(connection)
}

// endExpired ends the attempts on a connection that are past their send deadline but whose timer has not fired yet.
// They must not be sent any more, because servers recognize an idempotency key only for a limited time.
func (r *Router) endExpired(connection *connection) {
	for _, attempt := range connection.attempts() {
		if r.now >= attempt.sendDeadline {
			r.attemptTimerFired(attempt)
		}
	}
}

// connectionDown handles a connection that has ended or could not be established: it tells the connection plan, and
// ends the attempts on the connection.
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
		r.endLocalBackoff()
		r.limits.ConnectionPlan.ConnectFailed(r.now, instance)
	}
	r.connectionLost(connection, event.Unsent, event.Cause)
}

// dialFailedLocally starts the backoff of all dialling after an error on this machine.
func (r *Router) dialFailedLocally(reason string) {
	if r.localBackoff.DialFailed(r.now) {
		r.log(ConnectUnavailable{Cause: reason})
	}
}

// endLocalBackoff ends the backoff that dialFailedLocally started. It is called when a dial succeeds, or fails for
// another reason than an error on this machine, such as a refusal by the endpoint.
func (r *Router) endLocalBackoff() {
	if r.localBackoff.End() {
		r.log(ConnectAvailable{})
	}
}

// connectionLost removes a connection and ends the attempts on it. unsent lists the requests that were not completely
// written.
func (r *Router) connectionLost(connection *connection, unsent []RequestID, cause Cause) {
	r.removeConnection(connection)
	attempts := connection.attempts()
	clear(connection.inFlight)
	alreadyCounted := cause == Local // an error on this machine is not a failure of the endpoint
	for _, attempt := range attempts {
		result := lostResult(connection, cause, slices.Contains(unsent, attempt.upstream.ID))
		r.attemptEnded(attempt, control.Outcome{Result: result, SharedCause: alreadyCounted})
		if result == control.ConnectionLost {
			alreadyCounted = true // a lost connection is one failure of its endpoint, not one per attempt
		}
	}
}

// lostResult returns the result of an attempt whose connection was lost. The request can have been executed only if it
// was completely written.
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

// removeConnection marks a connection as closed and removes it from all tables. It does not end attempts in flight.
func (r *Router) removeConnection(connection *connection) {
	connection.closed = true
	r.abandoned -= len(connection.abandonedAt)
	delete(r.connections, connection.id)
	connection.endpoint.connections = without(connection.endpoint.connections, connection)
}

// closeConnection closes a connection. Attempts in flight on it end as lost. If the connection was established, they
// count as completely written, because it is not known which ones were.
func (r *Router) closeConnection(connection *connection) {
	if connection.closed {
		return
	}
	r.emit(Close{Connection: connection.id})
	r.connectionLost(connection, nil, Remote)
}

// drainIfUnresponsive starts draining an attempt's connection if the attempt began at least ConnectTimeout ago and
// nothing has been received on the connection since.
func (r *Router) drainIfUnresponsive(attempt *attempt) {
	silent := attempt.connection.lastReceivedAt <= attempt.startedAt
	if silent && r.now-attempt.startedAt >= r.config.ConnectTimeout {
		attempt.connection.draining = true
	}
}

// closeIfDrained closes a draining connection if no attempt is in flight on it.
func (r *Router) closeIfDrained(connection *connection) {
	if connection.draining && len(connection.inFlight) == 0 && !connection.closed {
		r.closeConnection(connection)
	}
}

// closeUnused closes the idle connections that are no longer to be kept open; see isUnused.
func (r *Router) closeUnused() {
	var unused []ConnectionID
	for id, connection := range r.connections {
		if r.isUnused(connection) {
			unused = append(unused, id)
		}
	}
	slices.Sort(unused)
	for _, id := range unused {
		// Closing the previous ones may have left its endpoint so few connections that this one is kept.
		if connection := r.connections[id]; connection != nil && r.isUnused(connection) {
			r.closeConnection(connection)
		}
	}
}

// abandonedShareDivisor divides Limits.MaxAbandoned: the result is how many entries abandonedAt of one connection may
// have before the connection is drained.
const abandonedShareDivisor = 16

// expectResponse records that a response to a request may still be received on a connection although no attempt waits
// for it. If there are too many such requests, the connection is drained: with it, they are forgotten.
func (r *Router) expectResponse(connection *connection, id RequestID) {
	if _, known := connection.abandonedAt[id]; !known {
		r.abandoned++
	}
	connection.abandonedAt[id] = r.now
	limit := r.limits.MaxAbandoned
	if limit > 0 && (r.abandoned >= limit || len(connection.abandonedAt) >= limit/abandonedShareDivisor) {
		connection.draining = true
	}
}

// forgetAbandoned removes the entries of abandonedAt that are so old that no response to them is expected any more.
func (r *Router) forgetAbandoned() {
	for _, connection := range r.connections {
		before := len(connection.abandonedAt)
		maps.DeleteFunc(connection.abandonedAt, func(_ RequestID, at int64) bool {
			return r.now-at > 2*r.config.LongestDeadline
		})
		r.abandoned -= before - len(connection.abandonedAt)
	}
}

// isUnused reports whether an idle connection is to be closed: as soon as the connection plan says so, and at the
// latest after half of the endpoint's idle timeout. If the endpoint were to close it, a request could be on the way to
// the endpoint at that moment.
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
