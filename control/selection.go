package control

// selectEndpoints returns the cache that a request goes to and the source that the cache fills a miss from, in
// the order of the object's hash; nil is none.
func (r *Router) selectEndpoints(now int64, request *Request) (cache, source *endpointState) {
	caches := r.cacheCandidates(now, request)
	request.diverted = false
	cache = r.firstUsable(now, request, caches)
	if cache != nil && request.record.likelyCachedUntil > now && !r.admits(now, request, cache) {
		// The home cache is at its limit: another one with little load fills the object, if fills are admitted.
		caches.excludeLoaded(r.admission.limits[hits] * divertShare)
		if other := r.firstUsable(now, request, caches); other != nil {
			cache, request.diverted = other, true
		}
	}
	return cache, r.firstUsable(now, request, r.sourceCandidates(now, request))
}

// firstUsable returns the first endpoint that is eligible, not ejected (or to be probed) and not tried yet for
// the request. If there is none it returns the first eligible one: when all are ejected, their ejection says
// little.
func (r *Router) firstUsable(now int64, request *Request, ranked *candidates) (fallback *endpointState) {
	for endpoint := ranked.next(); endpoint != nil; endpoint = ranked.next() {
		if !r.isEligible(now, request, endpoint) {
			continue
		}
		r.ejectIfOutlier(now, endpoint)
		if (!endpoint.ejected || r.mayProbe(now, request, endpoint)) && !request.hasTried(endpoint) {
			return endpoint
		}
		if fallback == nil {
			fallback = endpoint
		}
	}
	return fallback
}

// isEligible reports whether the request may be sent to an endpoint at all: by its slow start, by the scope of
// the idempotency key, and by whether it can be reached.
func (r *Router) isEligible(now int64, request *Request, endpoint *endpointState) bool {
	return r.slowStartAdmits(now, endpoint, request.class.sendingTime) &&
		(endpoint.Location != r.settings.Location || request.withinKeyScope(endpoint)) &&
		(r.Reachable == nil || r.Reachable(endpoint.ID))
}

// mayProbe reports whether an ejected endpoint is to be probed by the first attempt of a request: after the
// backoff, and for a cache only where no health checks are sent.
func (r *Router) mayProbe(now int64, request *Request, endpoint *endpointState) bool {
	if now < endpoint.nextProbeAt || endpoint.probing || len(request.attempts) > 0 {
		return false
	}
	if endpoint.Location == r.settings.Location {
		return !r.settings.HealthChecks
	}
	return request.record.likelyCachedUntil <= now // a hit involves no source, and would probe nothing
}

// hasTried reports whether an attempt of the request is a reason not to send it to an endpoint again.
func (request *Request) hasTried(endpoint *endpointState) bool {
	for _, attempt := range request.attempts {
		if attempt.disqualifies(endpoint) {
			return true
		}
	}
	return false
}
