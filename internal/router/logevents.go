package router

import "tealpath/internal/logevent"

// ConnectUnavailable is logged when connections can no longer be opened because of an error on this machine, such as a
// lack of file descriptors. Dialling is suspended with a backoff until a dial does not fail with such an error.
type ConnectUnavailable struct {
	Cause string `log:"cause"` // text of the error with which a dial failed
}

// Kind implements logevent.Event.
func (ConnectUnavailable) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "connect_unavailable",
		Level:   logevent.Warn,
		Message: "no connections can be opened because of an error on this machine",
	}
}

// ConnectAvailable is logged after ConnectUnavailable when a dial succeeds, or fails for another reason than an error
// on this machine, such as a refusal by the endpoint.
type ConnectAvailable struct{}

// Kind implements logevent.Event.
func (ConnectAvailable) Kind() logevent.Kind {
	return logevent.Kind{Name: "connect_available", Level: logevent.Info, Message: "connections can be opened again"}
}

// PanicRecovered is logged when handling an event panicked, which is a defect of this program. The affected request
// fails shortly after its deadline at the latest.
type PanicRecovered struct {
	Cause string `log:"cause"` // value passed to panic, as text
}

// Kind implements logevent.Event.
func (PanicRecovered) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "panic_recovered",
		Level:   logevent.Error,
		Message: "recovered from a panic while handling an event",
	}
}

// LogEvents returns one zero value of each event that this package logs.
func LogEvents() []logevent.Event {
	return []logevent.Event{ConnectUnavailable{}, ConnectAvailable{}, PanicRecovered{}}
}

// endpointEvent is a log event that concerns one endpoint. The policy knows endpoints only by their IDs.
type endpointEvent interface {
	EndpointID() uint32
}

// log emits an event for the log, and adds the name of the endpoint that it concerns, if there is one.
func (r *Router) log(event logevent.Event) {
	effect := Log{Event: event}
	if about, ok := event.(endpointEvent); ok {
		if endpoint := r.endpoints.byID[about.EndpointID()]; endpoint != nil {
			effect.Instance = endpoint.Instance
		}
	}
	r.emit(effect)
}
