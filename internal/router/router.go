// Package router is the reducer of a router: an event goes in, the state changes, effects come out. It holds
// the requests in flight, the connections to endpoints, the timers and the periodic work, and asks the control
// package, the policy, for every decision. It does no input or output and reads no clock.
package router

import (
	"fmt"
	"tealpath/control"
	"tealpath/internal/connpool"
	"tealpath/internal/timerqueue"
)

// millisecond is in the unit of all times, ns.
const millisecond = int64(1e6)

// Router is the reducer of one router. It is not safe for concurrent use.
type Router struct {
	policy  *control.Router
	limits  Limits
	config  config
	now     int64 // ns
	eventAt int64 // when the event that is handled came; at most now
	effects []Effect

	requests       requestTable
	endpoints      endpointTable
	connections    map[ConnectionID]*connection
	lastConnection ConnectionID
	localBackoff   *connpool.LocalBackoff // of dialling, while this machine itself can open no connections

	timers           timerqueue.Queue[timerTask]
	nextTick         int64 // when the periodic work is due
	timerSetFor      int64 // time of the last SetTimer
	shutdownDeadline int64 // by when every request is answered; 0: no shutdown has begun
}

// New makes a reducer. Its decisions depend on the seed and the events alone.
func New(now int64, seed uint64, settings control.Settings, limits Limits) *Router {
	router := &Router{
		limits:       limits,
		config:       newConfig(settings),
		now:          now,
		requests:     newRequestTable(),
		endpoints:    newEndpointTable(),
		connections:  map[ConnectionID]*connection{},
		localBackoff: connpool.NewLocalBackoff(settings.ConnectTimeout),
	}
	router.policy = control.New(now, seed, policySettings(settings), router.log)
	router.policy.Reachable = router.isReachable
	router.policy.ConnectionsExhausted = func() bool { return router.localBackoff.Active(router.now) }
	return router
}

// Handle takes an event that came at a time, ns, and returns what is to be done, in order. The returned slice
// is valid until the next call.
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

// recoverPanic does some work and logs its panic, if it has one, so that a defect that one event shows does not
// end all requests in flight with the process. The request concerned is answered at its deadline at the latest.
func (r *Router) recoverPanic(work func()) {
	defer func() {
		if fault := recover(); fault != nil {
			r.log(PanicRecovered{Cause: fmt.Sprint(fault)})
		}
	}()
	work()
}

func (r *Router) emit(effect Effect) { r.effects = append(r.effects, effect) }

func (r *Router) handleEvent(event Event) {
	switch event := event.(type) {
	case TimerFired:
		r.timerSetFor = 0 // it is set again, also if it fired a moment early
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

// Endpoints returns the endpoint list as it is now, ordered by name.
func (r *Router) Endpoints() []EndpointEntry { return r.endpoints.entries() }

// Snapshot returns what the policy has learned, with maxObjects objects at most.
func (r *Router) Snapshot(now int64, maxObjects int) control.Snapshot {
	return r.policy.Snapshot(max(now, r.now), maxObjects)
}

// Restore has the policy take over what one before it had learned, request rates too if withRates is set.
func (r *Router) Restore(now int64, snapshot control.Snapshot, withRates bool) {
	r.policy.Restore(now, snapshot, withRates)
}

// InFlight returns how many requests are in flight.
func (r *Router) InFlight() int { return r.requests.count }
