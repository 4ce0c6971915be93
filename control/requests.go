package control

import (
	"slices"
	"tealpath/internal/timerqueue"
)

// attemptKind is which admission limit an attempt counts in.
type attemptKind int

// The kinds of attempts.
const (
	hits    attemptKind = iota // the cache likely holds the object
	fills                      // it is likely filled from a parent
	fetches                    // it is fetched from the origin: a parent has said that it lacks it
	kinds   = 3
)

func (k attemptKind) String() string { return [kinds]string{"hits", "fills", "fetches"}[k] }

// requestState is what the module keeps of a request.
type requestState struct {
	class        *classState // nil until Decide has seen the request
	record       *objectRecord
	arrivedAt    int64
	exhaustedAt  int64 // when it was last held as this machine could open no connections
	attempts     []*attemptState
	inFlight     int  // of the attempts
	ended        bool // it has its final answer, or needs none
	sourceMissed bool // its source lacks the object
	diverted     bool // its first cache is at its limit: another one is to fill it
}

// attemptState is what the module keeps of an attempt.
type attemptState struct {
	sentAt        int64
	cache, source *endpointState // source is nil where the cache is asked only for what it holds
	probed        *endpointState // the ejected endpoint that this attempt probes; nil is none
	ended         bool
	result        Result // once it has ended
	sourceRejected bool   // its source was at its limit, or dead
	kind          attemptKind
	sendTimeout   int64 // ns; for how long it may wait to be on its way
	lateAt        int64 // from when an answer is late
	isLate        bool  // lateAt has come
	lateTimer     *timerqueue.Timer[*attemptState]
	minIssuedAt   int64 // Unix ns; from when on what it brings must have been issued, by its own stamp; 0 is no bound
}

// mayHaveRun tells whether nothing proves that an attempt did not take effect.
func (attempt *attemptState) mayHaveRun() bool {
	return !attempt.ended || attempt.result > NotSent && attempt.result != LocalError
}

// waitsForEjected tells whether an attempt waits for an ejected endpoint. A probe gets its time, else it teaches nothing.
func (attempt *attemptState) waitsForEjected(now int64, endpoint *endpointState) bool {
	return endpoint != nil && endpoint.ejected && (attempt.probed != endpoint || now-attempt.sentAt > minProbeBackoff)
}

// disqualifies tells whether an attempt is a reason not to try an endpoint again. A connection that broke by itself is none
// to fill the object elsewhere.
func (attempt *attemptState) disqualifies(endpoint *endpointState) bool {
	switch attempt.result {
	case ConnectionLost, SendInterrupted, ServerError, NotHeld, Stale, LocalError:
		return false
	}
	return attempt.cache == endpoint || attempt.source == endpoint
}

// nextKind is the kind of the next attempt.
func (request *Request) nextKind(now int64) attemptKind {
	switch {
	case request.sourceMissed:
		return fetches
	case request.record.likelyCachedUntil <= now || request.diverted:
		return fills
	}
	return hits
}

// isUncacheable tells whether no cache or parent keeps the answer to a request: it runs at the origin.
func (request *Request) isUncacheable() bool { return request.class.uncacheable || request.Write }

// sendDeadline is until when a request may stay without an attempt that came whole to a cache.
func (request *Request) sendDeadline() int64 {
	for _, attempt := range request.attempts {
		if attempt.mayHaveRun() || attempt.result == Overloaded || attempt.result == NotHeld {
			return request.Deadline
		}
	}
	return request.arrivedAt + (request.Deadline-request.arrivedAt)/2
}

// sendTimeout is how long an attempt that begins now may wait to be on its way, ns.
func (request *Request) sendTimeout(now int64) int64 {
	timeout := min(request.sendDeadline(), request.Deadline-request.class.minResponseTime()) - now
	if request.class.idempotency != keyed {
		return timeout
	}
	for _, before := range request.attempts {
		if before.mayHaveRun() { // the server drops repetitions for so long, late links or not
			timeout = min(timeout, before.sentAt+request.class.keyWindow-now)
		}
	}
	return timeout
}

// waitUntil is until when a request that finds no place is held.
func (request *Request) waitUntil() int64 {
	return max(request.arrivedAt, request.exhaustedAt) + request.class.objective/maxWaitDivisor
}

// lastAttempt is the last attempt of a request, nil before the first.
func (request *Request) lastAttempt() *attemptState {
	if len(request.attempts) == 0 {
		return nil
	}
	return request.attempts[len(request.attempts)-1]
}

// sourceRejected tells whether the last attempt found its source at its limit or dead. The other parents are likely
// no better: one who can't fall over, the origin, is asked.
func (request *Request) sourceRejected() bool {
	last := request.lastAttempt()
	return last != nil && last.sourceRejected
}

// attemptCount is how many of a request's attempts left this machine, or may yet.
func (request *Request) attemptCount() (n int) {
	for _, attempt := range request.attempts {
		if !attempt.ended || attempt.result != LocalError {
			n++
		}
	}
	return n
}

// anyMayHaveRun tells whether an attempt of a request may have taken effect.
func (request *Request) anyMayHaveRun() bool {
	return slices.ContainsFunc(request.attempts, (*attemptState).mayHaveRun)
}
