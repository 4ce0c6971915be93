package peer

import "tealpath/internal/logevent"

// LogEvents returns one zero value of each type of event that this package logs.
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

// Connected reports that a link to another instance is up: the first frames with messages were written to it.
type Connected struct {
	Member string `log:"member"`
}

// Kind implements logevent.Event.
func (Connected) Kind() logevent.Kind {
	return logevent.Kind{Name: "peer_connected", Level: logevent.Info, Message: "connected to another instance"}
}

// Disconnected reports that a link to another instance, which had been up, ended. It is dialled again after a backoff.
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

// ConnectFailed reports that a link to another instance could not be opened. It is dialled again after a backoff.
type ConnectFailed struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
	Times  int    `log:"times"` // failures for this member since the last such event for it
}

// Kind implements logevent.Event.
func (ConnectFailed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_connect_failed",
		Level:   logevent.Warn,
		Message: "cannot connect to another instance",
	}
}

// AcceptFailed reports that the operating system returned an error in place of an incoming connection.
type AcceptFailed struct {
	Cause error `log:"cause"`
	Times int   `log:"times"` // errors since the last such event
}

// Kind implements logevent.Event.
func (AcceptFailed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_accept_failed",
		Level:   logevent.Error,
		Message: "cannot accept connections from other instances",
	}
}

// AddressRefused reports connections that were closed at once because they came from addresses that are not allowed.
type AddressRefused struct {
	Address string `log:"address"`
	Times   int    `log:"times"` // refused connections since the last such event
}

// Kind implements logevent.Event.
func (AddressRefused) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_address_refused",
		Level:   logevent.Warn,
		Message: "connection from outside the allowed address sets refused",
	}
}

// LinkLimitReached reports connections that were closed at once because Limit accepted connections are open.
type LinkLimitReached struct {
	Address string `log:"address"`
	Limit   int    `log:"limit"`
	Times   int    `log:"times"` // refused connections since the last such event
}

// Kind implements logevent.Event.
func (LinkLimitReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_link_limit_reached",
		Level:   logevent.Warn,
		Message: "connection refused: too many are open",
	}
}

// HandshakeLimitReached reports connections that were closed at once because Limit handshakes are under way.
type HandshakeLimitReached struct {
	Address string `log:"address"`
	Limit   int    `log:"limit"`
	Times   int    `log:"times"` // refused connections since the last such event
}

// Kind implements logevent.Event.
func (HandshakeLimitReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_handshake_limit_reached",
		Level:   logevent.Warn,
		Message: "connection refused: too many handshakes are under way",
	}
}

// HandshakeRefused reports connections that were closed because the TLS handshake failed or the hello was invalid.
type HandshakeRefused struct {
	Address string `log:"address"`
	Cause   error  `log:"cause"`
	Times   int    `log:"times"` // refused connections since the last such event
}

// Kind implements logevent.Event.
func (HandshakeRefused) Kind() logevent.Kind {
	return logevent.Kind{Name: "peer_handshake_refused", Level: logevent.Warn, Message: "handshake refused"}
}

// ProtocolViolation reports that a member sent an invalid frame after the hello. Its connection was closed.
type ProtocolViolation struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
	Times  int    `log:"times"` // invalid frames, from any member, since the last such event
}

// Kind implements logevent.Event.
func (ProtocolViolation) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_protocol_violation",
		Level:   logevent.Warn,
		Message: "connection closed for a protocol violation",
	}
}
