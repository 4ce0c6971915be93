package idle

// State is where a connection is in its life.
type State uint8

// The states of a connection.
const (
	// StateNew is a connection without a response so far: it has sent no request, or has cancelled all.
	StateNew State = iota

	// StateActive is a connection with a request in flight or a response that is not written yet.
	StateActive

	// StateReading is a connection on which a part of a request, at least, has been received.
	StateReading

	// StateIdle is a connection that has had a response, and on which nothing has been received since.
	StateIdle

	// StateClosing is a connection whose last response has been written.
	StateClosing

	numStates
)

// stateUnused marks an entry of the table that holds no connection.
const stateUnused = numStates

// stateNames are the names of the states in the counts of connections that a router reports.
var stateNames = [...]string{
	StateNew:     "fresh",
	StateActive:  "busy",
	StateReading: "reading",
	StateIdle:    "idle",
	StateClosing: "closing",
	stateUnused:  "unused",
}

func (s State) String() string { return stateNames[s] }
