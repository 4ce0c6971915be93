package control

import (
	"cmp"
	"maps"
	"slices"
)

// The phases of an endpoint that are told. In any other one it gets nothing new.
const (
	phaseReady = "ready"
	phaseGone  = "gone"
)

// endpointState is what the module keeps of an endpoint. What the scans over all endpoints read stands together, so that they touch
// few cache lines.
type endpointState struct {
	Endpoint
	role       role
	listed     bool
	isDelisted bool // it is among the router's delisted endpoints

	// What outlierDetector judges it by.
	ejected             bool
	wasUnreachable      bool    // it could not be reached since it was last taken back
	probing             bool    // a probe is in flight
	successes, failures float64 // as of scoredAt; decaying over healthWindow
	scoredAt            int64
	lastResponseAt      int64
	inFlight            []*attemptState
	withinObjective     countsByKind // of what is in flight: what may be in time
	nextProbeAt         int64
	probeBackoff        int64 // ns

	hashWeight float64 // in rendezvous hashing

	// Its start, for the slow start.
	slowStartFrom   int64 // when it started, told or inferred; 0 is long ago
	slowStartReportedAt int64 // when that was told or inferred, on our axis
	slowStart       slowStartBudget
}

// role is what an endpoint does for this router.
type role int

const (
	noRole role = iota // drains, is gone, or is a cache of another location
	cacheRole
	parentRole
	originRole
)

// endpointList is a list of endpoints in the order of their IDs.
type endpointList struct{ endpoints []*endpointState }

// search gives the index of an endpoint, or where it is to be inserted.
func (l *endpointList) search(endpoint *endpointState) (index int, found bool) {
	return slices.BinarySearchFunc(l.endpoints, endpoint.ID, func(other *endpointState, id uint32) int { return cmp.Compare(other.ID, id) })
}

// add inserts an endpoint unless it is in the list.
func (l *endpointList) add(endpoint *endpointState) {
	if index, found := l.search(endpoint); !found {
		l.endpoints = slices.Insert(l.endpoints, index, endpoint)
	}
}

// remove takes an endpoint out.
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
	r.capacity.configured.valid = false
}

// update takes over one line of the list.
func (r *Router) update(now int64, line Endpoint) {
	endpoint := r.endpoints[line.ID]
	if endpoint == nil {
		endpoint = &endpointState{lastResponseAt: now, scoredAt: now}
		r.endpoints[line.ID] = endpoint
	}
	if line.StartedAt > 0 && line.StartedAt != endpoint.StartedAt {
		// Earlier than the last, where the clock that tells it was set back.
		endpoint.restarted(now, line.StartedAt)
	}
	endpoint.Endpoint = line
	endpoint.listed = line.Phase != phaseGone
	endpoint.hashWeight = max(line.Capacity, minCapacity)
	if r.settings.liveWeights {
		endpoint.hashWeight = 1 // a weight that follows the load would move objects from home to home
	}
}

// restarted notes that an endpoint has started: it is cold, empty, and no longer judged by what it was before.
func (endpoint *endpointState) restarted(now, startedAt int64) {
	endpoint.slowStartFrom, endpoint.slowStartReportedAt = startedAt, now
	endpoint.successes, endpoint.failures, endpoint.lastResponseAt = 0, 0, now
	endpoint.ejected, endpoint.probing, endpoint.wasUnreachable = false, false, false
}

// roleOf is the role that an endpoint has by its line.
func (r *Router) roleOf(endpoint *endpointState) role {
	// Rule 3: whoever drains or is gone gets nothing new from now on, and is no source.
	switch {
	case !endpoint.listed || endpoint.Phase != phaseReady:
		return noRole
	case endpoint.Kind == r.settings.originKind:
		return originRole
	case endpoint.Kind == r.settings.parentKind:
		return parentRole
	case endpoint.Location == r.settings.location:
		return cacheRole
	}
	return noRole
}

// assignAll gives every endpoint its role.
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

// assign gives an endpoint the role that it has by its line.
func (r *Router) assign(endpoint *endpointState) {
	if old, now := endpoint.role, r.roleOf(endpoint); old != now {
		r.dropRole(endpoint, old)
		endpoint.role = now
		if now == cacheRole {
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

// dropRole ends an endpoint's role.
func (r *Router) dropRole(endpoint *endpointState, old role) {
	switch old {
	case cacheRole:
		r.cacheTier.remove(endpoint)
		r.inFlight.addCache(endpoint, -1)
	case parentRole:
		r.parentTier.remove(endpoint)
	case originRole:
		r.origins.remove(endpoint)
	}
}

// forgetDelisted forgets endpoints that are no longer listed once nothing is in flight there: new ones come under new IDs
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
		r.outliers.forget(endpoint)
		return true
	})
}
