package control

import (
	"slices"

	"tealpath/internal/timerqueue"
)

// countsByKind holds the number of attempts of each kind.
type countsByKind [attemptKinds]int

// sum returns the number of attempts of all kinds.
func (c countsByKind) sum() int { return c[hits] + c[fills] + c[fetches] }

// inFlightCounts counts the attempts in flight whose responses may still be in time. Late attempts do not count: at a
// router with little traffic, a few attempts at an endpoint that does not respond would use up the whole admission
// limit.
type inFlightCounts struct {
	caches        countsByKind                    // attempts at all caches of the location that are not late
	lateTimers    timerqueue.Queue[*attemptState] // attempts that are not late yet, ordered by lateAt
	lateCheckedAt int64                           // ns; attempts that were late by this time are no longer counted
}

// attemptStarted counts an attempt that starts now at one of its endpoints, and makes the outlier detector watch that
// endpoint.
func (r *Router) attemptStarted(endpoint *endpointState, attempt *attemptState) {
	r.inFlight.started(endpoint, attempt)
	r.outliers.scored.add(endpoint)
	r.outliers.watched.add(endpoint)
}

// started adds an attempt to the counts of one of its endpoints, until it ends or is late.
func (c *inFlightCounts) started(endpoint *endpointState, attempt *attemptState) {
	endpoint.inFlight = append(endpoint.inFlight, attempt)
	c.count(endpoint, attempt, 1)
	if attempt.lateTimer == nil {
		attempt.lateTimer = c.lateTimers.Push(attempt.lateAt, attempt)
	}
}

// finished removes an attempt from the attempts in flight of one of its endpoints and, unless it is late, from the
// counts.
func (c *inFlightCounts) finished(endpoint *endpointState, attempt *attemptState) {
	c.lateTimers.Remove(attempt.lateTimer)
	endpoint.inFlight = slices.DeleteFunc(endpoint.inFlight, func(other *attemptState) bool {
		if other == attempt && !attempt.isLate {
			c.count(endpoint, attempt, -1)
		}
		return other == attempt
	})
}

// count adds a change to the counts of an endpoint. If the endpoint is a cache of the location, it also adds the
// change to the counts of all caches.
func (c *inFlightCounts) count(endpoint *endpointState, attempt *attemptState, change int) {
	endpoint.withinObjective[attempt.kind] += change
	if endpoint.role == cacheRole {
		c.caches[attempt.kind] += change
	}
}

// addCache adds the counts of a cache to the counts of all caches if sign is 1, and subtracts them if sign is -1.
func (c *inFlightCounts) addCache(endpoint *endpointState, sign int) {
	for kind, count := range endpoint.withinObjective {
		c.caches[kind] += sign * count
	}
}

// withinObjective returns how many attempts at the location's caches may still get a response in time, by kind.
func (c *inFlightCounts) withinObjective(now int64, all map[uint32]*endpointState) countsByKind {
	c.markLate(now, all)
	return c.caches
}

// markLate subtracts the attempts that are late at the given time from the counts of their endpoints.
func (c *inFlightCounts) markLate(now int64, all map[uint32]*endpointState) {
	if now < c.lateCheckedAt {
		c.unmarkLate(now, all)
	}
	c.lateCheckedAt = now
	for c.lateTimers.Next() <= now {
		_, attempt := c.lateTimers.Pop()
		for _, endpoint := range []*endpointState{attempt.cache, attempt.source} {
			if endpoint != nil && slices.Contains(endpoint.inFlight, attempt) {
				c.count(endpoint, attempt, -1)
			}
		}
		attempt.isLate = true
	}
}

// unmarkLate corrects the counts if the caller's clock has gone backwards to a time before lateCheckedAt: it adds
// attempts that are not late at that time to the counts of their endpoints again.
func (c *inFlightCounts) unmarkLate(now int64, all map[uint32]*endpointState) {
	var notLate []*attemptState
	for _, endpoint := range all {
		for _, attempt := range endpoint.inFlight {
			if attempt.isLate && now < attempt.lateAt {
				c.count(endpoint, attempt, 1)
				notLate = append(notLate, attempt)
			}
		}
	}
	for _, attempt := range notLate { // an attempt is listed twice if it is in flight at a cache and at a source
		if attempt.isLate {
			attempt.isLate = false
			attempt.lateTimer = c.lateTimers.Push(attempt.lateAt, attempt)
		}
	}
}

// loadScale holds the values that are common to the loads of all caches at a given time. The load of a cache is the
// number of attempts in flight there, estimated for all routers, divided by its capacity.
type loadScale struct {
	meanLoad             float64 // attempts of all routers in flight at the caches, divided by the total capacity
	routers              float64 // estimated number of routers that send to the location's caches
	capacitiesConfigured bool
	capacity             float64 // measured capacity of each cache; used if capacities are not configured
	minLoad              float64 // load of the largest cache with nothing in flight; no load is lower
}

// loadScale computes the values that the loads of all caches have in common at a time.
func (r *Router) loadScale(now int64) loadScale {
	scale := loadScale{
		routers:              r.activeRouters(),
		capacitiesConfigured: r.settings.Weights == CapacityWeights,
	}
	inFlight := r.inFlight.withinObjective(now, r.endpoints)
	scale.meanLoad = float64(inFlight.sum()) * scale.routers / r.locationCapacity(now)
	var largest float64
	if scale.capacitiesConfigured {
		largest = r.configuredCapacity().largest
	} else {
		scale.capacity = r.measuredCapacity(now)
		largest = scale.capacity
	}
	scale.minLoad = scale.loadAt(0, largest)
	return scale
}

// loadOf returns the load of a cache, relative to its configured capacity or else to the measured capacity.
func (s loadScale) loadOf(endpoint *endpointState) float64 {
	if s.capacitiesConfigured {
		return s.loadAt(endpoint.withinObjective.sum(), endpoint.Capacity)
	}
	return s.loadAt(endpoint.withinObjective.sum(), s.capacity)
}

// loadAt returns the load of a cache that has inFlight attempts of this router. The result is biased towards the mean
// load, as if this router's part of the cache had an additional capacity of 1 with the mean load: if many routers use
// the caches, one attempt of this router says little about the attempts of the others.
func (s loadScale) loadAt(inFlight int, capacity float64) float64 {
	return (float64(inFlight) + s.meanLoad) / (max(capacity, minCapacity)/s.routers + 1)
}

// load returns the load of one cache at a time. For several caches it is cheaper to compute loadScale once.
func (r *Router) load(now int64, endpoint *endpointState) float64 {
	return r.loadScale(now).loadOf(endpoint)
}
