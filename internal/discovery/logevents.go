package discovery

import "tealpath/internal/logevent"

// Reconnected reports the first event or comment of the service after Disconnected.
type Reconnected struct{}

// Kind implements logevent.Event.
func (Reconnected) Kind() logevent.Kind {
	return logevent.Kind{Name: "discovery_reconnected", Level: logevent.Info, Message: "discovery connected again"}
}

// Disconnected reports that a call of the discovery service failed or ended. A later failure is reported only if
// Reconnected was reported in between.
type Disconnected struct {
	Position int64  `log:"position"` // position of the last processed watch event; 0: none yet
	Result   string `log:"result"`   // how it ended: refused, unreached, unanswered, broke, silent, cut, not called
	Cause    error  `log:"cause"`
}

// Kind implements logevent.Event.
func (Disconnected) Kind() logevent.Kind {
	return logevent.Kind{Name: "discovery_disconnected", Level: logevent.Warn, Message: "discovery disconnected"}
}

// SnapshotListConfirmed reports that the service has confirmed the snapshot's endpoint list, which is now used.
type SnapshotListConfirmed struct {
	Position int64 `log:"position"` // position of the event that confirmed the list
}

// Kind implements logevent.Event.
func (SnapshotListConfirmed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "snapshot_list_confirmed",
		Level:   logevent.Info,
		Message: "endpoint list of the snapshot confirmed by discovery",
	}
}

// EndpointListUnconfirmed reports a complete endpoint list that has no ready endpoints, or far fewer endpoints than
// the list in use. The router uses it only if the service sends it a second time.
type EndpointListUnconfirmed struct {
	Endpoints      int `log:"endpoints"`
	ReadyEndpoints int `log:"ready_endpoints"`
}

// Kind implements logevent.Event.
func (EndpointListUnconfirmed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "endpoint_list_unconfirmed",
		Level:   logevent.Warn,
		Message: "unexpectedly small endpoint list requested again for confirmation",
	}
}

// Renumbered reports that the service has restarted and numbers its events anew: it has sent a newer endpoint list
// whose position is not above that of the last processed event.
type Renumbered struct {
	Position         int64 `log:"position"`
	PreviousPosition int64 `log:"previous_position"`
}

// Kind implements logevent.Event.
func (Renumbered) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "discovery_renumbered",
		Level:   logevent.Warn,
		Message: "discovery restarted the numbering of its watch events",
	}
}

// WatchEventsMissing reports events that the service has not sent even after they were requested again. The watch
// continues without them.
type WatchEventsMissing struct {
	First int64 `log:"first"` // position of the first missing event
	Last  int64 `log:"last"`  // position of the last missing event
}

// Kind implements logevent.Event.
func (WatchEventsMissing) Kind() logevent.Kind {
	return logevent.Kind{Name: "watch_events_missing", Level: logevent.Warn, Message: "watch events missing"}
}

// WatchEventSkipped reports an event that could not be decoded even after it was requested again. The watch continues
// without it.
type WatchEventSkipped struct {
	Position int64 `log:"position"`
	Cause    error `log:"cause"`
}

// Kind implements logevent.Event.
func (WatchEventSkipped) Kind() logevent.Kind {
	return logevent.Kind{Name: "watch_event_skipped", Level: logevent.Warn, Message: "watch event skipped"}
}

// LogEvents returns one event of each type that this package logs, with zero fields.
func LogEvents() []logevent.Event {
	return []logevent.Event{
		Reconnected{},
		Disconnected{},
		SnapshotListConfirmed{},
		EndpointListUnconfirmed{},
		Renumbered{},
		WatchEventsMissing{},
		WatchEventSkipped{},
	}
}
