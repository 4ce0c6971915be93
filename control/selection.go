package control

// selectEndpoints returns the cache that a request is sent to and the source that the cache fills a miss from. Each
// is nil if no endpoint can be used.
func (r *Router) selectEndpoints(now int64, request *Request) (cache, source *endpointState) {
	caches := r.cacheCandidates(now, request)
	request.diverted = false
	cache = r.firstUsable(now, request, caches)
	if cache != nil && request.record.likelyCachedUntil > now && !r.admits(now, request, cache) {
		// The home cache is at its limit: another cache with little load may fill the object.
		caches.excludeLoaded(r.admission.limits[hits] * divertShare)
		if other := r.firstUsable(now, request, caches); other != nil {
			cache, request.diverted = other, true
		}
	}
	return cache, r.firstUsable(now, request, r.sourceCandidates(now, request))
}

// firstUsable returns the first endpoint that is eligible, is not ejected (or must be probed) and was not yet tried
// for the request. If there is none, it returns the first eligible endpoint: if all endpoints are ejected, the
// ejections are probably not due to their own faults.
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

// isEligible reports whether a request may be sent to an endpoint at all: its slow start admits the request, the
// scope of the idempotency key allows it, and the endpoint is reachable.
func (r *Router) isEligible(now int64, request *Request, endpoint *endpointState) bool {
	return r.slowStartAdmits(now, endpoint, request.class.sendingTime) &&
		(endpoint.Location != r.settings.Location || request.withinKeyScope(endpoint)) &&
		(r.Reachable == nil || r.Reachable(endpoint.ID))
}

// mayProbe reports whether the first attempt of a request may probe an ejected endpoint. This is so after the probe
// backoff, and for a cache only if no health checks are sent.
func (r *Router) mayProbe(now int64, request *Request, endpoint *endpointState) bool {
	if now < endpoint.nextProbeAt || endpoint.probing || len(request.attempts) > 0 {
		return false
	}
	if endpoint.Location == r.settings.Location {
		return !r.settings.HealthChecks
	}
	return request.record.likelyCachedUntil <= now // a hit does not involve the source, so it is no probe
}

// hasTried reports whether an earlier attempt is a reason not to send the request to an endpoint again.
func (request *Request) hasTried(endpoint *endpointState) bool {
	for _, attempt := range request.attempts {
		if attempt.disqualifies(endpoint) {
			return true
		}
	}
	return false
}
