package simulator

import (
	"tealpath/control"
	"tealpath/internal/simulator/wire"
	"tealpath/internal/timerqueue"
)

const (
	// subscribeRetryDelay is how long after a failed subscription to the endpoint list the next one is sent, in
	// ns.
	subscribeRetryDelay = int64(5e8)

	// minWakeUpDelay keeps the wait of a timer that is due from being 0, which is no time on the wire; ns.
	minWakeUpDelay = int64(1000)
)

// Tokens of the two timers that an instance keeps.
const (
	tickTimer    = "1"
	recheckTimer = "2"
)

// request is a request in flight at an instance.
type request struct {
	control.Request
	id        string
	finished  bool
	attempts  int   // that have not ended
	recheckAt int64 // when the control package wants to be asked again, ns; 0 is not at all
}

// instance is one router and what the adapter keeps for it.
type instance struct {
	name     string
	router   *control.Router
	requests map[string]*request
	rechecks timerqueue.Queue[*request]
	timerAt  int64 // when the next timer for rechecks fires, ns; 0 if none is set

	subscribes  bool  // changes of the endpoint list come only to who subscribed
	subscribeAt int64 // when that is due, ns
}

// finish marks a request as finished, and drops it once none of its attempts is in flight.
func (in *instance) finish(r *request) {
	r.finished = true
	if r.attempts <= 0 {
		delete(in.requests, r.id)
	}
}

// scheduleRecheck asks how long a request waits until it is decided on again, and enters that into the queue.
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

// setRecheckTimer sets a timer for the earliest recheck, unless one fires by then.
func (h *Host) setRecheckTimer(now int64, in *instance) {
	next := in.rechecks.Next()
	if next == timerqueue.Never {
		return
	}
	if in.timerAt != 0 && in.timerAt <= next {
		return
	}
	in.timerAt = next
	delay := max(in.timerAt-now, minWakeUpDelay)
	h.out.Line(commandSetTimer, in.name, wire.Seconds(delay), recheckTimer)
}

// recheck decides again on every request whose time for that has come.
func (h *Host) recheck(now int64, in *instance) {
	in.timerAt = 0
	for in.rechecks.Next() <= now {
		at, r := in.rechecks.Pop()
		if r.finished || r.recheckAt != at {
			continue // it was scheduled anew since
		}
		r.recheckAt = 0
		h.apply(now, in, r, in.router.Decide(now, &r.Request))
	}
	h.setRecheckTimer(now, in)
}
