package control

import "cmp"

// The notes of an outcome. Of an answer they say where it came from, of a rejection who rejected.
const (
	noteHit            = 1
	noteFilled         = 2
	noteFilledOrigin   = 3 // by way of the origin
	noteSourceRejected = 6 // first of three notes that name the source
	noteSourceLacks    = 8 // last of them
	noteCacheRejected  = 9
)

const (
	// likelyCachedDuration is for how long after an answer its object is taken to be cached; ns.
	likelyCachedDuration = 10 * second

	// noOverloadFactor is how many times its sending time an answer may take without being taken for late,
	// whatever its objective: it could not have come much sooner, so that it is no sign of an overload.
	noOverloadFactor = 2
)

// attemptScore is what an attempt adds to an endpoint's successes and failures.
type attemptScore struct{ success, failure float64 }

// failureScores are what a result adds to the failures of the cache and of the source.
var failureScores = map[Result]struct{ cache, source float64 }{
	Overloaded:     {0.3, 0.5},
	TimedOut:       {0.5, 0.5},
	ServerError:    {0.5, 0},
	Unreachable:    {1, 0},
	ConnectionLost: {1, 0},
}

// finding is what follows from an outcome.
type finding struct {
	result         Result
	sendingTime    float64 // s; the request's own, 0 if it is not known
	inTime         bool    // it took no longer than its objective allows
	early          bool    // its time was up too soon for the outcome to mean anything
	timedOut       bool    // no answer came in a time that would have been enough
	sourceRejected bool    // Outcome.rejectedBySource, for a cause of its own
	cache          attemptScore
	source         attemptScore
}

// succeededInTime reports whether there was an answer in time.
func (f finding) succeededInTime() bool { return f.result == Succeeded && f.inTime }

// observe learns from an outcome about the cache, the source, the admission limits and the class.
func (r *Router) observe(now int64, request *Request, attempt *attemptState, outcome Outcome) {
	request.sourceMissed = request.sourceMissed || outcome.Result == NotCached && attempt.kind == fills
	found := r.interpret(request, attempt, outcome)
	r.observeLoadReport(now, attempt.cache, outcome.LoadReport)
	if outcome.Result == Stale {
		r.distrustTimestamps()
	}
	if found.timedOut && attempt.cache.isHealthy() && attempt.source.isHealthy() {
		r.retries.lostResponses.add(now)
	}
	if found.sourceRejected {
		attempt.sourceRejected = true
		r.retries.sourceRejections.add(now)
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

// interpret returns what follows from an outcome.
func (r *Router) interpret(request *Request, attempt *attemptState, outcome Outcome) finding {
	found := finding{
		result:      outcome.Result,
		sendingTime: cmp.Or(r.sendingTimeBySize(request), outcome.SendingTime),
		early:       request.class.timedOutEarly(attempt, outcome),
	}
	objective := r.objectiveFor(request, found.sendingTime)
	found.inTime = outcome.Elapsed <= max(objective, int64(noOverloadFactor*1e9*found.sendingTime))
	found.timedOut = outcome.Result == TimedOut && !found.early
	found.sourceRejected = outcome.rejectedBySource() && !outcome.SharedCause
	found.cache, found.source = scores(outcome, found)
	if attempt.kind == hits {
		found.source = attemptScore{} // a likely hit did not involve the source
	}
	return found
}

// rejectedBySource reports whether an attempt was rejected because its source rejected the fill, was dead or
// lacks the object.
func (outcome Outcome) rejectedBySource() bool {
	return outcome.Result == Overloaded && noteSourceRejected <= outcome.Note && outcome.Note <= noteSourceLacks
}

// scores returns what an outcome adds to the successes and failures of the cache and of the source.
func scores(outcome Outcome, found finding) (cache, source attemptScore) {
	failure := failureScores[outcome.Result]
	switch {
	case outcome.Result == Succeeded || outcome.Result == NotCached:
		if found.inTime {
			return attemptScore{success: 1}, attemptScore{success: 1}
		}
		// Late answers are the only evidence on an endpoint that is merely slow.
		return attemptScore{failure: 1}, attemptScore{failure: 1}
	case found.early:
		return attemptScore{}, attemptScore{}
	case outcome.SharedCause:
		// A connection that broke is one failure, however many attempts were in flight on it.
		return attemptScore{}, attemptScore{}
	case outcome.Result == Overloaded && outcome.Note == noteCacheRejected:
		return attemptScore{failure: failure.cache}, attemptScore{}
	case outcome.rejectedBySource():
		return attemptScore{}, attemptScore{failure: 1}
	}
	return attemptScore{failure: failure.cache}, attemptScore{failure: failure.source}
}

// observeLoadReport learns from the number of requests in flight that a cache reports with an answer.
func (r *Router) observeLoadReport(now int64, cache *endpointState, report []float64) {
	if field := r.settings.inFlightField(); field >= 0 && field < len(report) {
		r.capacity.observeReport(now, max(report[field]-1, 0), float64(len(cache.inFlight)-1))
	}
}

// countServed counts an answer in time for the measured capacities.
func (r *Router) countServed(now int64, class *classState, attempt *attemptState, note int64, found finding) {
	work := cmp.Or(found.sendingTime, class.sendingTime)
	r.servedByCache(now, work)
	if attempt.kind != hits && note != noteHit && attempt.source != r.origin {
		r.servedByParent(now, work, attempt.source)
	}
}

// learnFromAnswer learns from a successful answer about its class and its object.
func (r *Router) learnFromAnswer(now int64, request *Request, outcome Outcome, found finding) {
	class, record := request.class, request.record
	class.observeResponse(outcome.Elapsed)
	if found.sendingTime > 0 || outcome.Note <= noteHit {
		class.observeSendingTime(cmp.Or(found.sendingTime, float64(outcome.Elapsed)/1e9))
	}
	record.likelyCachedUntil = now + likelyCachedDuration
	if outcome.Note == noteFilled || outcome.Note == noteFilledOrigin {
		r.updateMaxAge(now, request) // the entry is new, and its age starts from now
	}
}

// scoreEndpoint counts an attempt that has ended for its cache or its source, and ejects that endpoint if it is
// an outlier.
func (r *Router) scoreEndpoint(
	now int64, endpoint *endpointState, attempt *attemptState, found finding, scored attemptScore,
) {
	r.inFlight.finished(endpoint, attempt)
	endpoint.addScore(now, scored)
	r.outliers.scored.add(endpoint)
	if endpoint.failures >= failureThreshold {
		r.outliers.watched.add(endpoint)
	}
	endpoint.observeReachability(now, attempt, found, scored)
	if attempt.probed == endpoint {
		endpoint.probing = false
		if scored != (attemptScore{}) {
			r.probeFinished(now, endpoint, scored.success > scored.failure)
		}
	}
	r.ejectIfOutlier(now, endpoint)
}

// observeReachability learns from an attempt that has ended whether its cache or its source could be reached,
// and when that endpoint responded last.
func (endpoint *endpointState) observeReachability(
	now int64, attempt *attemptState, found finding, scored attemptScore,
) {
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
}

// isFromCache reports whether a result shows that the cache itself has answered, or at least closed a
// connection.
func (result Result) isFromCache() bool {
	switch result {
	case Unreachable, TimedOut, Cancelled, SendInterrupted, LocalError, NotSent:
		return false
	}
	return true
}
