package control

const (
	retryTokensPerRequest  = 0.15 // that each first attempt of the highest weight adds
	maxRetryTokens         = 10.
	freeAttempts           = 3    // attempts of a request under which a further one takes no token if the last showed no jam
	hedgeDelayShare        = 0.6  // of the objective after which an attempt may be hedged
	lostResponseThreshold  = 1.5  // answers lost lately from which attempts are hedged
	sourceRejectionThreshold = 1.5  // fills refused by parents lately from which the origin is asked for what is not admitted
	maxHealthyFailureRatio = 0.03 // failures for each success up to which an endpoint is healthy
	retryAfterShare        = 0.2  // of the objective after which a rejected client is to come back, at least
	minAllowedAttempts   = 2    // of a class without weight; one of the highest weight has attemptsByWeight more
	attemptsByWeight       = 2
)

// retryState bounds further attempts. Without this bound a jam feeds on itself. It hurts where one cache of few fails and more
// could be saved elsewhere.
type retryState struct {
	tokens         float64       // of a token bucket: each further attempt takes one
	lostResponses  decayingCount // of healthy endpoints
	sourceRejections decayingCount
}

// deposit adds to the tokens.
func (s *retryState) deposit(tokens float64) { s.tokens = min(s.tokens+tokens, maxRetryTokens) }

// withdraw takes a token, if there is one.
func (s *retryState) withdraw() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// takeRetryToken pays for the next attempt of a request: the first adds to the tokens by its class's weight, a further one takes
// one, unless it shows no sign of a jam.
func (r *Router) takeRetryToken(request *Request) bool {
	last := request.lastAttempt()
	switch {
	case last == nil:
		r.retries.deposit(retryTokensPerRequest * request.class.weight / r.maxWeight())
		return true
	case last.result == LocalError:
		return true // it took no load to anybody
	case len(request.attempts) < freeAttempts && r.showsNoJam(last):
		return true
	}
	return r.retries.withdraw()
}

// showsNoJam tells whether an attempt ended in a way that is no sign of a jam. A refused fill is one where the origin can fall.
func (r *Router) showsNoJam(attempt *attemptState) bool {
	switch attempt.result {
	case NotHeld, SendInterrupted, ConnectionLost:
		return true
	}
	return attempt.sourceRejected && r.settings.originUnlimited
}

// mayRetry tells whether a further attempt is allowed, by number and weight, and does no harm: rule 2.
func (r *Router) mayRetry(now int64, request *Request) bool {
	allowed := min(r.settings.maxAttempts, minAllowedAttempts+int(attemptsByWeight*request.class.weight/r.maxWeight()))
	return !request.NoNewAttempts && request.attemptCount() < allowed && request.canBeAnswered(now) && request.isSafeToRetry(now)
}

// isSafeToRetry tells whether a request takes effect once, however often it is sent: since it is idempotent, since its server drops
// repetitions still, or since no attempt has run.
func (request *Request) isSafeToRetry(now int64) bool {
	if request.class.idempotency == idempotent {
		return true
	}
	for _, attempt := range request.attempts {
		deduplicated := request.class.idempotency == keyed && now < attempt.sentAt+request.class.keyWindow
		if attempt.mayHaveRun() && !deduplicated {
			return false
		}
	}
	return true
}

// withinKeyScope tells whether a keyed request that may have run can be repeated at an endpoint.
func (request *Request) withinKeyScope(endpoint *endpointState) bool {
	if request.class.idempotency != keyed {
		return true
	}
	for _, attempt := range request.attempts {
		if !attempt.mayHaveRun() {
			continue
		}
		switch request.class.keyScope {
		case scopeZone:
			if attempt.cache.Location != endpoint.Location {
				return false
			}
		case scopeCell:
			if attempt.cache.Cell != endpoint.Cell {
				return false
			}
		}
	}
	return true
}

// reconsider sends a request elsewhere that waits for what has been ejected, or hedges it: beside its first attempt where that
// is allowed, else in its place.
func (r *Router) reconsider(now int64, request *Request) Decision {
	var waiting Decision
	for i, attempt := range request.attempts {
		if attempt.ended {
			continue
		}
		r.ejectIfOutlier(now, attempt.cache)
		if !attempt.waitsForEjected(now, attempt.cache) && !attempt.waitsForEjected(now, attempt.source) && !r.hedgeDue(now, request, attempt) {
			return Decision{}
		}
		waiting.Cancel = append(waiting.Cancel, i)
	}
	switch {
	case !r.mayRetry(now, request):
	case r.settings.hedging:
		if cache, source := r.selectEndpoints(now, request); cache != nil && r.takeRetryToken(request) {
			return r.send(now, request, cache, source)
		}
	case request.class.idempotency == idempotent && r.settings.cancel:
		return waiting
	}
	return Decision{}
}

// hedgeDue tells whether an attempt may have lost its answer, as some do of late, and a second can be in time.
func (r *Router) hedgeDue(now int64, request *Request, attempt *attemptState) bool {
	return r.retries.lostResponses.at(now) > lostResponseThreshold && r.settings.hedging &&
		attempt.cache.isHealthy() && attempt.source.isHealthy() &&
		float64(now-attempt.sentAt) > hedgeDelayShare*float64(r.objectiveFor(request, 0))
}

// isHealthy tells whether next to nothing has failed at an endpoint lately: hedges would feed a jam. None is healthy.
func (endpoint *endpointState) isHealthy() bool {
	return endpoint == nil || !endpoint.ejected && endpoint.failures < maxHealthyFailureRatio*endpoint.successes
}

// goesToOrigin tells whether a request that its first cache does not hold goes to the origin, since parents are at their limits.
func (r *Router) goesToOrigin(now int64, request *Request, cache *endpointState) bool {
	last := request.lastAttempt()
	return last != nil && last.source == nil && r.origin != nil && cache != nil && !request.sourceMissed &&
		r.retries.sourceRejections.at(now) > sourceRejectionThreshold && !r.admits(now, request, cache) && r.settings.originUnlimited
}

// rejectOrFail ends a request at once: rejected where the client may safely try again, else failed.
func (r *Router) rejectOrFail(now int64, request *Request) Decision {
	request.ended, request.record.unservedAt = true, now
	class := request.class
	safeAnywhere := class.idempotency == idempotent || class.idempotency == keyed && class.keyScope == scopeAll
	switch {
	case !safeAnywhere && request.anyMayHaveRun():
		return Decision{Verdict: Fail}
	case !r.settings.retryAfter:
		return Decision{Verdict: Reject}
	}
	// Soon enough to be in time, and spread: those turned away together must not come back together.
	wait := int64(retryAfterShare * (1 + r.random()) * float64(class.objective))
	return Decision{Verdict: Reject, RetryAfter: min(wait, r.settings.maxRetryAfter)}
}
