package router

import (
	"cmp"
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
	for _, entry := range r.olderEntriesFirst(event.Entries) {
		connections, added := r.applyEntry(entry, changed)
		stale = append(stale, connections...)
		anyAdded = anyAdded || added
	}
	r.markSupersededGone(event.Entries, changed)
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

// olderEntriesFirst returns the entries of one event in the order in which they are applied: those of endpoints that
// are known at their address come before the others. So an instance that is new at the address of another replaces that
// one, in whichever order the event lists the two.
func (r *Router) olderEntriesFirst(entries []EndpointEntry) []EndpointEntry {
	isNew := func(entry EndpointEntry) int {
		if known := r.endpoints.byName[entry.Instance]; known != nil && known.Address == entry.Address {
			return 0
		}
		return 1
	}
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(a, b EndpointEntry) int { return cmp.Compare(isNew(a), isNew(b)) })
	return ordered
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
			r.forbidRetriesOutsideScope(endpoint, entry)
		}
	}
}

// markSupersededGone marks as gone the listed endpoints at whose address another one is ready that started later: the
// list still has them, but requests to them would reach that one.
func (r *Router) markSupersededGone(entries []EndpointEntry, changed endpointSet) {
	for _, entry := range entries {
		if endpoint := r.endpoints.byName[entry.Instance]; endpoint.isReady() && r.isSuperseded(endpoint) {
			changed.addGone(endpoint)
		}
	}
}

// isSuperseded reports whether another ready endpoint that started later has the address of an endpoint.
func (r *Router) isSuperseded(subject *endpoint) bool {
	if subject.Address == "" {
		return false
	}
	return slices.ContainsFunc(r.endpoints.byAddress[subject.Address], func(other *endpoint) bool {
		return other != subject && other.isReady() && other.StartedAt > subject.StartedAt
	})
}

// forbidRetriesOutsideScope prevents further attempts for the requests that are in flight on established connections to
// an endpoint whose address a successor has taken over, unless servers in the scope of both drop repetitions. Such a
// connection may lead to the successor: then a retry in the scope of the endpoint would execute the request twice.
func (r *Router) forbidRetriesOutsideScope(replaced *endpoint, successor EndpointEntry) {
	for _, connection := range replaced.connections {
		if !connection.established {
			continue
		}
		for _, attempt := range connection.inFlight {
			class := r.config.classes[attempt.request.Class]
			if class.Idempotency == control.Keyed && !sharesKeyScope(class.KeyScope, replaced, successor) {
				attempt.request.NoNewAttempts = true
			}
		}
	}
}

// sharesKeyScope reports whether two endpoints are in the same scope of idempotency keys.
func sharesKeyScope(scope control.KeyScope, replaced *endpoint, successor EndpointEntry) bool {
	switch scope {
	case control.ScopeZone:
		return replaced.Location == successor.Location
	case control.ScopeCell:
		return replaced.Cell == successor.Cell
	}
	return true
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
