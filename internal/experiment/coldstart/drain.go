package coldstart

import (
	"context"
	"time"
)

const (
	// maxNotificationDelay is the time within which the discovery service must have notified all routers of the
	// drain, counted from when all of them accept connections. A router that has an endpoint list in its
	// configuration makes its first call within 0.1 s; the rest allows for a busy machine.
	maxNotificationDelay = time.Second

	// drainGrace is how long a router may still send requests to an endpoint after it was notified that the
	// endpoint drains.
	drainGrace = 250 * time.Millisecond

	notificationPollInterval = 5 * time.Millisecond
)

// watchDrain waits until the discovery service has notified all routers that the first cache drains and
// drainGrace has passed. It records how many attempts the cache has received by then: only later ones count as
// stale. If a router was not notified in time, all attempts count as stale.
func (r *experimentRun) watchDrain(ctx context.Context) {
	deadline := time.Now().Add(maxNotificationDelay)
	for {
		r.result.NotNotified = r.Routers - r.service.Notified()
		if r.result.NotNotified == 0 {
			break
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return
		}
		time.Sleep(notificationPollInterval)
	}
	time.Sleep(drainGrace)
	r.attemptsBeforeDrain = r.caches[0].Fetches()
}
