package control

import (
	"math"
	"slices"
)

const (
	// silenceThreshold is by how much the silence score of an endpoint must exceed the mean of its peers for the
	// endpoint to be ejected. The unit is the mean response time of the slowest class. The probability that a healthy
	// endpoint reaches a score of 6 is e^-6.
	silenceThreshold = 6.

	maxSilencePerAttempt = 2.  // largest wait of one attempt that counts; unit as for silenceThreshold
	minSilence           = 1.2 // silence counts only if one attempt has waited at least this long; same unit

	// An endpoint may be ejected if it reaches both of these thresholds.
	failureThreshold = 2.5 // sum of the failures, decayed over healthWindow
	failureShare     = 0.3 // excess of its failed fraction of attempts over that of its peers

	healthWindow = 4 * second // ns; time over which successes and failures decay

	// An ejected endpoint is first probed after minProbeBackoff. Each failed probe doubles the backoff, up to
	// maxProbeBackoff.
	minProbeBackoff = second     // ns
	maxProbeBackoff = 8 * second // ns

	// For a parent with more than manyAttempts ended attempts, failureShare is multiplied by
	// √(manyAttempts/attempts), but not by less than minManyAttemptsFactor. With hundreds of attempts, a failed
	// quarter is no coincidence.
	manyAttempts          = 16.
	minManyAttemptsFactor = 0.4

	// decayedChecksPerTick is the number of endpoints that Tick checks for scores that have decayed to 0.
	decayedChecksPerTick = 16

	// A score above nonzeroScore cannot have decayed to 0 before it is nonzeroScoreAge old, in ns, because
	// e^-600 * nonzeroScore is greater than the smallest float64. Computing the decay is then unnecessary.
	nonzeroScore    = 1e-40
	nonzeroScoreAge = 600 * healthWindow

	// evidenceMargin is an upper bound of how much two sums of the same terms, added in different orders, differ.
	evidenceMargin = 1e-6
)

// outlierDetector holds the endpoints that may have to be ejected or probed. An endpoint is ejected if it fails, or
// does not respond, far more often than its peers.
type outlierDetector struct {
	scored      endpointList // endpoints with attempts in flight, or with scores that have not decayed to 0
	watched     endpointList // endpoints that Tick checks: possible outliers and ejected endpoints
	nextDecayed int          // index in scored of the next endpoint that forgetDecayed checks
}

// evidence holds what an endpoint's health is judged by, or the sums of these values over several endpoints.
type evidence struct {
	silence   float64 // waits of the attempts in flight, in mean response times of the slowest class
	successes float64 // ended attempts that succeeded, decayed over healthWindow
	failures  float64 // ended attempts that count as failed, decayed over healthWindow
}

func (e evidence) plus(other evidence) evidence {
	return evidence{e.silence + other.silence, e.successes + other.successes, e.failures + other.failures}
}

// minus subtracts the evidence of one endpoint from a sum.
func (e evidence) minus(other evidence) evidence {
	return evidence{e.silence - other.silence, e.successes - other.successes, e.failures - other.failures}
}

// attempts returns the number of ended attempts, each weighted by its attemptScore and decayed over healthWindow.
func (e evidence) attempts() float64 { return e.successes + e.failures }

// suffices reports whether the evidence is enough to eject an endpoint if its peers are healthy.
func (e evidence) suffices() bool {
	return e.silence >= silenceThreshold || e.failures >= failureThreshold
}

// excess returns by how much an endpoint's silence score exceeds the mean score of its peers, and by how much the
// failed fraction of its attempts exceeds that of all attempts at its peers.
func (e evidence) excess(peers evidence, peerCount int) (silence, failed float64) {
	silence = e.silence - peers.silence/float64(max(1, peerCount))
	failed = e.failures/e.attempts() - peers.failures/max(peers.attempts(), 1)
	return silence, failed
}

// ejectIfOutlier ejects an endpoint if its recent failures or its silence are far above those of its peers.
// Failures that all peers have alike are not a reason to eject an endpoint: they come from an overload, and ejecting
// one endpoint after the other would only move objects from cache to cache. Up to half of a tier can be ejected at
// the same time. If more of it fails, retries have to find the healthy endpoints.
func (r *Router) ejectIfOutlier(now int64, endpoint *endpointState) {
	if endpoint.ejected || endpoint == r.origin || !endpoint.mayBeEjected(now) {
		return
	}
	own := endpoint.evidence(now, r.slowestResponseTime())
	if !own.suffices() {
		return
	}
	silence, failed := own.excess(r.peerEvidence(now, endpoint), len(r.peersOf(endpoint))-1)
	tooManyFailed := own.failures >= failureThreshold && failed >= r.failureShareFor(endpoint, own)
	if silence < silenceThreshold && !tooManyFailed {
		return
	}
	endpoint.eject(now)
	r.log(EndpointEjected{
		Endpoint:     endpoint.ID,
		SilenceScore: rounded(silence, scoreDecimals),
		Failures:     rounded(own.failures, scoreDecimals),
		Attempts:     rounded(own.attempts(), scoreDecimals),
	})
}

// peersOf returns the endpoints that an endpoint is compared with, including itself.
func (r *Router) peersOf(endpoint *endpointState) []*endpointState {
	if endpoint.Location == r.settings.Location {
		return r.caches
	}
	return r.parents
}

// failureShareFor returns by how much the failed fraction of an endpoint's attempts must exceed that of its peers for
// the endpoint to be ejected. It is smaller for a parent with many ended attempts, unless all other parents are
// ejected.
func (r *Router) failureShareFor(endpoint *endpointState, own evidence) float64 {
	isOther := func(peer *endpointState) bool { return peer != endpoint && !peer.ejected }
	if endpoint.Location == r.settings.Location || !slices.ContainsFunc(r.parents, isOther) {
		return failureShare
	}
	factor := min(1, math.Sqrt(manyAttempts)/math.Sqrt(own.attempts()))
	return failureShare * max(minManyAttemptsFactor, factor)
}

// eject marks an endpoint as ejected: it gets only probes until it is restored.
func (endpoint *endpointState) eject(now int64) {
	endpoint.ejected = true
	endpoint.probing = false
	endpoint.probeBackoff = minProbeBackoff
	endpoint.nextProbeAt = now + endpoint.probeBackoff
}

// startProbe reports whether a health check must be sent to a cache now. If so, it charges the check to the slow
// start of the cache.
func (r *Router) startProbe(now int64, endpoint *endpointState) bool {
	isDue := endpoint.ejected && !endpoint.probing && now >= endpoint.nextProbeAt
	if !isDue || !r.settings.HealthChecks || !r.slowStartAdmits(now, endpoint, r.meanWork(now, 0)) {
		return false
	}
	endpoint.probing = true
	endpoint.charge(now, r.meanWork(now, 0))
	return true
}

// ProbeEnded takes the result of a health check of an endpoint that Tick has returned. The load report of the health
// check is not used.
func (r *Router) ProbeEnded(now int64, id uint32, healthy bool, _ []float64) {
	if endpoint := r.endpoints[id]; endpoint != nil {
		endpoint.probing = false
		r.probeFinished(now, endpoint, healthy)
	}
}

// probeFinished restores an ejected endpoint after a successful probe, and doubles the backoff after a failed one.
func (r *Router) probeFinished(now int64, endpoint *endpointState, healthy bool) {
	switch {
	case endpoint.ejected && healthy:
		endpoint.restore(now)
		r.log(EndpointRestored{Endpoint: endpoint.ID})
	case endpoint.ejected:
		endpoint.probeBackoff = min(2*endpoint.probeBackoff, maxProbeBackoff)
		endpoint.nextProbeAt = now + endpoint.probeBackoff
	}
}

// restore ends the ejection of an endpoint and resets its scores, which could otherwise eject it again.
func (endpoint *endpointState) restore(now int64) {
	if endpoint.wasUnreachable {
		// The endpoint has probably restarted, but the endpoint list does not show this yet. The full load could
		// overload it again.
		endpoint.slowStartFrom, endpoint.slowStartReportedAt = now, now
	}
	endpoint.ejected, endpoint.wasUnreachable = false, false
	endpoint.forgetScores(now)
}

// forgetScores resets the successes, failures and silence of an endpoint, so that it counts as healthy.
func (endpoint *endpointState) forgetScores(now int64) {
	endpoint.successes, endpoint.failures = 0, 0
	endpoint.lastResponseAt = now
}

// addScore lets an endpoint's successes and failures decay until now and adds the score of an ended attempt.
func (endpoint *endpointState) addScore(now int64, scored attemptScore) {
	endpoint.successes = decay(endpoint.successes, now-endpoint.scoredAt, healthWindow) + scored.success
	endpoint.failures = decay(endpoint.failures, now-endpoint.scoredAt, healthWindow) + scored.failure
	endpoint.scoredAt = now
}

// cacheEvidence returns the sum of the evidence on all caches of the location, or zero if no watched cache needs to
// be compared with it.
func (r *Router) cacheEvidence(now int64) (all evidence) {
	mayBeEjected := func(endpoint *endpointState) bool {
		return endpoint.role == cacheRole && !endpoint.ejected && endpoint.mayBeEjected(now)
	}
	if slices.ContainsFunc(r.outliers.watched.endpoints, mayBeEjected) {
		all = r.peerEvidence(now, nil)
	}
	return all
}

// mayBeOutlier reports whether a cache may be an outlier, given the sum of the evidence on all caches. In an
// overload, when all caches look alike, this saves Tick from summing up the peers of each cache.
func (r *Router) mayBeOutlier(now int64, endpoint *endpointState, all evidence) bool {
	own := endpoint.evidence(now, r.slowestResponseTime())
	silence, failed := own.excess(all.minus(own), len(r.caches)-1)
	tooManyFailed := own.failures >= failureThreshold && failed >= failureShare-evidenceMargin
	return silence >= silenceThreshold-evidenceMargin || tooManyFailed
}

// slowestResponseTime returns the mean response time, in s, of the slowest class.
func (r *Router) slowestResponseTime() float64 {
	slowest := minSlowestResponseTime
	for _, class := range r.classes {
		slowest = max(slowest, class.responseTime)
	}
	return slowest
}

// evidence returns the evidence on an endpoint. Its silence is how long the attempts in flight have waited since they
// were sent or, if that is later, since the endpoint's last response. Each wait is divided by responseTime, in s, and
// counts at most maxSilencePerAttempt. Likely hits do not count for their source.
func (endpoint *endpointState) evidence(now int64, responseTime float64) evidence {
	successes := decay(endpoint.successes, now-endpoint.scoredAt, healthWindow)
	failures := decay(endpoint.failures, now-endpoint.scoredAt, healthWindow)
	silence, longest := 0., 0.
	for _, attempt := range endpoint.inFlight {
		if attempt.cache == endpoint || attempt.kind != hits {
			waited := float64(now-max(attempt.sentAt, endpoint.lastResponseAt)) / 1e9 / responseTime
			silence += min(maxSilencePerAttempt, waited)
			longest = max(longest, waited)
		}
	}
	if longest < minSilence {
		silence = 0 // many attempts that were all sent recently do not count as silence, whatever their sum
	}
	return evidence{silence, successes, failures}
}

// mayBeEjected reports whether the evidence on an endpoint could be enough to eject it. This is a cheap upper
// bound: it counts each attempt in flight with maxSilencePerAttempt, and failures without their decay. If now is
// before scoredAt, the decay would increase the failures, so the result is true.
func (endpoint *endpointState) mayBeEjected(now int64) bool {
	maxSilence := float64(len(endpoint.inFlight)) * maxSilencePerAttempt
	return maxSilence >= silenceThreshold || endpoint.failures >= failureThreshold || now < endpoint.scoredAt
}

// peerEvidence returns the sum of the evidence on the peers of an endpoint: all other caches of the location, or all
// other parents. For a nil endpoint it sums up all caches. It may skip endpoints that have nothing in flight and no
// scores, because they would add 0.
func (r *Router) peerEvidence(now int64, endpoint *endpointState) (sum evidence) {
	peers, peerRole := r.caches, cacheRole
	if endpoint != nil && endpoint.Location != r.settings.Location {
		peers, peerRole = r.parents, parentRole
	}
	if scored := r.outliers.scored.endpoints; len(scored) < len(peers) {
		peers = scored
	}
	responseTime := r.slowestResponseTime()
	for _, peer := range peers {
		if peer != endpoint && peer.role == peerRole {
			sum = sum.plus(peer.evidence(now, responseTime))
		}
	}
	return sum
}

// unwatchHealthy removes endpoints from the watched ones if they are not ejected, have nothing in flight and have too
// few failures to be ejected.
func (d *outlierDetector) unwatchHealthy(now int64) {
	d.watched.endpoints = slices.DeleteFunc(d.watched.endpoints, func(endpoint *endpointState) bool {
		if endpoint.ejected || len(endpoint.inFlight) > 0 {
			return false
		}
		return endpoint.failures < failureThreshold ||
			decay(endpoint.failures, now-endpoint.scoredAt, healthWindow) < failureThreshold
	})
}

// forgetDecayed checks the next decayedChecksPerTick scored endpoints, and removes those that have nothing in flight
// and whose scores have decayed to 0.
func (d *outlierDetector) forgetDecayed(now int64) {
	for range min(decayedChecksPerTick, len(d.scored.endpoints)) {
		d.nextDecayed %= len(d.scored.endpoints)
		endpoint := d.scored.endpoints[d.nextDecayed]
		if len(endpoint.inFlight) > 0 || endpoint.hasScore(now) {
			d.nextDecayed++
			continue
		}
		d.scored.remove(endpoint)
		if len(d.scored.endpoints) == 0 {
			return
		}
	}
}

// hasScore reports whether an endpoint's successes or failures have not yet decayed to 0.
func (endpoint *endpointState) hasScore(now int64) bool {
	elapsed := now - endpoint.scoredAt
	if max(endpoint.successes, endpoint.failures) > nonzeroScore && elapsed < nonzeroScoreAge {
		return true
	}
	return decay(endpoint.successes, elapsed, healthWindow) > 0 ||
		decay(endpoint.failures, elapsed, healthWindow) > 0
}

// forget stops scoring and watching an endpoint, so that its state can be dropped.
func (d *outlierDetector) forget(endpoint *endpointState) {
	d.scored.remove(endpoint)
	d.watched.remove(endpoint)
}
