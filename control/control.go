// Package control decides for each request which cache serves it, from where a miss is filled, and whether it
// is admitted, retried or rejected.
//
// New makes a router. Decide says where to send a request (or to wait, or how it ends), AttemptEnded what to do
// once an attempt has ended, and RecheckDelay after how long to call Decide again. What happens outside comes
// in by UpdateEndpoints, Purge, ClientGone, ProbeEnded and Tick.
//
// Times are int64 nanoseconds of the caller's monotonic clock and spans int64 nanoseconds, unless a comment
// says otherwise. Sending times are float64 seconds. A router reads no clock, shares no state and must not be
// used by two goroutines at once.
//
// A decision can be read from top to bottom in Decide. The other files each have one part of it:
//
//   - selection.go and ranking.go: which endpoints
//   - admission.go, capacity.go and inflight.go: whether these can take more
//   - slowstart.go: how much an endpoint that has just started is sent
//   - retries.go: retries and hedged requests
//   - age.go and rates.go: how old a cache entry may be
//   - purges.go: what purges leave of that age
//   - outcomes.go and outliers.go: what is learned from an attempt that ended, and which endpoints are ejected
//
// docs/design.md has the reasons and the sources.
package control

import (
	"encoding/binary"
	"hash/crc32"
	"math"

	"tealpath/internal/logevent"
)

const (
	second  = int64(1e9)               // ns
	forever = int64(math.MaxInt64 / 2) // ns; no bound

	// tickInterval is the time between two calls of Tick, and of Decide for a request with an attempt in
	// flight; ns.
	tickInterval = second / 10

	// waitRecheckInterval is the time between two calls of Decide for a request that waits for an endpoint; ns.
	waitRecheckInterval = second / 20

	// maxWaitDivisor bounds for how long a request waits for an endpoint: its latency objective divided by
	// this. After a longer wait its answer would be late.
	maxWaitDivisor = 8
)

// Router is one router's decisions.
type Router struct {
	// Reachable, if set, reports whether a request can be sent to a cache now: the connections to it are
	// limited. A cache for which it returns false is skipped in an object's ranking, as one at its slow-start
	// limit is.
	Reachable func(id uint32) bool

	// ConnectionsExhausted, if set, reports whether this machine can open no connections for now. Meanwhile a
	// request for which no cache is reachable waits, until the time by which it has to be sent.
	ConnectionsExhausted func() bool

	settings Settings
	log      func(logevent.Event)
	seed     uint64
	draws    uint32 // random numbers drawn so far

	classes     []*classState // in the settings' order
	classByName map[string]*classState

	endpoints  map[uint32]*endpointState // by ID: all that are listed, and delisted ones with attempts in flight
	caches     []*endpointState          // ready caches of the router's location, in the order of their IDs
	parents    []*endpointState          // ready parents of all locations, in the order of their IDs
	origin     *endpointState            // the ready origin with the lowest ID; nil if there is none
	cacheTier  tier                      // of caches
	parentTier tier                      // of parents
	origins    endpointList              // ready origins
	delisted   []*endpointState          // no longer listed

	rates     requestRates
	purges    purgeLog
	capacity  capacityEstimate
	inFlight  inFlightCounts
	admission admission
	retries   retryState
	outliers  outlierDetector

	cacheOrder, sourceOrder candidates // buffers of the current decision
	postponedUntil          int64      // the latest retryAt of all slow-start budgets
	keyBytes                []byte     // buffer of objectHash
}

// New makes a router. seed determines its random numbers, and log is called with an event for each change of
// state that an operator may want to know of.
func New(now int64, seed uint64, settings Settings, log func(logevent.Event)) *Router {
	router := &Router{
		settings:    settings,
		log:         log,
		seed:        seed,
		classByName: map[string]*classState{},
		endpoints:   map[uint32]*endpointState{},
		rates:       newRequestRates(now),
		purges:      newPurgeLog(),
		admission:   admission{limits: initialAdmissionLimits},
		retries:     retryState{tokens: maxRetryTokens},
	}
	for _, terms := range settings.Classes {
		class := newClassState(terms)
		router.classes = append(router.classes, class)
		router.classByName[terms.Name] = class
	}
	return router
}

// Decide says what to do with a request that has arrived, or whose RecheckDelay has passed: send it, wait, or
// end it.
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

// accept starts to track a request that has arrived. It returns false if the request's class is unknown.
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
	attempt.ended = true
	attempt.result = outcome.Result
	request.inFlight--
	r.observe(now, request, attempt, outcome)
	request.ended = request.ended || outcome.RequestEnded

	mayStillRun := outcome.Result == Cancelled || outcome.Result == ConnectionLost
	switch {
	case request.ended:
		return r.cancelInFlight(request)
	case request.inFlight > 0:
		return Decision{}
	case !mayStillRun || r.settings.Hedging || !r.mayRetry(now, request):
		return r.decideNext(now, request)
	case now+2*waitRecheckInterval >= request.Deadline:
		return r.rejectOrFail(now, request)
	}
	// The retry waits for the next call of Decide: the cancellation of this attempt may take another connection
	// than the retry, and two attempts would be in flight where only one may be.
	return Decision{}
}

// RecheckDelay returns after how long Decide is to be called again for a request, in ns; 0 is not at all.
func (r *Router) RecheckDelay(_ int64, request *Request) int64 {
	switch {
	case request.ended:
		return 0
	case request.inFlight > 0:
		return tickInterval
	}
	return waitRecheckInterval
}

// ClientGone ends a request whose client has disconnected, or that has ended for another reason outside this
// package. Attempts may still be in flight.
func (r *Router) ClientGone(_ int64, request *Request) Decision {
	request.ended = true
	return r.cancelInFlight(request)
}

// cancelInFlight cancels the attempts of an ended request that are in flight.
func (r *Router) cancelInFlight(request *Request) (decision Decision) {
	if !r.settings.CancelAttempts {
		return decision
	}
	for number, attempt := range request.attempts {
		if !attempt.ended {
			decision.Cancel = append(decision.Cancel, number)
		}
	}
	return decision
}

// decideNext decides on a request that has no attempt in flight: it is sent, waits, or ends.
func (r *Router) decideNext(now int64, request *Request) Decision {
	cache, source := r.selectEndpoints(now, request)
	if r.goesToOrigin(now, request, cache) {
		source = r.origin
		request.sourceMissed = true
	}
	if r.cannotConnect() {
		request.exhaustedAt = now
	}
	sendDeadline := request.sendDeadline()
	timeForLater := now+2*waitRecheckInterval < sendDeadline
	switch {
	case !r.mayRetry(now, request) || now >= sendDeadline:
		// No further attempt is allowed, or it would be answered too late.
	case request.exhaustedAt > 0 && !timeForLater:
		// No connection can be established in the time left, and the cache would be blamed for it.
	case cache != nil && r.admits(now, request, cache):
		if r.takeRetryToken(request) {
			return r.send(now, request, cache, source)
		}
	case cache != nil && r.mayTryCacheOnly(now, request, cache):
		return r.send(now, request, cache, nil)
	case now < request.waitUntil() && timeForLater:
		return Decision{}
	}
	return r.rejectOrFail(now, request)
}

// send starts an attempt at a cache, which fills a miss from a source; without a source it may serve only what
// it has cached.
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
		terms.JoinFill = r.settings.JoinFills
		terms.MaxAge, terms.RefreshBehind = r.maxAge(now, request)
		terms.CachePriority = r.cachePriority(request.record)
	}
	return Decision{Verdict: Send, Attempt: terms}
}

// newAttempt makes the state of the next attempt of a request.
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
		attempt.lateAt += 2 * r.objectiveFor(request, 0) // its answer may be large and still be on its way
	}
	return attempt
}

// track counts an attempt that starts now, for its request, its class and its endpoints.
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
			endpoint.probing = true
			attempt.probed = endpoint
		}
	}
}

// Tick does the periodic work. It returns the endpoints that a health check is to be sent to now, and after how
// long Tick is to be called again, in ns.
func (r *Router) Tick(now int64) (probe []uint32, nextTick int64) {
	r.purges.removeExpired(now, r.settings.PurgeDuration)
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

// cannotConnect reports whether this machine can open no connections for now.
func (r *Router) cannotConnect() bool {
	return r.ConnectionsExhausted != nil && r.ConnectionsExhausted()
}

// random returns the router's next random number, from [0, 1). It follows from the seed.
func (r *Router) random() float64 {
	r.draws++
	seed := binary.LittleEndian.AppendUint64(nil, r.seed)
	return float64(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(seed, r.draws))) / (1 << 32)
}
