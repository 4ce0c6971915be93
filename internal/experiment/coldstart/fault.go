package coldstart

import (
	"context"
	"errors"
	"time"

	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/experiment/testcluster"
)

const (
	// outageDuration is how long a fault of the discovery service lasts, and how long after the start routers
	// are killed.
	outageDuration = 5 * time.Second

	// restartDuration is how long the discovery service is away when it restarts.
	restartDuration = outageDuration / 5

	// secondKillDelay is the time between two kills of all routers.
	secondKillDelay = outageDuration / 2

	// slowCallRate is how many calls a second the slow discovery service accepts.
	slowCallRate = 10
)

// beginFault lets a fault of the discovery service begin before the routers start.
func (p *play) beginFault() {
	switch p.Fault {
	case ServiceDown:
		p.service.Stop()
	case ServiceSlow:
		p.service.SetBehavior(discoveryserver.Behavior{MaxCallRate: slowCallRate})
	case ListTruncated:
		p.service.SetBehavior(discoveryserver.Behavior{Truncate: true})
	case ListStale:
		// What it sends first is the state of before, in which all caches but one drain.
		for _, endpoint := range p.endpoints[1:] {
			p.service.Publish(testcluster.EndpointChangeEvent(2, endpoint))
		}
		p.service.SetBehavior(discoveryserver.Behavior{Stale: true})
	}
}

// continueFault ends a fault of the discovery service when its time is over, or kills routers then.
func (p *play) continueFault(ctx context.Context) error {
	select {
	case <-time.After(outageDuration):
	case <-ctx.Done():
		return nil
	}
	switch p.Fault {
	case ServiceDown:
		return p.service.Listen()
	case ListTruncated:
		p.service.SetBehavior(discoveryserver.Behavior{})
	case ServiceRestarted:
		p.service.Stop()
		p.service.Reset()
		time.Sleep(restartDuration)
		p.publishList(2)
		return p.service.Listen()
	case RoutersKilled:
		return p.restartRouters(p.Routers * 7 / 10)
	case RoutersKilledTwice:
		first := p.restartRouters(p.Routers)
		time.Sleep(secondKillDelay)
		return errors.Join(first, p.restartRouters(p.Routers))
	}
	return nil
}

// restartRouters kills so many routers and then starts them again.
func (p *play) restartRouters(count int) error {
	for _, router := range p.routers[:count] {
		router.KillAndWait()
	}
	var err error
	for i := range count {
		err = errors.Join(err, p.startRouter(i))
	}
	return err
}
