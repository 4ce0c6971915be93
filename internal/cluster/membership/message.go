package membership

// Bounds of what one message holds.
const (
	// MaxPerMessage is how many entries, and how many reports, one message holds; the rest goes with the next.
	MaxPerMessage = 256

	// DigestBuckets is into how many parts, by hash of the name, digests are taken apart to find what differs.
	DigestBuckets = 64

	maxExtraEntries = 2 // of a heartbeat, beside what is passed on: the sender's own, and one that is to refute
	maxNameSize     = 128
	maxAddressSize  = 256
	maxWeight       = 1e6
)

// Entry is one instance as instances pass it on to each other. Of two entries under a name the one with the
// higher start counts, then the higher version, then the one that says dead. Start and Version are raised by
// the instance itself alone.
type Entry struct {
	Name        string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"` // drawn at each start
	Start       uint64  `cbor:"3,keyasint"` // ms since 1970 at its start, or one above what was heard of itself
	Version     uint64  `cbor:"4,keyasint"`
	Address     string  `cbor:"5,keyasint"` // where it takes links
	Weight      float64 `cbor:"6,keyasint"` // its part of the leases
	Leaving     bool    `cbor:"7,keyasint,omitempty"`
	Epoch       uint64  `cbor:"8,keyasint,omitempty"` // of its voters
	Dead        bool    `cbor:"9,keyasint,omitempty"`
}

// newer reports whether an entry outranks another under the same name.
func (entry Entry) newer(other Entry) bool {
	switch {
	case entry.Start != other.Start:
		return entry.Start > other.Start
	case entry.Incarnation != other.Incarnation:
		return entry.Incarnation > other.Incarnation
	case entry.Version != other.Version:
		return entry.Version > other.Version
	}
	return entry.Dead && !other.Dead
}

// usable reports whether an entry is within the bounds.
func (entry Entry) usable() bool {
	return entry.Name != "" && len(entry.Name) <= maxNameSize && len(entry.Address) <= maxAddressSize &&
		entry.Weight > 0 && entry.Weight < maxWeight
}

// Report is what an observer says of a member, for one start and version of it.
type Report struct {
	Subject     string     `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	Version     uint64     `cbor:"3,keyasint"`
	Observer    string     `cbor:"4,keyasint"`
	Seq         uint64     `cbor:"5,keyasint"` // grows with each report of the observer
	Kind        ReportKind `cbor:"6,keyasint"`
}

// ReportKind is what a report says. Its numbers are those on the wire.
type ReportKind uint8

// The kinds. Silent: nothing comes from the member. Deaf: heartbeats come, and show that nothing sent to it
// arrives. Healthy takes a report back. Rumour: somebody believes the member dead; it is passed on so that
// the member can refute.
const (
	Healthy ReportKind = iota
	Silent
	Deaf
	Rumour
)

// String is the kind as `tealpath members` prints it.
func (kind ReportKind) String() string { return []string{"fine", "silent", "deaf", "rumour"}[kind] }

// Gossip is a message between two instances: a heartbeat, what is passed on, or both.
type Gossip struct {
	Heartbeat     uint64   `cbor:"1,keyasint,omitempty"` // its number on this link; 0: it is no heartbeat
	Echo          uint64   `cbor:"2,keyasint,omitempty"` // the last heartbeat that came the other way
	Digest        uint64   `cbor:"3,keyasint,omitempty"` // of all entries believed alive
	Entries       []Entry  `cbor:"4,keyasint,omitempty"`
	Reports       []Report `cbor:"5,keyasint,omitempty"`
	BucketDigests []uint64 `cbor:"6,keyasint,omitempty"` // what differs is asked for
}

// withinBounds reports whether a message holds no more than one may.
func (gossip Gossip) withinBounds() bool {
	return len(gossip.Entries) <= MaxPerMessage+maxExtraEntries && len(gossip.Reports) <= MaxPerMessage &&
		(len(gossip.BucketDigests) == 0 || len(gossip.BucketDigests) == DigestBuckets)
}

// Send is a message to be sent; it may be lost.
type Send struct {
	To     string
	Gossip Gossip
}
