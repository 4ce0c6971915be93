package discovery

import "tealpath/internal/logevent"

// Reconnected is the first data from the service after a disconnect.
type Reconnected struct{}

// Kind implements logevent.Event.
func (Reconnected) Kind() logevent.Kind {
	return logevent.Kind{Name: "discovery_reconnected", Level: logevent.Info, Message: "discovery connected again"}
}

// Disconnected is the first call of the service that failed or ended after data had come.
type Disconnected struct {
	Position int64  `log:"position"` // of the last event that was processed
	Result   string `log:"result"`   // refused, unreached, unanswered, broke, silent, cut or not called
	Cause    error  `log:"cause"`
}

// Kind implements logevent.Event.
func (Disconnected) Kind() logevent.Kind {
	return logevent.Kind{Name: "discovery_disconnected", Level: logevent.Warn, Message: "discovery disconnected"}
}

// SnapshotListConfirmed is the snapshot's endpoint list in force.
type SnapshotListConfirmed struct {
	Position int64 `log:"position"` // of the event that confirmed it
}

// Kind implements logevent.Event.
func (SnapshotListConfirmed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "snapshot_list_confirmed",
		Level:   logevent.Info,
		Message: "endpoint list of the snapshot confirmed by discovery",
	}
}

// EndpointListUnconfirmed is a complete endpoint list without ready endpoints, or with far fewer than the one
// before. It is requested a second time before it is in force.
type EndpointListUnconfirmed struct {
	Endpoints      int `log:"endpoints"`
	ReadyEndpoints int `log:"ready_endpoints"`
}

// Kind implements logevent.Event.
func (EndpointListUnconfirmed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "endpoint_list_unconfirmed",
		Level:   logevent.Warn,
		Message: "endpoint list requested again before it is in force",
	}
}

// Renumbered is a newer endpoint list at a position that was passed before: the service has restarted.
type Renumbered struct {
	Position         int64 `log:"position"`
	PreviousPosition int64 `log:"previous_position"`
}

// Kind implements logevent.Event.
func (Renumbered) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "discovery_renumbered",
		Level:   logevent.Warn,
		Message: "discovery numbers its watch events anew",
	}
}

// WatchEventsMissing is a gap between the positions of two events, which stayed when they were requested again.
type WatchEventsMissing struct {
	First int64 `log:"first"` // position
	Last  int64 `log:"last"`  // position
}

// Kind implements logevent.Event.
func (WatchEventsMissing) Kind() logevent.Kind {
	return logevent.Kind{Name: "watch_events_missing", Level: logevent.Warn, Message: "watch events missing"}
}

// WatchEventSkipped is an event that could not be decoded, also when it was requested again.
type WatchEventSkipped struct {
	Position int64 `log:"position"`
	Cause    error `log:"cause"`
}

// Kind implements logevent.Event.
func (WatchEventSkipped) Kind() logevent.Kind {
	return logevent.Kind{Name: "watch_event_skipped", Level: logevent.Warn, Message: "watch event skipped"}
}

// LogEvents returns one zero value of each event of the log that this package has.
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
