package discovery

import (
	"context"
	"time"

	"tealpath/internal/lifecycle/startup"
)

// pause waits for a number of ns, or until the context ends.
func pause(ctx context.Context, delay int64) {
	select {
	case <-time.After(time.Duration(delay)):
	case <-ctx.Done():
	}
}

// backoff returns the delay before the next call after one that failed, ns. Only the first failure after a
// connection that worked is logged.
func (w *Watcher) backoff(result startup.CallResult, cause error) int64 {
	delay := w.schedule.CallEnded(w.clock.Now(), result)
	if !w.disconnected {
		w.disconnected = true
		w.log(Disconnected{Position: w.position, Result: result.String(), Cause: cause})
	}
	return delay
}

// connected notes that the service has sent something on a new connection.
func (w *Watcher) connected() {
	if w.disconnected {
		w.disconnected = false
		w.log(Reconnected{})
	}
	w.post(ServiceReached{})
}
