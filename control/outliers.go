package control

import (
	"math"
	"slices"
)

const (
	// silenceThreshold is the silence score, beyond the peers' mean, from which an endpoint is ejected. A score
	// is in mean response times; by chance a score of 6 has the probability e^-6.
	silenceThreshold = 6.

	maxSilencePerAttempt = 2.  // of the silence score, by one attempt
	minSilence           = 1.2 // mean response times that at least one attempt must have waited

	failureThreshold = 2.5 // failures, decayed, from which an endpoint may be ejected
	failureShare     = 0.3 // part of its attempts that must have failed, beyond that of its peers

	healthWindow = 4 * second // ns; over which successes and failures decay

	// An ejected endpoint is first probed after minProbeBackoff; with each failed probe the backoff doubles.
	minProbeBackoff = second     // ns
	maxProbeBackoff = 8 * second // ns

	// A parent that has answered more than manyAnswers attempts is judged by a smaller failureShare: times
	// 1/√(answers/manyAnswers), and not below manyAnswersFactor. With hundreds of answers a part of a quarter
	// is no coincidence.
	manyAnswers       = 16.
	manyAnswersFactor = 0.4

	// fadedPerTick is how many endpoints a tick checks for scores that have decayed to 0.
	fadedPerTick = 16

	// A score above lastingScore is certainly above 0 until it is lastingScoreAge old, in ns: e^-600 times it
	// is more than the smallest float64. This saves computing the decay.
	lastingScore    = 1e-40
	lastingScoreAge = 600 * healthWindow

	// evidenceMargin is more than by how much the order of a sum's terms can change what is compared with a
	// threshold.
	evidenceMargin = 1e-6
)

// outlierDetector ejects endpoints that fail, or do not answer, far more than their peers, and has them probed.
type outlierDetector struct {
	scored    endpointList // endpoints with attempts in flight, or with scores that have not decayed to 0
	watched   endpointList // endpoints that Tick checks: those that may be outliers, and ejected ones
	nextFaded int          // index in scored that is checked next for decayed scores
}

// evidence is what speaks for and against an endpoint, or the sum over several.
type evidence struct {
	silence   float64 // mean response times that attempts in flight have waited, each up to maxSilencePerAttempt
	successes float64 // decayed over healthWindow
	failures  float64 // decayed over healthWindow
}

func (e evidence) plus(other evidence) evidence {
	return evidence{e.silence + other.silence, e.successes + other.successes, e.failures + other.failures}
}

// minus subtracts what one endpoint has added to a sum.
func (e evidence) minus(other evidence) evidence {
	return evidence{e.silence - other.silence, e.successes - other.successes, e.failures - other.failures}
}

// attempts returns the number of attempts that have ended, decayed over healthWindow.
func (e evidence) attempts() float64 { return e.successes + e.failures }

// suffices reports whether an endpoint with this evidence may be ejected, depending on its peers.
func (e evidence) suffices() bool {
	return e.silence >= silenceThreshold || e.failures >= failureThreshold
}

// excess returns by how much the evidence on an endpoint exceeds that on its peers: the silence score, and the
// part of the attempts that failed.
func (e evidence) excess(peers evidence, peerCount int) (silence, failed float64) {
	silence = e.silence - peers.silence/float64(max(1, peerCount))
	failed = e.failures/e.attempts() - peers.failures/max(peers.attempts(), 1)
	return silence, failed
}

// ejectIfOutlier ejects an endpoint if it stands out from its peers by its recent failures or by its silence.
// What all of them show is no evidence: it comes from an overload, and ejecting them in turn would only move
// objects from cache to cache. Up to half of a tier can stand out at once; if more of it fails, retries have to
// find the rest.
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

// peersOf returns the endpoints that one is compared with, itself included.
func (r *Router) peersOf(endpoint *endpointState) []*endpointState {
	if endpoint.Location == r.settings.Location {
		return r.caches
	}
	return r.parents
}

// failureShareFor returns the part of an endpoint's attempts that must have failed, beyond that of its peers,
// for it to be ejected. It is smaller for a parent with many answers, unless that is the last one that is not
// ejected.
func (r *Router) failureShareFor(endpoint *endpointState, own evidence) float64 {
	isOther := func(peer *endpointState) bool { return peer != endpoint && !peer.ejected }
	if endpoint.Location == r.settings.Location || !slices.ContainsFunc(r.parents, isOther) {
		return failureShare
	}
	factor := min(1, math.Sqrt(manyAnswers)/math.Sqrt(own.attempts()))
	return failureShare * max(manyAnswersFactor, factor)
}

// eject ejects an endpoint: from now on it gets nothing but probes.
func (endpoint *endpointState) eject(now int64) {
	endpoint.ejected = true
	endpoint.probing = false
	endpoint.probeBackoff = minProbeBackoff
	endpoint.nextProbeAt = now + endpoint.probeBackoff
}

// startProbe reports whether a health check is to be sent to a cache now, and counts it if so.
func (r *Router) startProbe(now int64, endpoint *endpointState) bool {
	isDue := endpoint.ejected && !endpoint.probing && now >= endpoint.nextProbeAt
	if !isDue || !r.settings.HealthChecks || !r.slowStartAdmits(now, endpoint, r.meanWork(now, 0)) {
		return false
	}
	endpoint.probing = true
	endpoint.charge(now, r.meanWork(now, 0))
	return true
}

// ProbeEnded takes the result of a health check that Tick returned the endpoint of. The load report that came with
// it is not used.
func (r *Router) ProbeEnded(now int64, id uint32, healthy bool, _ []float64) {
	if endpoint := r.endpoints[id]; endpoint != nil {
		endpoint.probing = false
		r.probeFinished(now, endpoint, healthy)
	}
}

// probeFinished restores an ejected endpoint after a successful probe; after any other it doubles the backoff.
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

// restore ends an ejection.
func (endpoint *endpointState) restore(now int64) {
	if endpoint.wasUnreachable {
		// It has probably restarted, which the list tells only later. Full load at once could bring it down
		// again.
		endpoint.slowStartFrom, endpoint.slowStartReportedAt = now, now
	}
	endpoint.ejected, endpoint.wasUnreachable = false, false
	endpoint.forgetScores(now)
}

// forgetScores drops the evidence on an endpoint: it counts as healthy from now on.
func (endpoint *endpointState) forgetScores(now int64) {
	endpoint.successes, endpoint.failures = 0, 0
	endpoint.lastResponseAt = now
}

// addScore adds an attempt that has ended to an endpoint's successes and failures.
func (endpoint *endpointState) addScore(now int64, scored attemptScore) {
	endpoint.successes = decay(endpoint.successes, now-endpoint.scoredAt, healthWindow) + scored.success
	endpoint.failures = decay(endpoint.failures, now-endpoint.scoredAt, healthWindow) + scored.failure
	endpoint.scoredAt = now
}

// cacheEvidence returns the evidence on all caches of the location together, if there is a watched cache to
// compare with it.
func (r *Router) cacheEvidence(now int64) (all evidence) {
	mayBeEjected := func(endpoint *endpointState) bool {
		return endpoint.role == cacheRole && !endpoint.ejected && endpoint.mayBeEjected(now)
	}
	if slices.ContainsFunc(r.outliers.watched.endpoints, mayBeEjected) {
		all = r.peerEvidence(now, nil)
	}
	return all
}

// mayBeOutlier reports whether a cache may stand out from its peers, given the evidence on all caches. In an
// overload, when all look alike, it spares Tick summing up the peers of each one.
func (r *Router) mayBeOutlier(now int64, endpoint *endpointState, all evidence) bool {
	own := endpoint.evidence(now, r.slowestResponseTime())
	silence, failed := own.excess(all.minus(own), len(r.caches)-1)
	tooManyFailed := own.failures >= failureThreshold && failed >= failureShare-evidenceMargin
	return silence >= silenceThreshold-evidenceMargin || tooManyFailed
}

// slowestResponseTime returns the longest mean response time of a class, in s.
func (r *Router) slowestResponseTime() float64 {
	slowest := minResponseTime
	for _, class := range r.classes {
		slowest = max(slowest, class.responseTime)
	}
	return slowest
}

// evidence returns the evidence on an endpoint. responseTime is the unit of its silence score, in s.
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
		silence = 0 // many attempts that started at once are no silence, however much they add up to
	}
	return evidence{silence, successes, failures}
}

// mayBeEjected reports whether the evidence on an endpoint could suffice. It costs little: it counts the
// attempts in flight as if each had waited long, and failures as if none had decayed.
func (endpoint *endpointState) mayBeEjected(now int64) bool {
	maxSilence := float64(len(endpoint.inFlight)) * maxSilencePerAttempt
	return maxSilence >= silenceThreshold || endpoint.failures >= failureThreshold || now < endpoint.scoredAt
}

// peerEvidence sums up the evidence on all other caches of the location, or on all other parents. Without an
// endpoint it is that on all caches. It leaves out endpoints with nothing in flight and without scores, which
// would add 0.
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

// unwatchHealthy drops from the endpoints that Tick checks those that are not ejected, have nothing in flight
// and too few failures to be ejected for.
func (d *outlierDetector) unwatchHealthy(now int64) {
	d.watched.endpoints = slices.DeleteFunc(d.watched.endpoints, func(endpoint *endpointState) bool {
		if endpoint.ejected || len(endpoint.inFlight) > 0 {
			return false
		}
		return endpoint.failures < failureThreshold ||
			decay(endpoint.failures, now-endpoint.scoredAt, healthWindow) < failureThreshold
	})
}

// forgetFaded drops endpoints whose scores have decayed to 0 from the list of scored ones. It checks
// fadedPerTick of them.
func (d *outlierDetector) forgetFaded(now int64) {
	for range min(fadedPerTick, len(d.scored.endpoints)) {
		d.nextFaded %= len(d.scored.endpoints)
		endpoint := d.scored.endpoints[d.nextFaded]
		if len(endpoint.inFlight) > 0 || endpoint.hasScore(now) {
			d.nextFaded++
			continue
		}
		d.scored.remove(endpoint)
		if len(d.scored.endpoints) == 0 {
			return
		}
	}
}

// hasScore reports whether an endpoint's successes or failures have not decayed to 0 yet.
func (endpoint *endpointState) hasScore(now int64) bool {
	elapsed := now - endpoint.scoredAt
	if max(endpoint.successes, endpoint.failures) > lastingScore && elapsed < lastingScoreAge {
		return true
	}
	return decay(endpoint.successes, elapsed, healthWindow) > 0 ||
		decay(endpoint.failures, elapsed, healthWindow) > 0
}

// forget drops an endpoint that is no longer listed.
func (d *outlierDetector) forget(endpoint *endpointState) {
	d.scored.remove(endpoint)
	d.watched.remove(endpoint)
}
