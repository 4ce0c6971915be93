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
func (l *endpointList) search(m *endpointState) (index int, found bool) {
	return slices.BinarySearchFunc(l.endpoints, m.ID, func(other *endpointState, id uint32) int { return cmp.Compare(other.ID, id) })
}

// add inserts a member unless it is in the list.
func (l *endpointList) add(m *endpointState) {
	if index, found := l.search(m); !found {
		l.endpoints = slices.Insert(l.endpoints, index, m)
	}
}

// remove takes a member out.
func (l *endpointList) remove(m *endpointState) {
	if index, found := l.search(m); found {
		l.endpoints = slices.Delete(l.endpoints, index, index+1)
	}
}

// UpdateEndpoints gives the list of endpoints, whole or changes to it.
func (r *Router) UpdateEndpoints(now int64, lines []Endpoint, whole bool) {
	if whole {
		for _, m := range r.endpoints {
			m.listed = false
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
	m := r.endpoints[line.ID]
	if m == nil {
		m = &endpointState{lastResponseAt: now, scoredAt: now}
		r.endpoints[line.ID] = m
	}
	if line.StartedAt > 0 && line.StartedAt != m.StartedAt {
		// Back from a restart: cold, empty, and no longer judged by what it was before. Earlier than the last, where the clock
		// that tells it was set back.
		m.slowStartFrom, m.slowStartToldAt, m.successes, m.failures, m.lastResponseAt = line.StartedAt, now, 0, 0, now
		m.ejected, m.probing, m.wasUnreachable = false, false, false
	}
	m.Endpoint, m.listed, m.hashWeight = line, line.Phase != "gone", max(line.Capacity, minCapacity)
	if get(r.settings, "units", "off") == "live" {
		m.hashWeight = 1 // a weight that follows the load would move objects from home to home
	}
}

// roleOf is the role that a member has by its line.
func (r *Router) roleOf(m *endpointState) role {
	kind := func(name string) string {
		return at(r.settings, "kinds", int(get(r.settings, name, int64(-1))), "none")
	}
	// Rule 3: whoever drains or is gone gets nothing new from now on, and is no source.
	switch {
	case !m.listed || m.Phase != "ready":
		return noRole
	case m.Kind == kind("kind.origin"):
		return originRole
	case m.Kind == kind("kind.parent"):
		return parentRole
	case m.Location == r.location:
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
		m := r.endpoints[id]
		m.role, m.isDelisted = noRole, false
		r.assign(m)
	}
}

// assign gives a member the role that it has by its line.
func (r *Router) assign(m *endpointState) {
	if old, now := m.role, r.roleOf(m); old != now {
		r.leaveRole(m, old)
		m.role = now
		if now == cacheRole {
			r.addWithinObjective(m, 1)
		}
	}
	switch m.role {
	case cacheRole:
		r.cacheTier.put(m)
	case parentRole:
		r.parentTier.put(m)
	case originRole:
		r.origins.add(m)
	}
	if !m.listed && !m.isDelisted {
		m.isDelisted = true
		r.delisted = append(r.delisted, m)
	}
}

// leave ends a member's role.
func (r *Router) leaveRole(m *endpointState, old role) {
	switch old {
	case cacheRole:
		r.cacheTier.remove(m)
		r.addWithinObjective(m, -1)
	case parentRole:
		r.parentTier.remove(m)
	case originRole:
		r.origins.remove(m)
	}
}

// addInTime adds what is in hand at a cache to the numbers of all caches, or takes it off.
func (r *Router) addWithinObjective(m *endpointState, sign int) {
	for kind, n := range m.withinObjective {
		r.cachesWithinObjective[kind] += sign * n
	}
}

// forgetGone forgets members that are no longer listed once nothing is out there: new ones come under new IDs
// without end.
func (r *Router) forgetDelisted() {
	r.delisted = slices.DeleteFunc(r.delisted, func(m *endpointState) bool {
		if m.listed {
			m.isDelisted = false
			return true
		}
		if len(m.inFlight) > 0 {
			return false
		}
		delete(r.endpoints, m.ID)
		r.scored.remove(m)
		r.watched.remove(m)
		return true
	})
}
