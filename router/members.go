package router

import (
	"hash/fnv"
	"maps"
	"slices"

	"tealpath/control"
)

// memberIndex is what finds members by what an event of the list tells, so that it needs no look at all of them.
type memberIndex struct {
	byAddress map[string][]*member
	gone      map[string]*member // by name, those that are gone and have links still
	removed   []*member          // since the last event
	displaced int                // members whose ID is not their name's hash, because another has that
	planned   bool               // the plan of links has been told the caches
}

func newMemberIndex() memberIndex {
	return memberIndex{byAddress: map[string][]*member{}, gone: map[string]*member{}}
}

// listed takes the list of members, or changes to it, and hands on what has changed.
func (r *Router) listed(e EndpointListUpdated) {
	changed := map[string]*member{}
	if e.Complete {
		r.endUnnamed(e.Entries, changed)
	}
	var old []*link // to what runs anew, or elsewhere: they lead nowhere
	added := false
	for _, line := range e.Entries {
		added = added || r.members[line.Instance] == nil
		old = append(old, r.takeLine(line, changed)...)
	}
	renumbered := r.number(added, changed)
	r.handOn(changed, renumbered)
	r.planLinks(changed)
	if slices.ContainsFunc(slices.Collect(maps.Values(changed)), func(m *member) bool { return m.Phase != "ready" }) {
		r.withdraw(func(d *dispatch) bool {
			return d.cache.Phase != "ready" || d.source != nil && d.source.Phase != "ready"
		})
	}
	for _, l := range old {
		r.shut(l)
	}
	r.removeGone(changed)
}

// endUnnamed takes out who is not named by a whole list.
func (r *Router) endUnnamed(lines []EndpointEntry, changed map[string]*member) {
	named := map[string]bool{}
	for _, line := range lines {
		named[line.Instance] = true
	}
	for name, m := range r.members {
		if !named[name] {
			m.Phase = "gone"
			changed[name] = m
		}
	}
}

// takeLine takes over one line of the list. It returns the links that lead nowhere by it.
func (r *Router) takeLine(line EndpointEntry, changed map[string]*member) (old []*link) {
	m := r.members[line.Instance]
	known := m != nil
	if !known {
		m = &member{}
		r.members[line.Instance] = m
	}
	r.overtake(line, changed)
	again := known && (line.StartedAt > 0 && line.StartedAt != m.StartedAt || line.Address != m.Address)
	id := m.ID
	r.unindex(m)
	m.EndpointEntry = line
	m.ID = id
	r.index.byAddress[line.Address] = append(r.index.byAddress[line.Address], m)
	changed[line.Instance] = m
	if again {
		for _, l := range m.links {
			l.doubted = true
			old = append(old, l)
		}
	}
	return old
}

// unindex takes a member out of those at its address.
func (r *Router) unindex(m *member) {
	rest := slices.DeleteFunc(r.index.byAddress[m.Address], func(other *member) bool { return other == m })
	if r.index.byAddress[m.Address] = rest; len(rest) == 0 {
		delete(r.index.byAddress, m.Address)
	}
}

// overtake takes those out whose address a later one has: what is sent to them would reach it instead, cold
// as it may be, beside what is meant for it.
func (r *Router) overtake(line EndpointEntry, changed map[string]*member) {
	if line.Address == "" || line.Phase != "ready" {
		return
	}
	for _, m := range r.index.byAddress[line.Address] {
		if m.Instance != line.Instance && m.StartedAt <= line.StartedAt {
			m.Phase = "gone"
			changed[m.Instance] = m
		}
	}
}

// number gives every new member the module's ID for it, and tells whether the IDs of others have changed. It comes
// from the instance's name alone, so that hashes over IDs agree at every router; of two names with the same one, the
// later in order takes the next free.
func (r *Router) number(added bool, changed map[string]*member) (renumbered bool) {
	removed := len(r.index.removed) > 0
	for _, m := range r.index.removed {
		if r.byID[m.ID] == m {
			delete(r.byID, m.ID)
		}
	}
	r.index.removed = nil
	if r.index.displaced > 0 && (added || removed) {
		return r.numberAll()
	}
	if !added {
		return false
	}
	for name, m := range changed {
		switch id := nameHash(name); r.byID[id] {
		case m:
		case nil:
			m.ID, r.byID[id] = id, m
		default:
			return r.numberAll()
		}
	}
	return false
}

// numberAll gives all members their IDs anew.
func (r *Router) numberAll() (renumbered bool) {
	known := maps.Clone(r.byID)
	clear(r.byID)
	r.index.displaced = 0
	for _, name := range sortedKeys(r.members) {
		m, id := r.members[name], nameHash(name)
		if r.byID[id] != nil {
			r.index.displaced++
		}
		for r.byID[id] != nil {
			id++
		}
		renumbered = renumbered || known[m.ID] == m && m.ID != id
		m.ID, r.byID[id] = id, m
	}
	return renumbered
}

// nameHash is the hash of an instance's name, from which its ID comes.
func nameHash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// handOn tells the module what has changed, or all if IDs have.
func (r *Router) handOn(changed map[string]*member, all bool) {
	if all {
		changed = r.members
	}
	lines := make([]control.Endpoint, 0, len(changed))
	for _, name := range sortedKeys(changed) {
		lines = append(lines, changed[name].EndpointEntry.Endpoint)
	}
	r.decide.UpdateEndpoints(r.now, lines, all)
}

// planLinks tells the plan of links which caches there are, if they have changed.
func (r *Router) planLinks(changed map[string]*member) {
	if r.limits.ConnectionPlan == nil {
		return
	}
	differs := !r.index.planned
	for _, m := range changed {
		cache := m.Phase == "ready" && r.isCache(m)
		differs = differs || cache != m.planned
		m.planned = cache
	}
	if !differs {
		return
	}
	r.index.planned = true
	var names []string // in any order: the plan has one of its own
	for name, m := range r.members {
		if m.planned {
			names = append(names, name)
		}
	}
	r.limits.ConnectionPlan.SetEndpoints(r.now, names)
}

// removeGone closes the links of members that are gone once nothing is open on them, and forgets who has none left.
func (r *Router) removeGone(changed map[string]*member) {
	for name, m := range changed {
		if m.Phase == "gone" {
			r.index.gone[name] = m
		} else {
			delete(r.index.gone, name)
		}
	}
	for _, name := range sortedKeys(r.index.gone) {
		m := r.index.gone[name]
		for _, l := range slices.Clone(m.links) {
			l.doubted = true
			r.tidy(l)
		}
		if len(m.links) == 0 {
			delete(r.members, name)
			delete(r.index.gone, name)
			r.unindex(m)
			r.index.removed = append(r.index.removed, m)
		}
	}
}
