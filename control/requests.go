package control

import (
	"slices"

	"tealpath/internal/timerqueue"
)

// attemptKind says which admission limit an attempt counts against.
type attemptKind int

// The kinds of attempts.
const (
	hits    attemptKind = iota // the cache likely has the object
	fills                      // the cache likely has to fill it from a parent
	fetches                    // it comes from the origin, because a parent lacks it or parents reject fills
	kinds   = 3                // number of kinds
)

func (k attemptKind) String() string { return [kinds]string{"hits", "fills", "fetches"}[k] }

// requestState is what a router knows of a request.
type requestState struct {
	class        *classState // nil until Decide has seen the request
	record       *objectRecord
	arrivedAt    int64
	exhaustedAt  int64 // when it last waited because this machine could open no connections
	attempts     []*attemptState
	inFlight     int  // attempts that have not ended
	ended        bool // it has its final answer, or needs none
	sourceMissed bool // its source lacks the object, or the origin is to fill it in place of a parent
	diverted     bool // its home cache is at its limit, and another one is to fill the object
}

// attemptState is what a router knows of an attempt.
type attemptState struct {
	sentAt         int64
	cache          *endpointState
	source         *endpointState // nil if the cache may serve only what it has cached
	probed         *endpointState // the ejected endpoint that this attempt probes; nil is none
	ended          bool
	result         Result // valid if ended
	sourceRejected bool   // its source was at its limit, dead or lacked the object
	kind           attemptKind
	sendTimeout    int64 // ns; within that it has to be sent
	lateAt         int64 // from when an answer is late
	isLate         bool  // lateAt has passed
	lateTimer      *timerqueue.Timer[*attemptState]
	minIssuedAt    int64 // Unix ns by the origin's clock; older entries are not accepted; 0 is no bound
}

// mayHaveRun reports whether an attempt may have taken effect at a server.
func (attempt *attemptState) mayHaveRun() bool {
	return !attempt.ended || attempt.result > NotSent && attempt.result != LocalError
}

// waitsForEjected reports whether an attempt waits for an endpoint that has been ejected. It does not for the
// endpoint that it probes, until minProbeBackoff is over.
func (attempt *attemptState) waitsForEjected(now int64, endpoint *endpointState) bool {
	if endpoint == nil || !endpoint.ejected {
		return false
	}
	return attempt.probed != endpoint || now-attempt.sentAt > minProbeBackoff
}

// disqualifies reports whether an attempt is a reason not to send the request to an endpoint again. A
// connection that broke and the like are none: a retry may well succeed there, and another cache would have to
// fill the object first.
func (attempt *attemptState) disqualifies(endpoint *endpointState) bool {
	switch attempt.result {
	case ConnectionLost, SendInterrupted, ServerError, NotCached, Stale, LocalError:
		return false
	}
	return attempt.cache == endpoint || attempt.source == endpoint
}

// nextKind returns the kind that the next attempt of a request is likely to be.
func (request *Request) nextKind(now int64) attemptKind {
	switch {
	case request.sourceMissed:
		return fetches
	case request.record.likelyCachedUntil <= now || request.diverted:
		return fills
	}
	return hits
}

// isUncacheable reports whether the answer to a request is never cached, because only the origin can answer it.
func (request *Request) isUncacheable() bool { return request.class.Uncacheable || request.Write }

// sendDeadline returns by when a request has to be sent to a cache: halfway to its deadline, so that there is
// time left for the answer, and later only if an attempt got as far as a cache.
func (request *Request) sendDeadline() int64 {
	for _, attempt := range request.attempts {
		if attempt.mayHaveRun() || attempt.result == Overloaded || attempt.result == NotCached {
			return request.Deadline
		}
	}
	return request.arrivedAt + (request.Deadline-request.arrivedAt)/2
}

// sendTimeout returns for how long an attempt that starts now may wait until it is sent, in ns.
func (request *Request) sendTimeout(now int64) int64 {
	timeout := min(request.sendDeadline(), request.Deadline-request.class.minResponseTime()) - now
	if request.class.Idempotency != Keyed {
		return timeout
	}
	for _, before := range request.attempts {
		if before.mayHaveRun() { // the server drops repetitions only within the window, whenever they are sent
			timeout = min(timeout, before.sentAt+request.class.KeyWindow-now)
		}
	}
	return timeout
}

// waitUntil returns until when a request waits if no endpoint can take it.
func (request *Request) waitUntil() int64 {
	return max(request.arrivedAt, request.exhaustedAt) + request.class.LatencyObjective/maxWaitDivisor
}

// lastAttempt returns the last attempt of a request, or nil before the first.
func (request *Request) lastAttempt() *attemptState {
	if len(request.attempts) == 0 {
		return nil
	}
	return request.attempts[len(request.attempts)-1]
}

// sourceRejected reports whether the source rejected the last attempt. Then the other parents are likely to
// reject the next one too, and it goes to the origin if that cannot be overloaded.
func (request *Request) sourceRejected() bool {
	last := request.lastAttempt()
	return last != nil && last.sourceRejected
}

// attemptCount returns how many attempts of a request count: all but those that failed on this machine.
func (request *Request) attemptCount() (count int) {
	for _, attempt := range request.attempts {
		if !attempt.ended || attempt.result != LocalError {
			count++
		}
	}
	return count
}

// anyMayHaveRun reports whether an attempt of a request may have taken effect at a server.
func (request *Request) anyMayHaveRun() bool {
	return slices.ContainsFunc(request.attempts, (*attemptState).mayHaveRun)
}
