package control

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// Slow start: an endpoint that started lately bears N requests of mean work within the rule's window, where N is
// multiple × present capacity × window / mean sending time, and falls above overloadLimit(N). All routers that
// share an endpoint keep within that together, without talking; docs/coldstart.md has the arithmetic.

const (
	// largeMultiple is the N from which the platform allows the smaller excess (full fleet's page).
	largeMultiple = 30.
	// breakChance is how many breaks of rule 4 are accepted a day.
	overloadProbability = 1e-3
	// incarnations is how often a window may see the share of one router: a router that restarted has
	// forgotten what it sent.
	incarnations = 2
	// tiltsTried and tiltSteps bound the search for the best form of Chernoff's bound; the optimum for many routers is
	// within one, in units of the inverse mean work.
	tiltRange = 4.
	tiltSteps = 24
	// maxRateGrowth is by how much a rate of tokens may grow before it is worked out again.
	maxRateGrowth = 2.
	// askedLeast is the work, in seconds, that each class counts for before it was asked for.
	minOfferedWork = 1e-3
)

// overloadLimit is the number of requests of mean work within the window above which an endpoint falls. Just under
// largeMultiple it is held to what counts from there on, since the capacity of a recovering endpoint rises.
func overloadLimit(n float64) float64 {
	large := func(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }
	if n >= largeMultiple {
		return large(n)
	}
	return min(n+3*math.Sqrt(n)+3, large(largeMultiple))
}

// slowStartTerms is what the settings say of the slow start of one endpoint.
type slowStartTerms struct {
	share, multiple float64 // of the capacity at the start; of the capacity that it bears
	span, window    int64   // ns; until it is warm; that the rule counts over
	routers         int     // that share the endpoint
}

// slowStartTerms are those of a cache or a parent.
func (r *Router) slowStartTerms(endpoint *endpointState) slowStartTerms {
	if endpoint.Location == r.settings.location {
		return r.settings.cacheSlowStart
	}
	return r.settings.parentSlowStart
}

// bears is the work, in seconds of sending time, that an endpoint of such a warm capacity bears within the window,
// so long after its start.
func (s slowStartTerms) sustainableWork(capacity float64, since int64) float64 {
	warm := s.share + (1-s.share)*float64(max(0, since))/float64(s.span)
	return s.multiple * capacity * warm * float64(s.window) / 1e9
}

// slowStartBudget is what one router keeps of the slow start of one endpoint.
type slowStartBudget struct {
	sent []charge // within the last window

	// A router whose share is below one request collects tokens for single ones.
	tokens    float64
	tokensAt  int64
	tokensFor int64 // the start of the endpoint that they are for

	// Working out the rate of tokens costs more than all else of a decision, and hundreds of endpoints may recover at once: it
	// is not done again while there can't be a whole token.
	retryAt   int64
	retryWork float64 // the lightest work that waits for retryAt
}

// charge is work sent to an endpoint, in seconds of sending time.
type charge struct {
	at     int64
	amount float64
}

// charge counts an attempt, be it a first one, a retry, a hedge, a probe or a fill, by the mean sending time of its class.
func (endpoint *endpointState) charge(now int64, work float64) {
	if endpoint.slowStartFrom != 0 {
		endpoint.slowStart.charge(now, work)
	}
}

// forget drops what was sent up to a time.
func (budget *slowStartBudget) forget(until int64) {
	for len(budget.sent) > 0 && budget.sent[0].at <= until {
		budget.sent = budget.sent[1:]
	}
}

// charge counts work that is sent now.
func (budget *slowStartBudget) charge(now int64, work float64) {
	budget.sent = append(budget.sent, charge{now, work})
	if budget.tokens >= 1 {
		budget.tokens--
	}
}

// work is what was sent within the window.
func (budget *slowStartBudget) work() (sum float64) {
	for _, c := range budget.sent {
		sum += c.amount
	}
	return sum
}

// collect adds tokens at so many a window, and tells whether there is a whole one. It begins at a phase of the
// router's own, so that no two come together by more than chance; a token lapses after a window, so that at most
// two windows' tokens can be spent within one.
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

// postpone notes when a whole token for such work can be there at the earliest, if its rate no more than doubles until then;
// a window later at the latest it is worked out again. An estimate that is too late lets through less, never more.
func (budget *slowStartBudget) postpone(now, window int64, rate, work float64) {
	wait := float64(window)
	if rate > 0 {
		wait *= min(1, (1-budget.tokens)/rate/maxRateGrowth)
	}
	budget.retryAt, budget.retryWork = now+int64(wait), work
}

// isPostponed tells whether there is no whole token for such work yet. Heavier work gets fewer tokens.
func (budget *slowStartBudget) isPostponed(now, startedAt int64, work float64) bool {
	return now < budget.retryAt && budget.tokensFor == startedAt && work >= budget.retryWork
}

// tokenTerms is what the rates of tokens follow from.
type tokenTerms struct {
	limit  float64 // work within the window above which the endpoint falls
	trials float64 // requests that may fall into one window: routers × incarnations
	starts float64 // slow starts of a day, if each listed endpoint starts once
}

// rate is how many tokens for requests of such work each of the routers may collect in a window; usual is the mean
// work of requests that need tokens.
//
// A window sees two windows' tokens at most, where all routers spend in one instant what they have collected and go
// on: the sum of independent trials, each of a request with the chance q(work), with or without restarts. Chernoff's
// bound (A measure of asymptotic efficiency for tests of a hypothesis, 1952) says of any such sum, for any t > 0,
//
//	P(sum > limit) ≤ exp(trials·ln(1 + q·(exp(t·work) - 1)) - t·limit)
//
// and is held to breakChance over the starts of a day. With one t for all work it holds for any mixture of classes
// (Kelly, Notes on effective bandwidths, 1996). The t taken is the one that lets through most of usual work.
func (t tokenTerms) rate(work, usual float64) float64 {
	improbability := math.Log(t.starts / overloadProbability)
	each := func(tilt float64) float64 { return (tilt*t.limit - improbability) / t.trials }
	low := improbability / t.limit
	high := low + tiltRange/usual
	for range tiltSteps {
		tilt := (low + high) / 2
		rises := t.limit/t.trials/-math.Expm1(-each(tilt)) > usual/-math.Expm1(-tilt*usual)
		if rises {
			low = tilt
		} else {
			high = tilt
		}
	}
	return max(0, min(1, math.Expm1(each(low))/math.Expm1(low*work)))
}

// slowStartAdmits is rule 4: it tells whether an attempt of such work may be sent to an endpoint now.
func (r *Router) slowStartAdmits(now int64, endpoint *endpointState, work float64) bool {
	if endpoint == r.origin || endpoint.slowStartFrom == 0 {
		return true
	}
	if endpoint.slowStart.isPostponed(now, endpoint.slowStartFrom, work) {
		return false
	}
	terms := r.slowStartTerms(endpoint)
	endpoint.slowStart.forget(now - terms.window)
	startedAt := r.slowStartSince(endpoint)
	if now >= startedAt+terms.span {
		return true
	}
	mean := r.meanWork(now, 0)
	n := terms.sustainableWork(r.sustainedCapacity(now, endpoint), now-startedAt) / mean
	// Whole shares never break the rule: not if each router restarts within the window, nor if the endpoint is half as
	// large as it seems.
	whole := mean * overloadLimit(n) / incarnations / float64(terms.routers)
	if work <= whole {
		return endpoint.slowStart.work()+work <= whole
	}
	tokens := tokenTerms{
		limit: mean * overloadLimit(n), trials: float64(incarnations * terms.routers),
		starts: float64(len(r.endpoints)),
	}
	if r.lightestSendingTime() <= whole {
		tokens.limit -= whole * float64(terms.routers) // whole shares may be spent beside the tokens
	}
	rate := tokens.rate(work, r.meanWork(now, whole))
	budget := &endpoint.slowStart
	if budget.collect(now, endpoint.slowStartFrom, terms.window, rate, func(now int64) float64 { return r.phase(now, endpoint) }) {
		return true
	}
	budget.postpone(now, terms.window, rate, work)
	r.postponedUntil = max(r.postponedUntil, budget.retryAt)
	return false
}

// phase is a draw from [0, 1) by the router's seed, the endpoint and the time: a router that restarts has another one.
func (r *Router) phase(now int64, endpoint *endpointState) float64 {
	key := binary.LittleEndian.AppendUint64(nil, r.seed)
	key = binary.LittleEndian.AppendUint64(key, uint64(now))
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint32(key, endpoint.ID))
	return uniformDraw(h.Sum64())
}

// uniformDraw turns a hash into a number from [0, 1): the finalizer of MurmurHash3 (Appleby) spreads its last bytes.
func uniformDraw(hash uint64) float64 {
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	hash = (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
	return float64((hash^hash>>33)>>11) / (1 << 53)
}

// meanWork is the mean sending time of what is asked for lately of classes above so much, or of these classes alike
// where nothing is.
func (r *Router) meanWork(now int64, above float64) float64 {
	work, requests := 0., 0.
	for _, class := range r.classes {
		if class.sendingTime > above {
			asked := class.offered.at(now) + minOfferedWork
			work, requests = work+asked, requests+asked/class.sendingTime
		}
	}
	return work / requests
}

// lightestSendingTime is the mean sending time of the lightest class, s.
func (r *Router) lightestSendingTime() float64 {
	least := math.Inf(1)
	for _, class := range r.classes {
		least = min(least, class.sendingTime)
	}
	return least
}
