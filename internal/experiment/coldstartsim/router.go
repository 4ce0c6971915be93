package coldstartsim

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"tealpath/control"
	"tealpath/internal/connpool"
	"tealpath/internal/experiment/simulation"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"
)

// Limits of each router.
const (
	maxUpstreamConnections = 256
	maxInFlight            = 1000
	maxBodyBytes           = 1 << 22
)

// Timeout and backoff of the baseline's calls to the discovery service, which have no jitter, ns.
const (
	baselineReadTimeout  = int64(17e8)
	baselineFirstBackoff = int64(5e7)
	baselineMaxBackoff   = int64(5e8)
)

// simulatedRouter is one router, which can be killed and started again.
type simulatedRouter struct {
	run   *runState
	index int
	host  simulation.Host

	// The fields below belong to the current incarnation.
	reducer         *router.Router
	calls           *startup.CallSchedule
	progress        *startup.Progress
	startedAt       int64
	baselineBackoff int64
	connections     map[router.ConnectionID]int // by connection: index of the cache at its other end
	timerAt         int64                       // ns; when the reducer's timer fires
	hasEndpoints    bool
	timeToEndpoints float64 // ms from the start until the endpoint list was received; 0 means not yet
	timeToWarm      float64 // ms from the start until the phase startup.Warm; 0 means not yet
}

// start starts the process with an empty state.
func (r *simulatedRouter) start() {
	plan, now := r.run.plan, r.run.now()
	seed := plan.Seed*1_000_003 + uint64(r.index) + uint64(r.host.Incarnation)<<40
	hold := r.readinessHold()
	r.reducer = router.New(now, seed, plan.settings(), r.limits(seed))
	r.calls = startup.NewCallSchedule(seed, plan.ConfiguredRouters, hold)
	r.progress = startup.NewProgress(now, startup.RateWindow, hold)
	r.startedAt = now
	r.baselineBackoff = 0
	r.connections = map[router.ConnectionID]int{}
	r.timerAt = 0
	r.hasEndpoints = false
	r.timeToEndpoints, r.timeToWarm = 0, 0
	if plan.EndpointsConfigured {
		r.receiveEndpoints()
	}
	if plan.Baseline {
		r.callDiscovery()
		return
	}
	r.after(r.calls.FirstDelay(r.run.now()), r.callDiscovery)
}

func (r *simulatedRouter) limits(seed uint64) router.Limits {
	plan := r.run.plan
	limits := router.Limits{
		MaxConnections: maxUpstreamConnections,
		MaxInFlight:    maxInFlight,
		MaxBodyBytes:   maxBodyBytes,
	}
	if !plan.Baseline {
		limits.ConnectionPlan = connpool.New(connpool.Config{
			Router:         fmt.Sprint("n", r.index),
			Seed:           seed,
			Routers:        plan.ConfiguredRouters,
			MaxConnections: plan.MaxConnections,
			MaxConnectRate: plan.MaxConnectRate,
		})
	}
	return limits
}

// readinessHold returns the hold of the plan, with a call rate that spreads the first calls of all routers over four
// fifths of it.
func (r *simulatedRouter) readinessHold() startup.ReadinessHold {
	hold := int64(r.run.plan.ReadinessHold)
	if hold <= 0 {
		return startup.ReadinessHold{}
	}
	return startup.ReadinessHold{
		CallRate:    float64(r.run.plan.Routers) / float64(hold) * 1.25e9,
		MaxDuration: hold,
	}
}

// kill ends the process without notice to the discovery service or to clients. The process's connections are reset.
func (r *simulatedRouter) kill() {
	r.host.Incarnation++
	for _, connection := range slices.Sorted(maps.Keys(r.connections)) {
		r.run.caches[r.connections[connection]].Disconnect()
	}
	r.connections = map[router.ConnectionID]int{}
	r.hasEndpoints = false
	r.run.dropRequests(r)
}

// after schedules an event, which does not run if the process is killed before then.
func (r *simulatedRouter) after(delay int64, event func()) {
	incarnation := r.host.Incarnation
	r.run.scheduler.After(delay, func() {
		if r.host.Incarnation == incarnation {
			event()
		}
	})
}

// callDiscovery asks the discovery service for the endpoint list.
func (r *simulatedRouter) callDiscovery() {
	run := r.run
	run.currentSecond().Calls++
	if run.plan.Fault == FaultDiscoveryDown && run.now() < startTime+faultDuration {
		r.retryCall(startup.Refused)
		return
	}
	run.discovery.freeAt = max(run.discovery.freeAt, run.now()) + run.discovery.timePerCall
	wait := run.discovery.freeAt - run.now()
	timeout := baselineReadTimeout
	if !run.plan.Baseline {
		timeout = r.calls.ReadTimeout()
	}
	if wait > timeout {
		r.after(timeout, func() { r.retryCall(startup.Unanswered) })
		return
	}
	r.after(wait+networkDelay, func() {
		r.calls.DataReceived()
		r.progress.ServiceReached(run.now())
		r.receiveEndpoints()
	})
}

// retryCall schedules the next call after one that failed.
func (r *simulatedRouter) retryCall(result startup.CallResult) {
	if r.run.plan.Baseline {
		r.baselineBackoff = min(max(2*r.baselineBackoff, baselineFirstBackoff), baselineMaxBackoff)
		r.after(r.baselineBackoff, r.callDiscovery)
		return
	}
	r.after(r.calls.CallEnded(r.run.now(), result), r.callDiscovery)
}

// receiveEndpoints passes the complete endpoint list to the reducer.
func (r *simulatedRouter) receiveEndpoints() {
	entries := make([]router.EndpointEntry, 0, len(r.run.caches))
	for i, cache := range r.run.caches {
		entries = append(entries, router.EndpointEntry{
			Instance: fmt.Sprintf("s-%03d", i),
			Address:  strconv.Itoa(i),
			Endpoint: control.Endpoint{
				Location:  location,
				Kind:      "cache",
				Phase:     "ready",
				Capacity:  cacheConcurrency,
				StartedAt: cache.StartedAt(),
			},
		})
	}
	r.progress.ListReceived()
	if r.timeToEndpoints == 0 {
		r.timeToEndpoints = r.sinceStart()
	}
	r.hasEndpoints = true
	r.calls.ListReceived()
	r.handle(router.EndpointListUpdated{Complete: true, Entries: entries})
}

// sinceStart returns the time since the process started, in ms.
func (r *simulatedRouter) sinceStart() float64 { return float64(r.run.now()-r.startedAt) / 1e6 }

// handle passes an event to the reducer and applies the resulting effects.
func (r *simulatedRouter) handle(event router.Event) {
	for _, effect := range slices.Clone(r.reducer.Handle(r.run.now(), event)) {
		switch effect := effect.(type) {
		case router.SetTimer:
			r.setTimer(effect)
		case router.Dial:
			r.dial(effect)
		case router.Send:
			r.after(networkDelay, func() { r.requestArrived(effect) })
		case router.Close:
			r.close(effect)
		case router.Respond:
			r.run.handleResponse(r, effect)
		}
	}
}

func (r *simulatedRouter) setTimer(timer router.SetTimer) {
	r.timerAt = timer.At
	r.after(timer.At-r.run.now(), func() {
		if r.timerAt != timer.At {
			return // replaced by a later SetTimer
		}
		if phase, changed := r.progress.Update(r.run.now()); changed && phase == startup.Warm {
			r.timeToWarm = r.sinceStart()
		}
		r.handle(router.TimerFired{})
	})
}

func (r *simulatedRouter) dial(dial router.Dial) {
	run := r.run
	run.currentSecond().Connects++
	run.connects++
	index, err := strconv.Atoi(dial.Address)
	if err != nil {
		panic(err) // receiveEndpoints sets the addresses to indexes of caches
	}
	cache := run.caches[index]
	if cache.silent {
		r.after(dial.Timeout, func() { r.handle(router.ConnectionDown{Connection: dial.Connection}) })
		return
	}
	r.after(networkDelay, func() {
		if !cache.Connect(run.now()) {
			r.handle(router.ConnectionDown{Connection: dial.Connection})
			return
		}
		r.connections[dial.Connection] = index
		second := run.currentSecond()
		second.PeakConnections = max(second.PeakConnections, cache.PeakConnections)
		r.handle(router.ConnectionUp{Connection: dial.Connection})
	})
}

func (r *simulatedRouter) close(effect router.Close) {
	if index, open := r.connections[effect.Connection]; open {
		delete(r.connections, effect.Connection)
		r.run.caches[index].Disconnect()
	}
}

// Notes in a cache's response that state where the object came from.
const (
	noteFromCache = int64(1) // the cache had the object
	noteFilled    = int64(2) // the cache filled the object first
)

// requestArrived has the cache at the other end of the connection handle a request, and schedules its response.
func (r *simulatedRouter) requestArrived(send router.Send) {
	index, open := r.connections[send.Connection]
	if !open {
		return
	}
	cache := r.run.caches[index]
	response := cache.Request(r.run.now(), send.Request.Object)
	if response.Crashed {
		r.run.cacheCrashed(index)
		return
	}
	if cache.Unresponsive {
		return
	}
	note := noteFromCache
	if response.Fill {
		note = noteFilled
	}
	r.after(response.Delay+networkDelay, func() {
		if _, open := r.connections[send.Connection]; !open {
			return
		}
		r.handle(router.ResponseReceived{
			Connection: send.Connection,
			ID:         send.Request.ID,
			Result:     control.Succeeded,
			Note:       note,
		})
	})
}

// cacheCrashed ends the router's connections to a cache that has crashed.
func (r *simulatedRouter) cacheCrashed(index int) {
	for _, connection := range slices.Sorted(maps.Keys(r.connections)) {
		if r.connections[connection] != index {
			continue
		}
		delete(r.connections, connection)
		r.after(networkDelay, func() { r.handle(router.ConnectionDown{Connection: connection}) })
	}
}
