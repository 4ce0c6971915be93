package startup

// Timeouts of reads inside an event.
const (
	// Within the answer to a call, the timeout of the next byte is at first the shortest grace period for acting on a
	// watch event, divided by stallGraceDivisor: the router counts as notified of these events as soon as it calls.
	stallGraceDivisor = 3

	// After each call that ended because an event stalled, the timeout is multiplied by stallTimeoutGrowth. The
	// service may be slow rather than stuck, and the next call gets the same event again.
	stallTimeoutGrowth = 4

	// Pauses inside complete events show how slowly the service writes. The timeout is at least stallPauseFactor times
	// the longest recent one, which counts for less by 1/pauseDecayDivisor with each further event.
	stallPauseFactor  = 2
	pauseDecayDivisor = 8

	maxStallTimeout = silenceTimeout
)

// eventStalls decides how long to wait for the next byte inside an event.
type eventStalls struct {
	grace        int64 // shortest time within which the router has to act on a watch event, ns; 0: unknown
	stalledCalls int   // calls that ended because an event stalled, since the last complete event
	longestPause int64 // longest recent pause inside a complete event, ns
}

// answerTimeout returns the timeout of the next byte, ns, inside an event of the answer to a call.
func (e *eventStalls) answerTimeout() int64 {
	if e.grace <= 0 {
		return maxStallTimeout
	}
	timeout := max(e.grace/stallGraceDivisor, stallPauseFactor*e.longestPause)
	for range e.stalledCalls {
		if timeout >= maxStallTimeout {
			break
		}
		timeout *= stallTimeoutGrowth
	}
	return min(timeout, maxStallTimeout)
}

// eventReceived records a complete event and the longest pause inside it, ns.
func (e *eventStalls) eventReceived(pause int64) {
	e.stalledCalls = 0
	e.longestPause = max(pause, e.longestPause-e.longestPause/pauseDecayDivisor)
}

// reset forgets what was learned of the service, since another one is called from now on.
func (e *eventStalls) reset() { e.stalledCalls, e.longestPause = 0, 0 }
