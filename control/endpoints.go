package control

import (
	"cmp"
	"maps"
	"slices"
)

// endpointState is what a router knows about an endpoint. The fields that are read by scans over all endpoints are
// next to each other, so that a scan touches few CPU cache lines.
type endpointState struct {
	Endpoint
	role       role
	listed     bool
	isDelisted bool // the endpoint is in Router.delisted

	// Health of the endpoint, by which outlierDetector ejects and restores it.
	ejected             bool
	wasUnreachable      bool    // it was not reachable, or rejected a fill, since its last restart or restoration
	probing             bool    // a probe is in flight
	successes, failures float64 // sums of attemptScore, decayed over healthWindow until scoredAt
	scoredAt            int64
	lastResponseAt      int64
	inFlight            []*attemptState
	withinObjective     countsByKind // attempts of inFlight whose responses may still be in time
	nextProbeAt         int64
	probeBackoff        int64 // ns; time from the ejection or the last failed probe to the next probe

	hashWeight float64 // weight in rendezvous hashing: the listed capacity, or 1

	// Slow start: when the endpoint started, and how much work this router may send to it meanwhile.
	slowStartFrom       int64 // ns; start time, from the endpoint list or inferred; 0: no recent start
	slowStartReportedAt int64 // ns by this router's clock; when the router learned of the start
	slowStart           slowStartBudget
}

// role is what this router uses an endpoint for.
type role int

const (
	noRole role = iota // no request is sent to it: draining, gone, or a cache of another location
	cacheRole
	parentRole
	originRole
)

// endpointList is a list of endpoints, ordered by ID.
type endpointList struct{ endpoints []*endpointState }

// search returns the index of an endpoint, or the index at which to insert it.
func (l *endpointList) search(endpoint *endpointState) (index int, found bool) {
	compareID := func(other *endpointState, id uint32) int { return cmp.Compare(other.ID, id) }
	return slices.BinarySearchFunc(l.endpoints, endpoint.ID, compareID)
}

// add inserts an endpoint at the position of its ID, unless it is already in the list.
func (l *endpointList) add(endpoint *endpointState) {
	if index, found := l.search(endpoint); !found {
		l.endpoints = slices.Insert(l.endpoints, index, endpoint)
	}
}

// remove removes an endpoint if it is in the list.
func (l *endpointList) remove(endpoint *endpointState) {
	if index, found := l.search(endpoint); found {
		l.endpoints = slices.Delete(l.endpoints, index, index+1)
	}
}

// UpdateEndpoints applies the complete endpoint list or, if complete is false, changes to it.
func (r *Router) UpdateEndpoints(now int64, entries []Endpoint, complete bool) {
	if complete {
		for _, endpoint := range r.endpoints {
			endpoint.listed = false
		}
	}
	for _, entry := range entries {
		r.update(now, entry)
	}
	if complete {
		r.assignAll()
	} else {
		for _, entry := range entries {
			r.assign(r.endpoints[entry.ID])
		}
	}
	r.forgetDelisted()
	r.caches, r.parents, r.origin = r.cacheTier.endpoints, r.parentTier.endpoints, nil
	if len(r.origins.endpoints) > 0 {
		r.origin = r.origins.endpoints[0]
	}
	r.capacity.configured.valid = false
}

// update applies one entry of the endpoint list.
func (r *Router) update(now int64, entry Endpoint) {
	endpoint := r.endpoints[entry.ID]
	if endpoint == nil {
		endpoint = &endpointState{lastResponseAt: now, scoredAt: now}
		r.endpoints[entry.ID] = endpoint
	}
	// An earlier start time than the last one is a restart too: the reporting machine's clock may have been set
	// back.
	if entry.StartedAt > 0 && entry.StartedAt != endpoint.StartedAt {
		endpoint.restarted(now, entry.StartedAt)
	}
	endpoint.Endpoint = entry
	endpoint.listed = entry.Phase != PhaseGone
	endpoint.hashWeight = max(entry.Capacity, minCapacity)
	if r.settings.Weights == LoadWeights {
		endpoint.hashWeight = 1 // weights that change with the load would change the home caches of objects
	}
}

// restarted begins the slow start of an endpoint and resets its health scores.
func (endpoint *endpointState) restarted(now, startedAt int64) {
	endpoint.slowStartFrom, endpoint.slowStartReportedAt = startedAt, now
	endpoint.forgetScores(now)
	endpoint.ejected, endpoint.probing, endpoint.wasUnreachable = false, false, false
}

// roleOf returns the role that an endpoint has according to its entry in the endpoint list. An endpoint that is
// draining or gone has none: it gets no new attempts and fills no misses (rule 3 in docs/design.md).
func (r *Router) roleOf(endpoint *endpointState) role {
	switch {
	case !endpoint.listed || endpoint.Phase != PhaseReady:
		return noRole
	case endpoint.Kind == r.settings.originKind():
		return originRole
	case endpoint.Kind == r.settings.parentKind():
		return parentRole
	case endpoint.Location == r.settings.Location:
		return cacheRole
	}
	return noRole
}

// assignAll recomputes the roles of all endpoints and rebuilds the tiers.
func (r *Router) assignAll() {
	r.cacheTier.clear()
	r.parentTier.clear()
	r.origins.endpoints, r.delisted = nil, nil
	r.inFlight.caches = countsByKind{}
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		endpoint := r.endpoints[id]
		endpoint.role, endpoint.isDelisted = noRole, false
		r.assign(endpoint)
	}
}

// assign updates the role of an endpoint and adds the endpoint to the tier of that role.
func (r *Router) assign(endpoint *endpointState) {
	if previous, current := endpoint.role, r.roleOf(endpoint); previous != current {
		r.dropRole(endpoint, previous)
		endpoint.role = current
		if current == cacheRole {
			r.inFlight.addCache(endpoint, 1)
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

// dropRole removes an endpoint from the tier of a role that it no longer has.
func (r *Router) dropRole(endpoint *endpointState, previous role) {
	switch previous {
	case cacheRole:
		r.cacheTier.remove(endpoint)
		r.inFlight.addCache(endpoint, -1)
	case parentRole:
		r.parentTier.remove(endpoint)
	case originRole:
		r.origins.remove(endpoint)
	}
}

// forgetDelisted drops the state of endpoints that are no longer listed and have no attempts in flight. Without
// this the memory would grow without bound, because replacements of endpoints have new IDs.
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
		r.outliers.forget(endpoint)
		return true
	})
}
