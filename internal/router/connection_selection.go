package router

import (
	"cmp"
	"slices"
)

const (
	// maxConnectionsPerEndpoint limits the connections to one endpoint that can take more requests. Connections with
	// MaxStreamsPerConnection requests in flight do not count, so that another one can be opened beside them.
	maxConnectionsPerEndpoint = 4

	// dialThreshold is the number of requests in flight on the least used connection to an endpoint at which
	// another connection is dialled. It is low because one corrupt response ends all attempts in flight on its
	// connection.
	dialThreshold = 3
)

// connectionCandidates is the outcome of findCandidates: the open connections to choose from, if there are any.
type connectionCandidates struct {
	preferred *connection // the first choice, by isPreferred, among those not stalled; nil: none
	stalled   *connection // one of the stalled connections; nil: none is stalled
	atLimit   bool        // no further connection to the endpoint may be opened
}

// pickConnection returns the connection to an endpoint that an attempt is to use: the least used one, which is an
// established one if possible. If there is none, or if it has dialThreshold requests in flight, another one is dialled
// if the limits allow that. A stalled connection is used only if no other can be. The result is nil if no connection
// can be used or dialled.
func (r *Router) pickConnection(endpoint *endpoint, id RequestID) *connection {
	candidates := r.findCandidates(endpoint, id)
	preferred := candidates.preferred
	switch {
	case preferred != nil && (candidates.atLimit || len(preferred.inFlight) < dialThreshold):
		return preferred
	case candidates.atLimit:
		return candidates.stalled
	case !r.canDial(endpoint):
		return cmp.Or(preferred, candidates.stalled)
	}
	dialled := r.dial(endpoint)
	if preferred != nil && preferred.established {
		return preferred // the connection that is being dialled is for later requests
	}
	return dialled
}

// findCandidates looks for open connections to an endpoint on which the request with an ID may be sent, and that are
// not saturated.
func (r *Router) findCandidates(endpoint *endpoint, id RequestID) connectionCandidates {
	var candidates connectionCandidates
	saturated := 0
	for _, connection := range endpoint.connections {
		switch {
		case len(connection.inFlight) >= r.config.MaxStreamsPerConnection:
			saturated++
		case !r.canCarry(connection, id):
		case r.isStalled(connection):
			candidates.stalled = connection
		case candidates.preferred == nil || connection.isPreferred(candidates.preferred):
			candidates.preferred = connection
		}
	}
	unsaturated := len(endpoint.connections) - saturated
	candidates.atLimit = unsaturated >= maxConnectionsPerEndpoint || len(r.connections) >= r.limits.MaxConnections
	return candidates
}

// canCarry reports whether a request may be sent on a connection. It may not if an attempt with the same request ID is
// in flight on it or listed in abandonedAt: a response to that attempt could be mistaken for the response to this one.
func (r *Router) canCarry(connection *connection, id RequestID) bool {
	_, abandoned := connection.abandonedAt[id]
	if connection.draining || abandoned || connection.inFlight[id] != nil {
		return false
	}
	return r.limits.ConnectionPlan.CanSend(r.now, connection.endpoint.Instance)
}

// acceptsAttempts reports whether new attempts may be sent on a connection.
func (c *connection) acceptsAttempts() bool { return !c.draining }

// isPreferred reports whether an attempt should use a connection rather than another one. Established connections come
// first, then those with fewer requests in flight.
func (c *connection) isPreferred(other *connection) bool {
	if c.established != other.established {
		return c.established
	}
	return len(c.inFlight) < len(other.inFlight)
}

// isStalled reports whether nothing has been received on a connection for longer than ConnectTimeout although an
// attempt is in flight on it. Its response may be slow, and the responses to further requests would wait behind it.
func (r *Router) isStalled(connection *connection) bool {
	if !connection.established || len(connection.inFlight) == 0 {
		return false
	}
	oldest := r.now
	for _, attempt := range connection.inFlight {
		oldest = min(oldest, attempt.startedAt)
	}
	return r.now-max(oldest, connection.lastReceivedAt) > r.config.ConnectTimeout
}

// canDial reports whether one more connection to an endpoint may be opened now, according to the backoff after local
// errors, MaxConnections and the connection plan.
func (r *Router) canDial(endpoint *endpoint) bool {
	if r.localBackoff.Active(r.now) || len(r.connections) >= r.limits.MaxConnections {
		return false
	}
	return r.limits.ConnectionPlan.CanConnect(r.now, endpoint.Instance, len(endpoint.connections))
}

// isReachable reports whether an attempt to an endpoint can use a connection or open one. Endpoints that are not
// caches always count as reachable. The policy skips caches that are not reachable: if there are more caches than
// allowed connections, requests for the objects of a cache without a connection are sent to a cache that has one.
func (r *Router) isReachable(id uint32) bool {
	endpoint := r.endpoints.byID[id]
	if endpoint == nil || !r.config.isCache(endpoint) || r.canDial(endpoint) {
		return true
	}
	if !r.limits.ConnectionPlan.CanSend(r.now, endpoint.Instance) {
		return false
	}
	return slices.ContainsFunc(endpoint.connections, (*connection).acceptsAttempts)
}

// preconnect dials the caches that the connection plan wants to be connected before there is a request for them.
func (r *Router) preconnect() {
	if r.localBackoff.Active(r.now) {
		return
	}
	for _, instance := range r.limits.ConnectionPlan.Preconnect(r.now) {
		endpoint := r.endpoints.byName[instance]
		if endpoint == nil || len(endpoint.connections) > 0 || len(r.connections) >= r.limits.MaxConnections {
			continue
		}
		r.dial(endpoint)
	}
}
