package control

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// Slow start limits the work sent to an endpoint that has started recently. Within a window such an endpoint can take
// N requests of mean work, where
//
//	N = factor × its current capacity × window / mean sending time
//
// and is overloaded above overloadLimit(N). All routers that send to the endpoint together stay within this limit,
// without communicating with each other. docs/coldstart.md derives how. Work is in seconds of sending time.

const (
	// largeLimitFrom is the lowest N for which overloadLimit is N + 2√N + 2 instead of N + 3√N + 3.
	largeLimitFrom = 30.

	// overloadProbability is the accepted probability that at least one endpoint is overloaded in a day.
	overloadProbability = 1e-3

	// incarnationsPerWindow is how many times one router may use up its share of the limit within a window: a router
	// that has restarted does not know what it sent before.
	incarnationsPerWindow = 2

	// tokenParams.rate searches for the best t of the Chernoff bound by tiltSteps bisections of an interval whose
	// length is tiltRange / mean work. For many routers the best t is inside that interval.
	tiltRange = 4.
	tiltSteps = 24

	// maxRateGrowth is the maximum factor by which a token rate is assumed to grow before it is computed again.
	maxRateGrowth = 2.

	// minOfferedWork is added to the offered work of each class, in s, so that classes without requests count too.
	minOfferedWork = 1e-3
)

// overloadLimit returns the number of requests of mean work within the window above which an endpoint that can take
// n is overloaded. Below largeLimitFrom the result is limited to the value at largeLimitFrom: n grows while the
// endpoint warms up, and the limit must not fall meanwhile.
func overloadLimit(n float64) float64 {
	large := func(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }
	if n >= largeLimitFrom {
		return large(n)
	}
	return min(n+3*math.Sqrt(n)+3, large(largeLimitFrom))
}

// slowStartParams are the settings for an endpoint's slow start and the number of routers that share its limit.
type slowStartParams struct {
	SlowStartSettings
	routers int // number of routers that send to the endpoint
}

// slowStartParams returns the parameters of an endpoint: those of caches in the router's location, else those of
// parents.
func (r *Router) slowStartParams(endpoint *endpointState) slowStartParams {
	if endpoint.Location == r.settings.Location {
		return slowStartParams{r.settings.CacheSlowStart, int(r.settings.cacheRouters())}
	}
	return slowStartParams{r.settings.ParentSlowStart, int(r.settings.parentRouters())}
}

// sustainableWork returns the work, in s, that an endpoint can take within one window, elapsed ns after its start.
// capacity is its capacity when warm.
func (s slowStartParams) sustainableWork(capacity float64, elapsed int64) float64 {
	warm := s.Share + (1-s.Share)*float64(max(0, elapsed))/float64(s.WarmUpDuration)
	return s.Factor * capacity * warm * float64(s.Window) / 1e9
}

// slowStartBudget limits the work that one router sends to one endpoint in slow start.
type slowStartBudget struct {
	sent []charge // work that this router sent within the last window, the oldest first

	// A router whose share of the work is less than one request collects tokens. Each admits a single request.
	tokens    float64
	tokensAt  int64 // ns; when tokens was last updated
	tokensFor int64 // the endpoint's slowStartFrom when collecting began; tokens do not outlast a restart

	// Computing the token rate costs more than the rest of a decision, and hundreds of endpoints may be in slow start
	// at the same time. Before retryAt there cannot be a whole token for retryWork, so the rate is not computed.
	retryAt   int64
	retryWork float64 // s of sending time; retryAt applies to this work and to more
}

// charge is the work of one request that was sent to an endpoint, and when it was sent.
type charge struct {
	at     int64
	amount float64 // s of sending time
}

// charge adds work that is sent to an endpoint now, if the endpoint is in slow start. The work can be a first
// attempt, a retry, a hedge, a probe or a fill.
func (endpoint *endpointState) charge(now int64, work float64) {
	if endpoint.slowStartFrom != 0 {
		endpoint.slowStart.charge(now, work)
	}
}

// dropUntil removes the charges that were made at or before a time.
func (budget *slowStartBudget) dropUntil(until int64) {
	for len(budget.sent) > 0 && budget.sent[0].at <= until {
		budget.sent = budget.sent[1:]
	}
}

// charge adds work that is sent now, and takes a token if there is one.
func (budget *slowStartBudget) charge(now int64, work float64) {
	budget.sent = append(budget.sent, charge{now, work})
	if budget.tokens >= 1 {
		budget.tokens--
	}
}

// work returns the sum of the charges that dropUntil has not removed, in s of sending time.
func (budget *slowStartBudget) work() (sum float64) {
	for _, sent := range budget.sent {
		sum += sent.amount
	}
	return sum
}

// collectTokens adds the tokens that have accrued since the last call and reports whether there is a whole token. rate
// is the number of tokens per window, and window is in ns. On the first call after an endpoint's start at startedAt,
// the budget begins with a random fraction of a token, which initialTokens returns, so that the routers get their
// tokens at different times. Whole tokens above 1 + rate are dropped, so that a router spends at most the tokens of two
// windows within one window.
func (budget *slowStartBudget) collectTokens(
	now, startedAt, window int64, rate float64, initialTokens func(int64) float64,
) bool {
	if budget.tokensFor != startedAt {
		budget.tokensFor, budget.tokensAt, budget.tokens = startedAt, now, initialTokens(now)
	}
	budget.tokens += rate * float64(max(0, now-budget.tokensAt)) / float64(window)
	budget.tokensAt = now
	if excess := math.Ceil(budget.tokens - 1 - rate); excess > 0 {
		budget.tokens -= excess
	}
	return budget.tokens >= 1
}

// postpone sets the time before which the token rate for this work is not computed again. This is when there can be a
// whole token if the rate grows by maxRateGrowth, but at most one window later. If the time is too late, less work is
// admitted, never more.
func (budget *slowStartBudget) postpone(now, window int64, rate, work float64) {
	wait := float64(window)
	if rate > 0 {
		wait *= min(1, (1-budget.tokens)/rate/maxRateGrowth)
	}
	budget.retryAt, budget.retryWork = now+int64(wait), work
}

// isPostponed reports whether there cannot be a whole token for this work yet. The token rate falls with the work, so
// retryAt applies to all work of at least retryWork.
func (budget *slowStartBudget) isPostponed(now, startedAt int64, work float64) bool {
	return now < budget.retryAt && budget.tokensFor == startedAt && work >= budget.retryWork
}

// tokenParams are the values that determine how fast a router collects tokens for an endpoint in slow start.
type tokenParams struct {
	limit  float64 // s of sending time within the window above which the endpoint is overloaded
	trials float64 // incarnationsPerWindow times the number of routers; see rate
	starts float64 // slow starts per day, assuming that each listed endpoint starts once a day
}

// rate returns the number of tokens that each router may collect per window for requests of the given work. usual
// is the mean work of requests that need tokens. Both are in s.
//
// In the worst case all routers spend the tokens that they have collected at the same moment and continue to spend
// new ones, so that one window sees the tokens of two windows. The work within that window is a sum of independent
// trials. In each trial one request is sent with the probability q, which is the token rate for its work, whether or
// not routers restart. The Chernoff bound (A measure of asymptotic efficiency for tests of a hypothesis, 1952) states
// for such a sum and any t > 0:
//
//	P(sum > limit) ≤ exp(trials·ln(1 + q·(exp(t·work) - 1)) - t·limit)
//
// The rates keep this bound, summed over the starts of a day, at overloadProbability. With the same t for all work
// it is valid for any mixture of classes (Kelly, Notes on effective bandwidths, 1996). rate uses the t that admits
// the most requests of usual work.
func (t tokenParams) rate(work, usual float64) float64 {
	requiredExponent := math.Log(t.starts / overloadProbability)
	exponentPerTrial := func(tilt float64) float64 { return (tilt*t.limit - requiredExponent) / t.trials }
	low := requiredExponent / t.limit
	high := low + tiltRange/usual
	for range tiltSteps {
		tilt := (low + high) / 2
		rises := t.limit/t.trials/-math.Expm1(-exponentPerTrial(tilt)) > usual/-math.Expm1(-tilt*usual)
		if rises {
			low = tilt
		} else {
			high = tilt
		}
	}
	return max(0, min(1, math.Expm1(exponentPerTrial(low))/math.Expm1(low*work)))
}

// slowStartAdmits reports whether work, in s, may be sent to an endpoint now without overloading it during its slow
// start (rule 4 in docs/design.md).
func (r *Router) slowStartAdmits(now int64, endpoint *endpointState, work float64) bool {
	if endpoint == r.origin || endpoint.slowStartFrom == 0 {
		return true
	}
	budget := &endpoint.slowStart
	if budget.isPostponed(now, endpoint.slowStartFrom, work) {
		return false
	}
	params := r.slowStartParams(endpoint)
	budget.dropUntil(now - params.Window)
	startedAt := r.slowStartSince(endpoint)
	if now >= startedAt+params.WarmUpDuration {
		return true
	}
	mean := r.meanWork(now, 0)
	n := params.sustainableWork(r.sustainedCapacity(now, endpoint), now-startedAt) / mean
	limit := mean * overloadLimit(n)
	// Fixed shares never overload the endpoint, even if each router restarts within the window, or if the endpoint
	// has only half of the assumed capacity.
	fixedShare := limit / incarnationsPerWindow / float64(params.routers)
	if work <= fixedShare {
		return budget.work()+work <= fixedShare
	}
	rate := r.tokenRate(now, params, limit, fixedShare, work)
	initialTokens := func(now int64) float64 { return r.initialTokens(now, endpoint) }
	if budget.collectTokens(now, endpoint.slowStartFrom, params.Window, rate, initialTokens) {
		return true
	}
	budget.postpone(now, params.Window, rate, work)
	r.postponedUntil = max(r.postponedUntil, budget.retryAt)
	return false
}

// slowStartSince returns the start time of an endpoint by this router's clock. The reported start time comes from
// another machine's clock. If this router's clock is ahead of that one, the endpoint would count as warm too early.
// The start therefore counts as later by the maximum that this clock can be ahead, but not as later than the
// arrival of the report.
func (r *Router) slowStartSince(endpoint *endpointState) int64 {
	lead := r.purges.maxClockLead
	return min(endpoint.slowStartFrom, endpoint.slowStartReportedAt-lead) + lead
}

// tokenRate returns the token rate for work that exceeds a router's fixed share of an endpoint's limit. Work, limit
// and share are in s.
func (r *Router) tokenRate(now int64, params slowStartParams, limit, fixedShare, work float64) float64 {
	tokens := tokenParams{
		limit:  limit,
		trials: float64(incarnationsPerWindow * params.routers),
		starts: float64(len(r.endpoints)),
	}
	if r.minMeanSendingTime() <= fixedShare {
		tokens.limit -= fixedShare * float64(params.routers) // lighter classes may use up the fixed shares
	}
	return tokens.rate(work, r.meanWork(now, fixedShare))
}

// initialTokens returns the fraction of a token, from [0, 1), that a router begins with. It depends on the router's
// seed, the endpoint and the time, so that a restarted router begins with another fraction.
func (r *Router) initialTokens(now int64, endpoint *endpointState) float64 {
	key := binary.LittleEndian.AppendUint64(nil, r.seed)
	key = binary.LittleEndian.AppendUint64(key, uint64(now))
	key = binary.LittleEndian.AppendUint32(key, endpoint.ID)
	hash := fnv.New64a()
	hash.Write(key)
	return uniformDraw(hash.Sum64())
}

// uniformDraw maps an FNV hash to a number from [0, 1). It applies the finalizer of MurmurHash3 (Appleby) first,
// because the last bytes of the hashed input have too little effect on the upper bits of an FNV hash.
func uniformDraw(hash uint64) float64 {
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	hash = (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
	return float64((hash^hash>>33)>>11) / (1 << 53)
}

// meanWork returns the mean sending time, in s, of recent requests. It includes only classes whose mean sending time
// is greater than threshold.
func (r *Router) meanWork(now int64, threshold float64) float64 {
	work, requests := 0., 0.
	for _, class := range r.classes {
		if class.sendingTime > threshold {
			offered := class.offered.at(now) + minOfferedWork
			work += offered
			requests += offered / class.sendingTime
		}
	}
	return work / requests
}

// minMeanSendingTime returns the smallest mean sending time of a class, in s.
func (r *Router) minMeanSendingTime() float64 {
	lightest := math.Inf(1)
	for _, class := range r.classes {
		lightest = min(lightest, class.sendingTime)
	}
	return lightest
}
