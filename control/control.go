// Package control decides for each request which cache serves it, which endpoint fills a miss, and whether the
// request is admitted, retried or rejected.
//
// New creates a Router. Decide returns what to do with a request: send it, let it wait, or end it. AttemptEnded
// returns what to do after an attempt has ended, and RecheckDelay how long to wait before calling Decide again.
// The caller reports other events through UpdateEndpoints, Purge, EndRequest and ProbeEnded, and calls Tick
// periodically.
//
// Unless a comment says otherwise, times are int64 nanoseconds of the caller's monotonic clock, and durations are
// int64 nanoseconds. Sending times are float64 seconds. A Router does not read a clock, shares no state and must
// not be used by two goroutines at the same time.
//
// Decide is the entry point of a decision. Each of the other files implements one part of it:
//
//   - selection.go and ranking.go: the endpoints that a request is sent to
//   - admission.go, capacity.go and inflight.go: whether these endpoints can take more load
//   - slowstart.go: how much load an endpoint gets while it is warming up after a start
//   - retries.go: retries and hedged requests
//   - age.go and rates.go: how old a cache entry may be to be served for a request, called the accepted age
//   - purges.go: how purges limit the accepted age
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
	forever = int64(math.MaxInt64 / 2) // ns; stands for an unlimited time or duration

	// tickInterval is the time in ns between two calls of Tick, and between two calls of Decide for a request
	// that has an attempt in flight.
	tickInterval = second / 10

	// waitRecheckInterval is the time in ns between two calls of Decide for a request that waits for an endpoint.
	waitRecheckInterval = second / 20

	// maxWaitDivisor limits how long a request waits for an endpoint: at most its latency objective divided by
	// maxWaitDivisor. After a longer wait its response would be late.
	maxWaitDivisor = 8
)

// Router makes the decisions of one router process and holds the state that they depend on.
type Router struct {
	// Reachable, if set, reports whether an endpoint can be used now. For a cache it can return false because the
	// number of connections is limited. Selection skips an endpoint that is not reachable, in the same way as an
	// endpoint at its slow-start limit. Reachable is also called for parents and the origin, which the caller does
	// not connect to and should report as reachable.
	Reachable func(id uint32) bool

	// ConnectionsExhausted, if set, reports whether this machine currently cannot open any connections. While it
	// returns true, a request for which no cache is reachable waits, at most until its send deadline.
	ConnectionsExhausted func() bool

	settings Settings
	log      func(logevent.Event)
	seed     uint64
	draws    uint32 // number of random numbers drawn so far

	classes     []*classState // in the order of the settings
	classByName map[string]*classState

	endpoints  map[uint32]*endpointState // by ID: listed endpoints, and delisted ones with attempts in flight
	caches     []*endpointState          // ready caches of the router's location, in the order of their IDs
	parents    []*endpointState          // ready parents of all locations, in the order of their IDs
	origin     *endpointState            // the ready origin with the lowest ID; nil if there is none
	cacheTier  tier                      // the same endpoints as in caches, with their ranking keys
	parentTier tier                      // the same endpoints as in parents, with their ranking keys
	origins    endpointList              // ready origins
	delisted   []*endpointState          // endpoints that are no longer listed but have attempts in flight

	rates     requestRates
	purges    purgeLog
	capacity  capacityEstimate
	inFlight  inFlightCounts
	admission admission
	retries   retryState
	outliers  outlierDetector

	cacheOrder, sourceOrder candidates // reused by each decision, to avoid allocations
	postponedUntil          int64      // ns; the latest retryAt of all slow-start budgets
	keyBytes                []byte     // reused by objectHash, to avoid allocations
}

// New creates a Router. seed determines its random numbers, and log is called with an event for each change of
// state that an operator may want to know about.
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
	for _, classSettings := range settings.Classes {
		class := newClassState(classSettings)
		router.classes = append(router.classes, class)
		router.classByName[classSettings.Name] = class
	}
	return router
}

// Decide returns what to do with a request that has arrived, or whose RecheckDelay has passed: send it, let it
// wait, or end it.
func (r *Router) Decide(now int64, request *Request) Decision {
	if request.class == nil && !r.registerRequest(now, request) {
		return Decision{Verdict: Fail}
	}
	switch {
	case request.ended:
		return Decision{}
	case request.inFlight > 0:
		return r.decideInFlight(now, request)
	}
	return r.decideNext(now, request)
}

// registerRequest initializes the state of a request that has arrived, and counts the request. It returns false
// if the request's class is unknown.
func (r *Router) registerRequest(now int64, request *Request) bool {
	request.class = r.classByName[request.Class]
	if request.class == nil {
		return false
	}
	work := r.sendingTime(request)
	request.class.offered.add(now, work)
	request.arrivedAt = now
	request.record = r.rates.record(now, request)
	if !request.ClientRetry {
		r.capacity.addOffered(now, work)
	}
	return true
}

// AttemptEnded takes the outcome of an attempt and returns what to do with its request next. It ignores outcomes of
// unknown attempts and of attempts that have already ended.
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
	// The retry waits for the next call of Decide. The cancellation of this attempt and the retry may take
	// different connections: an immediate retry could arrive first, and two attempts would be in flight although
	// hedging is not allowed.
	return Decision{}
}

// RecheckDelay returns the time in ns after which Decide must be called again for a request, or 0 if the request
// has ended and needs no further call.
func (r *Router) RecheckDelay(_ int64, request *Request) int64 {
	switch {
	case request.ended:
		return 0
	case request.inFlight > 0:
		return tickInterval
	}
	return waitRecheckInterval
}

// EndRequest ends a request whose client has disconnected, or that the caller has ended for another reason. The
// returned Decision lists the attempts in flight that the caller must cancel, if the settings allow cancelling.
func (r *Router) EndRequest(_ int64, request *Request) Decision {
	request.ended = true
	return r.cancelInFlight(request)
}

// cancelInFlight returns a Decision that cancels all attempts of an ended request that are in flight. It cancels none
// if the settings do not allow cancelling.
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

// decideNext decides whether a request that has no attempt in flight is sent, waits or ends.
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
	canWait := now+2*waitRecheckInterval < sendDeadline
	switch {
	case !r.mayRetry(now, request) || now >= sendDeadline:
		// No further attempt is allowed, or its response would be too late.
	case request.exhaustedAt > 0 && !canWait:
		// No connection can be established in the time left. An attempt would count as a failure of the cache.
	case cache != nil && r.admits(now, request, cache):
		if r.takeRetryToken(request) {
			return r.send(now, request, cache, source)
		}
	case cache != nil && r.mayTryCacheOnly(now, request, cache):
		return r.send(now, request, cache, nil)
	case now < request.waitUntil() && canWait:
		return Decision{}
	}
	return r.rejectOrFail(now, request)
}

// send starts an attempt at a cache, which fills a miss from the source. If source is nil, the cache may serve only
// an object that it has cached.
func (r *Router) send(now int64, request *Request, cache, source *endpointState) Decision {
	attempt := r.newAttempt(now, request, cache, source)
	r.registerAttempt(now, request, attempt)
	details := Attempt{Cache: cache.ID, Timeout: request.Deadline - now, SendTimeout: attempt.sendTimeout}
	if source == nil {
		details.CacheOnly = true
		return Decision{Verdict: Send, Attempt: details}
	}
	details.Source = source.ID
	if !request.isUncacheable() {
		details.ParentOnlyIfCached = r.usesOnlyIfCached(attempt)
		details.JoinFill = r.settings.JoinFills
		details.MaxAge, details.RefreshBehind = r.maxAge(now, request)
		details.CachePriority = r.cachePriority(request.record)
	}
	return Decision{Verdict: Send, Attempt: details}
}

// newAttempt returns an attempt that starts now. registerAttempt must be called before it is sent.
func (r *Router) newAttempt(now int64, request *Request, cache, source *endpointState) *attemptState {
	attempt := &attemptState{
		sentAt:      now,
		cache:       cache,
		location:    cache.Location,
		cell:        cache.Cell,
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
		attempt.lateAt += 2 * r.objectiveFor(request, 0) // a large response may still be on its way
	}
	return attempt
}

// registerAttempt counts an attempt that starts now: for its request, its class and its endpoints.
func (r *Router) registerAttempt(now int64, request *Request, attempt *attemptState) {
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

// Tick removes expired purges, ejects outliers and starts probes. It returns the IDs of the endpoints that the
// caller must send a health check to now, and the time in ns after which to call Tick again.
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
	r.outliers.forgetDecayed(now)
	return probe, tickInterval
}

// cannotConnect reports whether this machine currently cannot open any connections.
func (r *Router) cannotConnect() bool {
	return r.ConnectionsExhausted != nil && r.ConnectionsExhausted()
}

// random returns the next number, from [0, 1), of a pseudorandom sequence that depends only on the seed.
func (r *Router) random() float64 {
	r.draws++
	seed := binary.LittleEndian.AppendUint64(nil, r.seed)
	return float64(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(seed, r.draws))) / (1 << 32)
}
