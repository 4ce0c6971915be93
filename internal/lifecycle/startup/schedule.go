package startup

import "math/rand/v2"

// Notification deadlines: this long after a disconnect, a silence of the discovery service or a change of its address,
// the platform regards a router as notified of all earlier changes, whether or not it has received them. Source: the
// platform's pages.
const (
	deadlineAfterDisconnect    = 2 * second
	deadlineAfterSilence       = 4 * second
	deadlineAfterAddressChange = 4 * second
	maxNotificationTime        = 7 * second
)

// MaxAnswerTime is the longest time, ns, for which the answer to a call is awaited: by then the router counts as
// notified of all that the answer would tell.
const MaxAnswerTime = maxNotificationTime

// answerAllowance is the time before a notification deadline that is reserved for connecting and for the answer.
const answerAllowance = 500 * millisecond

// Target rates of the calls of all routers together, per second, and the longest durations over which calls are
// spread. Where a longer duration would miss a notification deadline, the rate is exceeded.
const (
	retryRate = 110. // rate of retries while the service refuses calls or does not answer

	reconnectRate          = 300.                        // rate of calls after a disconnect
	maxReconnectSpread     = deadlineAfterDisconnect / 2 // the other half of that time is for one retry
	maxAddressChangeSpread = second

	// maxFirstSpread is for the first calls of routers that have a list from their configuration and serve with
	// it. They count as notified of a change as soon as the service has it, so they have to learn of it within
	// the grace period of draining endpoints, 250 ms. The spread is only a part of that.
	maxFirstSpread = 100 * millisecond

	// maxHeldFirstSpread bounds the spread of the first calls of routers with a list whose readiness is held. Such a
	// router serves the clients that come to it all the same, so it has to learn of a change by the time at which it
	// counts as notified. The rest of that time is for one retry.
	maxHeldFirstSpread = maxNotificationTime - 2*second

	// A router without a list serves no client, so no notification deadline applies to its calls. Their rate depends
	// on the capacity of the service and on how soon the router should serve. The first retry is made after 0.5 to 1.5
	// times the duration in which all routers can call once at noListRate; that duration counts as minRetryDelay at
	// least and as maxNoListSpread at most.
	noListRate      = 85.
	maxNoListSpread = 2600 * millisecond
)

// Delays of retries.
const (
	minRetryDelay = 200 * millisecond // for deployments with few routers, or settings that state too few
	maxRetryDelay = maxNotificationTime - 2*second
	backoffGrowth = 3 // decorrelated jitter: the next delay is at most this multiple of the last one

	// maxOutageDelay is the longest delay while the service refuses calls, if all routers together stay within
	// retryRate with it: up to 36 routers. The router counts as notified of a change 7 s after it, however long the
	// outage was, so a change may have to be learned just after the service is back.
	maxOutageDelay = 500 * millisecond

	// minUnansweredDelay is the shortest delay after a call that was accepted but not answered. If routers that
	// give up called again soon, their calls would refill the service's queue as fast as it empties.
	minUnansweredDelay = maxRetryDelay * 2 / 3

	// A truncated answer is requested again almost at once, up to maxTruncatedRetries times in a row: the router
	// counts as notified of the changes in it, and the usual spread of retries is longer than the grace period of
	// draining endpoints, 250 ms. A router without a list sends no requests and backs off instead, so that it does
	// not call a service that truncates all its answers more often.
	maxTruncatedRetries  = 2
	truncatedRetrySpread = 20 * millisecond
	// maxAnswerAge is the time after the beginning of an answer from which what the service sends no longer counts as
	// the answer to the call: by then it has sent all earlier changes, since it sends a comment each second. Only a
	// truncated answer is requested again almost at once.
	maxAnswerAge = second

	// A call that this machine could not make is retried soon, since it put no load on the service. If many
	// routers of one machine wait for the same descriptors, their calls are spread as after a disconnect.
	minLocalErrorDelay = 20 * millisecond
	maxLocalErrorDelay = 200 * millisecond
)

// Timeouts of reads from the service.
const (
	silenceTimeout = 1700 * millisecond // time without data; the service sends a comment each second

	// The timeout of the first byte is multiplied by firstByteTimeoutGrowth after each call that the service
	// accepts but does not answer.
	initialFirstByteTimeout = 1700 * millisecond
	maxFirstByteTimeout     = MaxAnswerTime
	firstByteTimeoutGrowth  = 4
)

// scheduleStream is the second half of the seed of a schedule's random numbers. It makes them independent of those
// that other packages generate from the same router's seed.
const scheduleStream = 0x6c697374

// CallSchedule decides when one router of many calls the discovery service. It is not safe for concurrent use.
type CallSchedule struct {
	routers float64 // number of routers that call the service
	hold    ReadinessHold
	random  *rand.Rand

	hasList  bool
	hasData  bool  // a complete event or comment was received since the last call ended
	calledAt int64 // when the last call was made or its answer began
	stalls   eventStalls

	firstByteTimeout int64
	lastDelay        int64 // last delay of the backoff; 0: the backoff starts again
	localErrorDelay  int64 // last delay after a call that this machine could not make; 0: there was none
	truncations      int   // number of consecutive answers that were truncated

	answerDeadline int64 // notification deadline by which a call has to be answered; 0: none applies
	retryAdvanced  bool  // a retry was moved to an earlier time to meet answerDeadline
}

// NewCallSchedule returns the schedule of one router. routers is the number of all routers that call the service. hold
// is the readiness hold in the operator's file; the zero value is no hold.
func NewCallSchedule(seed uint64, routers int, hold ReadinessHold) *CallSchedule {
	return &CallSchedule{
		routers:          float64(max(1, routers)),
		hold:             hold,
		random:           rand.New(rand.NewPCG(seed, scheduleStream)),
		firstByteTimeout: initialFirstByteTimeout,
	}
}

// FirstDelay returns the delay from the router's start to its first call, ns. now is the time of the start.
func (s *CallSchedule) FirstDelay(now int64) int64 {
	s.answerDeadline = 0 // if the call fails, retries maxRetryDelay apart are soon enough for later changes
	switch {
	case s.hold.CallRate > 0 && s.hasList:
		s.answerDeadline, s.retryAdvanced = now+maxNotificationTime, false
		return s.draw(s.spread(s.hold.CallRate, min(s.hold.MaxDuration-answerAllowance, maxHeldFirstSpread)))
	case s.hold.CallRate > 0:
		return s.draw(s.spread(s.hold.CallRate, s.hold.MaxDuration-answerAllowance))
	case !s.hasList:
		return s.draw(s.spread(noListRate, maxNoListSpread))
	}
	return s.draw(s.spread(retryRate, maxFirstSpread))
}

// AddressChanged returns the delay, ns, of the first call to the new address of the service. now is the time of the
// change, from which the notification deadline counts.
func (s *CallSchedule) AddressChanged(now int64) int64 {
	s.answerDeadline, s.retryAdvanced = now+deadlineAfterAddressChange, false
	s.firstByteTimeout, s.hasData = initialFirstByteTimeout, false
	s.stalls.reset()
	return s.draw(s.spread(reconnectRate, maxAddressChangeSpread))
}

// ListReceived records that the router has an endpoint list, so that notification deadlines apply to its calls.
func (s *CallSchedule) ListReceived() { s.hasList = true }

// CallStarted records when a call is made or its answer begins. What the service sends soon after is the answer.
func (s *CallSchedule) CallStarted(now int64) { s.calledAt = now }

// isAnswer reports whether what the service sends now counts as the answer to the call, rather than as news.
func (s *CallSchedule) isAnswer(now int64) bool { return now-s.calledAt < maxAnswerAge }

// DataReceived records that a complete event or comment was received. It resets the backoff and the timeout of the
// first byte.
func (s *CallSchedule) DataReceived() {
	s.hasData, s.firstByteTimeout, s.lastDelay = true, initialFirstByteTimeout, 0
}

// EventReceived records that an event was received completely, and the longest pause inside it, ns.
func (s *CallSchedule) EventReceived(pause int64) { s.stalls.eventReceived(pause) }

// EventStalled records that a call is ended because StallTimeout has passed inside an event.
func (s *CallSchedule) EventStalled() { s.stalls.stalledCalls++ }

// SetShortestGracePeriod sets the shortest time within which the router has to act on a watch event, ns; 0: unknown.
func (s *CallSchedule) SetShortestGracePeriod(grace int64) { s.stalls.grace = grace }

// StallTimeout returns how long to wait for the next byte within an event, ns.
//
// The router counts as notified of the events in the answer to a call from the time of the call on, so an answer that
// stands still is requested again within the grace period. Of later events it counts as notified only
// deadlineAfterSilence after the service has fallen silent, so they may pause for as long as the service may be silent
// between two events.
func (s *CallSchedule) StallTimeout(now int64) int64 {
	if s.isAnswer(now) {
		return s.stalls.answerTimeout()
	}
	return maxStallTimeout
}

// ReadTimeout returns how long to wait for the first byte of an answer or, after the first complete event or comment,
// for the first byte of the next one, ns.
func (s *CallSchedule) ReadTimeout() int64 {
	if s.hasData {
		return silenceTimeout
	}
	return s.firstByteTimeout
}

// CallEnded returns the delay, ns, of the next call after one that has ended.
//
// After a connection on which data was received, the next call meets the notification deadline: all routers spread
// their calls over at most half of the time until then. After other calls the schedule backs off with decorrelated
// jitter (Brooker, "Exponential Backoff And Jitter", 2015). The delays of the backoff grow with the time in which all
// routers can call once at the target rate, and one retry is made before the notification deadline.
func (s *CallSchedule) CallEnded(now int64, result CallResult) int64 {
	if result == LocalError {
		return s.delayAfterLocalError()
	}
	hadData := s.hasData
	s.hasData, s.localErrorDelay = false, 0
	if s.retriesAlmostAtOnce(now, result) {
		s.truncations++
		return s.draw(truncatedRetrySpread)
	}
	s.truncations = 0
	switch {
	case hadData:
		return s.delayAfterDisconnect(now, result)
	case !s.hasList && result != Unanswered:
		return s.delayWithoutList()
	}
	return s.advanceToDeadline(now, s.retryDelay(result))
}

// retriesAlmostAtOnce reports whether the next call is made within truncatedRetrySpread because the answer was
// truncated.
func (s *CallSchedule) retriesAlmostAtOnce(now int64, result CallResult) bool {
	return result == Truncated && s.hasList && s.isAnswer(now) && s.truncations < maxTruncatedRetries
}

// delayAfterLocalError returns a random delay. Its upper bound doubles with each further call that this machine could
// not make, up to a limit.
func (s *CallSchedule) delayAfterLocalError() int64 {
	limit := max(maxLocalErrorDelay, s.spread(reconnectRate, maxReconnectSpread))
	s.localErrorDelay = min(max(2*s.localErrorDelay, minLocalErrorDelay), limit)
	half := s.localErrorDelay / 2
	return half + s.draw(half)
}

// delayAfterDisconnect sets the notification deadline and returns the delay of the call that has to meet it.
func (s *CallSchedule) delayAfterDisconnect(now int64, result CallResult) int64 {
	s.answerDeadline, s.retryAdvanced = now+deadlineAfterDisconnect, false
	if result == Silent {
		s.answerDeadline = now + deadlineAfterSilence - silenceTimeout // the silence began before it was noticed
	}
	return s.draw(s.spread(reconnectRate, maxReconnectSpread))
}

// delayWithoutList returns the delay of a retry by a router without a list. The first delays depend on the number of
// routers in the settings. If that number is too low, the delays still grow, because they back off.
func (s *CallSchedule) delayWithoutList() int64 {
	minDelay := max(s.spread(noListRate, maxNoListSpread), minRetryDelay) / 2
	return s.backoff(minDelay, 3*minDelay, maxNoListSpread*3/2)
}

// retryDelay returns the delay after a call that was refused or got no answer. With few routers it does not grow while
// calls are refused, which costs the service nothing.
func (s *CallSchedule) retryDelay(result CallResult) int64 {
	if result == Unanswered {
		s.firstByteTimeout = min(firstByteTimeoutGrowth*s.firstByteTimeout, maxFirstByteTimeout)
		return s.backoff(minUnansweredDelay, 2*minUnansweredDelay, maxRetryDelay)
	}
	// The mean delay is 3/4 of the longest one: all routers together make 8/9 of retryRate calls per second at most.
	if s.spread(retryRate*2/3, maxRetryDelay) <= maxOutageDelay {
		return maxOutageDelay/2 + s.draw(maxOutageDelay/2)
	}
	minDelay := min(max(s.spread(retryRate, maxRetryDelay), minRetryDelay), maxRetryDelay/2)
	return s.backoff(minDelay, 2*minDelay, min(backoffGrowth*minDelay, maxRetryDelay))
}

// advanceToDeadline shortens the delay of a retry that would miss the notification deadline. The retry is made at a
// random time in the second half of the time left, so that routers that were disconnected together do not all call at
// the last moment. It does this once per deadline, since delays halved again and again would approach 0.
func (s *CallSchedule) advanceToDeadline(now, delay int64) int64 {
	left := s.answerDeadline - answerAllowance - now
	if left <= 0 || delay <= left || s.retryAdvanced {
		return delay
	}
	s.retryAdvanced = true
	return left/2 + s.draw(left/2)
}

// backoff returns the next delay of decorrelated jitter, ns. It is random, and at least minDelay. Its upper bound is
// the larger of firstLimit and backoffGrowth times the last delay, but not more than maxDelay.
func (s *CallSchedule) backoff(minDelay, firstLimit, maxDelay int64) int64 {
	limit := min(max(backoffGrowth*s.lastDelay, firstLimit), maxDelay)
	s.lastDelay = minDelay + s.draw(limit-minDelay)
	return s.lastDelay
}

// spread returns the time that all routers need to call once at a rate, at most maxSpread.
func (s *CallSchedule) spread(rate float64, maxSpread int64) int64 {
	return min(int64(s.routers/rate*float64(second)), maxSpread)
}

// draw returns a random duration in [0, limit), or 0 if limit is not positive.
func (s *CallSchedule) draw(limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return s.random.Int64N(limit)
}
