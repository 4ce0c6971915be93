package control

// selectEndpoints picks the cache and the fill source by the object's hash; nil is none.
func (r *Router) selectEndpoints(now int64, request *Request) (cache, source *endpointState) {
	caches := r.cacheCandidates(now, request)
	request.diverted = false
	cache = r.firstUsable(now, request, caches)
	if cache != nil && request.record.likelyCachedUntil > now && !r.admits(now, request, cache) {
		// Where the first cache is at its limit, another one with little load fills the object, if fills are admitted.
		caches.excludeLoaded(r.admission.limits[hits] * divertShare)
		if other := r.firstUsable(now, request, caches); other != nil {
			cache, request.diverted = other, true
		}
	}
	return cache, r.firstUsable(now, request, r.sourceCandidates(now, request))
}

// firstUsable takes the first endpoint that is eligible, not ejected (or to be probed) and not tried for this request. If there is
// none, the first that is eligible: where all are ejected, it is not they.
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

// isEligible tells whether an endpoint may be asked at all: by its slow start, the key's scope and its links.
func (r *Router) isEligible(now int64, request *Request, endpoint *endpointState) bool {
	return r.slowStartAdmits(now, endpoint, request.class.sendingTime) &&
		(endpoint.Location != r.settings.location || request.withinKeyScope(endpoint)) &&
		(r.Reachable == nil || r.Reachable(endpoint.ID))
}

// mayProbe tells whether an ejected endpoint is probed by a request: as its first attempt, once the backoff is over, where no
// health check does.
func (r *Router) mayProbe(now int64, request *Request, endpoint *endpointState) bool {
	if now < endpoint.nextProbeAt || endpoint.probing || len(request.attempts) > 0 {
		return false
	}
	if endpoint.Location == r.settings.location {
		return !r.settings.probes
	}
	return request.record.likelyCachedUntil <= now // a hit would not ask it
}

// hasTried tells whether an endpoint was tried for a request.
func (request *Request) hasTried(endpoint *endpointState) bool {
	for _, attempt := range request.attempts {
		if attempt.disqualifies(endpoint) {
			return true
		}
	}
	return false
}
