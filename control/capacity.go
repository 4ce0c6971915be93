package control

const (
	sharingWindow      = 2 * second // ns; over which load reports are averaged
	minSharingEvidence = 20.        // attempts in flight beside those answered, over the window, that tell of the sharers
	minCapacity        = 0.01       // of an endpoint that is told as smaller

	// maxOfferedCapacity is how many times what was carried at the best a cache is taken to carry, while more is asked for.
	maxOfferedCapacity = maxAdmissionLimit
)

// capacityEstimate is what the endpoints carry, as far as it is measured. A capacity is how many answers an endpoint can send at
// once at a client's full pace: seconds of sending time a second.
type capacityEstimate struct {
	byCaches  decayingWork // carried in time by the caches of the location
	byParents decayingWork // carried in time by the parents
	offered   decayingWork // what the caches would have carried, had they served all; over sharingWindow

	// In flight at caches when answers came, decayed over sharingWindow.
	othersInFlight float64 // as load reports told
	ownInFlight    float64 // as known
	reportedAt     int64

	configured configuredSum
	measured   repeatedSum
}

// configuredSum is the sum and the largest of the caches' capacities, kept until the list changes.
type configuredSum struct {
	known        bool
	sum, largest float64
}

// offer counts work that was asked for, s.
func (c *capacityEstimate) offer(now int64, work float64) {
	c.offered.work = decay(c.offered.work, now-c.offered.lastAt, sharingWindow) + work
	c.offered.lastAt = now
}

// observeReport notes a load report: how many are in flight at a cache, by its own word and from here, without the one that was
// answered.
func (c *capacityEstimate) observeReport(now int64, reported, own float64) {
	since := now - c.reportedAt
	c.othersInFlight = decay(c.othersInFlight, since, sharingWindow) + reported
	c.ownInFlight = decay(c.ownInFlight, since, sharingWindow) + own
	c.reportedAt = now
}

// sharers is how many routers share an endpoint: those of the location for a cache, all for another.
func (r *Router) sharers(endpoint *endpointState) float64 {
	if endpoint.Location == r.settings.Location {
		return r.settings.cacheSharers()
	}
	return r.settings.parentSharers()
}

// effectiveSharers is how many routers send to the location's caches now, by what answers tell is in flight there.
func (r *Router) effectiveSharers() float64 {
	if r.capacity.ownInFlight < minSharingEvidence {
		return r.settings.cacheSharers()
	}
	return max(1, min(r.capacity.othersInFlight/r.capacity.ownInFlight, r.settings.cacheSharers()))
}

// measuredCapacity is that of a cache where weights do not tell it: what each cache carried in time at the best, scaled to all
// who send there, or what is asked for now, up to some times that; a young router goes by what is asked for alone. A weight of
// one for all was taken for caches of one answer at a time, and shut out half of the traffic.
func (r *Router) measuredCapacity(now int64) float64 {
	best := max(1, r.capacity.byCaches.best)
	asked := r.perEndpoint(now, r.capacity.offered, sharingWindow, r.effectiveSharers(), r.caches)
	if now >= r.rates.startedAt+rateWindow {
		asked = min(asked, maxOfferedCapacity*best)
	}
	return max(best, asked)
}

// sustainedCapacity is what an endpoint bears for sure when warm. What is measured is the mean of its tier as it goes, not the
// best: that is chance in a thin slice, and sums up over all.
func (r *Router) sustainedCapacity(now int64, endpoint *endpointState) float64 {
	switch {
	case r.settings.Weights == CapacityWeights:
		return endpoint.Capacity
	case endpoint.Location == r.settings.Location:
		return max(1, r.perEndpoint(now, r.capacity.byCaches, rateWindow, r.effectiveSharers(), r.caches))
	}
	return max(1, r.perEndpoint(now, r.capacity.byParents, rateWindow, r.sharers(endpoint), r.parents))
}

// carriedByCaches counts work that a cache carried in time, s.
func (r *Router) carriedByCaches(now int64, work float64) {
	r.addCarried(now, &r.capacity.byCaches, work, r.effectiveSharers(), r.caches)
}

// carriedByParents counts work that a parent carried in time, s.
func (r *Router) carriedByParents(now int64, work float64, parent *endpointState) {
	r.addCarried(now, &r.capacity.byParents, work, r.sharers(parent), r.parents)
}

// addCarried counts what the endpoints of a tier carried in time, and keeps the best that each had over the window.
func (r *Router) addCarried(now int64, carried *decayingWork, work, sharers float64, endpoints []*endpointState) {
	carried.add(now, work)
	if now >= r.rates.startedAt+rateWindow {
		carried.best = max(carried.best, r.perEndpoint(now, *carried, rateWindow, sharers, endpoints))
	}
}

// perEndpoint is the part of one endpoint in what a tier carries, in answers sent at once.
func (r *Router) perEndpoint(now int64, carried decayingWork, window int64, sharers float64, endpoints []*endpointState) float64 {
	return r.rates.perSecond(now, carried.work, carried.lastAt, window) * sharers / float64(max(1, len(endpoints)))
}

// locationCapacity is that of all caches of the location.
func (r *Router) locationCapacity(now int64) float64 {
	if r.settings.Weights == CapacityWeights {
		return max(r.configuredCapacity().sum, minCapacity)
	}
	return max(r.capacity.measured.of(len(r.caches), r.measuredCapacity(now)), minCapacity)
}

// configuredCapacity sums up what weights tell of the caches.
func (r *Router) configuredCapacity() configuredSum {
	total := &r.capacity.configured
	if total.known {
		return *total
	}
	*total = configuredSum{known: true}
	for _, endpoint := range r.caches {
		total.sum += endpoint.Capacity
		total.largest = max(total.largest, endpoint.Capacity)
	}
	return *total
}

// repeatedSum is a number added up so many times, kept from the last time.
type repeatedSum struct {
	count    int
	term     float64
	addedSum float64
}

// of adds one by one, as a product would be rounded otherwise, and decisions depend on it.
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
