// Package startup decides how a router begins among hundreds that begin in the same second: when it calls the list service
// and when again, which lists it believes, and what phase of its start it is in. It does no input or output, reads no
// clock, starts no goroutine; time and chance come in. docs/coldstart.md has the arithmetic and the options.
//
// All times are ns on the caller's monotonic axis; spans are ns.
package startup

import "math/rand/v2"

const (
	second      = int64(1e9)
	millisecond = int64(1e6)
)

// What the platform's pages state of when a change counts as told to a router that has not heard it: after its connection
// broke off, after it stood still, after a new configuration, and at the latest.
const (
	toldAfterBreak  = 2 * second
	toldAfterStop   = 4 * second
	toldAfterMove   = 4 * second
	toldAtTheLatest = 7 * second
)

// What a call takes: of the time by which a change counts as told, so much is kept for dialling and for the answer.
const answerTime = 500 * millisecond

// Rates that all routers together keep to, calls a second, as far as the times above let them.
const (
	againRate = 110. // where the service refuses or does not answer
	breakRate = 300. // after a break: half of the time there is is left for one more try
)

const (
	breakSpreadMost = toldAfterBreak / 2
	moveSpreadMost  = second

	// After a start a change counts as told when it is in the service, so a router that serves from what its configuration
	// knew has the grace for drains, 250 ms, to hear of it: of this a part. With the first calls spread over 2.6 s 32
	// requests went to caches that drained, in one day of 300 routers.
	firstSpreadMost = 100 * millisecond

	// A router that knows no list serves nobody, so it can't act on what changed: nothing binds its calls but what the service
	// bears and how soon it is to serve. All that know none call once in so long, half to one and a half.
	aloneRate       = 85.
	aloneSpreadMost = 2600 * millisecond

	againLeast = 200 * millisecond // where one router is alone, or the settings know of few
	againMost  = toldAtTheLatest - 2*second
	grows      = 3 // decorrelated jitter: the next wait is drawn up to so many times the last

	quietMost     = 1700 * millisecond // a comment comes each second
	quietFirst    = 1700 * millisecond // for the first byte; grows while the service takes calls and does not answer:
	quietFirstMax = 7 * second         // who gives up in the queue and calls again keeps the queue as long as it is
	quietGrows    = 4
	quietAgain    = againMost * 2 / 3 // until the next call then, at least

	// What is asked for counts as told at once. So a call whose answer is cut off is made again at once, so often; the usual
	// spread was longer than the grace for drains, 250 ms, and two requests went to a cache that drained. Who knows no list sends
	// to nobody, and calls as ever: a service that cuts all its answers had three times the calls of a start.
	cutAgain  = 2
	cutSpread = 20 * millisecond
	cutYoung  = second // a comment comes each second: by then what had to be told has been
	stallPart = 3      // of the shortest grace for which an event that has begun may stand still
	stallMost = quietMost

	// A call that this machine could not make is made again soon: the service was not asked. Many routers of one machine that
	// wait for the same descriptors come spread over as long as after a break.
	notCalledLeast = 20 * millisecond
	notCalledMost  = 200 * millisecond
)

// CallResult is how a call ended, or the connection that it made.
type CallResult int

// The ends. Refused proves that nobody is there; Unreachable is silence on dialling; Unanswered took the call and never said
// anything; Disconnected and Silent had said something before; Truncated ended or stood still inside an event, or before anything whole.
// LocalError is an error of this machine's own, and says nothing of the service.
const (
	Refused CallResult = iota
	Unreachable
	Unanswered
	Disconnected
	Silent
	Truncated
	LocalError
)

func (e CallResult) String() string {
	return []string{"refused", "unreached", "unanswered", "broke", "silent", "cut", "not called"}[e]
}

// CallSchedule decides when one router calls the list service. It is not safe for use by two goroutines at once.
type CallSchedule struct {
	routers float64
	holding ReadinessHold
	rng     *rand.Rand
	last    int64 // the last wait
	by      int64 // until when a call is to be answered; 0 is only as the latest time wants it
	once    bool  // one more call was put before that
	heard   bool  // since the last end
	listed  bool  // a list of members is known
	quiet   int64 // patience with the first byte
	called  int64 // when the last call was made
	missed  int64 // the last wait after a call that this machine could not make; 0 is none
	cuts    int   // answers in a row that were cut off soon after it
	grace   int64 // the shortest in which a router has to heed what it is told; 0 is not known
}

// NewCallSchedule makes the calls of one of so many routers.
func NewCallSchedule(seed uint64, routers int, holding ReadinessHold) *CallSchedule {
	return &CallSchedule{routers: float64(max(1, routers)), holding: holding, rng: rand.New(rand.NewPCG(seed, 0x6c697374)), quiet: quietFirst}
}

// FirstDelay is how long to wait before the first call after the start.
func (c *CallSchedule) FirstDelay() int64 {
	c.by = 0 // if it fails: calls no further apart than againMost are in time for what comes
	switch {
	case c.holding.CallRate > 0:
		return c.draw(c.spread(c.holding.CallRate, c.holding.MaxDuration-answerTime))
	case !c.listed:
		return c.draw(c.spread(aloneRate, aloneSpreadMost))
	}
	return c.draw(c.spread(againRate, firstSpreadMost))
}

// ListReceived notes that a list of members is known.
func (c *CallSchedule) ListReceived() { c.listed = true }

// AddressChanged is how long to wait before the first call at another address.
func (c *CallSchedule) AddressChanged(now int64) int64 {
	c.by, c.once, c.quiet, c.heard = now+toldAfterMove, false, quietFirst, false
	return c.draw(c.spread(breakRate, moveSpreadMost))
}

// CallStarted notes that a call is made.
func (c *CallSchedule) CallStarted(now int64) { c.called = now }

// SetDrainGrace notes the shortest grace in which what is told is to be heeded.
func (c *CallSchedule) SetDrainGrace(grace int64) { c.grace = grace }

// StallTimeout is for how long an event that has begun may stand still.
func (c *CallSchedule) StallTimeout() int64 {
	if c.grace <= 0 {
		return stallMost
	}
	return min(c.grace/stallPart, stallMost)
}

// DataReceived notes that something whole came: an event or a comment.
func (c *CallSchedule) DataReceived() {
	c.heard, c.quiet, c.last = true, quietFirst, 0
}

// ReadTimeout is for how long to wait for the next byte of a connection.
func (c *CallSchedule) ReadTimeout() int64 {
	if c.heard {
		return quietMost
	}
	return c.quiet
}

// CallEnded is how long to wait before the next call, after one ended.
//
// A connection that had spoken is called again within the time by which what it would have told counts as told, by all
// routers spread over half of that. One that has not is called again by decorrelated jitter (Brooker, "Exponential Backoff
// And Jitter", 2015) over as long as all routers together need at their rate; but once more before the time is over.
func (c *CallSchedule) CallEnded(now int64, how CallResult) int64 {
	if how == LocalError {
		most := max(notCalledMost, c.spread(breakRate, breakSpreadMost))
		c.missed = min(max(2*c.missed, notCalledLeast), most)
		return c.missed/2 + c.draw(c.missed/2)
	}
	spoke := c.heard
	c.heard, c.missed = false, 0
	if how == Truncated && c.listed && now-c.called < cutYoung && c.cuts < cutAgain {
		c.cuts++
		return c.draw(cutSpread)
	}
	c.cuts = 0
	if spoke {
		c.by, c.once = now+toldAfterBreak, false
		if how == Silent {
			c.by = now + toldAfterStop - quietMost
		}
		return c.draw(c.spread(breakRate, breakSpreadMost))
	}
	if !c.listed && how != Unanswered {
		// The spread is made with the settings' number of routers; where those know of few, growing waits take the rest apart.
		least := max(c.spread(aloneRate, aloneSpreadMost), againLeast) / 2
		most := min(max(grows*c.last, 3*least), aloneSpreadMost*3/2)
		c.last = least + c.draw(most-least)
		return c.last
	}
	least := min(max(c.spread(againRate, againMost), againLeast), againMost/2)
	if how == Unanswered {
		c.quiet, least = min(quietGrows*c.quiet, quietFirstMax), quietAgain
	}
	most := min(max(grows*c.last, 2*least), againMost)
	c.last = least + c.draw(most-least)
	if left := c.by - answerTime - now; left > 0 && c.last > left && !c.once {
		// Half at the least: all that broke together are not to come together at the last moment either. Once: halved and
		// halved again the waits came to nothing.
		c.once = true
		return left/2 + c.draw(left/2)
	}
	return c.last
}

// spread is how long all routers take to call once at a rate.
func (c *CallSchedule) spread(rate float64, most int64) int64 {
	return min(int64(c.routers/rate*float64(second)), most)
}

// draw is a span from [0, most).
func (c *CallSchedule) draw(most int64) int64 {
	if most <= 0 {
		return 0
	}
	return c.rng.Int64N(most)
}
