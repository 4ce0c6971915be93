package control

const (
	// loadWindow is the time in ns over which load reports and offered work decay.
	loadWindow = 2 * second

	// Load reports are used to estimate how many routers send to the caches only if capacityEstimate.ownInFlight is at
	// least minOwnInFlight.
	minOwnInFlight = 20.

	// minCapacity is the lower bound of a listed capacity, and of the capacity of all caches together.
	minCapacity = 0.01

	// maxOfferedCapacity is the upper bound of a measured capacity, as a multiple of the highest mean capacity that
	// the caches have shown.
	maxOfferedCapacity = maxAdmissionLimit
)

// capacityEstimate measures the capacity of the endpoints. A capacity is the number of responses that an endpoint can
// send at the same time, each at a client's full rate. That equals seconds of sending time per second.
type capacityEstimate struct {
	byCaches  decayingWork // s of sending time that the caches of the location served in time
	byParents decayingWork // s of sending time that the parents served in time
	offered   decayingWork // s of sending time requested from the caches, served or not; decays over loadWindow

	// With each load report the attempts in flight at the reporting cache are added to these two sums, which decay
	// over loadWindow.
	reportedInFlight float64 // attempts of all routers, from the load reports
	ownInFlight      float64 // attempts of this router
	reportedAt       int64

	configured configuredSum
	measured   equalTermsSum
}

// configuredSum holds the sum and the maximum of the caches' listed capacities. It is valid until the endpoint list
// changes.
type configuredSum struct {
	valid        bool
	sum, largest float64
}

// addOffered adds requested work, in seconds of sending time.
func (c *capacityEstimate) addOffered(now int64, work float64) {
	c.offered.work = decay(c.offered.work, now-c.offered.lastAt, loadWindow) + work
	c.offered.lastAt = now
}

// observeReport adds a load report of a cache. reported is how many attempts of all routers are in flight at the
// cache, and own is how many of them are this router's. Neither includes the attempt whose response contained the
// report.
func (c *capacityEstimate) observeReport(now int64, reported, own float64) {
	elapsed := now - c.reportedAt
	c.reportedInFlight = decay(c.reportedInFlight, elapsed, loadWindow) + reported
	c.ownInFlight = decay(c.ownInFlight, elapsed, loadWindow) + own
	c.reportedAt = now
}

// routersUsing returns how many routers use an endpoint: the routers of the location for one of its caches, all
// routers for any other endpoint.
func (r *Router) routersUsing(endpoint *endpointState) float64 {
	if endpoint.Location == r.settings.Location {
		return r.settings.cacheRouters()
	}
	return r.settings.parentRouters()
}

// activeRouters estimates how many routers send to the location's caches now: the number of attempts in flight from
// the caches' load reports, divided by the number of this router's attempts in flight there. While other routers of
// the location restart, this one gets their traffic too, and the estimate falls.
func (r *Router) activeRouters() float64 {
	if r.capacity.ownInFlight < minOwnInFlight {
		return r.settings.cacheRouters()
	}
	return max(1, min(r.capacity.reportedInFlight/r.capacity.ownInFlight, r.settings.cacheRouters()))
}

// measuredCapacity estimates the capacity of each cache if the endpoint list does not give it. This is the highest
// mean capacity that the caches have shown by serving requests in time. If more is requested now, it is the requested
// capacity, but at most maxOfferedCapacity times the highest one shown. That one is not known during the first
// rateWindow after the router's start, and the requested capacity is not limited then.
func (r *Router) measuredCapacity(now int64) float64 {
	best := max(1, r.capacity.byCaches.best)
	offered := r.perEndpoint(now, r.capacity.offered, loadWindow, r.activeRouters(), r.caches)
	if now >= r.rates.startedAt+rateWindow {
		offered = min(offered, maxOfferedCapacity*best)
	}
	return max(best, offered)
}

// sustainedCapacity returns the capacity that an endpoint is certain to have when it is warm. If capacities are
// measured, it is what the endpoints of the tier serve on average now, not the highest capacity that they have shown:
// at a router with little traffic the highest one depends on chance, and the shares that all routers derive from it
// would add up to more than the endpoint can serve.
func (r *Router) sustainedCapacity(now int64, endpoint *endpointState) float64 {
	switch {
	case r.settings.Weights == CapacityWeights:
		return endpoint.Capacity
	case endpoint.Location == r.settings.Location:
		return max(1, r.perEndpoint(now, r.capacity.byCaches, rateWindow, r.activeRouters(), r.caches))
	}
	return max(1, r.perEndpoint(now, r.capacity.byParents, rateWindow, r.routersUsing(endpoint), r.parents))
}

// servedByCache adds work that a cache served in time, in seconds of sending time.
func (r *Router) servedByCache(now int64, work float64) {
	r.addServed(now, &r.capacity.byCaches, work, r.activeRouters(), r.caches)
}

// servedByParent adds work that a parent served in time, in seconds of sending time.
func (r *Router) servedByParent(now int64, work float64, parent *endpointState) {
	r.addServed(now, &r.capacity.byParents, work, r.routersUsing(parent), r.parents)
}

// addServed adds work that the endpoints of a tier served in time, and updates the highest mean capacity that they have
// shown.
func (r *Router) addServed(now int64, served *decayingWork, work, routers float64, endpoints []*endpointState) {
	served.add(now, work)
	if now >= r.rates.startedAt+rateWindow {
		served.best = max(served.best, r.perEndpoint(now, *served, rateWindow, routers, endpoints))
	}
}

// perEndpoint estimates the mean work per second, for all routers together, of each endpoint of a tier: this router's
// work, which decays over a window in ns, times the number of routers, divided by the number of endpoints.
func (r *Router) perEndpoint(
	now int64, work decayingWork, window int64, routers float64, endpoints []*endpointState,
) float64 {
	return r.rates.perSecond(now, work.work, work.lastAt, window) * routers / float64(max(1, len(endpoints)))
}

// locationCapacity returns the total capacity of the location's caches, listed or measured, but at least minCapacity.
func (r *Router) locationCapacity(now int64) float64 {
	if r.settings.Weights == CapacityWeights {
		return max(r.configuredCapacity().sum, minCapacity)
	}
	return max(r.capacity.measured.sumOf(len(r.caches), r.measuredCapacity(now)), minCapacity)
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

// equalTermsSum adds up a number of equal terms, and keeps the last sum so that it need not be computed again.
type equalTermsSum struct {
	count int
	term  float64
	sum   float64
}

// sumOf returns the sum of count equal terms. It adds them one by one, because a product is rounded differently:
// decisions must be the same, to the last bit, as with a sum over the endpoints.
func (s *equalTermsSum) sumOf(count int, term float64) float64 {
	if s.count == count && s.term == term {
		return s.sum
	}
	s.count, s.term, s.sum = count, term, 0
	for range count {
		s.sum += term
	}
	return s.sum
}
