package control

const (
	// sharingWindow is the time over which load reports, and the work that is offered, decay; ns.
	sharingWindow = 2 * second

	// minSharingEvidence is how many attempts of this router have to be in flight when answers come, summed
	// over sharingWindow, before load reports are used to count the routers that share the caches.
	minSharingEvidence = 20.

	// minCapacity is the capacity of an endpoint that is listed with less.
	minCapacity = 0.01

	// maxOfferedCapacity bounds a measured capacity, as a multiple of what a cache has served at its best.
	maxOfferedCapacity = maxAdmissionLimit
)

// capacityEstimate measures what the endpoints can serve. A capacity is how many answers an endpoint can send
// at once, each at a client's full rate: seconds of sending time a second.
type capacityEstimate struct {
	byCaches  decayingWork // served in time by the caches of the location
	byParents decayingWork // served in time by the parents
	offered   decayingWork // requested of the caches, served or not; decays over sharingWindow

	// Attempts in flight at the caches whenever an answer came, summed up and decaying over sharingWindow.
	reportedInFlight float64 // of all routers, by the caches' load reports
	ownInFlight      float64 // of this router
	reportedAt       int64

	configured configuredSum
	measured   repeatedSum
}

// configuredSum caches the sum and the maximum of the caches' listed capacities until the endpoint list
// changes.
type configuredSum struct {
	valid        bool
	sum, largest float64
}

// offer counts work that was requested, in seconds of sending time.
func (c *capacityEstimate) offer(now int64, work float64) {
	c.offered.work = decay(c.offered.work, now-c.offered.lastAt, sharingWindow) + work
	c.offered.lastAt = now
}

// observeReport counts a load report: the attempts in flight at a cache, of all routers and of this one, both
// without the one that was answered.
func (c *capacityEstimate) observeReport(now int64, reported, own float64) {
	elapsed := now - c.reportedAt
	c.reportedInFlight = decay(c.reportedInFlight, elapsed, sharingWindow) + reported
	c.ownInFlight = decay(c.ownInFlight, elapsed, sharingWindow) + own
	c.reportedAt = now
}

// sharers returns how many routers share an endpoint: those of the location for a cache, all of them for any
// other.
func (r *Router) sharers(endpoint *endpointState) float64 {
	if endpoint.Location == r.settings.Location {
		return r.settings.cacheSharers()
	}
	return r.settings.parentSharers()
}

// activeSharers estimates how many routers send to the location's caches now: what the caches have in flight by
// their load reports, divided by what this router has in flight there. While its neighbours restart a router
// has their traffic too.
func (r *Router) activeSharers() float64 {
	if r.capacity.ownInFlight < minSharingEvidence {
		return r.settings.cacheSharers()
	}
	return max(1, min(r.capacity.reportedInFlight/r.capacity.ownInFlight, r.settings.cacheSharers()))
}

// measuredCapacity estimates the capacity of a cache where the list does not tell it. It is what each cache
// served in time at its best, or what is requested now if that is more, up to maxOfferedCapacity times the
// best. A router that has not run for a rateWindow yet has no meaningful best, and uses what is requested alone.
func (r *Router) measuredCapacity(now int64) float64 {
	best := max(1, r.capacity.byCaches.best)
	offered := r.perEndpoint(now, r.capacity.offered, sharingWindow, r.activeSharers(), r.caches)
	if now >= r.rates.startedAt+rateWindow {
		offered = min(offered, maxOfferedCapacity*best)
	}
	return max(best, offered)
}

// sustainedCapacity returns the capacity that a warm endpoint has for sure. Where it is measured it is what the
// endpoints of the tier serve on average now. The best that one served is no measure here: for a router with
// little traffic it is chance, and the routers' shares by it would add up to more than the endpoint can serve.
func (r *Router) sustainedCapacity(now int64, endpoint *endpointState) float64 {
	switch {
	case r.settings.Weights == CapacityWeights:
		return endpoint.Capacity
	case endpoint.Location == r.settings.Location:
		return max(1, r.perEndpoint(now, r.capacity.byCaches, rateWindow, r.activeSharers(), r.caches))
	}
	return max(1, r.perEndpoint(now, r.capacity.byParents, rateWindow, r.sharers(endpoint), r.parents))
}

// servedByCache counts work that a cache served in time, in seconds of sending time.
func (r *Router) servedByCache(now int64, work float64) {
	r.addServed(now, &r.capacity.byCaches, work, r.activeSharers(), r.caches)
}

// servedByParent counts work that a parent served in time, in seconds of sending time.
func (r *Router) servedByParent(now int64, work float64, parent *endpointState) {
	r.addServed(now, &r.capacity.byParents, work, r.sharers(parent), r.parents)
}

// addServed counts work that a tier served in time, and updates the best that one endpoint served.
func (r *Router) addServed(now int64, served *decayingWork, work, sharers float64, endpoints []*endpointState) {
	served.add(now, work)
	if now >= r.rates.startedAt+rateWindow {
		served.best = max(served.best, r.perEndpoint(now, *served, rateWindow, sharers, endpoints))
	}
}

// perEndpoint returns the mean of one endpoint of a tier, in answers sent at once, for all routers together.
func (r *Router) perEndpoint(
	now int64, work decayingWork, window int64, sharers float64, endpoints []*endpointState,
) float64 {
	return r.rates.perSecond(now, work.work, work.lastAt, window) * sharers / float64(max(1, len(endpoints)))
}

// locationCapacity returns the capacity of all caches of the location together.
func (r *Router) locationCapacity(now int64) float64 {
	if r.settings.Weights == CapacityWeights {
		return max(r.configuredCapacity().sum, minCapacity)
	}
	return max(r.capacity.measured.of(len(r.caches), r.measuredCapacity(now)), minCapacity)
}

// configuredCapacity returns the sum and the maximum of the caches' listed capacities.
func (r *Router) configuredCapacity() configuredSum {
	total := &r.capacity.configured
	if total.valid {
		return *total
	}
	*total = configuredSum{valid: true}
	for _, endpoint := range r.caches {
		total.sum += endpoint.Capacity
		total.largest = max(total.largest, endpoint.Capacity)
	}
	return *total
}

// repeatedSum is a sum of equal terms. It caches the last result.
type repeatedSum struct {
	count    int
	term     float64
	addedSum float64
}

// of returns the sum of so many equal terms. It adds them one by one, because a product is rounded differently:
// decisions are to be the same, to the last bit, as those by a sum over the endpoints.
func (s *repeatedSum) of(count int, term float64) float64 {
	if s.count == count && s.term == term {
		return s.addedSum
	}
	s.count, s.term, s.addedSum = count, term, 0
	for range count {
		s.addedSum += term
	}
	return s.addedSum
}
