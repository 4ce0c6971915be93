package control

import "slices"

const (
	// fadedPerTick is how many members are looked at with each tick for scores that have faded to nothing.
	fadedPerTick = 16

	// evidenceMargin is more than what the order of a sum's terms can change in what a member is judged by.
	evidenceMargin = 1e-6
)

// evidence is a sum of signs: of silence, of answers in time and of failures.
type evidence struct{ silent, good, bad float64 }

// cacheEvidence sums up the evidence on all caches of the location, if there is a member that it may concern.
func (r *Router) cacheEvidence(now int64) (all evidence) {
	concerned := func(endpoint *endpointState) bool {
		return endpoint.role == cacheRole && !endpoint.ejected && endpoint.mayBeEjected(now)
	}
	if slices.ContainsFunc(r.watched.endpoints, concerned) {
		all.silent, all.good, all.bad = r.peerEvidence(now, nil)
	}
	return all
}

// mayStandOut tells whether a cache may stand out from its peers, by the evidence on all caches. Where all look
// alike, as in a jam, that spares the periodic check to sum up each one's peers.
func (r *Router) mayBeOutlier(now int64, endpoint *endpointState, all evidence) bool {
	silent, good, bad := r.evidenceOn(now, endpoint)
	peersGood, peersBad := all.good-good, all.bad-bad
	silentApart := silent - (all.silent-silent)/float64(max(1, len(r.caches)-1))
	badApart := bad/(good+bad) - peersBad/max(peersGood+peersBad, 1)
	return silentApart >= silenceThreshold-evidenceMargin || bad >= failureThreshold && badApart >= failureShareThreshold-evidenceMargin
}

// signs is the evidence on a member: the silence of what it has in hand, in answer times, and how it fared.
func (r *Router) evidenceOn(now int64, endpoint *endpointState) (silent, good, bad float64) {
	return endpoint.evidence(now, r.slowestResponseTime())
}

// slowestAnswer is the longest mean answer time of a product, in seconds.
func (r *Router) slowestResponseTime() float64 {
	return r.largest(func(class *classState) float64 { return class.responseTime })
}

// signs is the evidence on a member, given the longest mean answer time.
func (endpoint *endpointState) evidence(now int64, answer float64) (silent, good, bad float64) {
	good, bad = decay(endpoint.successes, now-endpoint.scoredAt, healthWindow), decay(endpoint.failures, now-endpoint.scoredAt, healthWindow)
	if len(endpoint.inFlight) == 0 {
		return 0, good, bad
	}
	longest := 0.
	for _, attempt := range endpoint.inFlight {
		if attempt.cache == endpoint || attempt.kind > hits {
			waited := float64(now-max(attempt.sentAt, endpoint.lastResponseAt)) / 1e9 / answer
			silent, longest = silent+min(maxSilencePerAttempt, waited), max(longest, waited)
		}
	}
	if longest < minSilence {
		silent = 0 // many in hand for a moment are a crowd, not silence: so it went at every start
	}
	return silent, good, bad
}

// mayBeSuspect tells, at little cost, whether the evidence on a member could be enough for a suspicion: by the
// number of dispatches that may be silent, and by failures as if none had faded.
func (endpoint *endpointState) mayBeEjected(now int64) bool {
	return float64(len(endpoint.inFlight))*maxSilencePerAttempt >= silenceThreshold || endpoint.failures >= failureThreshold || now < endpoint.scoredAt
}

// peerSigns sums up the evidence on all other caches of the location, or on all other parents; without a member on
// all caches. Members with nothing in flight and no scores would add nothing: they are left out.
func (r *Router) peerEvidence(now int64, endpoint *endpointState) (silent, good, bad float64) {
	peers, peerRole := r.caches, cacheRole
	if endpoint != nil && endpoint.Location != r.location {
		peers, peerRole = r.parents, parentRole
	}
	if len(r.scored.endpoints) < len(peers) {
		peers = r.scored.endpoints
	}
	answer := r.slowestResponseTime()
	for _, peer := range peers {
		if peer != endpoint && peer.role == peerRole {
			s, g, b := peer.evidence(now, answer)
			silent, good, bad = silent+s, good+g, bad+b
		}
	}
	return silent, good, bad
}

// unwatch leaves out of the periodic check what it can tell nothing of: members that are trusted, with nothing in
// flight and too few failures.
func (r *Router) unwatchTrusted(now int64) {
	r.watched.endpoints = slices.DeleteFunc(r.watched.endpoints, func(endpoint *endpointState) bool {
		return !endpoint.ejected && len(endpoint.inFlight) == 0 && (endpoint.failures < failureThreshold || decay(endpoint.failures, now-endpoint.scoredAt, healthWindow) < failureThreshold)
	})
}

// forgetFaded takes some of the members whose scores have faded to nothing off the list of those with scores.
func (r *Router) forgetFaded(now int64) {
	for range min(fadedPerTick, len(r.scored.endpoints)) {
		r.nextFaded %= len(r.scored.endpoints)
		endpoint := r.scored.endpoints[r.nextFaded]
		if len(endpoint.inFlight) > 0 || decay(endpoint.successes, now-endpoint.scoredAt, healthWindow) > 0 || decay(endpoint.failures, now-endpoint.scoredAt, healthWindow) > 0 {
			r.nextFaded++
			continue
		}
		if r.scored.remove(endpoint); len(r.scored.endpoints) == 0 {
			return
		}
	}
}
