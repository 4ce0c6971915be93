package coldstart

import (
	"context"
	"errors"
	"time"

	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/experiment/testcluster"
)

const (
	// outageDuration is how long ServiceDown and ListTruncated last. It is also the time from the start of the
	// routers until ServiceRestarted stops the discovery service, or until routers are killed.
	outageDuration = 5 * time.Second

	// restartDuration is how long the discovery service refuses calls while it restarts.
	restartDuration = outageDuration / 5

	// secondKillDelay is the time between the two kills of RoutersKilledTwice.
	secondKillDelay = outageDuration / 2

	// slowCallRate is how many calls per second the discovery service accepts under ServiceSlow.
	slowCallRate = 10
)

// beginFault begins a fault of the discovery service before the routers start.
func (r *experimentRun) beginFault() {
	switch r.Fault {
	case ServiceDown:
		r.service.Stop()
	case ServiceSlow:
		r.service.SetBehavior(discoveryserver.Behavior{MaxCallRate: slowCallRate})
	case ListTruncated:
		r.service.SetBehavior(discoveryserver.Behavior{Truncate: true})
	case ListStale:
		// A stale service sends the first event, which is the list of generation 1, and skips these changes.
		for _, endpoint := range r.endpoints[1:] {
			r.service.Publish(testcluster.EndpointChangeEvent(2, endpoint))
		}
		r.service.SetBehavior(discoveryserver.Behavior{Stale: true})
	}
}

// continueFault waits for outageDuration. Then it ends ServiceDown and ListTruncated, restarts the discovery service
// or kills routers, depending on the fault. ServiceSlow and ListStale last until the end of the run.
func (r *experimentRun) continueFault(ctx context.Context) error {
	select {
	case <-time.After(outageDuration):
	case <-ctx.Done():
		return nil
	}
	switch r.Fault {
	case ServiceDown:
		return r.service.Listen()
	case ListTruncated:
		r.service.SetBehavior(discoveryserver.Behavior{})
	case ServiceRestarted:
		r.service.Stop()
		r.service.Reset()
		time.Sleep(restartDuration)
		r.publishList(2)
		return r.service.Listen()
	case RoutersKilled:
		return r.restartRouters(r.Routers * 7 / 10)
	case RoutersKilledTwice:
		first := r.restartRouters(r.Routers)
		time.Sleep(secondKillDelay)
		return errors.Join(first, r.restartRouters(r.Routers))
	}
	return nil
}

// restartRouters kills the first count routers and then starts them again.
func (r *experimentRun) restartRouters(count int) error {
	for _, router := range r.routers[:count] {
		router.KillAndWait()
	}
	var err error
	for i := range count {
		err = errors.Join(err, r.startRouter(i))
	}
	return err
}
