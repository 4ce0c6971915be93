package router

import (
	"cmp"
	"slices"
)

const (
	// maxConnectionsPerEndpoint bounds the connections to one endpoint that still have capacity. Connections at
	// MaxStreamsPerConnection do not count, so that a saturated endpoint can get another one.
	maxConnectionsPerEndpoint = 4

	// shareThreshold is the number of requests in flight on an endpoint's least used connection from which
	// another connection is dialled. It is low because one corrupt response ends all requests in flight on its
	// connection.
	shareThreshold = 3
)

// connectionCandidates are the connections to an endpoint that one attempt could use.
type connectionCandidates struct {
	preferred *connection // the least used one that is not stalled, an established one if there is any; or nil
	stalled   *connection // one that is stalled; nil: there is none
	atLimit   bool        // no further connection may be opened
}

// pickConnection returns the connection to an endpoint that an attempt is to use. That is the least used one,
// or a new one if there is none yet or the limits allow another. It is nil if none can be used or dialled.
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

// findCandidates returns the connections to an endpoint that an attempt of a request could use.
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

// canCarry reports whether a request may be sent on a connection. It may not if an attempt with the same ID is
// in flight on it or was abandoned: a late response to that one could be mistaken for the response to this one.
func (r *Router) canCarry(connection *connection, id RequestID) bool {
	_, abandoned := connection.abandonedAt[id]
	if connection.unresponsive || abandoned || connection.inFlight[id] != nil {
		return false
	}
	return r.limits.ConnectionPlan.CanSend(r.now, connection.endpoint.Instance)
}

func (c *connection) isResponsive() bool { return !c.unresponsive }

// isPreferred reports whether a connection is used rather than another. Established connections are preferred
// and, among equals in that, the one with fewer requests in flight.
func (c *connection) isPreferred(other *connection) bool {
	if c.established != other.established {
		return c.established
	}
	return len(c.inFlight) < len(other.inFlight)
}

// isStalled reports whether nothing has been received on a connection for longer than a dial may take although
// an attempt is in flight on it. A response may be slow, and those to further requests would wait behind it.
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

// isReachable reports whether an attempt to an endpoint would have a connection or could open one; other
// endpoints than caches count as reachable. The policy skips caches that are not reachable: with more caches
// than allowed connections, requests for the objects of a cache without a connection go to one that has one.
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

// preconnect dials the caches that the connection plan names, before there is a request for them.
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
