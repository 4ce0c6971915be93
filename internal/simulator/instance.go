package simulator

import (
	"tealpath/control"
	"tealpath/internal/simulator/wire"
	"tealpath/internal/timerqueue"
)

const (
	// subscribeRetryDelay is the time in ns after which a failed subscription to the endpoint list is retried.
	subscribeRetryDelay = int64(5e8)

	// minWakeUpDelay is the shortest delay in ns of a timer. On the wire a delay of 0 is an absent value.
	minWakeUpDelay = int64(1000)
)

// Tokens of the two timers of an instance, by which the simulator tells which of them has fired.
const (
	tickTimer    = "1"
	recheckTimer = "2"
)

// request is a client's request to an instance. It is kept while it is unfinished or has attempts in flight.
type request struct {
	control.Request
	id        string
	finished  bool
	attempts  int   // number of attempts in flight
	recheckAt int64 // ns; time of the next call of Decide, 0: none is needed
}

// instance is one router with its requests and timers.
type instance struct {
	name           string
	router         *control.Router // nil if its settings are invalid
	requests       map[string]*request
	rechecks       timerqueue.Queue[*request]
	recheckTimerAt int64 // ns; when recheckTimer fires, 0: it is not set

	subscribes  bool  // the simulator sends the endpoint list only after a subscription
	subscribeAt int64 // ns; when to subscribe next, math.MaxInt64: not until a subscription fails
}

// finish marks a request as finished, and removes it if none of its attempts is in flight.
func (in *instance) finish(r *request) {
	r.finished = true
	if r.attempts <= 0 {
		delete(in.requests, r.id)
	}
}

// scheduleRecheck schedules the next call of Decide for an unfinished request, after its RecheckDelay.
func (h *Host) scheduleRecheck(now int64, in *instance, r *request) {
	if r.finished {
		return
	}
	delay := in.router.RecheckDelay(now, &r.Request)
	if delay <= 0 {
		r.recheckAt = 0
		return
	}
	r.recheckAt = now + delay
	in.rechecks.Push(r.recheckAt, r)
	h.setRecheckTimer(now, in)
}

// setRecheckTimer sets the timer for the earliest recheck, unless the timer already fires by then.
func (h *Host) setRecheckTimer(now int64, in *instance) {
	next := in.rechecks.Next()
	if next == timerqueue.Never {
		return
	}
	if in.recheckTimerAt != 0 && in.recheckTimerAt <= next {
		return
	}
	in.recheckTimerAt = next
	delay := max(in.recheckTimerAt-now, minWakeUpDelay)
	h.out.Line(commandSetTimer, in.name, wire.Seconds(delay), recheckTimer)
}

// recheck calls Decide for every request whose recheck is due.
func (h *Host) recheck(now int64, in *instance) {
	in.recheckTimerAt = 0
	for in.rechecks.Next() <= now {
		at, r := in.rechecks.Pop()
		if r.finished || r.recheckAt != at {
			continue // the request is finished or was rescheduled, so this queue entry is outdated
		}
		r.recheckAt = 0
		h.apply(now, in, r, in.router.Decide(now, &r.Request))
	}
	h.setRecheckTimer(now, in)
}
