// Package control decides where objects are served, kept and filled from.
//
// How to call it: New makes one router. Decide says where to send a request (or not yet, or never), AttemptEnded
// what to do once an attempt has ended, RecheckDelay how long to wait before asking Decide again. The facts come
// by UpdateEndpoints, Purge, ClientGone, ProbeEnded and Tick. Times are int64 nanoseconds of the caller's axis,
// spans nanoseconds, and sending times float64 seconds, unless a comment says otherwise. A router shares nothing, reads no clock and is not safe for use by two goroutines at once.
//
// A decision reads top to bottom in Decide; each file below it has one part of it: selection.go and ranking.go the
// endpoints, admission.go and capacity.go whether they take more, slowstart.go what new ones bear, retries.go further
// attempts, age.go and rates.go the accepted age, purges.go what purges leave of it, outliers.go who is ejected. What
// an outcome tells is in outcomes.go. docs/design.md has the reasons and the sources.
package control

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"tealpath/internal/logevent"
)

const (
	second       = int64(1e9)               // ns
	forever      = int64(math.MaxInt64 / 2) // ns; no bound
	tickInterval = second / 10              // ns; between two calls of Tick, and of Decide while an attempt is in flight
	waitRecheckInterval = second / 20              // ns; between two calls of Decide for a request that is held

	// maxWaitShare is the part of its latency objective for which a request without a place is held. What waited longer
	// was late after all.
	maxWaitShare = 8
)

// Router is one router's decisions.
type Router struct {
	// Reachable, where it is set, tells whether a cache can be reached now: links to it are bounded. One that can't is passed over
	// in an object's ranking, as one at its slow start's limit is.
	Reachable func(id uint32) bool

	// ConnectionsExhausted, where it is set, tells whether this machine can open no connections for now. What finds no cache that can
	// be reached meanwhile is held, as long as it may stay unsent.
	ConnectionsExhausted func() bool

	settings settings
	log      func(logevent.Event)
	seed     uint64
	draws    uint32 // random numbers drawn

	classes     []*classState // in the settings' order
	classByName map[string]*classState

	endpoints       map[uint32]*endpointState // all that were told, by ID
	caches, parents []*endpointState          // ready, of the own location; ready, anywhere
	origin          *endpointState            // nil: none is ready
	cacheTier       tier
	parentTier      tier
	origins         endpointList     // that are ready
	delisted        []*endpointState // no longer listed

	rates     requestRates
	purges    purgeLog
	capacity  capacityEstimate
	inFlight  inFlightCounts
	admission admission
	retries   retryState
	outliers  outlierDetector

	cacheOrder, sourceOrder candidates // of the decision at hand
	postponedUntil          int64      // the last time until which an endpoint that recovers is not asked for a token
	keyBytes                []byte     // buffer of objectHash
}

// New makes a router from its settings; log takes an event for each change of mode. The error joins a SettingError for
// each setting that is missing, of a wrong type, or contradicts another.
func New(now int64, seed uint64, raw Settings, log func(logevent.Event)) (*Router, error) {
	set, err := decodeSettings(raw)
	if err != nil {
		return nil, err
	}
	r := &Router{
		settings:    set,
		log:         log,
		seed:        seed,
		classByName: map[string]*classState{},
		endpoints:   map[uint32]*endpointState{},
		rates:       newRequestRates(now),
		purges:      newPurgeLog(),
		admission:   admission{limits: initialAdmissionLimits},
		retries:     retryState{tokens: maxRetryTokens},
	}
	for _, terms := range set.classes {
		class := newClassState(terms)
		r.classes = append(r.classes, class)
		r.classByName[terms.name] = class
	}
	return r, nil
}

// Decide says where to send a request that has come, or whose RecheckDelay has passed, or not yet, or never.
func (r *Router) Decide(now int64, request *Request) Decision {
	if request.class == nil && !r.accept(now, request) {
		return Decision{Verdict: Fail}
	}
	switch {
	case request.ended:
		return Decision{}
	case request.inFlight > 0:
		return r.reconsider(now, request)
	}
	return r.decideNext(now, request)
}

// accept takes in a request that has come, unless its class is unknown.
func (r *Router) accept(now int64, request *Request) bool {
	request.class = r.classByName[request.Class]
	if request.class == nil {
		return false
	}
	work := r.sendingTime(request)
	request.class.offered.add(now, work)
	request.arrivedAt = now
	request.record = r.rates.record(now, request)
	if !request.ClientRetry {
		r.capacity.offer(now, work)
	}
	return true
}

// AttemptEnded says what to do once an attempt has ended.
func (r *Router) AttemptEnded(now int64, request *Request, outcome Outcome) Decision {
	number := outcome.Attempt
	if number < 0 || number >= len(request.attempts) || request.attempts[number].ended {
		return Decision{}
	}
	attempt := request.attempts[number]
	attempt.ended, attempt.result = true, outcome.Result
	request.inFlight--
	r.observe(now, request, attempt, outcome)
	request.ended = request.ended || outcome.RequestEnded

	mayRunTwice := outcome.Result == Cancelled || outcome.Result == ConnectionLost
	switch {
	case request.ended:
		return r.cancelOthers(request)
	case request.inFlight > 0:
		return Decision{}
	case !mayRunTwice || r.settings.hedging || !r.mayRetry(now, request):
		return r.decideNext(now, request)
	case now+2*waitRecheckInterval >= request.Deadline:
		return r.rejectOrFail(now, request)
	}
	return Decision{} // what calls it off goes another way than the next would: two were in flight where one may be
}

// RecheckDelay says how long to wait before asking Decide again; 0 is until an outcome.
func (r *Router) RecheckDelay(_ int64, request *Request) int64 {
	switch {
	case request.ended:
		return 0
	case request.inFlight > 0:
		return tickInterval
	}
	return waitRecheckInterval
}

// ClientGone tells that a request's client left, or that it ended otherwise; attempts may still be in flight.
func (r *Router) ClientGone(_ int64, request *Request) Decision {
	request.ended = true
	return r.cancelOthers(request)
}

// cancelOthers ends what else of an ended request is in flight.
func (r *Router) cancelOthers(request *Request) (decision Decision) {
	if !r.settings.cancel {
		return decision
	}
	for i, other := range request.attempts {
		if !other.ended {
			decision.Cancel = append(decision.Cancel, i)
		}
	}
	return decision
}

// decideNext picks the next attempt of a request that has none in flight, or holds it, or gives it up.
func (r *Router) decideNext(now int64, request *Request) Decision {
	cache, source := r.selectEndpoints(now, request)
	if r.goesToOrigin(now, request, cache) {
		source, request.sourceMissed = r.origin, true
	}
	if r.cannotConnect() {
		request.exhaustedAt = now
	}
	sendDeadline := request.sendDeadline()
	timeForLater := now+2*waitRecheckInterval < sendDeadline
	switch {
	case !r.mayRetry(now, request) || now >= sendDeadline:
	case request.exhaustedAt > 0 && !timeForLater:
		// Too late for a link to come up: it was counted against the cache that it had not.
	case cache != nil && r.admits(now, request, cache):
		if r.takeRetryToken(request) {
			return r.send(now, request, cache, source)
		}
	case cache != nil && r.mayTryCacheOnly(now, request, cache):
		return r.send(now, request, cache, nil)
	case now < request.waitUntil() && timeForLater:
		return Decision{} // never past the client's own time: one was lost so
	}
	return r.rejectOrFail(now, request)
}

// send starts an attempt.
func (r *Router) send(now int64, request *Request, cache, source *endpointState) Decision {
	attempt := r.newAttempt(now, request, cache, source)
	r.track(now, request, attempt)
	terms := Attempt{Cache: cache.ID, Timeout: request.Deadline - now, SendTimeout: attempt.sendTimeout}
	if source == nil {
		terms.CacheOnly = true
		return Decision{Verdict: Send, Attempt: terms}
	}
	terms.Source = source.ID
	if !request.isUncacheable() {
		terms.ParentOnlyIfCached = r.usesOnlyIfCached(attempt)
		terms.JoinFill = r.settings.joinFills
		terms.MaxAge, terms.RefreshBehind = r.maxAge(now, request)
		terms.CachePriority = r.cachePriority(request.record)
	}
	return Decision{Verdict: Send, Attempt: terms}
}

// newAttempt is the next attempt of a request.
func (r *Router) newAttempt(now int64, request *Request, cache, source *endpointState) *attemptState {
	attempt := &attemptState{
		sentAt:      now,
		cache:       cache,
		source:      source,
		kind:        request.nextKind(now),
		minIssuedAt: r.minIssuedAt(request),
		lateAt:      now + r.objectiveFor(request, r.sendingTimeBySize(request)),
		sendTimeout: request.sendTimeout(now),
	}
	if source == nil {
		attempt.kind = hits
	}
	if request.SizeKB == 0 {
		attempt.lateAt += 2 * r.objectiveFor(request, 0) // it may be large, and then it draws on the links still
	}
	return attempt
}

// track counts an attempt that begins now: with its request, its class and its endpoints.
func (r *Router) track(now int64, request *Request, attempt *attemptState) {
	request.attempts = append(request.attempts, attempt)
	if len(request.attempts) == 1 {
		request.class.admitted.add(now, r.sendingTime(request))
	}
	request.inFlight++
	for _, endpoint := range []*endpointState{attempt.cache, attempt.source} {
		if endpoint == nil {
			continue
		}
		r.attemptStarted(endpoint, attempt)
		endpoint.charge(now, request.class.sendingTime)
		if endpoint.ejected {
			endpoint.probing, attempt.probed = true, endpoint
		}
	}
}

// Tick does the periodic work: it gives the endpoints that are to be probed now, and how long after this it is to be
// called again, ns.
func (r *Router) Tick(now int64) (probe []uint32, again int64) {
	r.purges.removeExpired(now, r.settings.purgeDuration)
	all := r.cacheEvidence(now)
	for _, endpoint := range r.outliers.watched.endpoints {
		if endpoint.role != cacheRole {
			continue
		}
		if endpoint.mayBeEjected(now) && r.mayBeOutlier(now, endpoint, all) {
			r.ejectIfOutlier(now, endpoint)
		}
		if r.startProbe(now, endpoint) {
			probe = append(probe, endpoint.ID)
		}
	}
	r.outliers.unwatchHealthy(now)
	r.outliers.forgetFaded(now)
	return probe, tickInterval
}

// cannotConnect tells whether this machine can open no connections for now.
func (r *Router) cannotConnect() bool {
	return r.ConnectionsExhausted != nil && r.ConnectionsExhausted()
}

// random is a draw from [0, 1) of the instance's own.
func (r *Router) random() float64 {
	r.draws++
	seed := binary.LittleEndian.AppendUint64(nil, r.seed)
	return float64(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(seed, r.draws))) / (1 << 32)
}
