package control

import (
	"slices"

	"tealpath/internal/timerqueue"
)

// attemptKind determines the admission limit that an attempt counts against.
type attemptKind int

// Kinds of attempts, by where the object is expected to come from.
const (
	hits         attemptKind = iota // the cache likely has the object
	fills                           // the cache likely has to fill the object from a parent
	fetches                         // the object comes from the origin: a parent lacks it, or parents reject fills
	attemptKinds = 3                // number of the kinds above
)

func (k attemptKind) String() string { return [attemptKinds]string{"hits", "fills", "fetches"}[k] }

// requestState is the part of a Request that only this package reads and writes.
type requestState struct {
	class        *classState // nil before the first call of Decide, and if the class is unknown
	record       *objectRecord
	arrivedAt    int64
	exhaustedAt  int64 // ns; last wait because this machine could not open connections; 0: none
	attempts     []*attemptState
	inFlight     int  // number of attempts that have not ended
	ended        bool // the request has its final response, or needs none
	sourceMissed bool // the origin must fill the object: a parent lacks it, or parents reject fills
	diverted     bool // the home cache is at its limit, and another cache must fill the object
}

// attemptState is the state of one attempt of a request, in flight or ended.
type attemptState struct {
	sentAt         int64
	cache          *endpointState
	location       string         // of the cache, when the attempt was sent
	cell           int64          // of the cache, when the attempt was sent
	source         *endpointState // nil if the cache may serve only a cached object
	probed         *endpointState // the ejected endpoint that this attempt probes, or nil
	ended          bool
	result         Result // how the attempt ended; valid if ended
	sourceRejected bool   // the source rejected the fill, was unreachable or did not have the object
	kind           attemptKind
	sendTimeout    int64 // ns from sentAt; an attempt that is not sent within this time ends as Unreachable
	lateAt         int64 // ns; a response from this time on is late
	isLate         bool  // lateAt has passed, so the attempt no longer counts towards the load
	lateTimer      *timerqueue.Timer[*attemptState]
	minIssuedAt    int64 // Unix ns by the origin's clock; entries issued earlier are not accepted; 0: no limit
}

// mayHaveRun reports whether an attempt may have taken effect at a server.
func (attempt *attemptState) mayHaveRun() bool {
	return !attempt.ended || attempt.result > NotSent && attempt.result != LocalError
}

// waitsForEjected reports whether an attempt waits for an endpoint that is ejected. If the attempt probes that
// endpoint, this counts only after minProbeBackoff.
func (attempt *attemptState) waitsForEjected(now int64, endpoint *endpointState) bool {
	if endpoint == nil || !endpoint.ejected {
		return false
	}
	return attempt.probed != endpoint || now-attempt.sentAt > minProbeBackoff
}

// disqualifies reports whether an attempt is a reason not to send the request to an endpoint again. A lost connection
// and similar results are no reason: a retry there may well succeed, and another cache would first have to fill the
// object.
func (attempt *attemptState) disqualifies(endpoint *endpointState) bool {
	switch attempt.result {
	case ConnectionLost, SendInterrupted, ServerError, NotCached, Stale, LocalError:
		return false
	}
	return attempt.cache == endpoint || attempt.source == endpoint
}

// nextKind returns the likely kind of the next attempt of a request.
func (request *Request) nextKind(now int64) attemptKind {
	switch {
	case request.sourceMissed:
		return fetches
	case request.record.likelyCachedUntil <= now || request.diverted:
		return fills
	}
	return hits
}

// isUncacheable reports whether the response to a request is never cached, because only the origin can produce it.
func (request *Request) isUncacheable() bool { return request.class.Uncacheable || request.Write }

// sendDeadline returns the time by which a request must be sent to a cache. This is halfway to its deadline, so that
// time is left for the response. After an attempt that has reached a cache it is the deadline itself.
func (request *Request) sendDeadline() int64 {
	for _, attempt := range request.attempts {
		if attempt.mayHaveRun() || attempt.result == Overloaded || attempt.result == NotCached {
			return request.Deadline
		}
	}
	return request.arrivedAt + (request.Deadline-request.arrivedAt)/2
}

// sendTimeout returns the time in ns within which an attempt that starts now must be sent.
func (request *Request) sendTimeout(now int64) int64 {
	timeout := min(request.sendDeadline(), request.Deadline-request.class.minResponseTime()) - now
	if request.class.Idempotency != Keyed {
		return timeout
	}
	for _, before := range request.attempts {
		if before.mayHaveRun() { // the server drops repetitions only within the window after the earlier attempt
			timeout = min(timeout, before.sentAt+request.class.KeyWindow-now)
		}
	}
	return timeout
}

// waitUntil returns the time until which a request waits if no endpoint can take it.
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

// sourceRejected reports whether the source rejected the last attempt. Then the other parents are likely to reject
// the next attempt too, and it goes to the origin if the origin cannot be overloaded.
func (request *Request) sourceRejected() bool {
	last := request.lastAttempt()
	return last != nil && last.sourceRejected
}

// attemptCount returns the number of attempts of a request, without those that ended with LocalError.
func (request *Request) attemptCount() (count int) {
	for _, attempt := range request.attempts {
		if !attempt.ended || attempt.result != LocalError {
			count++
		}
	}
	return count
}

// MayHaveRun reports whether a request may have taken effect at a server.
func (request *Request) MayHaveRun() bool { return request.anyMayHaveRun() }

// anyMayHaveRun reports whether an attempt of a request may have taken effect at a server.
func (request *Request) anyMayHaveRun() bool {
	return slices.ContainsFunc(request.attempts, (*attemptState).mayHaveRun)
}
