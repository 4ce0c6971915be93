package peer

import "tealpath/internal/logevent"

// LogEvents returns one zero value of each event that this package logs.
func LogEvents() []logevent.Event {
	return []logevent.Event{
		Connected{},
		Disconnected{},
		ConnectFailed{},
		AcceptFailed{},
		AddressRefused{},
		LinkLimitReached{},
		HandshakeLimitReached{},
		HandshakeRefused{},
		ProtocolViolation{},
	}
}

// Connected reports that the link to another instance is up: the first message was written to it.
type Connected struct {
	Member string `log:"member"`
}

// Kind implements logevent.Event.
func (Connected) Kind() logevent.Kind {
	return logevent.Kind{Name: "peer_connected", Level: logevent.Info, Message: "connected to another instance"}
}

// Disconnected reports that the link to another instance ended. It is reopened after a backoff.
type Disconnected struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
}

// Kind implements logevent.Event.
func (Disconnected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_disconnected",
		Level:   logevent.Warn,
		Message: "connection to another instance lost",
	}
}

// ConnectFailed reports that a link to another instance could not be opened. It is tried again after a backoff.
type ConnectFailed struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
	Times  int    `log:"times"` // failures since the last such event for this member
}

// Kind implements logevent.Event.
func (ConnectFailed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_connect_failed",
		Level:   logevent.Warn,
		Message: "cannot connect to another instance",
	}
}

// AcceptFailed reports that the operating system returned an error when a connection was accepted.
type AcceptFailed struct {
	Cause error `log:"cause"`
	Times int   `log:"times"` // failures since the last such event
}

// Kind implements logevent.Event.
func (AcceptFailed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_accept_failed",
		Level:   logevent.Error,
		Message: "cannot accept connections from other instances",
	}
}

// AddressRefused reports connections from outside the allowed address sets. They were closed at once.
type AddressRefused struct {
	Address string `log:"address"`
	Times   int    `log:"times"` // refusals since the last such event
}

// Kind implements logevent.Event.
func (AddressRefused) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_address_refused",
		Level:   logevent.Warn,
		Message: "connection from outside the allowed address sets refused",
	}
}

// LinkLimitReached reports connections that were closed at once because too many are open.
type LinkLimitReached struct {
	Address string `log:"address"`
	Limit   int    `log:"limit"`
	Times   int    `log:"times"` // refusals since the last such event
}

// Kind implements logevent.Event.
func (LinkLimitReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_link_limit_reached",
		Level:   logevent.Warn,
		Message: "connection refused: too many are open",
	}
}

// HandshakeLimitReached reports connections that were closed at once because too many handshakes are under way.
type HandshakeLimitReached struct {
	Address string `log:"address"`
	Limit   int    `log:"limit"`
	Times   int    `log:"times"` // refusals since the last such event
}

// Kind implements logevent.Event.
func (HandshakeLimitReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_handshake_limit_reached",
		Level:   logevent.Warn,
		Message: "connection refused: too many handshakes are under way",
	}
}

// HandshakeRefused reports connections whose TLS handshake or hello failed.
type HandshakeRefused struct {
	Address string `log:"address"`
	Cause   error  `log:"cause"`
	Times   int    `log:"times"` // refusals since the last such event
}

// Kind implements logevent.Event.
func (HandshakeRefused) Kind() logevent.Kind {
	return logevent.Kind{Name: "peer_handshake_refused", Level: logevent.Warn, Message: "handshake refused"}
}

// ProtocolViolation reports that a member sent an invalid frame. Its connection was closed.
type ProtocolViolation struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
	Times  int    `log:"times"` // violations since the last such event
}

// Kind implements logevent.Event.
func (ProtocolViolation) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_protocol_violation",
		Level:   logevent.Warn,
		Message: "connection closed for a protocol violation",
	}
}
