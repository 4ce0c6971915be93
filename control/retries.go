package control

const (
	// Retry tokens: a first attempt adds retryTokensPerRequest times its class's weight, relative to the
	// largest, up to maxRetryTokens in all.
	retryTokensPerRequest = 0.15
	maxRetryTokens        = 10.

	// freeAttempts bounds the attempts of a request up to which a retry takes no token if the attempt before
	// shows no sign of an overload.
	freeAttempts = 3

	// hedgeDelayShare is the part of the latency objective after which an attempt may be hedged.
	hedgeDelayShare = 0.6

	// lostResponseThreshold is how many recent answers, decayed, have to be missing for attempts to be hedged.
	lostResponseThreshold = 1.5

	// sourceRejectionThreshold is how many recent fills, decayed, parents have to have rejected for the origin
	// to get requests that are not admitted as fills.
	sourceRejectionThreshold = 1.5

	// maxHealthyFailureRatio is how many failures for each success a healthy endpoint has at most.
	maxHealthyFailureRatio = 0.03

	// retryAfterShare is the part of the latency objective that Retry-After is at least; it is twice that at
	// most.
	retryAfterShare = 0.2

	// A class without weight is allowed minAllowedAttempts, one of the largest weight attemptsByWeight more.
	minAllowedAttempts = 2
	attemptsByWeight   = 2
)

// retryState bounds retries and hedges. Without a bound they would make an overload worse. The bound costs
// requests when one cache of few fails and the others could serve more retries than it allows.
type retryState struct {
	tokens           float64       // of a token bucket; a retry or hedge takes one
	lostResponses    decayingCount // attempts at healthy endpoints that timed out
	sourceRejections decayingCount // fills that parents rejected
}

// deposit adds tokens, up to maxRetryTokens.
func (s *retryState) deposit(tokens float64) { s.tokens = min(s.tokens+tokens, maxRetryTokens) }

// withdraw takes a token, and reports whether there was one.
func (s *retryState) withdraw() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// takeRetryToken reports whether the next attempt of a request may be made as far as tokens go, and takes one
// if it needs one. A first attempt adds tokens instead. A retry after an attempt that shows no sign of an
// overload needs none.
func (r *Router) takeRetryToken(request *Request) bool {
	last := request.lastAttempt()
	switch {
	case last == nil:
		r.retries.deposit(retryTokensPerRequest * request.class.PriorityWeight / r.maxWeight())
		return true
	case last.result == LocalError:
		return true // it put no load on any endpoint
	case len(request.attempts) < freeAttempts && r.showsNoOverload(last):
		return true
	}
	return r.retries.withdraw()
}

// showsNoOverload reports whether an attempt ended in a way that is no sign of an overload. A fill that a
// source rejected is such a sign only if the origin can be overloaded.
func (r *Router) showsNoOverload(attempt *attemptState) bool {
	switch attempt.result {
	case NotCached, SendInterrupted, ConnectionLost:
		return true
	}
	return attempt.sourceRejected && r.settings.OriginUnlimited
}

// mayRetry reports whether a further attempt of a request is allowed, by the number of attempts and the weight
// of its class, whether it can be answered in time, and whether it is safe (rule 2 in docs/design.md).
func (r *Router) mayRetry(now int64, request *Request) bool {
	byWeight := int(attemptsByWeight * request.class.PriorityWeight / r.maxWeight())
	allowed := min(r.settings.MaxAttempts, minAllowedAttempts+byWeight)
	if request.NoNewAttempts || request.attemptCount() >= allowed {
		return false
	}
	return request.canBeAnswered(now) && request.isSafeToRetry(now)
}

// isSafeToRetry reports whether a request takes effect no more than once if it is sent again: because it is
// idempotent, because the server still drops repetitions, or because no attempt has run.
func (request *Request) isSafeToRetry(now int64) bool {
	if request.class.Idempotency == Idempotent {
		return true
	}
	for _, attempt := range request.attempts {
		deduplicated := request.class.Idempotency == Keyed && now < attempt.sentAt+request.class.KeyWindow
		if attempt.mayHaveRun() && !deduplicated {
			return false
		}
	}
	return true
}

// withinKeyScope reports whether a request may be sent to an endpoint as far as the scope of its idempotency
// key goes: attempts that may have run must be in the same scope, or the endpoint does not know of them.
func (request *Request) withinKeyScope(endpoint *endpointState) bool {
	if request.class.Idempotency != Keyed {
		return true
	}
	for _, attempt := range request.attempts {
		if !attempt.mayHaveRun() {
			continue
		}
		switch request.class.KeyScope {
		case ScopeZone:
			if attempt.cache.Location != endpoint.Location {
				return false
			}
		case ScopeCell:
			if attempt.cache.Cell != endpoint.Cell {
				return false
			}
		}
	}
	return true
}

// reconsider decides on a request with attempts in flight. If all of them wait for ejected endpoints, or have
// probably lost their answers, it sends the request to another endpoint: beside them where hedging is allowed,
// else after cancelling them.
func (r *Router) reconsider(now int64, request *Request) Decision {
	var overdue []int // numbers of attempts
	for number, attempt := range request.attempts {
		if attempt.ended {
			continue
		}
		r.ejectIfOutlier(now, attempt.cache)
		if !r.isOverdue(now, request, attempt) {
			return Decision{}
		}
		overdue = append(overdue, number)
	}
	switch {
	case !r.mayRetry(now, request):
	case r.settings.Hedging:
		if cache, source := r.selectEndpoints(now, request); cache != nil && r.takeRetryToken(request) {
			return r.send(now, request, cache, source)
		}
	case request.class.Idempotency == Idempotent && r.settings.CancelAttempts:
		return Decision{Cancel: overdue}
	}
	return Decision{}
}

// isOverdue reports whether an attempt in flight is probably in vain.
func (r *Router) isOverdue(now int64, request *Request, attempt *attemptState) bool {
	return attempt.waitsForEjected(now, attempt.cache) || attempt.waitsForEjected(now, attempt.source) ||
		r.hedgeDue(now, request, attempt)
}

// hedgeDue reports whether an attempt may be hedged because its answer is probably lost: other answers were
// lost recently, and it takes long though its endpoints are healthy.
func (r *Router) hedgeDue(now int64, request *Request, attempt *attemptState) bool {
	if !r.settings.Hedging || r.retries.lostResponses.at(now) <= lostResponseThreshold {
		return false
	}
	if !attempt.cache.isHealthy() || !attempt.source.isHealthy() {
		return false
	}
	return float64(now-attempt.sentAt) > hedgeDelayShare*float64(r.objectiveFor(request, 0))
}

// isHealthy reports whether an endpoint is not ejected and next to nothing failed there recently. Hedges to any
// other would make an overload worse. No endpoint, nil, is healthy.
func (endpoint *endpointState) isHealthy() bool {
	return endpoint == nil || !endpoint.ejected && endpoint.failures < maxHealthyFailureRatio*endpoint.successes
}

// goesToOrigin reports whether a request that its cache lacks is to be filled by the origin, because parents
// reject fills.
func (r *Router) goesToOrigin(now int64, request *Request, cache *endpointState) bool {
	last := request.lastAttempt()
	if last == nil || last.source != nil || request.sourceMissed || cache == nil {
		return false
	}
	if r.origin == nil || !r.settings.OriginUnlimited {
		return false
	}
	return r.retries.sourceRejections.at(now) > sourceRejectionThreshold && !r.admits(now, request, cache)
}

// rejectOrFail ends a request at once: rejected if its client may safely send it again, else failed.
func (r *Router) rejectOrFail(now int64, request *Request) Decision {
	request.ended = true
	request.record.unservedAt = now
	class := request.class
	safeAnywhere := class.Idempotency == Idempotent || class.Idempotency == Keyed && class.KeyScope == ScopeAll
	switch {
	case !safeAnywhere && request.anyMayHaveRun():
		return Decision{Verdict: Fail}
	case !r.settings.RetryAfter:
		return Decision{Verdict: Reject}
	}
	// Soon enough to be in time, and at random, so that clients that are rejected together do not come back
	// together.
	wait := int64(retryAfterShare * (1 + r.random()) * float64(class.LatencyObjective))
	return Decision{Verdict: Reject, RetryAfter: min(wait, r.settings.MaxRetryAfter)}
}
