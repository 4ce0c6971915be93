package control

import (
	"slices"
	"tealpath/internal/timerqueue"
)

// countsByKind are numbers of attempts by kind.
type countsByKind [kinds]int

// sum is the number of attempts of all kinds.
func (c countsByKind) sum() int { return c[hits] + c[fills] + c[fetches] }

// inFlightCounts are the numbers of attempts in flight that may be in time. What is late does not count: in thin slices a few
// attempts stuck at silent endpoints took the place of all.
type inFlightCounts struct {
	caches        countsByKind // at the caches of the location
	lateTimers    timerqueue.Queue[*attemptState]
	lateCheckedAt int64
}

// attemptStarted notes that an attempt is in flight at an endpoint.
func (r *Router) attemptStarted(endpoint *endpointState, attempt *attemptState) {
	r.inFlight.started(endpoint, attempt)
	r.outliers.scored.add(endpoint)
	r.outliers.watched.add(endpoint)
}

// started counts an attempt that is in flight at an endpoint.
func (c *inFlightCounts) started(endpoint *endpointState, attempt *attemptState) {
	endpoint.inFlight = append(endpoint.inFlight, attempt)
	c.count(endpoint, attempt, 1)
	if attempt.lateTimer == nil {
		attempt.lateTimer = c.lateTimers.Push(attempt.lateAt, attempt)
	}
}

// finished counts an attempt that is no longer in flight at an endpoint.
func (c *inFlightCounts) finished(endpoint *endpointState, attempt *attemptState) {
	c.lateTimers.Remove(attempt.lateTimer)
	endpoint.inFlight = slices.DeleteFunc(endpoint.inFlight, func(other *attemptState) bool {
		if other == attempt && !attempt.isLate {
			c.count(endpoint, attempt, -1)
		}
		return other == attempt
	})
}

// count adds to the numbers of attempts that may be in time: the endpoint's and, if it is a cache of the location, those of all
// caches.
func (c *inFlightCounts) count(endpoint *endpointState, attempt *attemptState, change int) {
	endpoint.withinObjective[attempt.kind] += change
	if endpoint.role == cacheRole {
		c.caches[attempt.kind] += change
	}
}

// addCache adds what is in flight at a cache to the numbers of all caches, with change 1, or takes it off, with -1.
func (c *inFlightCounts) addCache(endpoint *endpointState, change int) {
	for kind, n := range endpoint.withinObjective {
		c.caches[kind] += change * n
	}
}

// withinObjective is what is in flight at the location's caches and may be in time, by kind.
func (c *inFlightCounts) withinObjective(now int64, all map[uint32]*endpointState) countsByKind {
	c.markLate(now, all)
	return c.caches
}

// markLate takes what has become late out of the numbers of attempts that may be in time.
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

// unmarkLate counts again what is not yet late at an earlier time. Callers' clocks do not go back; if one does, the numbers are
// those of its time nevertheless.
func (c *inFlightCounts) unmarkLate(now int64, all map[uint32]*endpointState) {
	var revived []*attemptState
	for _, endpoint := range all {
		for _, attempt := range endpoint.inFlight {
			if attempt.isLate && now < attempt.lateAt {
				c.count(endpoint, attempt, 1)
				revived = append(revived, attempt)
			}
		}
	}
	for _, attempt := range revived {
		if attempt.isLate {
			attempt.isLate, attempt.lateTimer = false, c.lateTimers.Push(attempt.lateAt, attempt)
		}
	}
}

// loadScale is what the loads of all caches at one moment have in common.
type loadScale struct {
	mean           float64 // what one cache would have in flight at the location's mean
	sharers        float64 // routers that send to the caches
	capacitiesTold bool
	capacity       float64 // of each cache where it is not told
	least          float64 // load of the largest cache while it has nothing in flight: none has less
}

// loadScale prepares for the loads at a time.
func (r *Router) loadScale(now int64) loadScale {
	scale := loadScale{sharers: r.activeSharers(), capacitiesTold: r.settings.capacitiesTold}
	inFlight := r.inFlight.withinObjective(now, r.endpoints)
	scale.mean = float64(inFlight.sum()) * scale.sharers / r.locationCapacity(now)
	var largest float64
	if scale.capacitiesTold {
		largest = r.configuredCapacity().largest
	} else {
		scale.capacity = r.measuredCapacity(now)
		largest = scale.capacity
	}
	scale.least = scale.at(0, largest)
	return scale
}

// of is what a cache has in flight for its capacity, as seen from here.
func (s loadScale) of(endpoint *endpointState) float64 {
	if s.capacitiesTold {
		return s.at(endpoint.withinObjective.sum(), endpoint.Capacity)
	}
	return s.at(endpoint.withinObjective.sum(), s.capacity)
}

// at is the load of a cache with so many attempts in flight. In a thin slice one attempt tells little (it seemed to fill a cache):
// it is drawn to the location's mean, as if one more had been seen at that.
func (s loadScale) at(inFlight int, capacity float64) float64 {
	return (float64(inFlight) + s.mean) / (max(capacity, minCapacity)/s.sharers + 1)
}

// load is what a cache has in flight for its capacity at a time.
func (r *Router) load(now int64, endpoint *endpointState) float64 {
	return r.loadScale(now).of(endpoint)
}
