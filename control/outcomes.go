package control

import "cmp"

// Values of Outcome.Note. After a success the note tells where the response came from, after a rejection which server
// rejected the request.
const (
	noteHit            = 1
	noteFilled         = 2 // filled from a parent
	noteFilledOrigin   = 3 // filled from the origin
	noteSourceRejected = 6 // the source rejected the fill; a note of 7 means that it could not be reached
	noteSourceLacks    = 8 // the source does not have the object
	noteCacheRejected  = 9
)

const (
	// likelyCachedDuration is the time in ns after a response during which its object is likely to be cached.
	likelyCachedDuration = 10 * second

	// noOverloadFactor is how many times its sending time a response may take without counting as late, whatever
	// its latency objective. It could not have come much sooner, so it is no sign of an overload.
	noOverloadFactor = 2
)

// attemptScore is what an attempt adds to the successes and failures of an endpoint.
type attemptScore struct{ success, failure float64 }

// failureScores holds what an attempt adds to the failures of its cache and of its source, by its result. Other
// results add nothing, unless the response was late.
var failureScores = map[Result]struct{ cache, source float64 }{
	Overloaded:     {0.3, 0.5},
	TimedOut:       {0.5, 0.5},
	ServerError:    {0.5, 0},
	Unreachable:    {1, 0},
	ConnectionLost: {1, 0},
}

// assessment is what the outcome of an attempt says about the load and about the health of its cache and its source.
type assessment struct {
	result         Result
	sendingTime    float64 // s; sending time of the response; 0: not known
	inTime         bool    // the attempt took no longer than objectiveFor or noOverloadFactor allow
	early          bool    // the attempt timed out too soon to count against an endpoint; see timedOutEarly
	timedOut       bool    // no response came in at least the class's mean response time
	sourceRejected bool    // see rejectedBySource; false if the cause was already reported with another attempt
	cache          attemptScore
	source         attemptScore
}

// succeededInTime reports whether a successful response came in time.
func (a assessment) succeededInTime() bool { return a.result == Succeeded && a.inTime }

// observe updates the state of the cache, the source, the admission limits and the class from an outcome.
func (r *Router) observe(now int64, request *Request, attempt *attemptState, outcome Outcome) {
	request.sourceMissed = request.sourceMissed || outcome.Result == NotCached && attempt.kind == fills
	assessed := r.assess(request, attempt, outcome)
	r.observeLoadReport(now, attempt.cache, outcome.LoadReport)
	if outcome.Result == Stale {
		r.distrustTimestamps()
	}
	if assessed.timedOut && attempt.cache.isHealthy() && attempt.source.isHealthy() {
		r.retries.lostResponses.add(now)
	}
	if assessed.sourceRejected {
		attempt.sourceRejected = true
		r.retries.sourceRejections.add(now)
	}
	if assessed.succeededInTime() {
		r.countServed(now, request.class, attempt, outcome.Note, assessed)
	}
	r.adjustLimit(attempt, assessed)
	if outcome.Result == Succeeded {
		r.learnFromResponse(now, request, outcome, assessed)
	}
	r.scoreEndpoint(now, attempt.cache, attempt, assessed, assessed.cache)
	if attempt.source != nil {
		r.scoreEndpoint(now, attempt.source, attempt, assessed, assessed.source)
	}
}

// assess derives from an outcome whether the response was late, whether the source rejected the attempt, and how the
// health scores of the cache and the source change.
func (r *Router) assess(request *Request, attempt *attemptState, outcome Outcome) assessment {
	assessed := assessment{
		result:      outcome.Result,
		sendingTime: cmp.Or(r.sendingTimeBySize(request), outcome.SendingTime),
		early:       request.class.timedOutEarly(attempt, outcome),
	}
	objective := r.objectiveFor(request, assessed.sendingTime)
	assessed.inTime = outcome.Elapsed <= max(objective, int64(noOverloadFactor*1e9*assessed.sendingTime))
	assessed.timedOut = outcome.Result == TimedOut && !assessed.early
	assessed.sourceRejected = outcome.rejectedBySource() && !outcome.SharedCause
	assessed.cache, assessed.source = scores(outcome, assessed)
	if attempt.kind == hits {
		assessed.source = attemptScore{} // a likely hit does not involve the source
	}
	return assessed
}

// rejectedBySource reports whether an attempt was rejected because its source rejected the fill, was unreachable or
// does not have the object.
func (outcome Outcome) rejectedBySource() bool {
	return outcome.Result == Overloaded && noteSourceRejected <= outcome.Note && outcome.Note <= noteSourceLacks
}

// scores returns what an outcome adds to the successes and failures of the cache and of the source.
func scores(outcome Outcome, assessed assessment) (cache, source attemptScore) {
	failure := failureScores[outcome.Result]
	switch {
	case outcome.Result == Succeeded || outcome.Result == NotCached:
		if assessed.inTime {
			return attemptScore{success: 1}, attemptScore{success: 1}
		}
		// Late responses are the only evidence against an endpoint that is merely slow.
		return attemptScore{failure: 1}, attemptScore{failure: 1}
	case assessed.early:
		return attemptScore{}, attemptScore{}
	case outcome.SharedCause:
		// A lost connection is one failure, however many attempts were in flight on it.
		return attemptScore{}, attemptScore{}
	case outcome.Result == Overloaded && outcome.Note == noteCacheRejected:
		return attemptScore{failure: failure.cache}, attemptScore{}
	case outcome.rejectedBySource():
		return attemptScore{}, attemptScore{failure: 1}
	}
	return attemptScore{failure: failure.cache}, attemptScore{failure: failure.source}
}

// observeLoadReport adds the number of requests in flight that a cache has reported with a response.
func (r *Router) observeLoadReport(now int64, cache *endpointState, report []float64) {
	if field := r.settings.inFlightField(); field >= 0 && field < len(report) {
		r.capacity.observeReport(now, max(report[field]-1, 0), float64(len(cache.inFlight)-1))
	}
}

// countServed adds the work of a response in time to the work that the caches have served and, if the cache filled the
// object from a parent, to the work of the parents.
func (r *Router) countServed(now int64, class *classState, attempt *attemptState, note int64, assessed assessment) {
	work := cmp.Or(assessed.sendingTime, class.sendingTime)
	r.servedByCache(now, work)
	if attempt.kind != hits && note != noteHit && attempt.source != r.origin {
		r.servedByParent(now, work, attempt.source)
	}
}

// learnFromResponse updates the means of the class and the record of the object from a successful response.
func (r *Router) learnFromResponse(now int64, request *Request, outcome Outcome, assessed assessment) {
	class, record := request.class, request.record
	class.observeResponse(outcome.Elapsed)
	if assessed.sendingTime > 0 || outcome.Note <= noteHit {
		class.observeSendingTime(cmp.Or(assessed.sendingTime, float64(outcome.Elapsed)/1e9))
	}
	record.likelyCachedUntil = now + likelyCachedDuration
	if outcome.Note == noteFilled || outcome.Note == noteFilledOrigin {
		r.updateMaxAge(now, request) // the cache entry is new, so its age counts from now
	}
}

// scoreEndpoint adds an ended attempt to the scores of its cache or its source, and ejects that endpoint if it is an
// outlier.
func (r *Router) scoreEndpoint(
	now int64, endpoint *endpointState, attempt *attemptState, assessed assessment, scored attemptScore,
) {
	r.inFlight.finished(endpoint, attempt)
	endpoint.addScore(now, scored)
	r.outliers.scored.add(endpoint)
	if endpoint.failures >= failureThreshold {
		r.outliers.watched.add(endpoint)
	}
	endpoint.observeReachability(now, attempt, assessed, scored)
	if attempt.probed == endpoint {
		endpoint.probing = false
		if scored != (attemptScore{}) {
			r.probeFinished(now, endpoint, scored.success > scored.failure)
		}
	}
	r.ejectIfOutlier(now, endpoint)
}

// observeReachability updates whether an endpoint was unreachable, and when it last responded, from an ended attempt.
// The endpoint is the cache or the source of that attempt.
func (endpoint *endpointState) observeReachability(
	now int64, attempt *attemptState, assessed assessment, scored attemptScore,
) {
	isCache := endpoint == attempt.cache
	switch {
	case isCache && assessed.result == Unreachable && !assessed.early:
		endpoint.wasUnreachable = true
	case !isCache && assessed.result == Overloaded && scored.failure > 0:
		endpoint.wasUnreachable = true
	}
	if isCache && assessed.result.isFromCache() || attempt.kind != hits && assessed.result == Succeeded {
		endpoint.lastResponseAt = now
	}
}

// isFromCache reports whether a result shows that the cache has responded or has at least closed a connection.
func (result Result) isFromCache() bool {
	switch result {
	case Unreachable, TimedOut, Cancelled, SendInterrupted, LocalError, NotSent:
		return false
	}
	return true
}
