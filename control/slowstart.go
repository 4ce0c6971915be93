package control

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// Slow start: an endpoint that started recently can take N requests of mean work within a window, where
//
//	N = factor × its capacity at the time × window / mean sending time
//
// and is overloaded above overloadLimit(N). All routers that share the endpoint keep within that together
// without talking to each other; docs/coldstart.md has the arithmetic. Work is in seconds of sending time.

const (
	// largeLimitFrom is the N from which the smaller margin of overloadLimit applies.
	largeLimitFrom = 30.

	// overloadProbability is the accepted probability that an endpoint is overloaded on any one day.
	overloadProbability = 1e-3

	// incarnations is how often one router's share may be used up within a window: a router that has restarted
	// does not remember what it sent before.
	incarnations = 2

	// tiltRange and tiltSteps bound the search for the best t of Chernoff's bound. For many routers the optimum
	// is within tiltRange of the lower end, in units of 1 / mean work.
	tiltRange = 4.
	tiltSteps = 24

	// maxRateGrowth is by how much a rate of tokens may have grown when it is computed again.
	maxRateGrowth = 2.

	// minOfferedWork is the work that each class counts for before any of its requests came, s.
	minOfferedWork = 1e-3
)

// overloadLimit returns the number of requests of mean work within the window above which an endpoint is
// overloaded, where it can take n. Below largeLimitFrom it is bounded by the value there: n grows while the
// endpoint warms up, and the limit must not fall.
func overloadLimit(n float64) float64 {
	large := func(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }
	if n >= largeLimitFrom {
		return large(n)
	}
	return min(n+3*math.Sqrt(n)+3, large(largeLimitFrom))
}

// slowStartTerms are the settings of an endpoint's slow start, with the number of routers that share it.
type slowStartTerms struct {
	SlowStartSettings
	routers int // that share the endpoint
}

// slowStartTerms returns the terms for a cache or a parent.
func (r *Router) slowStartTerms(endpoint *endpointState) slowStartTerms {
	if endpoint.Location == r.settings.Location {
		return slowStartTerms{r.settings.CacheSlowStart, int(r.settings.cacheSharers())}
	}
	return slowStartTerms{r.settings.ParentSlowStart, int(r.settings.parentSharers())}
}

// sustainableWork returns the work, in s, that an endpoint can take within the window at a time after its
// start, in ns. capacity is the one that it has when warm.
func (s slowStartTerms) sustainableWork(capacity float64, elapsed int64) float64 {
	warm := s.Share + (1-s.Share)*float64(max(0, elapsed))/float64(s.WarmUpDuration)
	return s.Factor * capacity * warm * float64(s.Window) / 1e9
}

// slowStartBudget is what one router keeps of the slow start of one endpoint.
type slowStartBudget struct {
	sent []charge // within the last window, in order

	// A router whose share of the work is less than one request collects tokens, each for a single request.
	tokens    float64
	tokensAt  int64 // when tokens was updated
	tokensFor int64 // slowStartFrom of the start that the tokens are for

	// To compute the rate of tokens costs more than all else of a decision, and hundreds of endpoints may be in
	// slow start at once. It is not computed again before retryAt, as long as there cannot be a whole token.
	retryAt   int64
	retryWork float64 // s; the lightest work that waits for retryAt
}

// charge is work that was sent to an endpoint.
type charge struct {
	at     int64
	amount float64 // s
}

// charge counts work that is sent to an endpoint now if that is in slow start: a first attempt, a retry, a
// hedge, a probe or a fill.
func (endpoint *endpointState) charge(now int64, work float64) {
	if endpoint.slowStartFrom != 0 {
		endpoint.slowStart.charge(now, work)
	}
}

// forget drops the charges up to a time.
func (budget *slowStartBudget) forget(until int64) {
	for len(budget.sent) > 0 && budget.sent[0].at <= until {
		budget.sent = budget.sent[1:]
	}
}

// charge counts work that is sent now, and takes a token if there is one.
func (budget *slowStartBudget) charge(now int64, work float64) {
	budget.sent = append(budget.sent, charge{now, work})
	if budget.tokens >= 1 {
		budget.tokens--
	}
}

// work returns the work that was sent within the window, in s.
func (budget *slowStartBudget) work() (sum float64) {
	for _, sent := range budget.sent {
		sum += sent.amount
	}
	return sum
}

// collect adds the tokens that have come since the last call, at a rate of so many a window in ns, and reports
// whether there is a whole one. The first call for a start begins with a random part of a token, phase, so that
// the routers' tokens come at different times. Tokens above 1 + rate lapse, so that within a window at most two
// windows' tokens are spent.
func (budget *slowStartBudget) collect(now, startedAt, window int64, rate float64, phase func(int64) float64) bool {
	if budget.tokensFor != startedAt {
		budget.tokensFor, budget.tokensAt, budget.tokens = startedAt, now, phase(now)
	}
	budget.tokens += rate * float64(max(0, now-budget.tokensAt)) / float64(window)
	budget.tokensAt = now
	if excess := math.Ceil(budget.tokens - 1 - rate); excess > 0 {
		budget.tokens -= excess
	}
	return budget.tokens >= 1
}

// postpone sets when the rate for such work is computed again: when there can be a whole token, if the rate
// does not grow by more than maxRateGrowth until then, but at most a window later. A time that is too late
// admits less, never more.
func (budget *slowStartBudget) postpone(now, window int64, rate, work float64) {
	wait := float64(window)
	if rate > 0 {
		wait *= min(1, (1-budget.tokens)/rate/maxRateGrowth)
	}
	budget.retryAt, budget.retryWork = now+int64(wait), work
}

// isPostponed reports whether there cannot be a whole token for such work yet. Heavier work gets fewer tokens,
// so what holds for retryWork holds for it too.
func (budget *slowStartBudget) isPostponed(now, startedAt int64, work float64) bool {
	return now < budget.retryAt && budget.tokensFor == startedAt && work >= budget.retryWork
}

// tokenTerms are the quantities that the rates of tokens are computed from.
type tokenTerms struct {
	limit  float64 // s; work within the window above which the endpoint is overloaded
	trials float64 // requests that may come within one window, one for each incarnation of a router
	starts float64 // slow starts a day, if each listed endpoint starts once
}

// rate returns how many tokens for requests of such work each router may collect in a window; usual is the mean
// work of requests that need tokens. Both are in s.
//
// A window sees at most two windows' tokens, if all routers spend in one instant what they have collected and
// go on. That is a sum of independent trials, each of which is a request with the probability q(work), with or
// without restarts. Chernoff's bound (A measure of asymptotic efficiency for tests of a hypothesis, 1952) says
// of any such sum, for any t > 0,
//
//	P(sum > limit) ≤ exp(trials·ln(1 + q·(exp(t·work) - 1)) - t·limit)
//
// and the rates keep that at overloadProbability over the starts of a day. With one t for all work it holds for
// any mixture of classes (Kelly, Notes on effective bandwidths, 1996). The t taken is the one that admits most
// of usual work.
func (t tokenTerms) rate(work, usual float64) float64 {
	improbability := math.Log(t.starts / overloadProbability)
	exponentPerTrial := func(tilt float64) float64 { return (tilt*t.limit - improbability) / t.trials }
	low := improbability / t.limit
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

// slowStartAdmits reports whether work, in s, may be sent to an endpoint now without overloading it in its slow
// start (rule 4 in docs/design.md).
func (r *Router) slowStartAdmits(now int64, endpoint *endpointState, work float64) bool {
	if endpoint == r.origin || endpoint.slowStartFrom == 0 {
		return true
	}
	budget := &endpoint.slowStart
	if budget.isPostponed(now, endpoint.slowStartFrom, work) {
		return false
	}
	terms := r.slowStartTerms(endpoint)
	budget.forget(now - terms.Window)
	startedAt := r.slowStartSince(endpoint)
	if now >= startedAt+terms.WarmUpDuration {
		return true
	}
	mean := r.meanWork(now, 0)
	n := terms.sustainableWork(r.sustainedCapacity(now, endpoint), now-startedAt) / mean
	limit := mean * overloadLimit(n)
	// Fixed shares never overload the endpoint, even if each router restarts within the window, or if the
	// endpoint has half the capacity that it seems to have.
	fixedShare := limit / incarnations / float64(terms.routers)
	if work <= fixedShare {
		return budget.work()+work <= fixedShare
	}
	rate := r.tokenRate(now, terms, limit, fixedShare, work)
	phase := func(now int64) float64 { return r.phase(now, endpoint) }
	if budget.collect(now, endpoint.slowStartFrom, terms.Window, rate, phase) {
		return true
	}
	budget.postpone(now, terms.Window, rate, work)
	r.postponedUntil = max(r.postponedUntil, budget.retryAt)
	return false
}

// slowStartSince returns when an endpoint started, by this router's clock. Its start is stamped by another
// machine; if this clock is ahead the endpoint would seem warm too soon. So the stamp counts as later by as
// much as this clock can be ahead, but not as later than its arrival here.
func (r *Router) slowStartSince(endpoint *endpointState) int64 {
	lead := r.purges.maxClockLead
	return min(endpoint.slowStartFrom, endpoint.slowStartReportedAt-lead) + lead
}

// tokenRate returns the rate of tokens for work that exceeds a router's fixed share of an endpoint's limit; all
// in s.
func (r *Router) tokenRate(now int64, terms slowStartTerms, limit, fixedShare, work float64) float64 {
	tokens := tokenTerms{
		limit:  limit,
		trials: float64(incarnations * terms.routers),
		starts: float64(len(r.endpoints)),
	}
	if r.lightestSendingTime() <= fixedShare {
		tokens.limit -= fixedShare * float64(terms.routers) // fixed shares may be used up beside the tokens
	}
	return tokens.rate(work, r.meanWork(now, fixedShare))
}

// phase returns the part of a token from [0, 1) that a router begins with. It follows from the router's seed,
// the endpoint and the time, so that a router that restarts has another one.
func (r *Router) phase(now int64, endpoint *endpointState) float64 {
	key := binary.LittleEndian.AppendUint64(nil, r.seed)
	key = binary.LittleEndian.AppendUint64(key, uint64(now))
	key = binary.LittleEndian.AppendUint32(key, endpoint.ID)
	hash := fnv.New64a()
	hash.Write(key)
	return uniformDraw(hash.Sum64())
}

// uniformDraw maps a hash to a number from [0, 1). The finalizer of MurmurHash3 (Appleby) spreads the hash's
// last bytes.
func uniformDraw(hash uint64) float64 {
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	hash = (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
	return float64((hash^hash>>33)>>11) / (1 << 53)
}

// meanWork returns the mean sending time, in s, of recent requests of the classes whose mean is above a bound.
func (r *Router) meanWork(now int64, above float64) float64 {
	work, requests := 0., 0.
	for _, class := range r.classes {
		if class.sendingTime > above {
			offered := class.offered.at(now) + minOfferedWork
			work += offered
			requests += offered / class.sendingTime
		}
	}
	return work / requests
}

// lightestSendingTime returns the mean sending time of the class that has the shortest, in s.
func (r *Router) lightestSendingTime() float64 {
	lightest := math.Inf(1)
	for _, class := range r.classes {
		lightest = min(lightest, class.sendingTime)
	}
	return lightest
}
