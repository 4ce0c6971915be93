package router

import (
	"tealpath/control"
	"tealpath/internal/timerqueue"
)

// tickRetryDelay is the time in ns after which the periodic work is done again if it panics. Without a delay, repeated
// panics would keep a core busy.
const tickRetryDelay = 1000 * millisecond

// timer is a handle with which one of the reducer's timers can be removed before it fires.
type timer = timerqueue.Timer[timerTask]

// timerKind is what happens when a timer fires.
type timerKind int

const (
	attemptTimer  timerKind = iota // an attempt's send deadline or, after that, its deadline
	recheckTimer                   // the time at which the policy decides on a request again
	deadlineTimer                  // a request's deadline, plus the grace for its final response
)

// timerTask is what a timer is set for: its kind, and the request or the attempt that it belongs to.
type timerTask struct {
	kind    timerKind
	request *inFlightRequest // set for recheckTimer and deadlineTimer
	attempt *attempt         // set for attemptTimer
}

// runTimers runs the tasks of all timers that are due, in the order of their times. A task that panics does not
// prevent the others from running.
func (r *Router) runTimers() {
	for r.timers.Next() <= r.now {
		_, task := r.timers.Pop()
		r.recoverPanic(func() { r.runTimer(task) })
	}
}

func (r *Router) runTimer(task timerTask) {
	if task.kind == attemptTimer {
		r.attemptTimerFired(task.attempt)
		return
	}
	request := task.request
	if request.finished {
		return
	}
	switch task.kind {
	case recheckTimer:
		r.decide(request)
	case deadlineTimer:
		// The policy normally ends a request before this timer fires. If it does not, the client still gets a
		// response.
		r.respond(request, Respond{Kind: Failed})
		r.abandonRequest(request)
	}
}

// attemptTimerFired ends an attempt that has timed out. If its connection is established and only its send deadline
// has passed, the attempt is withdrawn instead.
func (r *Router) attemptTimerFired(attempt *attempt) {
	if attempt.ended {
		return
	}
	result := control.Unreachable // the connection is not established, so nothing was written
	if attempt.connection.established {
		if r.now < attempt.deadline {
			r.withdrawAttempt(attempt)
			r.setAttemptTimer(attempt) // if the attempt is already written, its response is awaited until the deadline
			return
		}
		result = control.TimedOut
	}
	r.abandonAttempt(attempt)
	r.attemptEnded(attempt, control.Outcome{Result: result})
}

// setAttemptTimer sets an attempt's timer to its send deadline or, once that has passed, to its deadline.
func (r *Router) setAttemptTimer(attempt *attempt) {
	at := attempt.deadline
	if r.now < attempt.sendDeadline {
		at = attempt.sendDeadline
	}
	r.timers.Remove(attempt.timer)
	attempt.timer = r.timers.Push(at, timerTask{kind: attemptTimer, attempt: attempt})
}

// setDeadlineTimer sets the timer that ends a request at its deadline plus the grace for its final response, in
// case the policy has not ended it before.
func (r *Router) setDeadlineTimer(request *inFlightRequest) {
	r.timers.Remove(request.deadlineTimer)
	at := request.Deadline + r.config.ResponseGrace
	request.deadlineTimer = r.timers.Push(at, timerTask{kind: deadlineTimer, request: request})
}

// setRecheckTimer sets the timer that makes the policy decide on a request again, if the policy wants to, and replaces
// the request's previous one.
func (r *Router) setRecheckTimer(request *inFlightRequest) {
	if request.finished {
		return
	}
	r.timers.Remove(request.recheckTimer)
	if delay := r.policy.RecheckDelay(r.now, &request.Request); delay > 0 {
		request.recheckTimer = r.timers.Push(r.now+delay, timerTask{kind: recheckTimer, request: request})
	}
}

// tick does the periodic work: that of the policy, forgetting old abandoned attempts, closing unused connections and
// opening those that the connection plan wants.
func (r *Router) tick() {
	r.nextTick = r.now + tickRetryDelay
	_, delay := r.policy.Tick(r.now) // policySettings disables health checks, so there are no endpoints to probe
	r.nextTick = r.now + delay
	r.forgetAbandoned()
	r.executed.forgetBefore(r.now - 2*r.config.LongestDeadline)
	r.closeUnused()
	r.preconnect()
}
