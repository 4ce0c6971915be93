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
func (r *Router) Decide(now int64, t *Request) Decision {
	if t.class == nil {
		if t.class = r.classByName[t.Class]; t.class == nil {
			return Decision{Verdict: Fail}
		}
		t.class.offered.add(now, r.sendingTime(t))
		if t.arrivedAt, t.record = now, r.recordRequest(now, t); !t.ClientRetry {
			r.offered.work = decay(r.offered.work, now-r.offered.lastAt, sharingWindow) + r.sendingTime(t)
			r.offered.lastAt = now
		}
	}
	switch {
	case t.ended:
		return Decision{}
	case t.inFlight > 0:
		return r.reconsider(now, t)
	}
	return r.decideNext(now, t)
}

// AttemptEnded says what to do once an attempt has ended.
func (r *Router) AttemptEnded(now int64, t *Request, o Outcome) Decision {
	if o.Attempt < 0 || o.Attempt >= len(t.attempts) || t.attempts[o.Attempt].ended {
		return Decision{}
	}
	d := t.attempts[o.Attempt]
	d.ended, d.result = true, o.Result
	t.inFlight--
	r.observe(now, t, d, o)
	switch t.ended = t.ended || o.RequestEnded; {
	case t.ended:
		return r.cancelOthers(t)
	case t.inFlight > 0:
		return Decision{}
	case o.Result != Cancelled && o.Result != ConnectionLost || get(r.settings, "dispatches.together", false) ||
		!r.mayRetry(now, t):
		return r.decideNext(now, t)
	case now+2*holdInterval >= t.Deadline:
		return r.rejectOrFail(now, t)
	}
	return Decision{} // what gives it up goes another way than the next would: two were out where one may be
}

// RecheckDelay says how long to wait before asking Decide again; 0 is until an outcome.
func (r *Router) RecheckDelay(_ int64, t *Request) int64 {
	switch {
	case t.ended:
		return 0
	case t.inFlight > 0:
		return tickInterval
	}
	return holdInterval
}

// ClientGone tells that a request's client left, or that it ended otherwise; attempts may still be out.
func (r *Router) ClientGone(_ int64, t *Request) Decision { t.ended = true; return r.cancelOthers(t) }

// callOff ends what else of a finished retrieval is out.
func (r *Router) cancelOthers(t *Request) (d Decision) {
	for i, other := range t.attempts {
		if !other.ended && get(r.settings, "cancel", false) {
			d.Cancel = append(d.Cancel, i)
		}
	}
	return d
}

// next picks the next dispatch of a retrieval that has none out, or holds it, or gives it up.
func (r *Router) decideNext(now int64, t *Request) Decision {
	cache, source := r.selectEndpoints(now, t)
	if n := len(t.attempts); n > 0 && t.attempts[n-1].source == nil && r.origin != nil && cache != nil &&
		!t.sourceMissed && r.sourceRefusals.at(now) > sourceRefusalThreshold && !r.admits(now, t, cache) && r.originUnlimited() {
		source, t.sourceMissed = r.origin, true // its home does not hold it, and parents are at their bounds
	}
	if r.cannotConnect() {
		t.exhaustedAt = now
	}
	switch {
	case !r.mayRetry(now, t) || now >= t.sendDeadline():
	case t.exhaustedAt > 0 && now+2*holdInterval >= t.sendDeadline():
		// Too late for a link to come up: it was counted against the cache that it had not.
	case cache != nil && r.admits(now, t, cache):
		if r.takeRetryToken(t) {
			return r.sendTo(now, t, cache, source)
		}
	case cache != nil && r.mayAskCacheOnly(now, t, cache):
		return r.sendTo(now, t, cache, nil)
	case now < max(t.arrivedAt, t.exhaustedAt)+t.class.objective/8 && now+2*holdInterval < t.sendDeadline():
		// What waited longer was late after all; never past the client's own time: one was lost so.
		return Decision{}
	}
	return r.rejectOrFail(now, t)
}

// unwrittenMost is until when a retrieval may stay without a dispatch that came whole to a cache.
func (t *Request) sendDeadline() int64 {
	for _, d := range t.attempts {
		if d.mayHaveRun() || d.result == Overloaded || d.result == NotHeld {
			return t.Deadline
		}
	}
	return t.arrivedAt + (t.Deadline-t.arrivedAt)/2
}

// room keeps what is in hand to what comes in time, learned from how much does: likely hits by the cache's
// link, likely fills by the location's. Beyond that all get late together, and the jam outlives its cause.
// What earns least for its sending time goes first, and clients' repeats: most are late already. It covers
// jumps in traffic, crowding, empty caches, a slow source; it hurts where answers are late for a moment only.
func (r *Router) admits(now int64, t *Request, cache *endpointState) bool {
	load, kind := r.load(now, cache), t.attemptKind(now)
	limit := r.admissionLimits[kind]
	switch {
	case kind == fills && t.isUncacheable():
		limit = r.admissionLimits[hits] // runs at the origin, and takes next to nothing of the links for fills
	case kind > 0:
		load = float64(r.inFlightWithinObjective(now)[kind]) * r.effectiveSharers() / r.locationCapacity(now)
	}
	if t.ClientRetry {
		limit *= lowValueShare
	}
	return load < limit*r.admissionShare(now, t)
}

// part is the part of a room that is open to a retrieval, by its class. Kept free of it is what classes worth
// twice as much for their sending time ask for, twice over. A class whose answers stand more of a jam than
// others' may go beyond the room, as it comes and goes fast; so may one that was let in far less than others:
// else the best alone could fill the room, and one class was hardly served.
func (r *Router) admissionShare(now int64, t *Request) float64 {
	p, least := t.class, math.Inf(1)
	var asked, taken, better float64
	for _, q := range r.classes {
		work := q.offered.at(now)
		if asked, taken = asked+work, taken+q.admitted.at(now); q.weight/q.sendingTime > 2*p.weight/r.sendingTime(t) {
			better += work
		}
		if q.samples > initialSamples {
			least = min(least, q.delayTolerance())
		}
	}
	part := 1 - min(1-lowValueShare, 2*better/max(asked, 0.01))
	if p.delayTolerance() > least {
		part *= min(maxToleranceFactor, p.delayTolerance()/least)
	}
	if p.admitted.at(now)*asked < underservedShare*taken*p.offered.at(now) {
		part *= underservedFactor
	}
	return part
}

// stands is how much longer than at full pace an answer of a class may take and still be in time.
func (p *classState) delayTolerance() float64 {
	return p.objectiveStretch + float64(p.objective)/1e9/p.sendingTime
}

// mayHold tells whether a retrieval for which there is no room as a fill is to ask its home for what that
// holds. In a thin slice what is kept is unknown: half of what was taken for fills were hits, and a jam of
// the sources turned all away. Only where any copy that the cache may serve will do, and nothing was asked
// yet.
func (r *Router) mayAskCacheOnly(now int64, t *Request, cache *endpointState) bool {
	age, _ := r.maxAge(now, t)
	return t.attemptKind(now) == fills && len(t.attempts) == 0 && !t.isUncacheable() &&
		(age == 0 || t.class.freshDuration > 0 && age >= t.class.freshDuration) && r.load(now, cache) < r.admissionLimits[hits]*lowValueShare
}

// kind tells which room the next dispatch counts in: that of likely hits, of likely fills, or of fetches from
// the origin, once the source has said that it lacks the object.
func (t *Request) attemptKind(now int64) int {
	switch {
	case t.sourceMissed:
		return fetches
	case t.record.likelyHeldUntil <= now || t.diverted:
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
func (r *Router) sustainedCapacity(now int64, m *endpointState) float64 {
	switch {
	case r.capacitiesConfigured():
		return m.Capacity
	case m.Location == r.location:
		return max(1, r.perEndpoint(now, r.carried[0], rateWindow, r.effectiveSharers(), r.caches))
	}
	return max(1, r.perEndpoint(now, r.carried[1], rateWindow, r.sharers(m), r.parents))
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
func (r *Router) takeRetryToken(t *Request) bool {
	switch n := len(t.attempts); {
	case n > 0 && t.attempts[n-1].result == LocalError: // it took no load to anybody
	case n == 0:
		r.retryTokens = min(r.retryTokens+retryTokensPerRequest*t.class.weight/r.largest(classWeight), maxRetryTokens)
	case n < 3 && (t.sourceRefused() && r.originUnlimited() ||
		slices.Contains([]Result{NotHeld, SendInterrupted, ConnectionLost}, t.attempts[n-1].result)):
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
func (r *Router) reconsider(now int64, t *Request) Decision {
	var stuck Decision
	for i, d := range t.attempts {
		if d.ended {
			continue
		}
		if r.ejectIfOutlier(now, d.cache); !d.waitsForEjected(now, d.cache) && !d.waitsForEjected(now, d.source) && !r.hedgeDue(now, t, d) {
			return Decision{}
		}
		stuck.Cancel = append(stuck.Cancel, i)
	}
	switch {
	case !r.mayRetry(now, t):
	case get(r.settings, "dispatches.together", false):
		if cache, source := r.selectEndpoints(now, t); cache != nil && r.takeRetryToken(t) {
			return r.sendTo(now, t, cache, source)
		}
	case t.class.idempotency == "harmless" && get(r.settings, "cancel", false):
		return stuck
	}
	return Decision{}
}

// overdue tells whether a dispatch may have lost its answer, as some do of late, and a second can be in time.
func (r *Router) hedgeDue(now int64, t *Request, d *attemptState) bool {
	return r.lostResponses.at(now) > lostResponseThreshold && get(r.settings, "dispatches.together", false) &&
		d.cache.isHealthy() && d.source.isHealthy() && float64(now-d.sentAt) > hedgeDelayShare*float64(r.objectiveFor(t, 0))
}

// well tells whether next to nothing has failed at a member lately: second dispatches would feed a jam.
func (m *endpointState) isHealthy() bool {
	return m == nil || !m.ejected && m.failures < maxHealthyFailureRatio*m.successes
}

// stuck tells whether a dispatch waits for a suspect. A trial gets its time, else it teaches nothing.
func (d *attemptState) waitsForEjected(now int64, m *endpointState) bool {
	return m != nil && m.ejected && (d.probed != m || now-d.sentAt > minProbeBackoff)
}

// most is the largest of a figure over the products.
func (r *Router) largest(figure func(*classState) float64) float64 {
	best := 0.01
	for _, p := range r.classByName {
		best = max(best, figure(p))
	}
	return best
}

func classWeight(p *classState) float64 { return p.weight }

// repeatable tells whether a further dispatch is allowed, by number and payoff, and does no harm: rule 2.
func (r *Router) mayRetry(now int64, t *Request) bool {
	allowed := min(int(get(r.settings, "dispatches.most", int64(3))), 2+int(2*t.class.weight/r.largest(classWeight)))
	return !t.NoNewAttempts && t.attemptCount() < allowed && t.canBeAnswered(now) && (t.class.idempotency == "harmless" ||
		!slices.ContainsFunc(t.attempts, func(d *attemptState) bool {
			return d.mayHaveRun() && (t.class.idempotency != "stamped" || now >= d.sentAt+t.class.keyWindow)
		}))
}

// attempts is how many of a retrieval's dispatches left this machine, or may yet.
func (t *Request) attemptCount() (n int) {
	for _, d := range t.attempts {
		if !d.ended || d.result != LocalError {
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
func (d *attemptState) mayHaveRun() bool {
	return !d.ended || d.result > NotSent && d.result != LocalError
}

// sameGroup tells whether a stamped retrieval that may have run can be repeated at m.
func withinKeyScope(t *Request, m *endpointState) bool {
	scope := t.class.keyScope
	return t.class.idempotency != "stamped" || !slices.ContainsFunc(t.attempts, func(d *attemptState) bool {
		return d.mayHaveRun() && (scope == "zone" && d.cache.Location != m.Location ||
			scope == "cell" && d.cache.Cell != m.Cell)
	})
}

// giveUp ends a retrieval at once: dismissed where the client may safely try again, else aborted.
func (r *Router) rejectOrFail(now int64, t *Request) Decision {
	t.ended, t.record.gaveUpAt = true, now
	p := t.class
	switch anywhere := p.idempotency == "harmless" || p.idempotency == "stamped" && p.keyScope == "all"; {
	case !anywhere && slices.ContainsFunc(t.attempts, (*attemptState).mayHaveRun):
		return Decision{Verdict: Fail}
	case !get(r.settings, "advice", false):
		return Decision{Verdict: Reject}
	}
	// Soon enough to be in time, and spread: those turned away together must not come back together.
	wait := int64(retryAfterShare * (1 + r.random()) * float64(p.objective))
	return Decision{Verdict: Reject, RetryAfter: min(wait, get(r.settings, "advice.most", int64(0)))}
}

// place picks the cache and the fill source by the object's hash.
func (r *Router) selectEndpoints(now int64, t *Request) (cache, source *endpointState) {
	caches := r.cacheCandidates(now, t)
	t.diverted = false
	// Where the home has no room, another cache with plenty fills the object, if there is room for fills.
	if cache = r.firstUsable(now, t, caches); cache != nil && t.record.likelyHeldUntil > now && !r.admits(now, t, cache) {
		caches.leaveOut(r.admissionLimits[0] / 2)
		if other := r.firstUsable(now, t, caches); other != nil {
			cache, t.diverted = other, true
		}
	}
	return cache, r.firstUsable(now, t, r.sourceCandidates(t))
}

// neverKept tells whether no cache or parent keeps the answer to a retrieval: it runs at the origin.
func (t *Request) isUncacheable() bool { return t.class.uncacheable || t.Write }

// denied tells whether the last dispatch found its source at its bound or dead. The other parents are likely
// no better: one who can't fall over, the origin, is asked.
func (t *Request) sourceRefused() bool {
	n := len(t.attempts)
	return n > 0 && t.attempts[n-1].sourceRefused
}

// originStands tells whether the origin never falls over, whatever it is asked for.
func (r *Router) originUnlimited() bool { return get(r.settings, "origin.fallFactor", 0.) == 0 }

// pick takes the first member within its cold budget, not suspect (or due for a trial) and not tried for this
// retrieval. If there is none, the first within its budget: where all are suspect, it is not they.
func (r *Router) firstUsable(now int64, t *Request, ranked *candidates) (fallback *endpointState) {
	for m := ranked.next(); m != nil; m = ranked.next() {
		if !r.slowStartAdmits(now, m, t.class.sendingTime) || m.Location == r.location && !withinKeyScope(t, m) ||
			r.Reachable != nil && !r.Reachable(m.ID) {
			continue
		}
		r.ejectIfOutlier(now, m)
		tried := slices.ContainsFunc(t.attempts, func(d *attemptState) bool {
			// A connection that broke by itself is no reason to fill the object elsewhere.
			broke := slices.Contains([]Result{ConnectionLost, SendInterrupted, ServerError, NotHeld, Stale, LocalError}, d.result)
			return !broke && (d.cache == m || d.source == m)
		})
		trial := now >= m.nextProbeAt && !m.probing && len(t.attempts) == 0 && (m.Location == r.location &&
			!get(r.settings, "probe", false) || m.Location != r.location && t.record.likelyHeldUntil <= now)
		if !tried && (!m.ejected || trial) {
			return m
		}
		if fallback == nil {
			fallback = m
		}
	}
	return fallback
}

func (r *Router) sendTo(now int64, t *Request, cache, source *endpointState) Decision {
	d := &attemptState{sentAt: now, cache: cache, source: source, kind: t.attemptKind(now), minIssuedAt: r.minIssuedAt(t)}
	if source == nil {
		d.kind = hits
	}
	if d.lateAt = now + r.objectiveFor(t, r.knownSendingTime(t)); t.SizeKB == 0 {
		d.lateAt += 2 * r.objectiveFor(t, 0) // it may be large, and then it draws on the links still
	}
	out := Attempt{Cache: cache.ID, Timeout: t.Deadline - now,
		SendTimeout: min(t.sendDeadline(), t.Deadline-t.class.minResponseTime()) - now}
	for _, before := range t.attempts {
		if t.class.idempotency == "stamped" && before.mayHaveRun() { // repeats are dropped so long, late links or not
			out.SendTimeout = min(out.SendTimeout, before.sentAt+t.class.keyWindow-now)
		}
	}
	d.sendTimeout = out.SendTimeout
	if t.attempts = append(t.attempts, d); len(t.attempts) == 1 {
		t.class.admitted.add(now, r.sendingTime(t))
	}
	t.inFlight++
	for _, m := range []*endpointState{cache, source} {
		if m == nil {
			continue
		}
		r.attemptStarted(m, d)
		m.charge(now, t.class.sendingTime)
		if m.ejected {
			m.probing, d.probed = true, m
		}
	}
	if source == nil {
		out.CacheOnly = true
		return Decision{Verdict: Send, Attempt: out}
	}
	out.Source = source.ID
	if !t.isUncacheable() {
		// While fills are tight, and fetches come in time no better, a parent is first asked for what it holds.
		out.ParentOnlyIfCached = d.kind == fills && r.tight[fills] && r.admissionLimits[fetches] < r.admissionLimits[fills] && source != r.origin
		out.JoinFill = get(r.settings, "joins", false)
		out.MaxAge, out.RefreshBehind = r.maxAge(now, t)
		// Ranks shield reused objects from those asked for once; a third kept what had been hot for good.
		if out.CachePriority = 1; r.reused(t.record) {
			out.CachePriority = 2
		}
	}
	return Decision{Verdict: Send, Attempt: out}
}

// age gives the oldest copy that will do, and whether an ageing one is renewed behind.
func (r *Router) maxAge(now int64, t *Request) (age int64, renew bool) {
	e := t.record
	if e.maxAge == 0 || now >= e.maxAgeUntil {
		r.computeMaxAge(now, t)
	}
	renew = r.locationRate(now, e)*float64(e.maxAge)/1e9 >= refreshThreshold
	if age = e.maxAge; age == forever {
		age = 0
	}
	return r.limitAgeByPurges(now, t, age), renew
}

// setAge sets an object's accepted age by the design's root and holds it.
func (r *Router) computeMaxAge(now int64, t *Request) {
	e, p := t.record, t.class
	kb := cmp.Or(t.SizeKB, defaultSizeKB)
	if len(r.parents) == 0 {
		kb *= 2
	}
	// One over the fresh time at start, as if one purge had been told over that time.
	span, purges := float64(now-e.firstSeenAt)/1e9, e.purgeCount
	if p.freshDuration > 0 {
		span, purges = span+float64(p.freshDuration)/1e9, purges+1
	} else {
		span = max(span, float64(rateWindow)/1e9)
	}
	e.maxAge = forever
	if mu, lambda := purges/span, r.locationRate(now, e); mu > 0 && lambda > 0 {
		if root := math.Sqrt(2 * exchangeRate * kb / (mu * lambda)); root < 1e9 {
			e.maxAge = max(int64(root*1e9), second/1000)
		}
	}
	if p.freshDuration > 0 {
		e.maxAge = min(e.maxAge, p.freshDuration)
	}
	e.maxAgeUntil = now + e.maxAge
}

// reused tells whether an object was asked for before. Requests before this one are scaled to the location:
// in a thin slice none came twice, and a scan swept the caches.
func (r *Router) reused(e *objectRecord) bool {
	return (e.requestCount-1)*r.sharers(nil) >= reuseThreshold
}

// scaled is the design's λ: the own rate times the routers of the location.
func (r *Router) locationRate(now int64, e *objectRecord) float64 {
	return r.requestRate(now, e.requestCount, e.countedAt) * r.sharers(nil)
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
func (r *Router) recordRequest(now int64, t *Request) *objectRecord {
	key := objectKey{t.Object, t.Part}
	e := r.objects[key]
	switch {
	case e == nil:
		e = &objectRecord{key: key, group: t.Group, firstSeenAt: now, countedAt: now}
		r.objects[key] = e
	case e.evicted:
		r.evictedObjects.Remove(e.element)
	default:
		r.recentObjects.Remove(e.element)
	}
	e.evicted, e.element = false, r.recentObjects.PushFront(e)
	if r.recentObjects.Len() > maxObjects {
		old := r.recentObjects.Remove(r.recentObjects.Back()).(*objectRecord)
		old.evicted, old.maxAge, old.element = true, 0, r.evictedObjects.PushFront(old)
	}
	if r.evictedObjects.Len() > maxObjects {
		delete(r.objects, r.evictedObjects.Remove(r.evictedObjects.Back()).(*objectRecord).key)
	}
	if t.ClientRetry = t.ClientRetry || now < e.gaveUpAt+second && e.requestCount < maxGuessedRetryCount; !t.ClientRetry {
		e.requestCount, e.countedAt = decay(e.requestCount, now-e.countedAt, rateWindow)+1, now
		r.requestCount, r.requestCountAt = decay(r.requestCount, now-r.requestCountAt, rateWindow)+1, now
	}
	return e
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
		if e := at.Value.(*objectRecord); e.key.object == object || object == "" && e.group == group {
			e.purgeCount++
			e.maxAgeUntil, e.likelyHeldUntil = now, 0
		}
	}
}

// Tick does the periodic work and says when to come again.
func (r *Router) Tick(now int64) (probe []uint32, again int64) {
	for name, p := range r.purges {
		if now > p.told+get(r.settings, "purge.takes", 10*second)+second/2 {
			delete(r.purges, name) // all caches and parents have dropped older copies by themselves
		}
	}
	all := r.cacheEvidence(now)
	for _, m := range r.watched.endpoints {
		if m.role != cacheRole {
			continue
		}
		if m.mayBeEjected(now) && r.mayBeOutlier(now, m, all) {
			r.ejectIfOutlier(now, m)
		}
		if m.ejected && !m.probing && now >= m.nextProbeAt && get(r.settings, "probe", false) && r.slowStartAdmits(now, m, r.meanWork(now, 0)) {
			m.probing = true
			m.charge(now, r.meanWork(now, 0))
			probe = append(probe, m.ID)
		}
	}
	r.unwatchTrusted(now)
	r.forgetFaded(now)
	return probe, tickInterval
}

// ProbeEnded tells how a probe ended.
func (r *Router) ProbeEnded(now int64, id uint32, good bool, _ []float64) {
	if m := r.endpoints[id]; m != nil {
		m.probing = false
		r.probeFinished(now, m, good)
	}
}

func (r *Router) probeFinished(now int64, m *endpointState, good bool) {
	switch {
	case m.ejected && good:
		if m.wasUnreachable {
			m.slowStartFrom, m.slowStartToldAt = now, now // likely restarted, which the list tells too late: it fell over at full load
		}
		m.ejected, m.wasUnreachable, m.successes, m.failures, m.lastResponseAt = false, false, 0, 0, now
		r.log(fmt.Sprintf("member %d trusted again", m.ID))
	case m.ejected:
		m.probeBackoff = min(2*m.probeBackoff, maxProbeBackoff)
		m.nextProbeAt = now + m.probeBackoff
	}
}

// judge draws from an outcome what it tells of the cache, the source, the room and the product.
func (r *Router) observe(now int64, t *Request, d *attemptState, o Outcome) {
	p, kind, own := t.class, d.kind, cmp.Or(r.knownSendingTime(t), o.SendingTime)
	t.sourceMissed = t.sourceMissed || o.Result == NotHeld && kind == fills
	// What took under twice its sending time shows no jam, in time or not: it could hardly be.
	inTime := o.Elapsed <= max(r.objectiveFor(t, own), int64(2e9*own))
	if i := slices.Index(get(r.settings, "report.fields", []string(nil)), "inHand"); i >= 0 && i < len(o.LoadReport) {
		r.othersInFlight = decay(r.othersInFlight, now-r.inFlightReportedAt, sharingWindow) + max(o.LoadReport[i]-1, 0)
		r.ownInFlight = decay(r.ownInFlight, now-r.inFlightReportedAt, sharingWindow) + float64(len(d.cache.inFlight)-1)
		r.inFlightReportedAt = now
	}
	if o.Result == Stale {
		r.distrustStamps()
	}
	hurried := p.timedOutEarly(d, o)
	late := o.Result == TimedOut && !hurried
	if late && d.cache.isHealthy() && d.source.isHealthy() {
		r.lostResponses.add(now)
	}
	good, bad := [2]float64{}, failureWeights[o.Result] // of the cache, of the source
	switch {
	case o.Result == Succeeded || o.Result == NotHeld:
		if good = [2]float64{1, 1}; !inTime {
			good, bad = bad, good // a cache or source that is only slow showed in no other way
		}
	case hurried:
		bad = [2]float64{}
	case o.SharedCause: // a connection that broke is one failure: counted by all that was open on it, it made a
		bad = [2]float64{} // healthy member suspect
	case o.Result == Overloaded && o.Note == 9: // notes: 9 names the cache, 6 to 8 the source
		bad[1] = 0
	case o.Result == Overloaded && o.Note >= 6 && o.Note <= 8:
		bad, d.sourceRefused = [2]float64{0, 1}, true
		r.sourceRefusals.add(now)
	}
	if kind == hits {
		good[1], bad[1] = 0, 0 // likely a hit: it tells nothing of the source
	}
	if work := cmp.Or(own, p.sendingTime); o.Result == Succeeded && inTime {
		r.addCarried(now, &r.carried[0], work, r.effectiveSharers(), r.caches)
		if kind > hits && o.Note != 1 && d.source != r.origin {
			r.addCarried(now, &r.carried[1], work, r.sharers(d.source), r.parents)
		}
	}
	switch {
	case o.Result == Succeeded && inTime:
		r.admissionLimits[kind] = min(r.admissionLimits[kind]+admissionIncrease[r.tight[kind]], maxAdmissionLimit)
	case (o.Result == Succeeded || late) && !d.cache.ejected && (d.source == nil || !d.source.ejected):
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
	if o.Result == Succeeded {
		p.observeResponse(o.Elapsed)
		p.samples = min(p.samples+1, 200)
		p.responseTime += (float64(o.Elapsed)/1e9 - p.responseTime) / p.samples
		if own > 0 || o.Note <= 1 {
			p.sendingTime += (cmp.Or(own, float64(o.Elapsed)/1e9) - p.sendingTime) / p.samples
		}
		t.record.likelyHeldUntil = now + likelyHeldDuration
		if e := t.record; o.Note == 2 || o.Note == 3 {
			e.maxAge = 0
			r.computeMaxAge(now, t)
		}
	}
	for i, m := range []*endpointState{d.cache, d.source} {
		if m == nil {
			continue
		}
		r.attemptFinished(m, d)
		m.successes = decay(m.successes, now-m.scoredAt, healthWindow) + good[i]
		m.failures = decay(m.failures, now-m.scoredAt, healthWindow) + bad[i]
		m.scoredAt = now
		r.scored.add(m)
		if m.failures >= failureThreshold {
			r.watched.add(m)
		}
		m.wasUnreachable = m.wasUnreachable || m == d.cache && o.Result == Unreachable && !hurried || m == d.source && o.Result == Overloaded && bad[1] > 0
		silent := slices.Contains([]Result{Unreachable, TimedOut, Cancelled, SendInterrupted, LocalError, NotSent}, o.Result)
		if m == d.cache && !silent || kind > hits && o.Result == Succeeded {
			m.lastResponseAt = now
		}
		if d.probed == m {
			m.probing = false
			if good[i]+bad[i] > 0 {
				r.probeFinished(now, m, good[i] > bad[i])
			}
		}
		r.ejectIfOutlier(now, m)
	}
}

// check makes a member suspect by its failures lately or by its silence, whatever lies behind them. What its
// peers show then is no evidence: in a jam all looked suspect in turn and objects lost their homes. Half a
// tier may fail at once and still stand out; where most fail, further dispatches must find the rest.
func (r *Router) ejectIfOutlier(now int64, m *endpointState) {
	if m.ejected || m == r.origin || !m.mayBeEjected(now) {
		return
	}
	silent, good, bad := r.evidenceOn(now, m)
	if silent < silenceThreshold && bad < failureThreshold {
		return
	}
	peers, sure := r.caches, failureShareThreshold
	if m.Location != r.location { // late with a quarter of hundreds a parent stayed in; the last one is to
		if peers = r.parents; slices.ContainsFunc(peers, func(p *endpointState) bool { return p != m && !p.ejected }) {
			sure *= max(manyAnswersFactor, min(1, 4/math.Sqrt(good+bad)))
		}
	}
	allSilent, allGood, allBad := r.peerEvidence(now, m)
	silent -= allSilent / float64(max(1, len(peers)-1))
	apart := bad/(good+bad) - allBad/max(allGood+allBad, 1)
	if silent < silenceThreshold && (bad < failureThreshold || apart < sure) {
		return
	}
	m.ejected, m.probeBackoff, m.probing = true, minProbeBackoff, false
	m.nextProbeAt = now + m.probeBackoff
	r.log(fmt.Sprintf("member %d suspect: silence %.1f, failures %.1f of %.1f", m.ID, silent, bad, good+bad))
}

// sharers is how many routers share a member: those of the location for a cache, all for another.
func (r *Router) sharers(m *endpointState) float64 {
	if m == nil || m.Location == r.location {
		here := slices.Index(get[[]string](r.settings, "locations", nil), r.location)
		return float64(max(1, at(r.settings, "location.routers", here, int64(1))))
	}
	return float64(max(1, get(r.settings, "routers", int64(1))))
}

// sizedTime is a retrieval's own sending time in seconds where sizes are told, else 0.
func (r *Router) knownSendingTime(t *Request) float64 {
	return t.SizeKB / max(get(r.settings, "clientKBPerS", 1.), 1)
}

// dueIn is how long after its sending an answer is in time, by its own sending time or the product's mean.
func (r *Router) objectiveFor(t *Request, own float64) int64 {
	return t.class.objective + int64(t.class.objectiveStretch*1e9*cmp.Or(own, t.class.sendingTime))
}

// sendingTime is what a retrieval costs a member's link.
func (r *Router) sendingTime(t *Request) float64 {
	return max(t.class.sendingTime, r.knownSendingTime(t))
}

// chance is a draw from [0, 1) of the instance's own.
func (r *Router) random() float64 {
	r.draws++
	b := binary.LittleEndian.AppendUint64(nil, r.seed)
	return float64(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(b, r.draws))) / (1 << 32)
}
