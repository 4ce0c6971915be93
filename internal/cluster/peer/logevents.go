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

// Connected reports that the link to another instance is up: the first frame was written to it.
type Connected struct {
	Member string `log:"member"`
}

// Kind returns the event's name and level.
func (Connected) Kind() logevent.Kind {
	return logevent.Kind{Name: "peer_connected", Level: logevent.Info, Message: "connected to another instance"}
}

// Disconnected reports that the link to another instance ended. It is opened again after a backoff.
type Disconnected struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
}

// Kind returns the event's name and level.
func (Disconnected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_disconnected",
		Level:   logevent.Warn,
		Message: "connection to another instance lost",
	}
}

// ConnectFailed reports that no link to another instance could be opened. It is tried again after a backoff.
type ConnectFailed struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
	Times  int    `log:"times"` // since the last such event of this member
}

// Kind returns the event's name and level.
func (ConnectFailed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_connect_failed",
		Level:   logevent.Warn,
		Message: "no connection to another instance",
	}
}

// AcceptFailed reports that the system did not hand out a connection of another instance.
type AcceptFailed struct {
	Cause error `log:"cause"`
	Times int   `log:"times"` // since the last such event, as with those that follow
}

// Kind returns the event's name and level.
func (AcceptFailed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_accept_failed",
		Level:   logevent.Error,
		Message: "connections of other instances are not accepted",
	}
}

// AddressRefused reports a connection from outside the allowed address sets. It was closed at once.
type AddressRefused struct {
	Address string `log:"address"`
	Times   int    `log:"times"`
}

// Kind returns the event's name and level.
func (AddressRefused) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_address_refused",
		Level:   logevent.Warn,
		Message: "connection from outside the allowed address sets refused",
	}
}

// LinkLimitReached reports a connection that was closed at once, as too many are open.
type LinkLimitReached struct {
	Address string `log:"address"`
	Limit   int    `log:"limit"`
	Times   int    `log:"times"`
}

// Kind returns the event's name and level.
func (LinkLimitReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_link_limit_reached",
		Level:   logevent.Warn,
		Message: "connection refused: too many are open",
	}
}

// HandshakeLimitReached reports a connection that was closed at once, as too many handshakes are under way.
type HandshakeLimitReached struct {
	Address string `log:"address"`
	Limit   int    `log:"limit"`
	Times   int    `log:"times"`
}

// Kind returns the event's name and level.
func (HandshakeLimitReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_handshake_limit_reached",
		Level:   logevent.Warn,
		Message: "connection refused: too many handshakes are under way",
	}
}

// HandshakeRefused reports a connection whose other side did not prove that it belongs here.
type HandshakeRefused struct {
	Address string `log:"address"`
	Cause   error  `log:"cause"`
	Times   int    `log:"times"`
}

// Kind returns the event's name and level.
func (HandshakeRefused) Kind() logevent.Kind {
	return logevent.Kind{Name: "peer_handshake_refused", Level: logevent.Warn, Message: "handshake refused"}
}

// ProtocolViolation reports that a member sent what is no frame. Its connection was closed.
type ProtocolViolation struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
	Times  int    `log:"times"`
}

// Kind returns the event's name and level.
func (ProtocolViolation) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "peer_protocol_violation",
		Level:   logevent.Warn,
		Message: "connection closed for a protocol violation",
	}
}
