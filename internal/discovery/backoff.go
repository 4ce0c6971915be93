package discovery

import "tealpath/internal/lifecycle/startup"

// backoff returns the delay, in ns, between a call that ended with result and the next call. It logs Disconnected for
// the first failed call since the service last sent data, with cause as the reason, and nothing for further ones.
func (w *Watcher) backoff(result startup.CallResult, cause error) int64 {
	delay := w.schedule.CallEnded(w.clock.Now(), result)
	if !w.disconnected {
		w.disconnected = true
		w.log(Disconnected{Position: w.position, Result: result.String(), Cause: cause})
	}
	return delay
}

// connected is called when the service has sent the first event or comment on a connection. It posts ServiceReached,
// and logs Reconnected if an earlier call had failed.
func (w *Watcher) connected() {
	if w.disconnected {
		w.disconnected = false
		w.log(Reconnected{})
	}
	w.post(ServiceReached{})
}
