package control

import (
	"cmp"
	"maps"
	"slices"
)

// role is what a member does for this router.
type role int

const (
	noRole role = iota // drains, is gone, or is a cache of another location
	cacheRole
	parentRole
	originRole
)

// memberList is a list of members in the order of their IDs.
type endpointList struct{ endpoints []*endpointState }

// search gives the index of a member, or where it is to be inserted.
func (l *endpointList) search(endpoint *endpointState) (index int, found bool) {
	return slices.BinarySearchFunc(l.endpoints, endpoint.ID, func(other *endpointState, id uint32) int { return cmp.Compare(other.ID, id) })
}

// add inserts a member unless it is in the list.
func (l *endpointList) add(endpoint *endpointState) {
	if index, found := l.search(endpoint); !found {
		l.endpoints = slices.Insert(l.endpoints, index, endpoint)
	}
}

// remove takes a member out.
func (l *endpointList) remove(endpoint *endpointState) {
	if index, found := l.search(endpoint); found {
		l.endpoints = slices.Delete(l.endpoints, index, index+1)
	}
}

// UpdateEndpoints gives the list of endpoints, whole or changes to it.
func (r *Router) UpdateEndpoints(now int64, lines []Endpoint, whole bool) {
	if whole {
		for _, endpoint := range r.endpoints {
			endpoint.listed = false
		}
	}
	for _, line := range lines {
		r.update(now, line)
	}
	if whole {
		r.assignAll()
	} else {
		for _, line := range lines {
			r.assign(r.endpoints[line.ID])
		}
	}
	r.forgetDelisted()
	r.caches, r.parents, r.origin = r.cacheTier.endpoints, r.parentTier.endpoints, nil
	if len(r.origins.endpoints) > 0 {
		r.origin = r.origins.endpoints[0]
	}
	r.capacitySummed = false
}

// update takes over one line of the list.
func (r *Router) update(now int64, line Endpoint) {
	endpoint := r.endpoints[line.ID]
	if endpoint == nil {
		endpoint = &endpointState{lastResponseAt: now, scoredAt: now}
		r.endpoints[line.ID] = endpoint
	}
	if line.StartedAt > 0 && line.StartedAt != endpoint.StartedAt {
		// Back from a restart: cold, empty, and no longer judged by what it was before. Earlier than the last, where the clock
		// that tells it was set back.
		endpoint.slowStartFrom, endpoint.slowStartToldAt, endpoint.successes, endpoint.failures, endpoint.lastResponseAt = line.StartedAt, now, 0, 0, now
		endpoint.ejected, endpoint.probing, endpoint.wasUnreachable = false, false, false
	}
	endpoint.Endpoint, endpoint.listed, endpoint.hashWeight = line, line.Phase != "gone", max(line.Capacity, minCapacity)
	if get(r.settings, "units", "off") == "live" {
		endpoint.hashWeight = 1 // a weight that follows the load would move objects from home to home
	}
}

// roleOf is the role that a member has by its line.
func (r *Router) roleOf(endpoint *endpointState) role {
	kind := func(name string) string {
		return at(r.settings, "kinds", int(get(r.settings, name, int64(-1))), "none")
	}
	// Rule 3: whoever drains or is gone gets nothing new from now on, and is no source.
	switch {
	case !endpoint.listed || endpoint.Phase != "ready":
		return noRole
	case endpoint.Kind == kind("kind.origin"):
		return originRole
	case endpoint.Kind == kind("kind.parent"):
		return parentRole
	case endpoint.Location == r.location:
		return cacheRole
	}
	return noRole
}

// assignAll gives every member its role.
func (r *Router) assignAll() {
	r.cacheTier.clear()
	r.parentTier.clear()
	r.origins.endpoints, r.delisted = nil, nil
	r.cachesWithinObjective = countsByKind{}
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		endpoint := r.endpoints[id]
		endpoint.role, endpoint.isDelisted = noRole, false
		r.assign(endpoint)
	}
}

// assign gives a member the role that it has by its line.
func (r *Router) assign(endpoint *endpointState) {
	if old, now := endpoint.role, r.roleOf(endpoint); old != now {
		r.leaveRole(endpoint, old)
		endpoint.role = now
		if now == cacheRole {
			r.addWithinObjective(endpoint, 1)
		}
	}
	switch endpoint.role {
	case cacheRole:
		r.cacheTier.put(endpoint)
	case parentRole:
		r.parentTier.put(endpoint)
	case originRole:
		r.origins.add(endpoint)
	}
	if !endpoint.listed && !endpoint.isDelisted {
		endpoint.isDelisted = true
		r.delisted = append(r.delisted, endpoint)
	}
}

// leave ends a member's role.
func (r *Router) leaveRole(endpoint *endpointState, old role) {
	switch old {
	case cacheRole:
		r.cacheTier.remove(endpoint)
		r.addWithinObjective(endpoint, -1)
	case parentRole:
		r.parentTier.remove(endpoint)
	case originRole:
		r.origins.remove(endpoint)
	}
}

// addInTime adds what is in hand at a cache to the numbers of all caches, or takes it off.
func (r *Router) addWithinObjective(endpoint *endpointState, sign int) {
	for kind, n := range endpoint.withinObjective {
		r.cachesWithinObjective[kind] += sign * n
	}
}

// forgetGone forgets members that are no longer listed once nothing is out there: new ones come under new IDs
// without end.
func (r *Router) forgetDelisted() {
	r.delisted = slices.DeleteFunc(r.delisted, func(endpoint *endpointState) bool {
		if endpoint.listed {
			endpoint.isDelisted = false
			return true
		}
		if len(endpoint.inFlight) > 0 {
			return false
		}
		delete(r.endpoints, endpoint.ID)
		r.scored.remove(endpoint)
		r.watched.remove(endpoint)
		return true
	})
}
