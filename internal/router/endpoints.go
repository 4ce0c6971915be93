package router

import (
	"slices"
	"tealpath/control"
)

// endpointSet is a set of endpoints by name, of those that one event changes.
type endpointSet map[string]*endpoint

func (set endpointSet) add(endpoint *endpoint) { set[endpoint.Instance] = endpoint }

func (set endpointSet) addGone(endpoint *endpoint) {
	endpoint.Phase = phaseGone
	set.add(endpoint)
}

// anyUnready reports whether an endpoint of the set is not ready.
func (set endpointSet) anyUnready() bool {
	for _, endpoint := range set {
		if !endpoint.isReady() {
			return true
		}
	}
	return false
}

// endpointListUpdated applies the endpoint list, or changes to it, and tells the policy and the plan of
// connections what has changed.
func (r *Router) endpointListUpdated(event EndpointListUpdated) {
	changed := endpointSet{}
	if event.Complete {
		r.removeUnlisted(event.Entries, changed)
	}
	anyAdded := false
	var stale []*connection
	for _, entry := range event.Entries {
		connections, added := r.applyEntry(entry, changed)
		stale = append(stale, connections...)
		anyAdded = anyAdded || added
	}
	reassigned := r.endpoints.assignIDs(anyAdded, changed)
	r.updatePolicy(changed, reassigned)
	r.updateConnectionPlan(changed)
	if changed.anyUnready() {
		r.withdrawMatching((*attempt).usesUnready)
	}
	for _, connection := range stale {
		r.closeConnection(connection)
	}
	r.forgetGone(changed)
}

// removeUnlisted marks as gone what a complete list does not name.
func (r *Router) removeUnlisted(entries []EndpointEntry, changed endpointSet) {
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Instance] = true
	}
	for name, endpoint := range r.endpoints.byName {
		if !listed[name] {
			changed.addGone(endpoint)
		}
	}
}

// applyEntry applies one entry of the list, and reports whether its endpoint is new. It returns the connections
// that are stale by it: those to an endpoint as it was before it was restarted or moved to another address.
func (r *Router) applyEntry(entry EndpointEntry, changed endpointSet) (stale []*connection, added bool) {
	endpoint, added := r.endpoints.get(entry.Instance)
	r.replaceAtAddress(entry, changed)
	restarted := entry.StartedAt > 0 && entry.StartedAt != endpoint.StartedAt
	moved := entry.Address != endpoint.Address
	r.endpoints.setEntry(endpoint, entry)
	changed.add(endpoint)
	if !restarted && !moved {
		return nil, added
	}
	for _, connection := range endpoint.connections { // a new endpoint has none
		connection.unresponsive = true
		stale = append(stale, connection)
	}
	return stale, added
}

// replaceAtAddress marks as gone the endpoints whose address a newer one has: what is sent to them would reach
// that one instead, which may be warming up.
func (r *Router) replaceAtAddress(entry EndpointEntry, changed endpointSet) {
	if entry.Address == "" || entry.Phase != phaseReady {
		return
	}
	for _, endpoint := range r.endpoints.byAddress[entry.Address] {
		if endpoint.Instance != entry.Instance && endpoint.StartedAt <= entry.StartedAt {
			changed.addGone(endpoint)
		}
	}
}

// updatePolicy tells the policy which endpoints have changed, or all of them if their IDs have.
func (r *Router) updatePolicy(changed endpointSet, all bool) {
	if all {
		changed = r.endpoints.byName
	}
	endpoints := make([]control.Endpoint, 0, len(changed))
	for _, name := range sortedKeys(changed) {
		endpoints = append(endpoints, changed[name].Endpoint)
	}
	r.policy.UpdateEndpoints(r.now, endpoints, all)
}

// updateConnectionPlan tells the plan of connections which caches there are, if they have changed.
func (r *Router) updateConnectionPlan(changed endpointSet) {
	if r.limits.ConnectionPlan == nil {
		return
	}
	current := r.endpoints.planCurrent
	for _, endpoint := range changed {
		isCache := endpoint.isReady() && r.config.isCache(endpoint)
		current = current && isCache == endpoint.inPlan
		endpoint.inPlan = isCache
	}
	if current {
		return
	}
	r.endpoints.planCurrent = true
	var caches []string // in any order: the plan has one of its own
	for name, endpoint := range r.endpoints.byName {
		if endpoint.inPlan {
			caches = append(caches, name)
		}
	}
	r.limits.ConnectionPlan.SetEndpoints(r.now, caches)
}

// forgetGone closes the connections of endpoints that are gone once nothing is in flight on them, and forgets
// endpoints that have none left.
func (r *Router) forgetGone(changed endpointSet) {
	gone := r.endpoints.gone
	for name, endpoint := range changed {
		if endpoint.Phase == phaseGone {
			gone[name] = endpoint
		} else {
			delete(gone, name)
		}
	}
	for _, name := range sortedKeys(gone) {
		endpoint := gone[name]
		for _, connection := range slices.Clone(endpoint.connections) {
			connection.unresponsive = true
			r.closeIfUnresponsive(connection)
		}
		if len(endpoint.connections) == 0 {
			r.endpoints.remove(name)
		}
	}
}

// purgeReceived tells the policy of a purge. Attempts that were decided on before it and are not written yet
// are decided on anew.
func (r *Router) purgeReceived(event PurgeReceived) {
	r.policy.Purge(r.now, event.Object, event.Group, event.PurgedAt)
	r.withdrawMatching(func(attempt *attempt) bool {
		if event.Object != "" {
			return attempt.request.Object == event.Object
		}
		return attempt.request.Group == event.Group
	})
}

// probeEnded tells the policy the outcome of a health check.
func (r *Router) probeEnded(event ProbeEnded) {
	endpoint := r.endpoints.byName[event.Instance]
	if endpoint != nil && r.config.HealthChecks {
		r.policy.ProbeEnded(r.now, endpoint.ID, event.Healthy, event.LoadReport)
	}
}
