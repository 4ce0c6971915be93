package control

import (
	"cmp"
	"slices"
)

// The notes of an outcome: of an answer, where it came from; of a refusal, who refused.
const (
	noteHit           = 1
	noteFilled        = 2
	noteFilledOrigin  = 3 // by way of the origin
	noteSourceRefused = 6 // this and the next two name the source, noteCacheRefused the cache
	noteSourceLacks   = 8
	noteCacheRefused  = 9
)

const (
	likelyCachedDuration = 10 * second // ns; for so long an object served is taken to be held

	// noJamFactor is how many times its sending time an answer may take and show no jam, in time or not: it could hardly be.
	noJamFactor = 2

	reportInFlight = "inHand" // the field of a load report with the requests in flight
)

// attemptScore is how an attempt counts for an endpoint.
type attemptScore struct{ success, failure float64 }

// failureScores are what a result counts against the cache and against the source.
var failureScores = map[Result]struct{ cache, source float64 }{
	Overloaded:     {0.3, 0.5},
	TimedOut:       {0.5, 0.5},
	ServerError:    {0.5, 0},
	Unreachable:    {1, 0},
	ConnectionLost: {1, 0},
}

// finding is what an outcome tells.
type finding struct {
	result      Result
	sendingTime float64 // s; the request's own, 0 where that isn't known
	inTime      bool    // it took no longer than it may
	early       bool    // its time was up too soon to tell anything
	timedOut    bool    // no answer came in a time that would have been enough
	refused     bool    // its source was at its limit, or dead
	cache       attemptScore
	source      attemptScore
}

// succeededInTime tells whether there was an answer, and in time.
func (f finding) succeededInTime() bool { return f.result == Succeeded && f.inTime }

// observe draws from an outcome what it tells of the cache, the source, the limits and the class.
func (r *Router) observe(now int64, request *Request, attempt *attemptState, outcome Outcome) {
	request.sourceMissed = request.sourceMissed || outcome.Result == NotHeld && attempt.kind == fills
	found := r.interpret(request, attempt, outcome)
	r.observeLoadReport(now, attempt.cache, outcome.LoadReport)
	if outcome.Result == Stale {
		r.distrustTimestamps()
	}
	if found.timedOut && attempt.cache.isHealthy() && attempt.source.isHealthy() {
		r.retries.lostResponses.add(now)
	}
	if found.refused {
		attempt.sourceRefused = true
		r.retries.sourceRefusals.add(now)
	}
	if found.succeededInTime() {
		r.countServed(now, request.class, attempt, outcome.Note, found)
	}
	r.adjustLimit(attempt, found)
	if outcome.Result == Succeeded {
		r.learnFromAnswer(now, request, outcome, found)
	}
	r.scoreEndpoint(now, attempt.cache, attempt, found, found.cache)
	if attempt.source != nil {
		r.scoreEndpoint(now, attempt.source, attempt, found, found.source)
	}
}

// interpret gives what an outcome tells.
func (r *Router) interpret(request *Request, attempt *attemptState, outcome Outcome) finding {
	found := finding{
		result:      outcome.Result,
		sendingTime: cmp.Or(r.sendingTimeBySize(request), outcome.SendingTime),
		early:       request.class.timedOutEarly(attempt, outcome),
	}
	found.inTime = outcome.Elapsed <= max(r.objectiveFor(request, found.sendingTime), int64(noJamFactor*1e9*found.sendingTime))
	found.timedOut = outcome.Result == TimedOut && !found.early
	found.cache, found.source = scores(outcome, found)
	found.refused = outcome.Result == Overloaded && !outcome.SharedCause && noteSourceRefused <= outcome.Note && outcome.Note <= noteSourceLacks
	if attempt.kind == hits {
		found.source = attemptScore{} // likely a hit: it tells nothing of the source
	}
	return found
}

// scores are what an outcome counts for the cache and for the source.
func scores(outcome Outcome, found finding) (cache, source attemptScore) {
	failure := failureScores[outcome.Result]
	switch {
	case outcome.Result == Succeeded || outcome.Result == NotHeld:
		if found.inTime {
			return attemptScore{success: 1}, attemptScore{success: 1}
		}
		return attemptScore{failure: 1}, attemptScore{failure: 1} // a cache or source that is only slow showed in no other way
	case found.early:
		return attemptScore{}, attemptScore{}
	case outcome.SharedCause:
		// A connection that broke is one failure: counted by all that was open on it, it had a healthy endpoint ejected.
		return attemptScore{}, attemptScore{}
	case outcome.Result == Overloaded && outcome.Note == noteCacheRefused:
		return attemptScore{failure: failure.cache}, attemptScore{}
	case outcome.Result == Overloaded && noteSourceRefused <= outcome.Note && outcome.Note <= noteSourceLacks:
		return attemptScore{}, attemptScore{failure: 1}
	}
	return attemptScore{failure: failure.cache}, attemptScore{failure: failure.source}
}

// observeLoadReport notes what an answer tells of the requests in flight at its cache.
func (r *Router) observeLoadReport(now int64, cache *endpointState, report []float64) {
	if i := r.settings.inFlightField; i >= 0 && i < len(report) {
		r.capacity.observeReport(now, max(report[i]-1, 0), float64(len(cache.inFlight)-1))
	}
}

// countServed counts an answer in time for the capacities.
func (r *Router) countServed(now int64, class *classState, attempt *attemptState, note int64, found finding) {
	work := cmp.Or(found.sendingTime, class.sendingTime)
	r.servedByCache(now, work)
	if attempt.kind != hits && note != noteHit && attempt.source != r.origin {
		r.servedByParent(now, work, attempt.source)
	}
}

// learnFromAnswer draws from a good answer what it tells of its class and its object.
func (r *Router) learnFromAnswer(now int64, request *Request, outcome Outcome, found finding) {
	class, record := request.class, request.record
	class.observeResponse(outcome.Elapsed)
	if found.sendingTime > 0 || outcome.Note <= noteHit {
		class.observeSendingTime(cmp.Or(found.sendingTime, float64(outcome.Elapsed)/1e9))
	}
	record.likelyCachedUntil = now + likelyCachedDuration
	if outcome.Note == noteFilled || outcome.Note == noteFilledOrigin {
		r.updateMaxAge(now, request) // it is held anew from now on
	}
}

// scoreEndpoint counts an attempt that has ended for its cache or its source, and ejects that if it is an outlier.
func (r *Router) scoreEndpoint(now int64, endpoint *endpointState, attempt *attemptState, found finding, scored attemptScore) {
	r.inFlight.finished(endpoint, attempt)
	endpoint.addScore(now, scored)
	r.outliers.scored.add(endpoint)
	if endpoint.failures >= failureThreshold {
		r.outliers.watched.add(endpoint)
	}
	isCache := endpoint == attempt.cache
	switch {
	case isCache && found.result == Unreachable && !found.early:
		endpoint.wasUnreachable = true
	case !isCache && found.result == Overloaded && scored.failure > 0:
		endpoint.wasUnreachable = true
	}
	if isCache && found.result.isFromCache() || attempt.kind != hits && found.result == Succeeded {
		endpoint.lastResponseAt = now
	}
	if attempt.probed == endpoint {
		endpoint.probing = false
		if scored != (attemptScore{}) {
			r.probeFinished(now, endpoint, scored.success > scored.failure)
		}
	}
	r.ejectIfOutlier(now, endpoint)
}

// isFromCache tells whether a result came from the cache itself.
func (result Result) isFromCache() bool {
	return !slices.Contains([]Result{Unreachable, TimedOut, Cancelled, SendInterrupted, LocalError, NotSent}, result)
}
