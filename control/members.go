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
type memberList struct{ members []*member }

// search gives the index of a member, or where it is to be inserted.
func (l *memberList) search(m *member) (index int, found bool) {
	return slices.BinarySearchFunc(l.members, m.ID, func(other *member, id uint32) int { return cmp.Compare(other.ID, id) })
}

// add inserts a member unless it is in the list.
func (l *memberList) add(m *member) {
	if index, found := l.search(m); !found {
		l.members = slices.Insert(l.members, index, m)
	}
}

// remove takes a member out.
func (l *memberList) remove(m *member) {
	if index, found := l.search(m); found {
		l.members = slices.Delete(l.members, index, index+1)
	}
}

// UpdateEndpoints gives the list of endpoints, whole or changes to it.
func (r *Router) UpdateEndpoints(now int64, lines []Endpoint, whole bool) {
	if whole {
		for _, m := range r.members {
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
			r.assign(r.members[line.ID])
		}
	}
	r.forgetGone()
	r.caches, r.parents, r.origin = r.cacheTier.members, r.parentTier.members, nil
	if len(r.origins.members) > 0 {
		r.origin = r.origins.members[0]
	}
	r.unitsSummed = false
}

// update takes over one line of the list.
func (r *Router) update(now int64, line Endpoint) {
	m := r.members[line.ID]
	if m == nil {
		m = &member{heard: now, scored: now}
		r.members[line.ID] = m
	}
	if line.StartedAt > 0 && line.StartedAt != m.StartedAt {
		// Back from a restart: cold, empty, and no longer judged by what it was before. Earlier than the last, where the clock
		// that tells it was set back.
		m.coldFrom, m.coldTold, m.good, m.bad, m.heard = line.StartedAt, now, 0, 0, now
		m.suspect, m.trial, m.off = false, false, false
	}
	m.Endpoint, m.listed, m.weight = line, line.Phase != "gone", max(line.Capacity, leastUnits)
	if get(r.set, "units", "off") == "live" {
		m.weight = 1 // a weight that follows the load would move objects from home to home
	}
}

// roleOf is the role that a member has by its line.
func (r *Router) roleOf(m *member) role {
	kind := func(name string) string { return at(r.set, "kinds", int(get(r.set, name, int64(-1))), "none") }
	// Rule 3: whoever drains or is gone gets nothing new from now on, and is no source.
	switch {
	case !m.listed || m.Phase != "ready":
		return noRole
	case m.Kind == kind("kind.origin"):
		return originRole
	case m.Kind == kind("kind.parent"):
		return parentRole
	case m.Location == r.home:
		return cacheRole
	}
	return noRole
}

// assignAll gives every member its role.
func (r *Router) assignAll() {
	r.cacheTier.clear()
	r.parentTier.clear()
	r.origins.members, r.gone = nil, nil
	r.cachesInTime = kindCounts{}
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[id]
		m.role, m.isGone = noRole, false
		r.assign(m)
	}
}

// assign gives a member the role that it has by its line.
func (r *Router) assign(m *member) {
	if old, now := m.role, r.roleOf(m); old != now {
		r.leave(m, old)
		m.role = now
		if now == cacheRole {
			r.addInTime(m, 1)
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
	if !m.listed && !m.isGone {
		m.isGone = true
		r.gone = append(r.gone, m)
	}
}

// leave ends a member's role.
func (r *Router) leave(m *member, old role) {
	switch old {
	case cacheRole:
		r.cacheTier.remove(m)
		r.addInTime(m, -1)
	case parentRole:
		r.parentTier.remove(m)
	case originRole:
		r.origins.remove(m)
	}
}

// addInTime adds what is in hand at a cache to the numbers of all caches, or takes it off.
func (r *Router) addInTime(m *member, sign int) {
	for kind, n := range m.inTime {
		r.cachesInTime[kind] += sign * n
	}
}

// forgetGone forgets members that are no longer listed once nothing is out there: new ones come under new IDs
// without end.
func (r *Router) forgetGone() {
	r.gone = slices.DeleteFunc(r.gone, func(m *member) bool {
		if m.listed {
			m.isGone = false
			return true
		}
		if len(m.out) > 0 {
			return false
		}
		delete(r.members, m.ID)
		r.scored.remove(m)
		r.watched.remove(m)
		return true
	})
}
