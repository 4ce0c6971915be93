package control

import (
	"math"
	"slices"
)

const (
	silenceThreshold     = 6.         // evidence of silence from which an endpoint is ejected: e^-6 by chance
	maxSilencePerAttempt = 2.         // of it by one attempt
	minSilence           = 1.2        // mean response times that one must have waited
	failureThreshold     = 2.5        // failures, lately, from which an endpoint is ejected
	failureShare         = 0.3        // part of its attempts that has failed, beyond what its peers show
	healthWindow         = 4 * second // ns; over which successes and failures decay
	minProbeBackoff      = second     // ns; until an ejected endpoint is probed; doubles up to maxProbeBackoff
	maxProbeBackoff      = 8 * second // ns

	// A parent that has answered much is judged by a smaller share, as 1/√n from manyAnswers on, down to manyAnswersFactor: late
	// with a quarter of hundreds a parent stayed in.
	manyAnswers       = 16.
	manyAnswersFactor = 0.4

	// fadedPerTick is how many endpoints are looked at with each tick for scores that have faded to nothing.
	fadedPerTick = 16

	// A score above lastingScore has not faded to nothing within lastingScoreAge, ns: e^-600 of it is above the least float64.
	lastingScore    = 1e-40
	lastingScoreAge = 600 * healthWindow

	// evidenceMargin is more than what the order of a sum's terms can change in what an endpoint is judged by.
	evidenceMargin = 1e-6
)

// outlierDetector ejects endpoints that fail or stay silent far more than their peers, and has them probed.
type outlierDetector struct {
	scored    endpointList // with attempts in flight, or with scores that have not faded to nothing
	watched   endpointList // which the periodic check may find to be outliers, or that are ejected
	nextFaded int          // index in scored that is looked at next
}

// evidence is what speaks for and against an endpoint, or the sum over several.
type evidence struct {
	silent    float64 // mean response times that attempts in flight have waited, each up to maxSilencePerAttempt
	good, bad float64 // successes and failures lately
}

func (e evidence) plus(other evidence) evidence {
	return evidence{e.silent + other.silent, e.good + other.good, e.bad + other.bad}
}

// minus takes out of a sum what one endpoint has added.
func (e evidence) minus(other evidence) evidence {
	return evidence{e.silent - other.silent, e.good - other.good, e.bad - other.bad}
}

// suffices tells whether this could be enough to eject an endpoint.
func (e evidence) suffices() bool { return e.silent >= silenceThreshold || e.bad >= failureThreshold }

// apart is by how much an endpoint stands out from its peers: in silence, and in the part of attempts that failed.
func (e evidence) apart(peers evidence, peerCount int) (silent, failed float64) {
	silent = e.silent - peers.silent/float64(max(1, peerCount))
	failed = e.bad/(e.good+e.bad) - peers.bad/max(peers.good+peers.bad, 1)
	return silent, failed
}

// ejectIfOutlier ejects an endpoint by its failures lately or by its silence, whatever lies behind them. What its peers show then
// is no evidence: in a jam all looked bad in turn and objects lost their homes. Half a tier may fail at once and still stand out;
// where most fail, further attempts must find the rest.
func (r *Router) ejectIfOutlier(now int64, endpoint *endpointState) {
	if endpoint.ejected || endpoint == r.origin || !endpoint.mayBeEjected(now) {
		return
	}
	own := endpoint.evidence(now, r.slowestResponseTime())
	if !own.suffices() {
		return
	}
	silent, failed := own.apart(r.peerEvidence(now, endpoint), len(r.peersOf(endpoint))-1)
	if silent < silenceThreshold && (own.bad < failureThreshold || failed < r.failureShareFor(endpoint, own)) {
		return
	}
	endpoint.eject(now)
	r.log(EndpointEjected{
		Endpoint:     endpoint.ID,
		SilenceScore: rounded(silent, scoreDecimals),
		Failures:     rounded(own.bad, scoreDecimals),
		Attempts:     rounded(own.good+own.bad, scoreDecimals),
	})
}

// peersOf are the endpoints that one is compared with, itself among them.
func (r *Router) peersOf(endpoint *endpointState) []*endpointState {
	if endpoint.Location == r.settings.location {
		return r.caches
	}
	return r.parents
}

// failureShareFor is the part of its attempts that must have failed, beyond what its peers show. The last parent is not judged by
// less for having answered much.
func (r *Router) failureShareFor(endpoint *endpointState, own evidence) float64 {
	isOther := func(peer *endpointState) bool { return peer != endpoint && !peer.ejected }
	if endpoint.Location == r.settings.location || !slices.ContainsFunc(r.parents, isOther) {
		return failureShare
	}
	return failureShare * max(manyAnswersFactor, min(1, math.Sqrt(manyAnswers)/math.Sqrt(own.good+own.bad)))
}

// eject has an endpoint sent nothing but probes.
func (endpoint *endpointState) eject(now int64) {
	endpoint.ejected, endpoint.probing = true, false
	endpoint.probeBackoff = minProbeBackoff
	endpoint.nextProbeAt = now + endpoint.probeBackoff
}

// startProbe tells whether a cache is to be probed now, and counts the probe.
func (r *Router) startProbe(now int64, endpoint *endpointState) bool {
	isDue := endpoint.ejected && !endpoint.probing && now >= endpoint.nextProbeAt
	if !isDue || !r.settings.probes || !r.slowStartAdmits(now, endpoint, r.meanWork(now, 0)) {
		return false
	}
	endpoint.probing = true
	endpoint.charge(now, r.meanWork(now, 0))
	return true
}

// ProbeEnded tells how a probe ended that Tick has given.
func (r *Router) ProbeEnded(now int64, id uint32, good bool, _ []float64) {
	if endpoint := r.endpoints[id]; endpoint != nil {
		endpoint.probing = false
		r.probeFinished(now, endpoint, good)
	}
}

// probeFinished takes an ejected endpoint back, or has it probed again later.
func (r *Router) probeFinished(now int64, endpoint *endpointState, good bool) {
	switch {
	case endpoint.ejected && good:
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
		// Likely restarted, which the list tells too late: it fell over at full load.
		endpoint.slowStartFrom, endpoint.slowStartReportedAt = now, now
	}
	endpoint.ejected, endpoint.wasUnreachable = false, false
	endpoint.successes, endpoint.failures, endpoint.lastResponseAt = 0, 0, now
}

// addScore counts an attempt that has ended.
func (endpoint *endpointState) addScore(now int64, scored attemptScore) {
	endpoint.successes = decay(endpoint.successes, now-endpoint.scoredAt, healthWindow) + scored.success
	endpoint.failures = decay(endpoint.failures, now-endpoint.scoredAt, healthWindow) + scored.failure
	endpoint.scoredAt = now
}

// cacheEvidence sums up the evidence on all caches of the location, if there is an endpoint that it may concern.
func (r *Router) cacheEvidence(now int64) (all evidence) {
	concerned := func(endpoint *endpointState) bool {
		return endpoint.role == cacheRole && !endpoint.ejected && endpoint.mayBeEjected(now)
	}
	if slices.ContainsFunc(r.outliers.watched.endpoints, concerned) {
		all = r.peerEvidence(now, nil)
	}
	return all
}

// mayBeOutlier tells whether a cache may stand out from its peers, by the evidence on all caches. Where all look alike, as in a jam,
// that spares the periodic check to sum up each one's peers.
func (r *Router) mayBeOutlier(now int64, endpoint *endpointState, all evidence) bool {
	own := endpoint.evidence(now, r.slowestResponseTime())
	silent, failed := own.apart(all.minus(own), len(r.caches)-1)
	return silent >= silenceThreshold-evidenceMargin || own.bad >= failureThreshold && failed >= failureShare-evidenceMargin
}

// slowestResponseTime is the longest mean response time of a class, s.
func (r *Router) slowestResponseTime() float64 {
	slowest := minResponseTime
	for _, class := range r.classes {
		slowest = max(slowest, class.responseTime)
	}
	return slowest
}

// evidence is that on an endpoint, given the longest mean response time, s.
func (endpoint *endpointState) evidence(now int64, responseTime float64) evidence {
	good := decay(endpoint.successes, now-endpoint.scoredAt, healthWindow)
	bad := decay(endpoint.failures, now-endpoint.scoredAt, healthWindow)
	silent, longest := 0., 0.
	for _, attempt := range endpoint.inFlight {
		if attempt.cache == endpoint || attempt.kind != hits {
			waited := float64(now-max(attempt.sentAt, endpoint.lastResponseAt)) / 1e9 / responseTime
			silent += min(maxSilencePerAttempt, waited)
			longest = max(longest, waited)
		}
	}
	if longest < minSilence {
		silent = 0 // many in flight for a moment are a crowd, not silence: so it went at every start
	}
	return evidence{silent, good, bad}
}

// mayBeEjected tells, at little cost, whether the evidence on an endpoint could be enough: by the number of attempts that may be
// silent, and by failures as if none had faded.
func (endpoint *endpointState) mayBeEjected(now int64) bool {
	return float64(len(endpoint.inFlight))*maxSilencePerAttempt >= silenceThreshold || endpoint.failures >= failureThreshold ||
		now < endpoint.scoredAt
}

// peerEvidence sums up the evidence on all other caches of the location, or on all other parents; without an endpoint on all
// caches. Endpoints with nothing in flight and no scores would add nothing: they are left out.
func (r *Router) peerEvidence(now int64, endpoint *endpointState) (sum evidence) {
	peers, peerRole := r.caches, cacheRole
	if endpoint != nil && endpoint.Location != r.settings.location {
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

// unwatchHealthy leaves out of the periodic check what it can tell nothing of: endpoints that are not ejected, with nothing in
// flight and too few failures.
func (d *outlierDetector) unwatchHealthy(now int64) {
	d.watched.endpoints = slices.DeleteFunc(d.watched.endpoints, func(endpoint *endpointState) bool {
		return !endpoint.ejected && len(endpoint.inFlight) == 0 && (endpoint.failures < failureThreshold ||
			decay(endpoint.failures, now-endpoint.scoredAt, healthWindow) < failureThreshold)
	})
}

// forgetFaded takes some of the endpoints whose scores have faded to nothing off the list of those with scores.
func (d *outlierDetector) forgetFaded(now int64) {
	for range min(fadedPerTick, len(d.scored.endpoints)) {
		d.nextFaded %= len(d.scored.endpoints)
		endpoint := d.scored.endpoints[d.nextFaded]
		if len(endpoint.inFlight) > 0 || endpoint.hasScore(now) {
			d.nextFaded++
			continue
		}
		if d.scored.remove(endpoint); len(d.scored.endpoints) == 0 {
			return
		}
	}
}

// hasScore tells whether something of an endpoint's successes and failures is left.
func (endpoint *endpointState) hasScore(now int64) bool {
	since := now - endpoint.scoredAt
	if max(endpoint.successes, endpoint.failures) > lastingScore && since < lastingScoreAge {
		return true
	}
	return decay(endpoint.successes, since, healthWindow) > 0 || decay(endpoint.failures, since, healthWindow) > 0
}

// forget drops an endpoint that is gone.
func (d *outlierDetector) forget(endpoint *endpointState) {
	d.scored.remove(endpoint)
	d.watched.remove(endpoint)
}
