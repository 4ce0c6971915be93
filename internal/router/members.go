package router

import (
	"hash/fnv"
	"maps"
	"slices"

	"tealpath/control"
)

// endpointIndex is what finds endpoints by what an event of the list tells, so that it needs no look at all of them.
type endpointIndex struct {
	byAddress    map[string][]*endpoint
	gone         map[string]*endpoint // by name, those that are gone and have connections still
	removed      []*endpoint          // since the last event
	displaced    int                  // endpoints whose ID is not their name's hash, because another has that
	planInformed bool                 // the plan of connections has been told the caches
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{byAddress: map[string][]*endpoint{}, gone: map[string]*endpoint{}}
}

// endpointListUpdated takes the list of endpoints, or changes to it, and hands on what has changed.
func (r *Router) endpointListUpdated(event EndpointListUpdated) {
	changed := map[string]*endpoint{}
	if event.Complete {
		r.removeUnlisted(event.Entries, changed)
	}
	var stale []*connection // to what runs anew, or elsewhere: they lead nowhere
	added := false
	for _, line := range event.Entries {
		added = added || r.endpoints[line.Instance] == nil
		stale = append(stale, r.applyEntry(line, changed)...)
	}
	renumbered := r.assignIDs(added, changed)
	r.updatePolicy(changed, renumbered)
	r.updateConnectionPlan(changed)
	if slices.ContainsFunc(slices.Collect(maps.Values(changed)), func(endpoint *endpoint) bool { return endpoint.Phase != "ready" }) {
		r.withdrawMatching(func(attempt *attempt) bool {
			return attempt.cache.Phase != "ready" || attempt.source != nil && attempt.source.Phase != "ready"
		})
	}
	for _, connection := range stale {
		r.closeConnection(connection)
	}
	r.forgetGone(changed)
}

// removeUnlisted takes out who is not named by a whole list.
func (r *Router) removeUnlisted(lines []EndpointEntry, changed map[string]*endpoint) {
	named := map[string]bool{}
	for _, line := range lines {
		named[line.Instance] = true
	}
	for name, endpoint := range r.endpoints {
		if !named[name] {
			endpoint.Phase = "gone"
			changed[name] = endpoint
		}
	}
}

// applyEntry takes over one line of the list. It returns the connections that lead nowhere by it.
func (r *Router) applyEntry(line EndpointEntry, changed map[string]*endpoint) (stale []*connection) {
	endpoint := r.endpoints[line.Instance]
	known := endpoint != nil
	if !known {
		endpoint = r.addEndpoint(line.Instance)
	}
	r.replaceAtAddress(line, changed)
	restarted := known && (line.StartedAt > 0 && line.StartedAt != endpoint.StartedAt || line.Address != endpoint.Address)
	id := endpoint.ID
	r.unindexEndpoint(endpoint)
	endpoint.EndpointEntry = line
	endpoint.ID = id
	r.index.byAddress[line.Address] = append(r.index.byAddress[line.Address], endpoint)
	changed[line.Instance] = endpoint
	if restarted {
		for _, connection := range endpoint.connections {
			connection.unresponsive = true
			stale = append(stale, connection)
		}
	}
	return stale
}

// addEndpoint adds an endpoint of which nothing is known but its name.
func (r *Router) addEndpoint(instance string) *endpoint {
	added := &endpoint{}
	r.endpoints[instance] = added
	return added
}

// unindexEndpoint takes an endpoint out of those at its address.
func (r *Router) unindexEndpoint(endpoint *endpoint) {
	rest := without(r.index.byAddress[endpoint.Address], endpoint)
	if r.index.byAddress[endpoint.Address] = rest; len(rest) == 0 {
		delete(r.index.byAddress, endpoint.Address)
	}
}

// replaceAtAddress takes those out whose address a later one has: what is sent to them would reach it instead, cold
// as it may be, beside what is meant for it.
func (r *Router) replaceAtAddress(line EndpointEntry, changed map[string]*endpoint) {
	if line.Address == "" || line.Phase != "ready" {
		return
	}
	for _, endpoint := range r.index.byAddress[line.Address] {
		if endpoint.Instance != line.Instance && endpoint.StartedAt <= line.StartedAt {
			endpoint.Phase = "gone"
			changed[endpoint.Instance] = endpoint
		}
	}
}

// assignIDs gives every new endpoint the policy's ID for it, and tells whether the IDs of others have changed. It comes
// from the instance's name alone, so that hashes over IDs agree at every router; of two names with the same one, the
// later in order takes the next free.
func (r *Router) assignIDs(added bool, changed map[string]*endpoint) (renumbered bool) {
	removed := len(r.index.removed) > 0
	for _, endpoint := range r.index.removed {
		if r.endpointsByID[endpoint.ID] == endpoint {
			delete(r.endpointsByID, endpoint.ID)
		}
	}
	r.index.removed = nil
	if r.index.displaced > 0 && (added || removed) {
		return r.reassignIDs()
	}
	if !added {
		return false
	}
	for name, endpoint := range changed {
		switch id := nameHash(name); r.endpointsByID[id] {
		case endpoint:
		case nil:
			endpoint.ID, r.endpointsByID[id] = id, endpoint
		default:
			return r.reassignIDs()
		}
	}
	return false
}

// reassignIDs gives all endpoints their IDs anew.
func (r *Router) reassignIDs() (renumbered bool) {
	known := maps.Clone(r.endpointsByID)
	clear(r.endpointsByID)
	r.index.displaced = 0
	for _, name := range sortedKeys(r.endpoints) {
		endpoint, id := r.endpoints[name], nameHash(name)
		if r.endpointsByID[id] != nil {
			r.index.displaced++
		}
		for r.endpointsByID[id] != nil {
			id++
		}
		renumbered = renumbered || known[endpoint.ID] == endpoint && endpoint.ID != id
		endpoint.ID, r.endpointsByID[id] = id, endpoint
	}
	return renumbered
}

// nameHash is the hash of an instance's name, from which its ID comes.
func nameHash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// updatePolicy tells the policy what has changed, or all if IDs have.
func (r *Router) updatePolicy(changed map[string]*endpoint, all bool) {
	if all {
		changed = r.endpoints
	}
	lines := make([]control.Endpoint, 0, len(changed))
	for _, name := range sortedKeys(changed) {
		lines = append(lines, changed[name].EndpointEntry.Endpoint)
	}
	r.policy.UpdateEndpoints(r.now, lines, all)
}

// updateConnectionPlan tells the plan of connections which caches there are, if they have changed.
func (r *Router) updateConnectionPlan(changed map[string]*endpoint) {
	if r.limits.ConnectionPlan == nil {
		return
	}
	changedCaches := !r.index.planInformed
	for _, endpoint := range changed {
		cache := endpoint.Phase == "ready" && r.isCache(endpoint)
		changedCaches = changedCaches || cache != endpoint.inPlan
		endpoint.inPlan = cache
	}
	if !changedCaches {
		return
	}
	r.index.planInformed = true
	var names []string // in any order: the plan has one of its own
	for name, endpoint := range r.endpoints {
		if endpoint.inPlan {
			names = append(names, name)
		}
	}
	r.limits.ConnectionPlan.SetEndpoints(r.now, names)
}

// forgetGone closes the connections of endpoints that are gone once nothing is open on them, and forgets who has none left.
func (r *Router) forgetGone(changed map[string]*endpoint) {
	for name, endpoint := range changed {
		if endpoint.Phase == "gone" {
			r.index.gone[name] = endpoint
		} else {
			delete(r.index.gone, name)
		}
	}
	for _, name := range sortedKeys(r.index.gone) {
		endpoint := r.index.gone[name]
		for _, connection := range slices.Clone(endpoint.connections) {
			connection.unresponsive = true
			r.closeIfUnresponsive(connection)
		}
		if len(endpoint.connections) == 0 {
			delete(r.endpoints, name)
			delete(r.index.gone, name)
			r.unindexEndpoint(endpoint)
			r.index.removed = append(r.index.removed, endpoint)
		}
	}
}
