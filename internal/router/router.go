// Package router is the event-driven core of a router, written as a reducer: Handle takes one event (a request
// was received, a connection is up, a timer fired), updates the state, and returns effects (send an attempt,
// respond to a client, set the timer) for the caller to carry out. Its state is the requests in flight, their
// attempts, the connections to endpoints, the endpoint list and the timers. Every decision about a request is
// made by package control, the policy. The package does no input or output and reads no clock, so that the same
// events always have the same effects.
package router

import (
	"fmt"

	"tealpath/control"
	"tealpath/internal/connpool"
	"tealpath/internal/timerqueue"
)

// millisecond is one millisecond in ns. Times in this package are in ns unless stated otherwise.
const millisecond = int64(1e6)

// Router is the reducer: it holds the state of one router process and changes it in Handle. It is not safe for
// concurrent use.
type Router struct {
	policy  *control.Router
	limits  Limits
	config  config
	now     int64 // ns; latest time that was passed to Handle or New, so that it never goes back
	eventAt int64 // ns; time passed to Handle with the current event, at most now
	effects []Effect

	requests       requestTable
	executed       executedRequests
	endpoints      endpointTable
	connections    map[ConnectionID]*connection
	lastConnection ConnectionID
	abandoned      int                    // number of entries in abandonedAt of all connections
	localBackoff   *connpool.LocalBackoff // suspends all dialling while this machine can open no connections

	timers           timerqueue.Queue[timerTask]
	nextTick         int64 // ns; when tick is due next
	timerSetFor      int64 // ns; time of the last SetTimer; 0: none, or the timer has fired
	shutdownDeadline int64 // ns; by when every request must be answered; 0: no shutdown has begun
}

// New returns a reducer whose clock starts at now, in ns. Its effects depend only on these arguments and on the
// events.
func New(now int64, seed uint64, settings control.Settings, limits Limits) *Router {
	router := &Router{
		limits:       limits,
		config:       newConfig(settings),
		now:          now,
		requests:     newRequestTable(),
		executed:     newExecutedRequests(limits.MaxExecuted),
		endpoints:    newEndpointTable(),
		connections:  map[ConnectionID]*connection{},
		localBackoff: connpool.NewLocalBackoff(settings.ConnectTimeout),
	}
	router.policy = control.New(now, seed, policySettings(settings), router.log)
	router.policy.Reachable = router.isReachable
	router.policy.ConnectionsExhausted = func() bool { return router.localBackoff.Active(router.now) }
	return router
}

// Handle handles an event that occurred at the time at, in ns, then runs the timers and the periodic work that are
// due. It returns the effects to be carried out, in order. The returned slice is valid until the next call.
func (r *Router) Handle(at int64, event Event) []Effect {
	clear(r.effects)
	r.effects = r.effects[:0]
	r.eventAt = at
	r.now = max(r.now, at)
	r.recoverPanic(func() { r.handleEvent(event) })
	r.runTimers()
	if r.now >= r.nextTick {
		r.recoverPanic(r.tick)
	}
	if next := min(r.timers.Next(), r.nextTick); next != r.timerSetFor {
		r.timerSetFor = next
		r.emit(SetTimer{At: next})
	}
	return r.effects
}

// recoverPanic calls work and logs its panic, if there is one, so that a defect that one event triggers does not end
// the process with all requests in flight. The affected request is answered when its deadline timer fires
// (setDeadlineTimer) if it is not answered before.
func (r *Router) recoverPanic(work func()) {
	defer func() {
		if cause := recover(); cause != nil {
			r.log(PanicRecovered{Cause: fmt.Sprint(cause)})
		}
	}()
	work()
}

func (r *Router) emit(effect Effect) { r.effects = append(r.effects, effect) }

func (r *Router) handleEvent(event Event) {
	switch event := event.(type) {
	case TimerFired:
		r.timerSetFor = 0 // makes Handle set the timer again, even to the same time if it fired early
	case RequestReceived:
		r.requestReceived(event)
	case RequestCancelled:
		r.requestCancelled(event)
	case ClientDisconnected:
		r.clientDisconnected(event)
	case ClientHalfClosed:
		r.clientHalfClosed(event)
	case ConnectionUp:
		r.connectionUp(event)
	case ConnectionDown:
		r.connectionDown(event)
	case AttemptWithdrawn:
		r.attemptWithdrawn(event)
	case ResponseReceived:
		r.responseReceived(event)
	case EndpointListUpdated:
		r.endpointListUpdated(event)
	case PurgeReceived:
		r.purgeReceived(event)
	case ProbeEnded:
		r.probeEnded(event)
	case ShutdownStarted:
		r.shutdownStarted(event)
	}
}

// Endpoints returns the current endpoint list, ordered by name.
func (r *Router) Endpoints() []EndpointEntry { return r.endpoints.entries() }

// Snapshot returns what the policy has learned up to now, in ns, with at most maxObjects objects.
func (r *Router) Snapshot(now int64, maxObjects int) control.Snapshot {
	return r.policy.Snapshot(max(now, r.now), maxObjects)
}

// Restore gives the policy what an earlier process had learned. It restores request rates only if withRates is true.
func (r *Router) Restore(now int64, snapshot control.Snapshot, withRates bool) {
	r.policy.Restore(now, snapshot, withRates)
}

// InFlight returns how many requests were accepted and are neither answered nor cancelled yet.
func (r *Router) InFlight() int { return r.requests.count }
