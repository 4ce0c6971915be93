package router

import (
	"slices"

	"tealpath/control"
)

// endpointSet is a set of endpoints, by name.
type endpointSet map[string]*endpoint

func (set endpointSet) add(endpoint *endpoint) { set[endpoint.Instance] = endpoint }

// addGone sets an endpoint's phase to phaseGone and adds it to the set.
func (set endpointSet) addGone(endpoint *endpoint) {
	endpoint.Phase = phaseGone
	set.add(endpoint)
}

// anyUnready reports whether any endpoint of the set is not ready.
func (set endpointSet) anyUnready() bool {
	for _, endpoint := range set {
		if !endpoint.isReady() {
			return true
		}
	}
	return false
}

// endpointListUpdated applies the complete endpoint list, or changes to it, and passes the changes on to the policy
// and the connection plan.
func (r *Router) endpointListUpdated(event EndpointListUpdated) {
	changed := endpointSet{}
	if event.Complete {
		r.markUnlistedGone(event.Entries, changed)
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
	r.endpoints.updateGone(changed)
	r.removeGone()
}

// markUnlistedGone marks as gone the endpoints that are missing from a complete list.
func (r *Router) markUnlistedGone(entries []EndpointEntry, changed endpointSet) {
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

// applyEntry applies one entry of the list, and reports whether its endpoint is new. If the endpoint was restarted or
// its address has changed, all its connections are stale, and applyEntry returns them.
func (r *Router) applyEntry(entry EndpointEntry, changed endpointSet) (stale []*connection, added bool) {
	endpoint, added := r.endpoints.getOrAdd(entry.Instance)
	r.markReplacedGone(entry, changed)
	restarted := entry.StartedAt > 0 && entry.StartedAt != endpoint.StartedAt
	moved := entry.Address != endpoint.Address
	r.endpoints.setEntry(endpoint, entry)
	changed.add(endpoint)
	if !restarted && !moved {
		return nil, added
	}
	for _, connection := range endpoint.connections { // a new endpoint has no connections
		connection.draining = true
		stale = append(stale, connection)
	}
	return stale, added
}

// markReplacedGone marks an endpoint as gone if a ready entry that is not older has the same address: requests to the
// endpoint would reach the new instance instead, which may be warming up.
func (r *Router) markReplacedGone(entry EndpointEntry, changed endpointSet) {
	if entry.Address == "" || entry.Phase != phaseReady {
		return
	}
	for _, endpoint := range r.endpoints.byAddress[entry.Address] {
		if endpoint.Instance != entry.Instance && endpoint.StartedAt <= entry.StartedAt {
			changed.addGone(endpoint)
		}
	}
}

// updatePolicy passes the changed endpoints to the policy or, if all is true because IDs have changed, the complete
// endpoint list.
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

// updateConnectionPlan passes the list of caches to the connection plan if it has changed.
func (r *Router) updateConnectionPlan(changed endpointSet) {
	if r.limits.ConnectionPlan == nil {
		return
	}
	current := r.endpoints.planInitialized
	for _, endpoint := range changed {
		isCache := endpoint.isReady() && r.config.isCache(endpoint)
		current = current && isCache == endpoint.inPlan
		endpoint.inPlan = isCache
	}
	if current {
		return
	}
	r.endpoints.planInitialized = true
	var caches []string // names of the caches, in any order, since the plan ranks them
	for name, endpoint := range r.endpoints.byName {
		if endpoint.inPlan {
			caches = append(caches, name)
		}
	}
	r.limits.ConnectionPlan.SetEndpoints(r.now, caches)
}

// removeGone closes the connections to endpoints that are gone, each once nothing is in flight on it, and
// removes the endpoints that have no connection left.
func (r *Router) removeGone() {
	gone := r.endpoints.gone
	for _, name := range sortedKeys(gone) {
		endpoint := gone[name]
		for _, connection := range slices.Clone(endpoint.connections) {
			connection.draining = true
			r.closeIfDrained(connection)
		}
		if len(endpoint.connections) == 0 {
			r.endpoints.remove(name)
		}
	}
}

// purgeReceived reports a purge to the policy. Attempts for its objects that are not written yet are withdrawn, so
// that the policy decides on their requests again.
func (r *Router) purgeReceived(event PurgeReceived) {
	r.policy.Purge(r.now, event.Object, event.Group, event.PurgedAt)
	r.withdrawMatching(func(attempt *attempt) bool {
		if event.Object != "" {
			return attempt.request.Object == event.Object
		}
		return attempt.request.Group == event.Group
	})
}

// probeEnded reports the result of a health check to the policy, if the settings enable health checks.
func (r *Router) probeEnded(event ProbeEnded) {
	endpoint := r.endpoints.byName[event.Instance]
	if endpoint != nil && r.config.HealthChecks {
		r.policy.ProbeEnded(r.now, endpoint.ID, event.Healthy, event.LoadReport)
	}
}
