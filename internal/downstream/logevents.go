package downstream

import "tealpath/internal/logevent"

// AcceptFailed is emitted when connections can't be accepted: no descriptor is left, or the system refuses.
type AcceptFailed struct {
	Cause string `log:"cause"`
}

// Kind implements logevent.Event.
func (AcceptFailed) Kind() logevent.Kind {
	return logevent.Kind{Name: "accept_failed", Level: logevent.Warn, Message: "connections can't be accepted"}
}

// AcceptRestored is emitted when connections are accepted again after AcceptFailed.
type AcceptRestored struct{}

// Kind implements logevent.Event.
func (AcceptRestored) Kind() logevent.Kind {
	return logevent.Kind{Name: "accept_restored", Level: logevent.Info, Message: "connections are accepted again"}
}

// ConnectionLimitReached is emitted when clients have as many connections as they may: for each new one an
// idle one is closed.
type ConnectionLimitReached struct {
	Limit int `log:"limit"`
}

// Kind implements logevent.Event.
func (ConnectionLimitReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "connection_limit_reached",
		Level:   logevent.Warn,
		Message: "client connections are at their limit: idle ones are closed for new ones",
	}
}

// ConnectionLimitCleared is emitted when the connections have fallen below half of the limit again.
type ConnectionLimitCleared struct{}

// Kind implements logevent.Event.
func (ConnectionLimitCleared) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "connection_limit_cleared",
		Level:   logevent.Info,
		Message: "client connections are far below their limit again",
	}
}

// ResponseMemoryExhausted is emitted when responses that wait for slow clients have taken their share of
// the memory: new ones with a body fail.
type ResponseMemoryExhausted struct {
	QueuedBytes int64 `log:"queued_bytes"`
}

// Kind implements logevent.Event.
func (ResponseMemoryExhausted) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "response_memory_exhausted",
		Level:   logevent.Warn,
		Message: "responses wait for slow clients and have taken their memory: new ones fail",
	}
}

// ResponseMemoryRecovered is emitted when less than half of that memory is taken, and responses are written
// again.
type ResponseMemoryRecovered struct{}

// Kind implements logevent.Event.
func (ResponseMemoryRecovered) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "response_memory_recovered",
		Level:   logevent.Info,
		Message: "responses to slow clients are written again",
	}
}

// SuspendDisabled is emitted when the system refuses a call that suspending takes: idle connections keep
// their goroutines and buffers, some KB each, until the process ends.
type SuspendDisabled struct {
	Cause string `log:"cause"`
}

// Kind implements logevent.Event.
func (SuspendDisabled) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "suspend_disabled",
		Level:   logevent.Warn,
		Message: "idle connections can't be suspended and keep their buffers",
	}
}

// The values of ConnectionsRejected.Limit.
const (
	limitOfClient  = "client"
	limitOfNetwork = "network"
)

// ConnectionsRejected is emitted, every 10 s at most, when connections are rejected at a limit that the
// operator has set.
type ConnectionsRejected struct {
	Limit string `log:"limit"` // whose it is: "client" or "network"
	Total int    `log:"total"` // rejected at any of these limits since the start
}

// Kind implements logevent.Event.
func (ConnectionsRejected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "connections_rejected",
		Level:   logevent.Warn,
		Message: "connections are rejected at a limit that the operator has set",
	}
}

// LogEvents returns one event of each type that this package emits.
func LogEvents() []logevent.Event {
	return []logevent.Event{
		AcceptFailed{},
		AcceptRestored{},
		ConnectionLimitReached{},
		ConnectionLimitCleared{},
		ResponseMemoryExhausted{},
		ResponseMemoryRecovered{},
		SuspendDisabled{},
		ConnectionsRejected{},
	}
}
