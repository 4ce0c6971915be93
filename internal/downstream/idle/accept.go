package idle

import "time"

const (
	// backlogDelayThreshold is the time in the listener's backlog, in ns. Once a connection may have waited longer,
	// more connections are accepted per second.
	backlogDelayThreshold = int64(200 * time.Millisecond)

	// delayedAcceptFactor is the factor by which acceptRate is multiplied once a connection may have waited in the
	// backlog for longer than backlogDelayThreshold, whether or not the router is saturated.
	delayedAcceptFactor = 2.

	// maxWaitAfterPeerClose is how long, in ns, the request of a client that has closed its sending side may
	// wait to be read. A request must not be forwarded more than 100 ms after its client closed, and waiting
	// to be read may use half of that time.
	maxWaitAfterPeerClose = int64(50 * time.Millisecond)
)

// AcceptPacer limits how fast connections are accepted, so that a burst of new connections, as after the
// restart of a router, does not delay the requests of other clients. Connections that have to wait stay in the
// listener's backlog. It is not safe for concurrent use.
type AcceptPacer struct {
	accept          tokenBucket
	acceptSuspended tokenBucket
}

// NewAcceptPacer returns a pacer whose rates are those per core times cores, the number that the process may use; 0
// means one core.
func NewAcceptPacer(cores float64) *AcceptPacer {
	cores = effectiveCores(cores)
	return &AcceptPacer{
		accept:          tokenBucket{rate: acceptRate * cores},
		acceptSuspended: tokenBucket{rate: acceptSuspendedRate * cores},
	}
}

// AcceptDecision says what to do with the next connection in the backlog.
type AcceptDecision int

const (
	// Defer means that the connection has to wait until Decide is called again.
	Defer AcceptDecision = iota

	// Accept accepts the connection and starts to read from it.
	Accept

	// AcceptSuspended accepts the connection and suspends it until something is received on it.
	AcceptSuspended
)

// Decide returns what to do with the next connection in the backlog. With Defer, wait is the maximum time, in
// ns, until the next call. waited is the longest time, in ns, that the connection can have been in the
// backlog. silent means that nothing has been received on it.
//
// A silent connection that would have to wait is suspended instead, at a separate rate, so that it does not
// delay the connections behind it, which may have sent a request. Once a connection may have waited longer
// than backlogDelayThreshold, accepting speeds up even if the router is saturated: this delays the requests of
// other clients by a few milliseconds, whereas requests in the backlog would be delayed by seconds.
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

// waitToAccept takes a token for accepting a connection and returns 0. If no token is available, it returns the time
// until the next one, in ns.
func (p *AcceptPacer) waitToAccept(now, waited int64, saturated bool) int64 {
	if waited > backlogDelayThreshold {
		return p.accept.takeAt(now, p.accept.rate*delayedAcceptFactor)
	}
	return p.accept.take(now, saturated)
}

// Abandoned reports whether a client's request is too old to be read: the client has closed its sending side,
// and the request may have waited longer than maxWaitAfterPeerClose. waited is the longest time, in ns, that
// the request can have waited.
func Abandoned(waited int64, peerClosed bool) bool {
	return peerClosed && waited > maxWaitAfterPeerClose
}
