package idle

// State is the state of a connection in the table. It decides whether the connection can expire or be evicted.
type State uint8

// States of a connection, which its list in the table depends on.
const (
	// StateNew is a connection that has had no response yet: it has sent no request, or has cancelled all of
	// them.
	StateNew State = iota

	// StateActive is a connection with a request in flight or an unwritten response.
	StateActive

	// StateReading is a connection on which at least a part of the next request has been received.
	StateReading

	// StateIdle is a connection that has had a response and on which nothing has been received since.
	StateIdle

	// StateClosing is a connection whose last response has been written and whose sending side is being closed.
	StateClosing

	numStates
)

// stateUnused marks an entry of the table that holds no connection.
const stateUnused = numStates

// stateNames are the names under which a router reports its connection counts.
var stateNames = [...]string{
	StateNew:     "fresh",
	StateActive:  "busy",
	StateReading: "reading",
	StateIdle:    "idle",
	StateClosing: "closing",
	stateUnused:  "unused",
}

func (s State) String() string { return stateNames[s] }
