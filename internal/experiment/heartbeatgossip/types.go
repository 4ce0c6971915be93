// Package heartbeatgossip is a membership protocol of an earlier version, kept as the baseline that
// internal/cluster/membership is measured against (internal/experiment/membershipsim).
//
// It is a gossip-style failure detector after van Renesse, Minsky and Hayden (A Gossip-Style Failure
// Detection Service, 1998): each instance raises a heartbeat counter of its own and passes the counters of
// all that it knows on to a few others. An instance whose counter has not grown for a while is believed
// dead. The package does no input or output, reads no clock and is not safe for concurrent use.
package heartbeatgossip

// Limits on what is kept and accepted.
const (
	// MaxMembers is how many instances are known at most; entries of further ones are rejected.
	MaxMembers = 4096

	maxNameLength    = 128
	maxAddressLength = 256
	maxWeight        = 1e6
	maxIncarnations  = 64 // starts under one name that are told apart
)

// How the protocol spreads and forgets, the latter two in heartbeat intervals.
const (
	fanOut          = 3  // members that a heartbeat is sent to
	deadIntervals   = 3  // without a higher counter, after which a member is believed dead
	forgetIntervals = 60 // after which a dead member is forgotten, unless it is configured
)

// State is what is believed of a member.
type State int

// The states. Unheard is a configured member that nothing was heard of yet.
const (
	Unheard State = iota
	Alive
	Dead
	Left
)

func (s State) String() string { return []string{"unheard", "alive", "dead", "left"}[s] }

// Entry is one instance as instances report it to each other.
type Entry struct {
	Name        string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"` // drawn at each start
	Heartbeat   uint64  `cbor:"3,keyasint"` // counter that the instance itself alone raises
	Address     string  `cbor:"4,keyasint"` // where it accepts connections
	Weight      float64 `cbor:"5,keyasint"` // its share of the leases
	Leaving     bool    `cbor:"6,keyasint,omitempty"`
	Epoch       uint64  `cbor:"7,keyasint,omitempty"` // of its voters
	Age         int64   `cbor:"8,keyasint,omitempty"` // ns since the counter was raised
}

// Contact is a configured instance.
type Contact struct {
	Name    string
	Address string
	Weight  float64
}

// Config is what a table starts with. Times are ns.
type Config struct {
	Self            Entry
	Contacts        []Contact
	Interval        int64 // between two heartbeats
	ReplacedTimeout int64 // for how long a replaced incarnation counts as possibly still there
	Seed            uint64
}

// Member is what is believed of one instance.
type Member struct {
	Entry
	State   State
	Since   int64 // when it got into this state
	HeardAt int64 // when its counter last grew; 0 is never
}

// Change is a member whose state has changed.
type Change struct {
	Member
	Previous State
}

// Message is a heartbeat to one member.
type Message struct {
	To      string
	Entries []Entry
}
