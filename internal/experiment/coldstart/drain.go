package coldstart

import (
	"context"
	"time"
)

const (
	// maxNotificationDelay is the time after all routers accept connections within which the discovery service
	// has to have notified all of them. A router that serves from a list that it knew spreads its first call
	// over 0.1 s; the rest is for a machine that is busy.
	maxNotificationDelay = time.Second

	// drainGrace is how long a router that was notified of a drain may still send to the endpoint.
	drainGrace = 250 * time.Millisecond

	notificationPollInterval = 5 * time.Millisecond
)

// watchDrain waits until the discovery service has notified all routers of the first cache's drain and the
// grace is over, and notes how many attempts had come to that cache by then: only later ones are stale. Where a
// router was not notified in time all attempts are.
func (p *play) watchDrain(ctx context.Context) {
	deadline := time.Now().Add(maxNotificationDelay)
	for {
		p.result.NotNotified = p.Routers - p.service.Notified()
		if p.result.NotNotified == 0 {
			break
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return
		}
		time.Sleep(notificationPollInterval)
	}
	time.Sleep(drainGrace)
	p.attemptsBeforeDrain = p.caches[0].Fetches()
}
