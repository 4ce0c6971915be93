package startup

import "math/rand/v2"

// Notification deadlines: so long after a disconnect, a silence or a change of address, a router counts as
// notified of every change before it, whether it has been or not. Source: the platform's pages.
const (
	deadlineAfterDisconnect    = 2 * second
	deadlineAfterSilence       = 4 * second
	deadlineAfterAddressChange = 4 * second
	maxNotificationTime        = 7 * second
)

// answerAllowance is the part of a notification deadline that is left for dialling and for the answer.
const answerAllowance = 500 * millisecond

// Rates of calls that all routers together keep to, as far as the notification deadlines let them, and the
// longest times that calls are spread over.
const (
	retryRate = 110. // while the service refuses or does not answer

	reconnectRate          = 300.                        // after a disconnect
	maxReconnectSpread     = deadlineAfterDisconnect / 2 // the other half is for one retry
	maxAddressChangeSpread = second

	// maxFirstSpread is for the first calls of routers that know a list from their configuration and serve from
	// it. They count as notified of a change as soon as the service has it, so they have to hear of it within
	// the grace for draining endpoints, 250 ms. The spread is a part of that.
	maxFirstSpread = 100 * millisecond

	// A router that knows no list serves nobody, so no deadline binds its calls, but only the capacity of the
	// service and how soon the router is to serve. All routers without a list call once in half to one and a
	// half times this duration.
	noListRate      = 85.
	maxNoListSpread = 2600 * millisecond
)

// Delays of retries.
const (
	minRetryDelay = 200 * millisecond // of a router that is alone, or whose settings name few others
	maxRetryDelay = maxNotificationTime - 2*second
	backoffGrowth = 3 // of decorrelated jitter: the next delay is drawn up to so many times the last

	// minUnansweredDelay follows a call that was accepted and never answered. Routers that give up in the
	// service's queue and soon call again would keep the queue at its length.
	minUnansweredDelay = maxRetryDelay * 2 / 3

	// A truncated answer is requested again almost at once, up to so many times, since the router counts as
	// notified of what the answer would have said: the usual spread is longer than the grace for draining
	// endpoints, 250 ms. A router without a list sends to nobody and backs off instead, so that a service that
	// truncates all its answers is not called more often.
	maxTruncatedRetries  = 2
	truncatedRetrySpread = 20 * millisecond
	maxTruncatedAge      = second // the service sends a comment each second: it has sent all that was due by then

	// A call that this machine could not make is made again soon, since the service got no call. Many routers
	// of one machine that wait for the same descriptors are spread over as long as after a disconnect.
	minLocalErrorDelay = 20 * millisecond
	maxLocalErrorDelay = 200 * millisecond
)

// Timeouts of reads.
const (
	silenceTimeout = 1700 * millisecond // the service sends a comment each second

	// The timeout of the first byte grows while the service accepts calls and does not answer.
	initialFirstByteTimeout = 1700 * millisecond
	maxFirstByteTimeout     = 7 * second
	firstByteTimeoutGrowth  = 4

	// An event that has begun may stall for this part of the shortest grace.
	stallGraceDivisor = 3
	maxStallTimeout   = silenceTimeout
)

// scheduleStream makes the random numbers of schedules independent of others from the same seed.
const scheduleStream = 0x6c697374

// CallSchedule decides when one router of many calls the discovery service. It is not safe for use by two
// goroutines at once.
type CallSchedule struct {
	routers float64 // that call the service
	hold    ReadinessHold
	random  *rand.Rand

	hasList  bool
	hasData  bool  // a complete event or comment has come since the last call ended
	calledAt int64 // when the last call was made
	grace    int64 // the shortest in which the router has to act on a watch event; 0 is not known

	firstByteTimeout int64
	lastDelay        int64 // of the backoff; 0: it starts anew
	localErrorDelay  int64 // the last one after a call that this machine could not make; 0: there was none
	truncations      int   // young answers in a row that were truncated

	answerBy   int64 // until when a call has to be answered; 0: nothing binds it but maxRetryDelay
	retryMoved bool  // a retry was moved forward, to be before answerBy
}

// NewCallSchedule returns the schedule of one router of so many. hold is the operator's; the zero value is
// none.
func NewCallSchedule(seed uint64, routers int, hold ReadinessHold) *CallSchedule {
	return &CallSchedule{
		routers:          float64(max(1, routers)),
		hold:             hold,
		random:           rand.New(rand.NewPCG(seed, scheduleStream)),
		firstByteTimeout: initialFirstByteTimeout,
	}
}

// FirstDelay returns the wait from the start to the first call.
func (s *CallSchedule) FirstDelay() int64 {
	s.answerBy = 0 // if the call fails, retries at most maxRetryDelay apart are in time for later changes
	switch {
	case s.hold.CallRate > 0:
		return s.draw(s.spread(s.hold.CallRate, s.hold.MaxDuration-answerAllowance))
	case !s.hasList:
		return s.draw(s.spread(noListRate, maxNoListSpread))
	}
	return s.draw(s.spread(retryRate, maxFirstSpread))
}

// AddressChanged returns the wait before the first call at another address of the service.
func (s *CallSchedule) AddressChanged(now int64) int64 {
	s.answerBy, s.retryMoved = now+deadlineAfterAddressChange, false
	s.firstByteTimeout, s.hasData = initialFirstByteTimeout, false
	return s.draw(s.spread(reconnectRate, maxAddressChangeSpread))
}

// ListReceived notes that an endpoint list is known.
func (s *CallSchedule) ListReceived() { s.hasList = true }

// CallStarted notes that a call is made.
func (s *CallSchedule) CallStarted(now int64) { s.calledAt = now }

// DataReceived notes that a complete event or comment has come.
func (s *CallSchedule) DataReceived() {
	s.hasData, s.firstByteTimeout, s.lastDelay = true, initialFirstByteTimeout, 0
}

// SetDrainGrace notes the shortest time in which the router has to act on a watch event, ns.
func (s *CallSchedule) SetDrainGrace(grace int64) { s.grace = grace }

// StallTimeout returns for how long an event that has begun may stall, ns.
func (s *CallSchedule) StallTimeout() int64 {
	if s.grace <= 0 {
		return maxStallTimeout
	}
	return min(s.grace/stallGraceDivisor, maxStallTimeout)
}

// ReadTimeout returns for how long to wait for the next byte between events, or for the first.
func (s *CallSchedule) ReadTimeout() int64 {
	if s.hasData {
		return silenceTimeout
	}
	return s.firstByteTimeout
}

// CallEnded returns the wait before the next call, after one that ended.
//
// A connection on which something had come is followed by a call within the notification deadline; all routers
// spread theirs over half of that. Other calls back off by decorrelated jitter (Brooker, "Exponential Backoff
// And Jitter", 2015) over as long as all routers need at their rate, with one retry before the notification
// deadline.
func (s *CallSchedule) CallEnded(now int64, result CallResult) int64 {
	if result == LocalError {
		return s.delayAfterLocalError()
	}
	hadData := s.hasData
	s.hasData, s.localErrorDelay = false, 0
	if s.retriesAtOnce(now, result) {
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
	return s.beforeDeadline(now, s.retryDelay(result))
}

// retriesAtOnce reports whether a truncated answer is requested again at once.
func (s *CallSchedule) retriesAtOnce(now int64, result CallResult) bool {
	isYoung := now-s.calledAt < maxTruncatedAge
	return result == Truncated && s.hasList && isYoung && s.truncations < maxTruncatedRetries
}

// delayAfterLocalError returns a delay that doubles from one call to the next.
func (s *CallSchedule) delayAfterLocalError() int64 {
	limit := max(maxLocalErrorDelay, s.spread(reconnectRate, maxReconnectSpread))
	s.localErrorDelay = min(max(2*s.localErrorDelay, minLocalErrorDelay), limit)
	half := s.localErrorDelay / 2
	return half + s.draw(half)
}

func (s *CallSchedule) delayAfterDisconnect(now int64, result CallResult) int64 {
	s.answerBy, s.retryMoved = now+deadlineAfterDisconnect, false
	if result == Silent {
		s.answerBy = now + deadlineAfterSilence - silenceTimeout // the silence began before it was noticed
	}
	return s.draw(s.spread(reconnectRate, maxReconnectSpread))
}

// delayWithoutList spreads calls by the number of routers in the settings. Where that is too low, growing
// delays spread them further.
func (s *CallSchedule) delayWithoutList() int64 {
	minDelay := max(s.spread(noListRate, maxNoListSpread), minRetryDelay) / 2
	return s.backoff(minDelay, 3*minDelay, maxNoListSpread*3/2)
}

func (s *CallSchedule) retryDelay(result CallResult) int64 {
	minDelay := min(max(s.spread(retryRate, maxRetryDelay), minRetryDelay), maxRetryDelay/2)
	if result == Unanswered {
		s.firstByteTimeout = min(firstByteTimeoutGrowth*s.firstByteTimeout, maxFirstByteTimeout)
		minDelay = minUnansweredDelay
	}
	return s.backoff(minDelay, 2*minDelay, maxRetryDelay)
}

// beforeDeadline moves a retry that would miss the notification deadline forward, to the second half of the
// time left, so that routers that were disconnected together do not call together at the last moment either. It
// does so once for a deadline: halved again and again the delays would come to nothing.
func (s *CallSchedule) beforeDeadline(now, delay int64) int64 {
	left := s.answerBy - answerAllowance - now
	if left <= 0 || delay <= left || s.retryMoved {
		return delay
	}
	s.retryMoved = true
	return left/2 + s.draw(left/2)
}

// backoff returns the next delay by decorrelated jitter: from minDelay up to a multiple of the last delay, at
// first up to firstLimit, and never over maxDelay.
func (s *CallSchedule) backoff(minDelay, firstLimit, maxDelay int64) int64 {
	limit := min(max(backoffGrowth*s.lastDelay, firstLimit), maxDelay)
	s.lastDelay = minDelay + s.draw(limit-minDelay)
	return s.lastDelay
}

// spread returns how long all routers take to call once at a rate, and maxSpread at most.
func (s *CallSchedule) spread(rate float64, maxSpread int64) int64 {
	return min(int64(s.routers/rate*float64(second)), maxSpread)
}

// draw returns a random duration in [0, limit).
func (s *CallSchedule) draw(limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return s.random.Int64N(limit)
}
