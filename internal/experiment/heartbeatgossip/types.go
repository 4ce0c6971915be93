// Package heartbeatgossip is a membership protocol that serves as a baseline: internal/experiment/membershipsim
// compares internal/cluster/membership with it.
//
// It is a gossip-style failure detector after van Renesse, Minsky and Hayden (A Gossip-Style Failure Detection
// Service, 1998). Each instance increments its own heartbeat counter, and sends the counters of all instances that it
// knows to a few others. An instance whose counter has not increased for a while is considered dead. The package does
// no input or output, reads no clock and is not safe for concurrent use.
package heartbeatgossip

// Limits on the size of the table and of entries from other instances.
const (
	// MaxMembers is the largest number of members in a table. Entries of further instances are rejected.
	MaxMembers = 4096

	maxNameLength    = 128 // bytes
	maxAddressLength = 256 // bytes
	maxWeight        = 1e6
	maxIncarnations  = 64 // incarnations of one member that the table distinguishes
)

// Parameters of the protocol.
const (
	// fanOut is the number of members to which each heartbeat is sent.
	fanOut = 3

	// deadIntervals is the number of heartbeat intervals after which a member whose counter has not increased is
	// considered dead.
	deadIntervals = 3

	// forgetIntervals is the number of heartbeat intervals after which a member that is not alive is forgotten,
	// unless it is configured. Former incarnations are forgotten after the same time.
	forgetIntervals = 60
)

// State is the state of a member as one instance knows it.
type State int

// States of a member.
const (
	Unheard State = iota // configured, but no entry has been received yet
	Alive
	Dead // the counter has not increased for deadIntervals
	Left // the instance has announced that it leaves
)

func (s State) String() string { return []string{"unheard", "alive", "dead", "left"}[s] }

// Entry describes one instance in the messages between instances.
type Entry struct {
	Name        string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"` // identifies one start of the instance
	Heartbeat   uint64  `cbor:"3,keyasint"` // counter that only the instance itself increments
	Address     string  `cbor:"4,keyasint"` // address on which the instance accepts connections
	Weight      float64 `cbor:"5,keyasint"` // determines its share of the leases
	Leaving     bool    `cbor:"6,keyasint,omitempty"`
	Epoch       uint64  `cbor:"7,keyasint,omitempty"` // voter epoch of the instance
	Age         int64   `cbor:"8,keyasint,omitempty"` // ns since the instance incremented Heartbeat
}

// Contact is an instance that is named in the configuration.
type Contact struct {
	Name    string
	Address string
	Weight  float64
}

// Config is the configuration of a Table. Times are in ns.
type Config struct {
	Self            Entry
	Contacts        []Contact
	Interval        int64 // time between two heartbeats of an instance
	ReplacedTimeout int64 // time without a higher counter after which an incarnation is no duplicate
	Seed            uint64
}

// Member is one other instance as a table knows it.
type Member struct {
	Entry
	State   State
	Since   int64 // time at which the member entered this state
	HeardAt int64 // time at which an entry with a higher counter was last received; 0 means never
}

// Change reports that a member's state has changed.
type Change struct {
	Member
	Previous State
}

// Message is a heartbeat message to one member.
type Message struct {
	To      string
	Entries []Entry
}
