package router

import "tealpath/internal/logevent"

// ConnectUnavailable is logged when connections can no longer be opened for a reason of this machine's own,
// such as a lack of file descriptors. Nothing is dialled for a while.
type ConnectUnavailable struct {
	Cause string `log:"cause"` // text of the error
}

// Kind implements logevent.Event.
func (ConnectUnavailable) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "connect_unavailable",
		Level:   logevent.Warn,
		Message: "no connections can be opened because of an error on this machine",
	}
}

// ConnectAvailable is logged when a dial has reached its endpoint again after ConnectUnavailable.
type ConnectAvailable struct{}

// Kind implements logevent.Event.
func (ConnectAvailable) Kind() logevent.Kind {
	return logevent.Kind{Name: "connect_available", Level: logevent.Info, Message: "connections can be opened again"}
}

// PanicRecovered is logged when handling an event panicked, which is a fault of this program. The request
// concerned is answered by its deadline.
type PanicRecovered struct {
	Cause string `log:"cause"` // text of the panic
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

// endpointEvent is an event that concerns one endpoint.
type endpointEvent interface {
	EndpointID() uint32
}

// log emits an event of the log, with the name of the endpoint that it concerns, if there is one.
func (r *Router) log(event logevent.Event) {
	effect := Log{Event: event}
	if about, ok := event.(endpointEvent); ok {
		if endpoint := r.endpoints.byID[about.EndpointID()]; endpoint != nil {
			effect.Instance = endpoint.Instance
		}
	}
	r.emit(effect)
}
