package control

const (
	// The first attempt of each request adds retryTokensPerRequest tokens, times the priority weight of its class
	// divided by the largest weight of a class. The token bucket holds at most maxRetryTokens.
	retryTokensPerRequest = 0.15
	maxRetryTokens        = 10.

	// A retry takes no token while the request has made fewer than freeAttempts attempts, provided that the last
	// attempt shows no sign of an overload.
	freeAttempts = 3

	// hedgeDelayShare is the fraction of its latency objective that an attempt must have taken to be hedged.
	hedgeDelayShare = 0.6

	// lostResponseThreshold is the number of lost responses, decayed over recentWindow, above which attempts may be
	// hedged.
	lostResponseThreshold = 1.5

	// sourceRejectionThreshold is the number of fills rejected by parents, decayed over recentWindow, above which
	// requests that are not admitted as fills go to the origin after a cache-only attempt.
	sourceRejectionThreshold = 1.5

	// maxHealthyFailureRatio is the ratio of an endpoint's failures to its successes below which it counts as healthy.
	maxHealthyFailureRatio = 0.03

	// retryAfterShare is the lower bound of Retry-After as a fraction of the latency objective. The upper bound is
	// twice that.
	retryAfterShare = 0.2

	// A request of a class with weight 0 may have minAllowedAttempts attempts, and a request of the class with the
	// largest weight attemptsByWeight more, but none more than Settings.MaxAttempts.
	minAllowedAttempts = 2
	attemptsByWeight   = 2
)

// retryState limits retries and hedges. Without a limit they would make an overload worse. The disadvantage is that
// if one of a few caches fails, requests are rejected although the other caches could serve more retries.
type retryState struct {
	tokens           float64       // content of the token bucket; a retry or hedge takes one token
	lostResponses    decayingCount // attempts at healthy endpoints that timed out
	sourceRejections decayingCount // fills that parents rejected
}

// deposit adds tokens to the bucket. Those in excess of maxRetryTokens are lost.
func (s *retryState) deposit(tokens float64) { s.tokens = min(s.tokens+tokens, maxRetryTokens) }

// withdraw takes a token and reports whether there was one.
func (s *retryState) withdraw() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// takeRetryToken takes a token if the next attempt of a request needs one, and reports whether the attempt may be
// made. A first attempt needs no token and adds to the tokens. Early retries after an attempt that shows no sign of
// an overload need no token either.
func (r *Router) takeRetryToken(request *Request) bool {
	last := request.lastAttempt()
	switch {
	case last == nil:
		r.retries.deposit(retryTokensPerRequest * request.class.PriorityWeight / r.maxWeight())
		return true
	case last.result == LocalError:
		return true // the last attempt put no load on any endpoint
	case len(request.attempts) < freeAttempts && r.showsNoOverload(last):
		return true
	}
	return r.retries.withdraw()
}

// showsNoOverload reports whether an attempt ended in a way that is no sign of an overload. A fill that the source
// rejected counts as a sign of an overload only if the origin can be overloaded.
func (r *Router) showsNoOverload(attempt *attemptState) bool {
	switch attempt.result {
	case NotCached, SendInterrupted, ConnectionLost:
		return true
	}
	return attempt.sourceRejected && r.settings.OriginUnlimited
}

// mayRetry reports whether a further attempt of a request is allowed. This depends on the number of attempts and the
// weight of its class, on the time left for a response, and on whether a retry is safe (rule 2 in docs/design.md).
func (r *Router) mayRetry(now int64, request *Request) bool {
	byWeight := int(attemptsByWeight * request.class.PriorityWeight / r.maxWeight())
	allowed := min(r.settings.MaxAttempts, minAllowedAttempts+byWeight)
	if request.NoNewAttempts || request.attemptCount() >= allowed {
		return false
	}
	return request.canBeAnswered(now) && request.isSafeToRetry(now)
}

// isSafeToRetry reports whether a request can be sent again without taking effect twice: because it is idempotent,
// because the server still drops repetitions, or because no earlier attempt can have run.
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

// withinKeyScope reports whether the scope of a request's idempotency key allows sending the request to an endpoint.
// All attempts that may have run must be in the same scope as the endpoint, because servers outside that scope do not
// recognize the request as a repetition.
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
			if attempt.location != endpoint.Location {
				return false
			}
		case ScopeCell:
			if attempt.cell != endpoint.Cell {
				return false
			}
		}
	}
	return true
}

// decideInFlight decides what to do with a request that has attempts in flight. If each of them waits for an ejected
// endpoint or has probably lost its response, the request is sent to another endpoint. With hedging this happens
// immediately. Without hedging the attempts in flight are cancelled first, and only if the request is idempotent.
func (r *Router) decideInFlight(now int64, request *Request) Decision {
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

// isOverdue reports whether an attempt in flight will probably not get a response.
func (r *Router) isOverdue(now int64, request *Request, attempt *attemptState) bool {
	return attempt.waitsForEjected(now, attempt.cache) || attempt.waitsForEjected(now, attempt.source) ||
		r.hedgeDue(now, request, attempt)
}

// hedgeDue reports whether an attempt may be hedged because its response is probably lost: other responses were lost
// recently, and the attempt takes long although its endpoints are healthy.
func (r *Router) hedgeDue(now int64, request *Request, attempt *attemptState) bool {
	if !r.settings.Hedging || r.retries.lostResponses.at(now) <= lostResponseThreshold {
		return false
	}
	if !attempt.cache.isHealthy() || !attempt.source.isHealthy() {
		return false
	}
	return float64(now-attempt.sentAt) > hedgeDelayShare*float64(r.objectiveFor(request, 0))
}

// isHealthy reports whether an endpoint is not ejected and has hardly any recent failures. Only attempts at healthy
// endpoints are hedged, because hedges would make an overload worse. A nil endpoint counts as healthy.
func (endpoint *endpointState) isHealthy() bool {
	return endpoint == nil || !endpoint.ejected && endpoint.failures < maxHealthyFailureRatio*endpoint.successes
}

// goesToOrigin reports whether the origin must fill an object instead of a parent. This is so after a cache-only
// attempt, if parents reject fills and the request is not admitted as a fill.
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

// rejectOrFail ends a request: it is rejected if its client can safely send it again, and fails otherwise.
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
	// The delay is short enough for the client's retry to be in time, and random so that clients that are rejected
	// at the same time do not retry at the same time.
	wait := int64(retryAfterShare * (1 + r.random()) * float64(class.LatencyObjective))
	return Decision{Verdict: Reject, RetryAfter: min(wait, r.settings.MaxRetryAfter)}
}
