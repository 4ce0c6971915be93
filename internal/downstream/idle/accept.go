package idle

import "time"

const (
	// maxAcceptDelay is how long, in ns, a connection may have been in the backlog before accepting speeds up.
	maxAcceptDelay = int64(200 * time.Millisecond)

	// delayedFactor is what acceptRate is multiplied by then, saturated or not.
	delayedFactor = 2.

	// abandonedAfter is for how long, in ns, the request of a client that has closed may wait to be read. A
	// request is not forwarded later than 100 ms after its client has closed; half of that may pass before it
	// is read.
	abandonedAfter = int64(50 * time.Millisecond)
)

// AcceptPacer limits how fast connections are accepted, so that many that come at once, as after the restart of
// a router, do not delay the requests of other clients. Those that have to wait stay in the listener's backlog.
// It is not safe for concurrent use.
type AcceptPacer struct {
	accept          tokenBucket
	acceptSuspended tokenBucket
}

// NewAcceptPacer returns a pacer for a process that may use so many cores.
func NewAcceptPacer(cores float64) *AcceptPacer {
	cores = effectiveCores(cores)
	return &AcceptPacer{
		accept:          tokenBucket{rate: acceptRate * cores},
		acceptSuspended: tokenBucket{rate: acceptSuspendedRate * cores},
	}
}

// AcceptDecision says what is done with the next connection in the backlog.
type AcceptDecision int

const (
	// Defer leaves the connection in the backlog.
	Defer AcceptDecision = iota

	// Accept accepts the connection and starts to read from it.
	Accept

	// AcceptSuspended accepts the connection and suspends it until something is received on it.
	AcceptSuspended
)

// Decide says what is done with the next connection in the backlog, and with Defer for how many ns at most to
// wait before it is called again. waited is for how many ns the connection may have been there; silent says
// that nothing has been received on it.
//
// A silent connection that would have to wait is suspended instead, at a rate of its own: it does not delay the
// connections behind it, which may have sent a request. Once a connection may have waited for maxAcceptDelay,
// accepting speeds up even if the router is saturated, since the requests of other clients are delayed by some
// milliseconds only and those in the backlog by seconds.
func (p *AcceptPacer) Decide(now, waited int64, saturated, silent bool) (decision AcceptDecision, wait int64) {
	wait = p.waitToAccept(now, waited, saturated)
	if wait == 0 {
		return Accept, 0
	}
	if !silent {
		return Defer, wait
	}
	waitToSuspend := p.acceptSuspended.take(now, false)
	if waitToSuspend == 0 {
		return AcceptSuspended, 0
	}
	return Defer, min(wait, waitToSuspend)
}

// waitToAccept takes a token for an accept, or returns how many ns to wait for one.
func (p *AcceptPacer) waitToAccept(now, waited int64, saturated bool) int64 {
	if waited > maxAcceptDelay {
		return p.accept.takeAt(now, p.accept.rate*delayedFactor)
	}
	return p.accept.take(now, saturated)
}

// Abandoned says whether a client's request is too old to be read: the client has closed its sending side, and
// the request may have waited longer than abandonedAfter. waited is how long it may have waited, ns.
func Abandoned(waited int64, peerClosed bool) bool { return peerClosed && waited > abandonedAfter }
