package control

import "slices"

// kindCounts are numbers of dispatches by the room they count in: hits, fills and fetches.
type countsByKind [3]int

// sum is the number of dispatches of all kinds.
func (c countsByKind) sum() int { return c[hits] + c[fills] + c[fetches] }

// begin notes that a dispatch is out at a member.
func (r *Router) attemptStarted(endpoint *endpointState, attempt *attemptState) {
	endpoint.inFlight = append(endpoint.inFlight, attempt)
	r.countInFlight(endpoint, attempt, 1)
	r.scored.add(endpoint)
	r.watched.add(endpoint)
	if attempt.lateTimer == nil {
		attempt.lateTimer = r.lateTimers.Push(attempt.lateAt, attempt)
	}
}

// finish notes that a dispatch is no longer out at a member.
func (r *Router) attemptFinished(endpoint *endpointState, attempt *attemptState) {
	r.lateTimers.Remove(attempt.lateTimer)
	endpoint.inFlight = slices.DeleteFunc(endpoint.inFlight, func(other *attemptState) bool {
		if other == attempt && !attempt.isLate {
			r.countInFlight(endpoint, attempt, -1)
		}
		return other == attempt
	})
}

// count adds to the numbers of dispatches that may be in time: the member's and, if it is a cache of the
// location, those of all caches.
func (r *Router) countInFlight(endpoint *endpointState, attempt *attemptState, change int) {
	endpoint.withinObjective[attempt.kind] += change
	if endpoint.role == cacheRole {
		r.cachesWithinObjective[attempt.kind] += change
	}
}

// expire takes what has become late out of the numbers of dispatches that may be in time.
func (r *Router) markLate(now int64) {
	if now < r.lateCheckedAt {
		r.unmarkLate(now)
	}
	r.lateCheckedAt = now
	for r.lateTimers.Next() <= now {
		_, attempt := r.lateTimers.Pop()
		for _, endpoint := range []*endpointState{attempt.cache, attempt.source} {
			if endpoint != nil && slices.Contains(endpoint.inFlight, attempt) {
				r.countInFlight(endpoint, attempt, -1)
			}
		}
		attempt.isLate = true
	}
}

// unexpire counts again what is not yet late at an earlier time. Callers' clocks do not go back; if one does, the
// numbers are those of its time nevertheless.
func (r *Router) unmarkLate(now int64) {
	var revived []*attemptState
	for _, endpoint := range r.endpoints {
		for _, attempt := range endpoint.inFlight {
			if attempt.isLate && now < attempt.lateAt {
				r.countInFlight(endpoint, attempt, 1)
				revived = append(revived, attempt)
			}
		}
	}
	for _, attempt := range revived {
		if attempt.isLate {
			attempt.isLate, attempt.lateTimer = false, r.lateTimers.Push(attempt.lateAt, attempt)
		}
	}
}

// inTime is what is out at the location's caches and may be in time, by kind. What is late does not count: in
// thin slices a few dispatches stuck at silent members took the room of all.
func (r *Router) inFlightWithinObjective(now int64) countsByKind {
	r.markLate(now)
	return r.cachesWithinObjective
}

// units is the size of all caches of the location.
func (r *Router) locationCapacity(now int64) float64 {
	if r.capacitiesConfigured() {
		if !r.capacitySummed {
			r.capacitySummed, r.capacitySum, r.maxCapacity = true, 0, 0
			for _, endpoint := range r.caches {
				r.capacitySum += endpoint.Capacity
				r.maxCapacity = max(r.maxCapacity, endpoint.Capacity)
			}
		}
		return max(r.capacitySum, minCapacity)
	}
	return max(r.equalCapacitySum.sum(len(r.caches), r.measuredCapacity(now)), minCapacity)
}

// repeatedSum is a number added up so many times, kept from the last time.
type repeatedSum struct {
	count    int
	term     float64
	addedSum float64
}

// sum adds one by one, as a product would be rounded otherwise, and decisions depend on it.
func (s *repeatedSum) sum(count int, term float64) float64 {
	if s.count == count && s.term == term {
		return s.addedSum
	}
	s.count, s.term, s.addedSum = count, term, 0
	for range count {
		s.addedSum += term
	}
	return s.addedSum
}

// loadScale is what the loads of all caches at one moment have in common.
type loadScale struct {
	mean       float64 // what one cache would have in hand at the location's mean
	sharers    float64
	configured bool
	capacity   float64 // of each cache where weights do not tell it
	least      float64 // load of the largest cache while it has nothing in hand: none has less
}

// loadScale prepares for the loads at a time.
func (r *Router) loadScale(now int64) loadScale {
	s := loadScale{sharers: r.effectiveSharers(), configured: r.capacitiesConfigured()}
	s.mean = float64(r.inFlightWithinObjective(now).sum()) * s.sharers / r.locationCapacity(now)
	largest := r.maxCapacity
	if !s.configured {
		s.capacity = r.measuredCapacity(now)
		largest = s.capacity
	}
	s.least = s.at(0, largest)
	return s
}

// of is what a cache has in hand for its size, as seen from here.
func (s loadScale) of(endpoint *endpointState) float64 {
	if s.configured {
		return s.at(endpoint.withinObjective.sum(), endpoint.Capacity)
	}
	return s.at(endpoint.withinObjective.sum(), s.capacity)
}

// at is the load of a cache with so many dispatches in hand. In a thin slice one dispatch tells little (it seemed
// to fill a cache): it is drawn to the location's mean, as if one more had been seen at that.
func (s loadScale) at(inTime int, size float64) float64 {
	return (float64(inTime) + s.mean) / (max(size, minCapacity)/s.sharers + 1)
}

// load is what a cache has in hand for its size at a time.
func (r *Router) load(now int64, endpoint *endpointState) float64 {
	return r.loadScale(now).of(endpoint)
}
