// Package control decides where objects are served, kept and filled from.
//
// How to call it: New makes one router. Decide says where to send a request (or not yet, or never), AttemptEnded
// what to do once an attempt has ended, RecheckDelay how long to wait before asking Decide again. The facts come
// by UpdateEndpoints, Purge, ClientGone, ProbeEnded and Tick. The interface's types are in types.go, the reasons in
// docs/design.md. A router shares nothing, reads no clock and is not safe for use by two goroutines at once.
package control

import (
	"cmp"
	"container/list"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
)

const (
	second       = int64(1e9)
	forever      = int64(math.MaxInt64 / 2)
	tickInterval = second / 10 // of the one periodic timer
	holdInterval = second / 20 // between two looks at a held retrieval

	exchangeRate     = 2e-2 // the design's c: missed updates that one KB of filling is worth
	defaultSizeKB    = 500. // the design's b where sizes are not told
	rateWindow       = 10 * second
	maxObjects       = 10000
	refreshThreshold = 1.  // λ·age from which a copy is renewed behind
	hotShare         = 0.1 // of this router's requests per cache
	minHotRequests   = 3.  // and so many requests in the window: a router that just started finds all hot

	maxGuessedRetryCount = 10. // requests in the window up to which one soon after a dismissal is taken for its repeat
	reuseThreshold       = 0.2 // earlier requests in the window from which an object is kept at rank 2

	silenceThreshold       = 6.  // evidence of silence from which a member is suspect: e^-6 by chance
	maxSilencePerAttempt   = 2.  // of it by one dispatch
	minSilence             = 1.2 // answer times that one must have waited
	failureThreshold       = 2.5 // failures, lately, from which a member is suspect
	failureShareThreshold  = 0.3 // part of them that has failed, beyond what its peers show
	manyAnswersFactor      = 0.4 // of that part, for a parent that has answered hundreds
	healthWindow           = 4 * second
	minProbeBackoff        = second // until a suspect is tried again; doubles up to trialMost
	maxProbeBackoff        = 8 * second
	retryTokensPerRequest  = 0.15 // further dispatches that each first one of best payoff puts aside
	maxRetryTokens         = 10.
	likelyHeldDuration     = 10 * second // for so long an object served is taken to be kept
	maxAdmissionLimit      = 4.          // in hand for the caches' size
	minAdmissionLimit      = 0.3
	admissionDecrease      = 0.08 // part lost by each late one
	lowValueShare          = 0.7  // least part of the room for what earns less for its bytes, and for repeats
	maxToleranceFactor     = 2.   // most part for what stands more of a jam
	underservedFactor      = 1.5  // part for a class that was let in less than shutShare of what others were
	underservedShare       = 0.7
	initialSamples         = 10. // answers that a class's first means, drawn from its due time, count for
	retryAfterShare        = 0.2 // of the due time after which a dismissed client is to come back, at least
	sharingWindow          = 2 * second
	minSharingEvidence     = 20.  // dispatches in hand beside those answered, over the span, that tell of the sharers
	lostResponseThreshold  = 1.5  // answers gone missing lately from which a second dispatch is sent to what is overdue
	sourceRefusalThreshold = 1.5  // fills denied by parents lately from which the origin is asked for what has no room
	hedgeDelayShare        = 0.6  // of the due time after which it is
	minCapacity            = 0.01 // size of a member that is told as smaller
	maxHealthyFailureRatio = 0.03 // failures for each success up to which a member is well
)

// blame is what an outcome counts against the cache and against the source.
var failureWeights = map[Result][2]float64{Overloaded: {0.3, 0.5}, TimedOut: {0.5, 0.5}, ServerError: {0.5, 0}, Unreachable: {1, 0},
	ConnectionLost: {1, 0}}

// The kinds of rooms, and what is in hand in them for the caches' size at start.
const (
	hits = iota
	fills
	fetches
)

var initialAdmissionLimits = [3]float64{2, 1.2, 0.4}

// roomUp is what an answer in time adds to its room, more while tight: stalls outlasted themselves by 10 s.
var admissionIncrease = map[bool]float64{false: 0.006, true: 0.018}

// New makes a router from its settings; log takes a short line for each change of mode.
func New(now int64, seed uint64, set Settings, log func(string)) (*Router, error) {
	for _, name := range []string{"product.names", "product.due", "product.hardStop", "product.payoff",
		"product.effect", "location", "kinds", "routers"} {
		if set[name] == nil {
			return nil, fmt.Errorf("setting %s is missing", name)
		}
	}
	r := &Router{settings: set, log: log, seed: seed, startedAt: now, location: get(set, "location", ""),
		classByName: map[string]*classState{}, endpoints: map[uint32]*endpointState{}, objects: map[objectKey]*objectRecord{},
		recentObjects: list.New(), evictedObjects: list.New(), requestCountAt: now, purges: map[string]*purgeState{},
		retryTokens: maxRetryTokens, admissionLimits: initialAdmissionLimits}
	for i, name := range get[[]string](set, "product.names", nil) {
		due, none := at(set, "product.due", i, second), int64(0)
		r.classByName[name] = &classState{objective: due, freshDuration: at(set, "product.fresh", i, none),
			keyWindow: at(set, "product.window", i, none), weight: at(set, "product.payoff", i, 1.),
			objectiveStretch: at(set, "product.dueStretch", i, 0.), keyScope: at(set, "product.scope", i, "cell"),
			idempotency: at(set, "product.effect", i, "one-shot"), uncacheable: at(set, "product.neverKept", i, false),
			sendingTime: max(float64(due)/1e9, 1e-3), responseTime: float64(due) / 1e9, samples: initialSamples}
		r.classes = append(r.classes, r.classByName[name])
	}
	return r, nil
}

// Decide says where to send a request that has come, or whose RecheckDelay has passed, or not yet, or never.
func (r *Router) Decide(now int64, request *Request) Decision {
	if request.class == nil {
		if request.class = r.classByName[request.Class]; request.class == nil {
			return Decision{Verdict: Fail}
		}
		request.class.offered.add(now, r.sendingTime(request))
		if request.arrivedAt, request.record = now, r.recordRequest(now, request); !request.ClientRetry {
			r.offered.work = decay(r.offered.work, now-r.offered.lastAt, sharingWindow) + r.sendingTime(request)
			r.offered.lastAt = now
		}
	}
	switch {
	case request.ended:
		return Decision{}
	case request.inFlight > 0:
		return r.reconsider(now, request)
	}
	return r.decideNext(now, request)
}

// AttemptEnded says what to do once an attempt has ended.
func (r *Router) AttemptEnded(now int64, request *Request, outcome Outcome) Decision {
	if outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) || request.attempts[outcome.Attempt].ended {
		return Decision{}
	}
	attempt := request.attempts[outcome.Attempt]
	attempt.ended, attempt.result = true, outcome.Result
	request.inFlight--
	r.observe(now, request, attempt, outcome)
	switch request.ended = request.ended || outcome.RequestEnded; {
	case request.ended:
		return r.cancelOthers(request)
	case request.inFlight > 0:
		return Decision{}
	case outcome.Result != Cancelled && outcome.Result != ConnectionLost || get(r.settings, "dispatches.together", false) ||
		!r.mayRetry(now, request):
		return r.decideNext(now, request)
	case now+2*holdInterval >= request.Deadline:
		return r.rejectOrFail(now, request)
	}
	return Decision{} // what gives it up goes another way than the next would: two were out where one may be
}

// RecheckDelay says how long to wait before asking Decide again; 0 is until an outcome.
func (r *Router) RecheckDelay(_ int64, request *Request) int64 {
	switch {
	case request.ended:
		return 0
	case request.inFlight > 0:
		return tickInterval
	}
	return holdInterval
}

// ClientGone tells that a request's client left, or that it ended otherwise; attempts may still be out.
func (r *Router) ClientGone(_ int64, request *Request) Decision {
	request.ended = true
	return r.cancelOthers(request)
}

// callOff ends what else of a finished retrieval is out.
func (r *Router) cancelOthers(request *Request) (decision Decision) {
	for i, other := range request.attempts {
		if !other.ended && get(r.settings, "cancel", false) {
			decision.Cancel = append(decision.Cancel, i)
		}
	}
	return decision
}

// next picks the next dispatch of a retrieval that has none out, or holds it, or gives it up.
func (r *Router) decideNext(now int64, request *Request) Decision {
	cache, source := r.selectEndpoints(now, request)
	if n := len(request.attempts); n > 0 && request.attempts[n-1].source == nil && r.origin != nil && cache != nil &&
		!request.sourceMissed && r.sourceRefusals.at(now) > sourceRefusalThreshold && !r.admits(now, request, cache) && r.originUnlimited() {
		source, request.sourceMissed = r.origin, true // its home does not hold it, and parents are at their bounds
	}
	if r.cannotConnect() {
		request.exhaustedAt = now
	}
	switch {
	case !r.mayRetry(now, request) || now >= request.sendDeadline():
	case request.exhaustedAt > 0 && now+2*holdInterval >= request.sendDeadline():
		// Too late for a link to come up: it was counted against the cache that it had not.
	case cache != nil && r.admits(now, request, cache):
		if r.takeRetryToken(request) {
			return r.sendTo(now, request, cache, source)
		}
	case cache != nil && r.mayAskCacheOnly(now, request, cache):
		return r.sendTo(now, request, cache, nil)
	case now < max(request.arrivedAt, request.exhaustedAt)+request.class.objective/8 && now+2*holdInterval < request.sendDeadline():
		// What waited longer was late after all; never past the client's own time: one was lost so.
		return Decision{}
	}
	return r.rejectOrFail(now, request)
}

// unwrittenMost is until when a retrieval may stay without a dispatch that came whole to a cache.
func (request *Request) sendDeadline() int64 {
	for _, attempt := range request.attempts {
		if attempt.mayHaveRun() || attempt.result == Overloaded || attempt.result == NotHeld {
			return request.Deadline
		}
	}
	return request.arrivedAt + (request.Deadline-request.arrivedAt)/2
}

// room keeps what is in hand to what comes in time, learned from how much does: likely hits by the cache's
// link, likely fills by the location's. Beyond that all get late together, and the jam outlives its cause.
// What earns least for its sending time goes first, and clients' repeats: most are late already. It covers
// jumps in traffic, crowding, empty caches, a slow source; it hurts where answers are late for a moment only.
func (r *Router) admits(now int64, request *Request, cache *endpointState) bool {
	load, kind := r.load(now, cache), request.attemptKind(now)
	limit := r.admissionLimits[kind]
	switch {
	case kind == fills && request.isUncacheable():
		limit = r.admissionLimits[hits] // runs at the origin, and takes next to nothing of the links for fills
	case kind > 0:
		load = float64(r.inFlightWithinObjective(now)[kind]) * r.effectiveSharers() / r.locationCapacity(now)
	}
	if request.ClientRetry {
		limit *= lowValueShare
	}
	return load < limit*r.admissionShare(now, request)
}

// part is the part of a room that is open to a retrieval, by its class. Kept free of it is what classes worth
// twice as much for their sending time ask for, twice over. A class whose answers stand more of a jam than
// others' may go beyond the room, as it comes and goes fast; so may one that was let in far less than others:
// else the best alone could fill the room, and one class was hardly served.
func (r *Router) admissionShare(now int64, request *Request) float64 {
	class, least := request.class, math.Inf(1)
	var asked, taken, better float64
	for _, other := range r.classes {
		work := other.offered.at(now)
		if asked, taken = asked+work, taken+other.admitted.at(now); other.weight/other.sendingTime > 2*class.weight/r.sendingTime(request) {
			better += work
		}
		if other.samples > initialSamples {
			least = min(least, other.delayTolerance())
		}
	}
	part := 1 - min(1-lowValueShare, 2*better/max(asked, 0.01))
	if class.delayTolerance() > least {
		part *= min(maxToleranceFactor, class.delayTolerance()/least)
	}
	if class.admitted.at(now)*asked < underservedShare*taken*class.offered.at(now) {
		part *= underservedFactor
	}
	return part
}

// stands is how much longer than at full pace an answer of a class may take and still be in time.
func (class *classState) delayTolerance() float64 {
	return class.objectiveStretch + float64(class.objective)/1e9/class.sendingTime
}

// mayHold tells whether a retrieval for which there is no room as a fill is to ask its home for what that
// holds. In a thin slice what is kept is unknown: half of what was taken for fills were hits, and a jam of
// the sources turned all away. Only where any copy that the cache may serve will do, and nothing was asked
// yet.
func (r *Router) mayAskCacheOnly(now int64, request *Request, cache *endpointState) bool {
	age, _ := r.maxAge(now, request)
	return request.attemptKind(now) == fills && len(request.attempts) == 0 && !request.isUncacheable() &&
		(age == 0 || request.class.freshDuration > 0 && age >= request.class.freshDuration) && r.load(now, cache) < r.admissionLimits[hits]*lowValueShare
}

// kind tells which room the next dispatch counts in: that of likely hits, of likely fills, or of fetches from
// the origin, once the source has said that it lacks the object.
func (request *Request) attemptKind(now int64) int {
	switch {
	case request.sourceMissed:
		return fetches
	case request.record.likelyHeldUntil <= now || request.diverted:
		return fills
	}
	return hits
}

// sharing is how many routers send to the location's caches now, by what answers tell is in hand there.
func (r *Router) effectiveSharers() float64 {
	if r.ownInFlight < minSharingEvidence {
		return r.sharers(nil)
	}
	return max(1, min(r.othersInFlight/r.ownInFlight, r.sharers(nil)))
}

// measuredSize is how many answers a cache can send at once at a client's full pace, where weights do not tell it:
// what each cache carried in time at the best, scaled to all who send there, or what is asked for now, up to some
// times that; a young router goes by what is asked for alone. A weight of one for all was taken for caches of one
// answer at a time, and shut the rooms on half of the traffic.
func (r *Router) measuredCapacity(now int64) float64 {
	best, asked := max(1, r.carried[0].best), r.perEndpoint(now, r.offered, sharingWindow, r.effectiveSharers(), r.caches)
	if now >= r.startedAt+rateWindow {
		asked = min(asked, maxAdmissionLimit*best)
	}
	return max(best, asked)
}

// sure is what a member bears for sure when warm. What is measured is the mean of its tier as it goes, not
// the best: that is chance in a thin slice, and sums up over all.
func (r *Router) sustainedCapacity(now int64, endpoint *endpointState) float64 {
	switch {
	case r.capacitiesConfigured():
		return endpoint.Capacity
	case endpoint.Location == r.location:
		return max(1, r.perEndpoint(now, r.carried[0], rateWindow, r.effectiveSharers(), r.caches))
	}
	return max(1, r.perEndpoint(now, r.carried[1], rateWindow, r.sharers(endpoint), r.parents))
}

// told tells whether weights are sizes.
func (r *Router) capacitiesConfigured() bool {
	return !slices.Contains([]string{"off", "live"}, get(r.settings, "units", "nominal"))
}

// carry counts what members of a tier carried in time, and keeps the best that each had over the window.
func (r *Router) addCarried(now int64, c *decayingWork, work, sharers float64, members []*endpointState) {
	if c.add(now, work); now >= r.startedAt+rateWindow {
		c.best = max(c.best, r.perEndpoint(now, *c, rateWindow, sharers, members))
	}
}

// each is the part of one member in what a tier carries, in answers sent at once.
func (r *Router) perEndpoint(now int64, c decayingWork, span int64, sharers float64, members []*endpointState) float64 {
	return r.decayedRate(now, c.work, c.lastAt, span) * sharers / float64(max(1, len(members)))
}

// afford draws a further dispatch from what first ones have put aside, by payoff. Without this bound a jam
// feeds on itself. It hurts where one cache of few fails and more could be saved elsewhere.
func (r *Router) takeRetryToken(request *Request) bool {
	switch n := len(request.attempts); {
	case n > 0 && request.attempts[n-1].result == LocalError: // it took no load to anybody
	case n == 0:
		r.retryTokens = min(r.retryTokens+retryTokensPerRequest*request.class.weight/r.largest(classWeight), maxRetryTokens)
	case n < 3 && (request.sourceRefused() && r.originUnlimited() ||
		slices.Contains([]Result{NotHeld, SendInterrupted, ConnectionLost}, request.attempts[n-1].result)):
		// no sign of a jam; denied, where the origin can fall, is one
	case r.retryTokens < 1:
		return false
	default:
		r.retryTokens--
	}
	return true
}

// rethink sends a retrieval that waits for what has become suspect elsewhere, beside its first dispatch where
// that is allowed, else in its place.
func (r *Router) reconsider(now int64, request *Request) Decision {
	var stuck Decision
	for i, attempt := range request.attempts {
		if attempt.ended {
			continue
		}
		if r.ejectIfOutlier(now, attempt.cache); !attempt.waitsForEjected(now, attempt.cache) && !attempt.waitsForEjected(now, attempt.source) && !r.hedgeDue(now, request, attempt) {
			return Decision{}
		}
		stuck.Cancel = append(stuck.Cancel, i)
	}
	switch {
	case !r.mayRetry(now, request):
	case get(r.settings, "dispatches.together", false):
		if cache, source := r.selectEndpoints(now, request); cache != nil && r.takeRetryToken(request) {
			return r.sendTo(now, request, cache, source)
		}
	case request.class.idempotency == "harmless" && get(r.settings, "cancel", false):
		return stuck
	}
	return Decision{}
}

// overdue tells whether a dispatch may have lost its answer, as some do of late, and a second can be in time.
func (r *Router) hedgeDue(now int64, request *Request, attempt *attemptState) bool {
	return r.lostResponses.at(now) > lostResponseThreshold && get(r.settings, "dispatches.together", false) &&
		attempt.cache.isHealthy() && attempt.source.isHealthy() && float64(now-attempt.sentAt) > hedgeDelayShare*float64(r.objectiveFor(request, 0))
}

// well tells whether next to nothing has failed at a member lately: second dispatches would feed a jam.
func (endpoint *endpointState) isHealthy() bool {
	return endpoint == nil || !endpoint.ejected && endpoint.failures < maxHealthyFailureRatio*endpoint.successes
}

// stuck tells whether a dispatch waits for a suspect. A trial gets its time, else it teaches nothing.
func (attempt *attemptState) waitsForEjected(now int64, endpoint *endpointState) bool {
	return endpoint != nil && endpoint.ejected && (attempt.probed != endpoint || now-attempt.sentAt > minProbeBackoff)
}

// most is the largest of a figure over the products.
func (r *Router) largest(figure func(*classState) float64) float64 {
	best := 0.01
	for _, class := range r.classByName {
		best = max(best, figure(class))
	}
	return best
}

func classWeight(class *classState) float64 { return class.weight }

// repeatable tells whether a further dispatch is allowed, by number and payoff, and does no harm: rule 2.
func (r *Router) mayRetry(now int64, request *Request) bool {
	allowed := min(int(get(r.settings, "dispatches.most", int64(3))), 2+int(2*request.class.weight/r.largest(classWeight)))
	return !request.NoNewAttempts && request.attemptCount() < allowed && request.canBeAnswered(now) && (request.class.idempotency == "harmless" ||
		!slices.ContainsFunc(request.attempts, func(attempt *attemptState) bool {
			return attempt.mayHaveRun() && (request.class.idempotency != "stamped" || now >= attempt.sentAt+request.class.keyWindow)
		}))
}

// attempts is how many of a retrieval's dispatches left this machine, or may yet.
func (request *Request) attemptCount() (n int) {
	for _, attempt := range request.attempts {
		if !attempt.ended || attempt.result != LocalError {
			n++
		}
	}
	return n
}

// starved tells whether this machine can open no connections for now.
func (r *Router) cannotConnect() bool {
	return r.ConnectionsExhausted != nil && r.ConnectionsExhausted()
}

// mayHaveRun tells whether nothing proves that a dispatch did not run.
func (attempt *attemptState) mayHaveRun() bool {
	return !attempt.ended || attempt.result > NotSent && attempt.result != LocalError
}

// sameGroup tells whether a stamped retrieval that may have run can be repeated at m.
func withinKeyScope(request *Request, endpoint *endpointState) bool {
	scope := request.class.keyScope
	return request.class.idempotency != "stamped" || !slices.ContainsFunc(request.attempts, func(attempt *attemptState) bool {
		return attempt.mayHaveRun() && (scope == "zone" && attempt.cache.Location != endpoint.Location ||
			scope == "cell" && attempt.cache.Cell != endpoint.Cell)
	})
}

// giveUp ends a retrieval at once: dismissed where the client may safely try again, else aborted.
func (r *Router) rejectOrFail(now int64, request *Request) Decision {
	request.ended, request.record.gaveUpAt = true, now
	class := request.class
	switch anywhere := class.idempotency == "harmless" || class.idempotency == "stamped" && class.keyScope == "all"; {
	case !anywhere && slices.ContainsFunc(request.attempts, (*attemptState).mayHaveRun):
		return Decision{Verdict: Fail}
	case !get(r.settings, "advice", false):
		return Decision{Verdict: Reject}
	}
	// Soon enough to be in time, and spread: those turned away together must not come back together.
	wait := int64(retryAfterShare * (1 + r.random()) * float64(class.objective))
	return Decision{Verdict: Reject, RetryAfter: min(wait, get(r.settings, "advice.most", int64(0)))}
}

// place picks the cache and the fill source by the object's hash.
func (r *Router) selectEndpoints(now int64, request *Request) (cache, source *endpointState) {
	caches := r.cacheCandidates(now, request)
	request.diverted = false
	// Where the home has no room, another cache with plenty fills the object, if there is room for fills.
	if cache = r.firstUsable(now, request, caches); cache != nil && request.record.likelyHeldUntil > now && !r.admits(now, request, cache) {
		caches.leaveOut(r.admissionLimits[0] / 2)
		if other := r.firstUsable(now, request, caches); other != nil {
			cache, request.diverted = other, true
		}
	}
	return cache, r.firstUsable(now, request, r.sourceCandidates(request))
}

// neverKept tells whether no cache or parent keeps the answer to a retrieval: it runs at the origin.
func (request *Request) isUncacheable() bool { return request.class.uncacheable || request.Write }

// denied tells whether the last dispatch found its source at its bound or dead. The other parents are likely
// no better: one who can't fall over, the origin, is asked.
func (request *Request) sourceRefused() bool {
	n := len(request.attempts)
	return n > 0 && request.attempts[n-1].sourceRefused
}

// originStands tells whether the origin never falls over, whatever it is asked for.
func (r *Router) originUnlimited() bool { return get(r.settings, "origin.fallFactor", 0.) == 0 }

// pick takes the first member within its cold budget, not suspect (or due for a trial) and not tried for this
// retrieval. If there is none, the first within its budget: where all are suspect, it is not they.
func (r *Router) firstUsable(now int64, request *Request, ranked *candidates) (fallback *endpointState) {
	for endpoint := ranked.next(); endpoint != nil; endpoint = ranked.next() {
		if !r.slowStartAdmits(now, endpoint, request.class.sendingTime) || endpoint.Location == r.location && !withinKeyScope(request, endpoint) ||
			r.Reachable != nil && !r.Reachable(endpoint.ID) {
			continue
		}
		r.ejectIfOutlier(now, endpoint)
		tried := slices.ContainsFunc(request.attempts, func(attempt *attemptState) bool {
			// A connection that broke by itself is no reason to fill the object elsewhere.
			broke := slices.Contains([]Result{ConnectionLost, SendInterrupted, ServerError, NotHeld, Stale, LocalError}, attempt.result)
			return !broke && (attempt.cache == endpoint || attempt.source == endpoint)
		})
		trial := now >= endpoint.nextProbeAt && !endpoint.probing && len(request.attempts) == 0 && (endpoint.Location == r.location &&
			!get(r.settings, "probe", false) || endpoint.Location != r.location && request.record.likelyHeldUntil <= now)
		if !tried && (!endpoint.ejected || trial) {
			return endpoint
		}
		if fallback == nil {
			fallback = endpoint
		}
	}
	return fallback
}

func (r *Router) sendTo(now int64, request *Request, cache, source *endpointState) Decision {
	attempt := &attemptState{sentAt: now, cache: cache, source: source, kind: request.attemptKind(now), minIssuedAt: r.minIssuedAt(request)}
	if source == nil {
		attempt.kind = hits
	}
	if attempt.lateAt = now + r.objectiveFor(request, r.knownSendingTime(request)); request.SizeKB == 0 {
		attempt.lateAt += 2 * r.objectiveFor(request, 0) // it may be large, and then it draws on the links still
	}
	out := Attempt{Cache: cache.ID, Timeout: request.Deadline - now,
		SendTimeout: min(request.sendDeadline(), request.Deadline-request.class.minResponseTime()) - now}
	for _, before := range request.attempts {
		if request.class.idempotency == "stamped" && before.mayHaveRun() { // repeats are dropped so long, late links or not
			out.SendTimeout = min(out.SendTimeout, before.sentAt+request.class.keyWindow-now)
		}
	}
	attempt.sendTimeout = out.SendTimeout
	if request.attempts = append(request.attempts, attempt); len(request.attempts) == 1 {
		request.class.admitted.add(now, r.sendingTime(request))
	}
	request.inFlight++
	for _, endpoint := range []*endpointState{cache, source} {
		if endpoint == nil {
			continue
		}
		r.attemptStarted(endpoint, attempt)
		endpoint.charge(now, request.class.sendingTime)
		if endpoint.ejected {
			endpoint.probing, attempt.probed = true, endpoint
		}
	}
	if source == nil {
		out.CacheOnly = true
		return Decision{Verdict: Send, Attempt: out}
	}
	out.Source = source.ID
	if !request.isUncacheable() {
		// While fills are tight, and fetches come in time no better, a parent is first asked for what it holds.
		out.ParentOnlyIfCached = attempt.kind == fills && r.tight[fills] && r.admissionLimits[fetches] < r.admissionLimits[fills] && source != r.origin
		out.JoinFill = get(r.settings, "joins", false)
		out.MaxAge, out.RefreshBehind = r.maxAge(now, request)
		// Ranks shield reused objects from those asked for once; a third kept what had been hot for good.
		if out.CachePriority = 1; r.reused(request.record) {
			out.CachePriority = 2
		}
	}
	return Decision{Verdict: Send, Attempt: out}
}

// age gives the oldest copy that will do, and whether an ageing one is renewed behind.
func (r *Router) maxAge(now int64, request *Request) (age int64, renew bool) {
	record := request.record
	if record.maxAge == 0 || now >= record.maxAgeUntil {
		r.computeMaxAge(now, request)
	}
	renew = r.locationRate(now, record)*float64(record.maxAge)/1e9 >= refreshThreshold
	if age = record.maxAge; age == forever {
		age = 0
	}
	return r.limitAgeByPurges(now, request, age), renew
}

// setAge sets an object's accepted age by the design's root and holds it.
func (r *Router) computeMaxAge(now int64, request *Request) {
	record, class := request.record, request.class
	kb := cmp.Or(request.SizeKB, defaultSizeKB)
	if len(r.parents) == 0 {
		kb *= 2
	}
	// One over the fresh time at start, as if one purge had been told over that time.
	span, purges := float64(now-record.firstSeenAt)/1e9, record.purgeCount
	if class.freshDuration > 0 {
		span, purges = span+float64(class.freshDuration)/1e9, purges+1
	} else {
		span = max(span, float64(rateWindow)/1e9)
	}
	record.maxAge = forever
	if mu, lambda := purges/span, r.locationRate(now, record); mu > 0 && lambda > 0 {
		if root := math.Sqrt(2 * exchangeRate * kb / (mu * lambda)); root < 1e9 {
			record.maxAge = max(int64(root*1e9), second/1000)
		}
	}
	if class.freshDuration > 0 {
		record.maxAge = min(record.maxAge, class.freshDuration)
	}
	record.maxAgeUntil = now + record.maxAge
}

// reused tells whether an object was asked for before. Requests before this one are scaled to the location:
// in a thin slice none came twice, and a scan swept the caches.
func (r *Router) reused(record *objectRecord) bool {
	return (record.requestCount-1)*r.sharers(nil) >= reuseThreshold
}

// scaled is the design's λ: the own rate times the routers of the location.
func (r *Router) locationRate(now int64, record *objectRecord) float64 {
	return r.requestRate(now, record.requestCount, record.countedAt) * r.sharers(nil)
}

// rate turns a decayed count into requests a second; a young router has counted for less than the window.
func (r *Router) requestRate(now int64, count float64, counted int64) float64 {
	return r.decayedRate(now, count, counted, rateWindow)
}

func (r *Router) decayedRate(now int64, count float64, counted, over int64) float64 {
	span := float64(max(min(now-r.startedAt, over), second)) / 1e9
	return decay(count, now-counted, over) / span
}

func decay(x float64, since, over int64) float64 { return x * math.Exp(-float64(since)/float64(over)) }

// note counts a retrieval in the rate table. Repeats don't count, marked or guessed by what was given up on
// here a moment ago: they would shrink ages while parents strain.
func (r *Router) recordRequest(now int64, request *Request) *objectRecord {
	key := objectKey{request.Object, request.Part}
	record := r.objects[key]
	switch {
	case record == nil:
		record = &objectRecord{key: key, group: request.Group, firstSeenAt: now, countedAt: now}
		r.objects[key] = record
	case record.evicted:
		r.evictedObjects.Remove(record.element)
	default:
		r.recentObjects.Remove(record.element)
	}
	record.evicted, record.element = false, r.recentObjects.PushFront(record)
	if r.recentObjects.Len() > maxObjects {
		old := r.recentObjects.Remove(r.recentObjects.Back()).(*objectRecord)
		old.evicted, old.maxAge, old.element = true, 0, r.evictedObjects.PushFront(old)
	}
	if r.evictedObjects.Len() > maxObjects {
		delete(r.objects, r.evictedObjects.Remove(r.evictedObjects.Back()).(*objectRecord).key)
	}
	if request.ClientRetry = request.ClientRetry || now < record.gaveUpAt+second && record.requestCount < maxGuessedRetryCount; !request.ClientRetry {
		record.requestCount, record.countedAt = decay(record.requestCount, now-record.countedAt, rateWindow)+1, now
		r.requestCount, r.requestCountAt = decay(r.requestCount, now-r.requestCountAt, rateWindow)+1, now
	}
	return record
}

func groupName(group int64) string { return fmt.Sprint("g", group) }

// Purge tells of a purge of one object with all its parts or, with no object, of a group.
func (r *Router) Purge(now int64, object string, group int64, when int64) {
	name := "o" + object
	if object == "" {
		name = groupName(group)
	}
	r.purges[name] = r.purges[name].with(now, when)
	for at := r.recentObjects.Front(); at != nil; at = at.Next() {
		if record := at.Value.(*objectRecord); record.key.object == object || object == "" && record.group == group {
			record.purgeCount++
			record.maxAgeUntil, record.likelyHeldUntil = now, 0
		}
	}
}

// Tick does the periodic work and says when to come again.
func (r *Router) Tick(now int64) (probe []uint32, again int64) {
	for name, purge := range r.purges {
		if now > purge.told+get(r.settings, "purge.takes", 10*second)+second/2 {
			delete(r.purges, name) // all caches and parents have dropped older copies by themselves
		}
	}
	all := r.cacheEvidence(now)
	for _, endpoint := range r.watched.endpoints {
		if endpoint.role != cacheRole {
			continue
		}
		if endpoint.mayBeEjected(now) && r.mayBeOutlier(now, endpoint, all) {
			r.ejectIfOutlier(now, endpoint)
		}
		if endpoint.ejected && !endpoint.probing && now >= endpoint.nextProbeAt && get(r.settings, "probe", false) && r.slowStartAdmits(now, endpoint, r.meanWork(now, 0)) {
			endpoint.probing = true
			endpoint.charge(now, r.meanWork(now, 0))
			probe = append(probe, endpoint.ID)
		}
	}
	r.unwatchTrusted(now)
	r.forgetFaded(now)
	return probe, tickInterval
}

// ProbeEnded tells how a probe ended.
func (r *Router) ProbeEnded(now int64, id uint32, good bool, _ []float64) {
	if endpoint := r.endpoints[id]; endpoint != nil {
		endpoint.probing = false
		r.probeFinished(now, endpoint, good)
	}
}

func (r *Router) probeFinished(now int64, endpoint *endpointState, good bool) {
	switch {
	case endpoint.ejected && good:
		if endpoint.wasUnreachable {
			endpoint.slowStartFrom, endpoint.slowStartToldAt = now, now // likely restarted, which the list tells too late: it fell over at full load
		}
		endpoint.ejected, endpoint.wasUnreachable, endpoint.successes, endpoint.failures, endpoint.lastResponseAt = false, false, 0, 0, now
		r.log(fmt.Sprintf("member %d trusted again", endpoint.ID))
	case endpoint.ejected:
		endpoint.probeBackoff = min(2*endpoint.probeBackoff, maxProbeBackoff)
		endpoint.nextProbeAt = now + endpoint.probeBackoff
	}
}

// judge draws from an outcome what it tells of the cache, the source, the room and the product.
func (r *Router) observe(now int64, request *Request, attempt *attemptState, outcome Outcome) {
	class, kind, own := request.class, attempt.kind, cmp.Or(r.knownSendingTime(request), outcome.SendingTime)
	request.sourceMissed = request.sourceMissed || outcome.Result == NotHeld && kind == fills
	// What took under twice its sending time shows no jam, in time or not: it could hardly be.
	inTime := outcome.Elapsed <= max(r.objectiveFor(request, own), int64(2e9*own))
	if i := slices.Index(get(r.settings, "report.fields", []string(nil)), "inHand"); i >= 0 && i < len(outcome.LoadReport) {
		r.othersInFlight = decay(r.othersInFlight, now-r.inFlightReportedAt, sharingWindow) + max(outcome.LoadReport[i]-1, 0)
		r.ownInFlight = decay(r.ownInFlight, now-r.inFlightReportedAt, sharingWindow) + float64(len(attempt.cache.inFlight)-1)
		r.inFlightReportedAt = now
	}
	if outcome.Result == Stale {
		r.distrustStamps()
	}
	hurried := class.timedOutEarly(attempt, outcome)
	late := outcome.Result == TimedOut && !hurried
	if late && attempt.cache.isHealthy() && attempt.source.isHealthy() {
		r.lostResponses.add(now)
	}
	good, bad := [2]float64{}, failureWeights[outcome.Result] // of the cache, of the source
	switch {
	case outcome.Result == Succeeded || outcome.Result == NotHeld:
		if good = [2]float64{1, 1}; !inTime {
			good, bad = bad, good // a cache or source that is only slow showed in no other way
		}
	case hurried:
		bad = [2]float64{}
	case outcome.SharedCause: // a connection that broke is one failure: counted by all that was open on it, it made a
		bad = [2]float64{} // healthy member suspect
	case outcome.Result == Overloaded && outcome.Note == 9: // notes: 9 names the cache, 6 to 8 the source
		bad[1] = 0
	case outcome.Result == Overloaded && outcome.Note >= 6 && outcome.Note <= 8:
		bad, attempt.sourceRefused = [2]float64{0, 1}, true
		r.sourceRefusals.add(now)
	}
	if kind == hits {
		good[1], bad[1] = 0, 0 // likely a hit: it tells nothing of the source
	}
	if work := cmp.Or(own, class.sendingTime); outcome.Result == Succeeded && inTime {
		r.addCarried(now, &r.carried[0], work, r.effectiveSharers(), r.caches)
		if kind > hits && outcome.Note != 1 && attempt.source != r.origin {
			r.addCarried(now, &r.carried[1], work, r.sharers(attempt.source), r.parents)
		}
	}
	switch {
	case outcome.Result == Succeeded && inTime:
		r.admissionLimits[kind] = min(r.admissionLimits[kind]+admissionIncrease[r.tight[kind]], maxAdmissionLimit)
	case (outcome.Result == Succeeded || late) && !attempt.cache.ejected && (attempt.source == nil || !attempt.source.ejected):
		r.admissionLimits[kind] = max(r.admissionLimits[kind]*(1-admissionDecrease), minAdmissionLimit)
	}
	room, first := r.admissionLimits[kind], initialAdmissionLimits[kind]
	if r.tight[kind] && room > first || !r.tight[kind] && room < first/2 {
		if r.tight[kind] = !r.tight[kind]; kind == fills {
			r.admissionLimits[fetches] = initialAdmissionLimits[fetches]
		}
		name := []string{"hits", "fills", "fetches"}[kind]
		r.log(fmt.Sprintf("room for %s tight: %v, at %.2f", name, r.tight[kind], room))
	}
	if outcome.Result == Succeeded {
		class.observeResponse(outcome.Elapsed)
		class.samples = min(class.samples+1, 200)
		class.responseTime += (float64(outcome.Elapsed)/1e9 - class.responseTime) / class.samples
		if own > 0 || outcome.Note <= 1 {
			class.sendingTime += (cmp.Or(own, float64(outcome.Elapsed)/1e9) - class.sendingTime) / class.samples
		}
		request.record.likelyHeldUntil = now + likelyHeldDuration
		if record := request.record; outcome.Note == 2 || outcome.Note == 3 {
			record.maxAge = 0
			r.computeMaxAge(now, request)
		}
	}
	for i, endpoint := range []*endpointState{attempt.cache, attempt.source} {
		if endpoint == nil {
			continue
		}
		r.attemptFinished(endpoint, attempt)
		endpoint.successes = decay(endpoint.successes, now-endpoint.scoredAt, healthWindow) + good[i]
		endpoint.failures = decay(endpoint.failures, now-endpoint.scoredAt, healthWindow) + bad[i]
		endpoint.scoredAt = now
		r.scored.add(endpoint)
		if endpoint.failures >= failureThreshold {
			r.watched.add(endpoint)
		}
		endpoint.wasUnreachable = endpoint.wasUnreachable || endpoint == attempt.cache && outcome.Result == Unreachable && !hurried || endpoint == attempt.source && outcome.Result == Overloaded && bad[1] > 0
		silent := slices.Contains([]Result{Unreachable, TimedOut, Cancelled, SendInterrupted, LocalError, NotSent}, outcome.Result)
		if endpoint == attempt.cache && !silent || kind > hits && outcome.Result == Succeeded {
			endpoint.lastResponseAt = now
		}
		if attempt.probed == endpoint {
			endpoint.probing = false
			if good[i]+bad[i] > 0 {
				r.probeFinished(now, endpoint, good[i] > bad[i])
			}
		}
		r.ejectIfOutlier(now, endpoint)
	}
}

// check makes a member suspect by its failures lately or by its silence, whatever lies behind them. What its
// peers show then is no evidence: in a jam all looked suspect in turn and objects lost their homes. Half a
// tier may fail at once and still stand out; where most fail, further dispatches must find the rest.
func (r *Router) ejectIfOutlier(now int64, endpoint *endpointState) {
	if endpoint.ejected || endpoint == r.origin || !endpoint.mayBeEjected(now) {
		return
	}
	silent, good, bad := r.evidenceOn(now, endpoint)
	if silent < silenceThreshold && bad < failureThreshold {
		return
	}
	peers, sure := r.caches, failureShareThreshold
	if endpoint.Location != r.location { // late with a quarter of hundreds a parent stayed in; the last one is to
		if peers = r.parents; slices.ContainsFunc(peers, func(p *endpointState) bool { return p != endpoint && !p.ejected }) {
			sure *= max(manyAnswersFactor, min(1, 4/math.Sqrt(good+bad)))
		}
	}
	allSilent, allGood, allBad := r.peerEvidence(now, endpoint)
	silent -= allSilent / float64(max(1, len(peers)-1))
	apart := bad/(good+bad) - allBad/max(allGood+allBad, 1)
	if silent < silenceThreshold && (bad < failureThreshold || apart < sure) {
		return
	}
	endpoint.ejected, endpoint.probeBackoff, endpoint.probing = true, minProbeBackoff, false
	endpoint.nextProbeAt = now + endpoint.probeBackoff
	r.log(fmt.Sprintf("member %d suspect: silence %.1f, failures %.1f of %.1f", endpoint.ID, silent, bad, good+bad))
}

// sharers is how many routers share a member: those of the location for a cache, all for another.
func (r *Router) sharers(endpoint *endpointState) float64 {
	if endpoint == nil || endpoint.Location == r.location {
		here := slices.Index(get[[]string](r.settings, "locations", nil), r.location)
		return float64(max(1, at(r.settings, "location.routers", here, int64(1))))
	}
	return float64(max(1, get(r.settings, "routers", int64(1))))
}

// sizedTime is a retrieval's own sending time in seconds where sizes are told, else 0.
func (r *Router) knownSendingTime(request *Request) float64 {
	return request.SizeKB / max(get(r.settings, "clientKBPerS", 1.), 1)
}

// dueIn is how long after its sending an answer is in time, by its own sending time or the product's mean.
func (r *Router) objectiveFor(request *Request, own float64) int64 {
	return request.class.objective + int64(request.class.objectiveStretch*1e9*cmp.Or(own, request.class.sendingTime))
}

// sendingTime is what a retrieval costs a member's link.
func (r *Router) sendingTime(request *Request) float64 {
	return max(request.class.sendingTime, r.knownSendingTime(request))
}

// chance is a draw from [0, 1) of the instance's own.
func (r *Router) random() float64 {
	r.draws++
	b := binary.LittleEndian.AppendUint64(nil, r.seed)
	return float64(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(b, r.draws))) / (1 << 32)
}
