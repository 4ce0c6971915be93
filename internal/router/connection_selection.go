package router

import (
	"cmp"
	"slices"
)

const (
	// maxConnectionsPerEndpoint bounds the connections to one endpoint that still have capacity. Connections at
	// MaxStreamsPerConnection do not count, so that a saturated endpoint can get another one.
	maxConnectionsPerEndpoint = 4

	// shareThreshold is how many requests are in flight on an endpoint's least used connection when another one
	// is dialled: one corrupt response ends everything that is in flight on its connection.
	shareThreshold = 3
)

// connectionCandidates is what an endpoint's connections offer to one attempt.
type connectionCandidates struct {
	preferred *connection // an established one if there is any
	stalled   *connection
	atLimit   bool // no further connection may be opened
}

// pickConnection returns the least used connection to an endpoint, or dials one. It is nil if there is none.
func (r *Router) pickConnection(endpoint *endpoint, id RequestID) *connection {
	candidates := r.findCandidates(endpoint, id)
	preferred := candidates.preferred
	switch {
	case preferred != nil && (candidates.atLimit || len(preferred.inFlight) < shareThreshold):
		return preferred
	case candidates.atLimit:
		return candidates.stalled
	case !r.canDial(endpoint):
		return cmp.Or(preferred, candidates.stalled)
	}
	dialled := r.dial(endpoint)
	if preferred != nil && preferred.established {
		return preferred // the new one is for later requests
	}
	return dialled
}

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

// canCarry reports whether a request may be sent on a connection. One on which a request of this ID is in
// flight, or was abandoned, is left out: a late response to that could be taken for the response to this.
func (r *Router) canCarry(connection *connection, id RequestID) bool {
	_, abandoned := connection.abandonedAt[id]
	if connection.unresponsive || abandoned || connection.inFlight[id] != nil {
		return false
	}
	return r.limits.ConnectionPlan.CanSend(r.now, connection.endpoint.Instance)
}

func (c *connection) isResponsive() bool { return !c.unresponsive }

// isPreferred reports whether a connection is used rather than another: it is established and that one is not
// or, if they are alike in that, less is in flight on it.
func (c *connection) isPreferred(other *connection) bool {
	if c.established != other.established {
		return c.established
	}
	return len(c.inFlight) < len(other.inFlight)
}

// isStalled reports whether nothing has come on a connection for some time though a request is in flight on it:
// a slow response may be on its way, and whatever is sent behind it would wait for that.
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

// canDial reports whether one more connection to an endpoint may be opened.
func (r *Router) canDial(endpoint *endpoint) bool {
	if r.localBackoff.Active(r.now) || len(r.connections) >= r.limits.MaxConnections {
		return false
	}
	return r.limits.ConnectionPlan.CanConnect(r.now, endpoint.Instance, len(endpoint.connections))
}

// isReachable reports whether an attempt to an endpoint would find a connection, or may open one. The policy
// passes over caches that are not reachable: where there are more caches than connections, objects whose cache
// has no connection go to one that has.
func (r *Router) isReachable(id uint32) bool {
	endpoint := r.endpoints.byID[id]
	if endpoint == nil || !r.config.isCache(endpoint) || r.canDial(endpoint) {
		return true
	}
	if !r.limits.ConnectionPlan.CanSend(r.now, endpoint.Instance) {
		return false
	}
	return slices.ContainsFunc(endpoint.connections, (*connection).isResponsive)
}

// preconnect dials the caches that the plan of connections names, before there is a request for them.
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
