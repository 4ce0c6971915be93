package downstream

import "tealpath/internal/logevent"

// AcceptFailed is emitted when connections can't be accepted, for example because no descriptor is left.
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

// ConnectionLimitReached is emitted when there are as many client connections as the limit allows. From then on, a
// connection without requests is closed for each new one.
type ConnectionLimitReached struct {
	Limit int `log:"limit"`
}

// Kind implements logevent.Event.
func (ConnectionLimitReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "connection_limit_reached",
		Level:   logevent.Warn,
		Message: "client connections have reached their limit: idle connections are closed for new ones",
	}
}

// ConnectionLimitCleared is emitted when, after ConnectionLimitReached, the number of client connections has fallen
// below half of the limit.
type ConnectionLimitCleared struct{}

// Kind implements logevent.Event.
func (ConnectionLimitCleared) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "connection_limit_cleared",
		Level:   logevent.Info,
		Message: "client connections have fallen below half of their limit",
	}
}

// ResponseMemoryExhausted is emitted when responses waiting for slow clients have used up their share of the
// memory. New responses with a body fail until memory is free again.
type ResponseMemoryExhausted struct {
	QueuedBytes int64 `log:"queued_bytes"`
}

// Kind implements logevent.Event.
func (ResponseMemoryExhausted) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "response_memory_exhausted",
		Level:   logevent.Warn,
		Message: "responses waiting for slow clients have used up their memory: new responses fail",
	}
}

// ResponseMemoryRecovered is emitted when, after ResponseMemoryExhausted, a response with a body succeeds and
// unwritten responses use less than half of their share of the memory.
type ResponseMemoryRecovered struct{}

// Kind implements logevent.Event.
func (ResponseMemoryRecovered) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "response_memory_recovered",
		Level:   logevent.Info,
		Message: "memory for responses waiting for slow clients is available again",
	}
}

// SuspendDisabled is emitted when a system call that is needed to suspend connections fails for good. Idle
// connections then keep their goroutines and buffers, a few KB each, until the process ends.
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

// Values of ConnectionsRejected.Limit: whose connection limit, set by the operator, was reached.
const (
	limitOfClient  = "client"
	limitOfNetwork = "network"
)

// ConnectionsRejected is emitted, at most every 10 s, when connections are rejected because of a limit set by
// the operator.
type ConnectionsRejected struct {
	Limit string `log:"limit"` // whose limit was reached: "client" or "network"
	Total int    `log:"total"` // connections rejected since the process started, because of a limit of either kind
}

// Kind implements logevent.Event.
func (ConnectionsRejected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "connections_rejected",
		Level:   logevent.Warn,
		Message: "connections are rejected because of a limit set by the operator",
	}
}

// PartialRequestsRejected is emitted, at most every 10 s, when a request is rejected although it has not been received
// completely.
type PartialRequestsRejected struct {
	Cause string `log:"cause"` // why the rest of the last one was not awaited
	Total int    `log:"total"` // requests so rejected since the process started, for any cause
}

// Kind implements logevent.Event.
func (PartialRequestsRejected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "partial_requests_rejected",
		Level:   logevent.Warn,
		Message: "requests are rejected before their clients have written them completely",
	}
}

// LogEvents returns one event of each type that this package emits, with zero fields.
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
		PartialRequestsRejected{},
	}
}
