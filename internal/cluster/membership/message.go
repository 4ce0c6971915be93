package membership

// Limits of one message.
const (
	// MaxPerMessage bounds the queued entries, and likewise the queued reports, that one message passes on. The
	// next message passes on the rest.
	MaxPerMessage = 256

	// DigestBuckets is the number of buckets, by hash of the name, into which entries are divided to find those
	// that differ.
	DigestBuckets = 64

	// maxExtraEntries is how many entries a heartbeat has besides those passed on: the sender's and, if the
	// receiver is believed dead, the receiver's.
	maxExtraEntries = 2
	maxNameSize     = 128 // bytes
	maxAddressSize  = 256 // bytes
	maxWeight       = 1e6 // a weight must be below this
)

// Entry describes one instance in gossip. Of two entries under one name, the one with the later start time
// outranks the other, then the higher incarnation, then the higher version, then the one that says dead. Only the
// instance itself raises Start and Version.
type Entry struct {
	Name        string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"` // random, new at each start
	Start       uint64  `cbor:"3,keyasint"` // start time, ms since 1970, or more to outrank an earlier incarnation
	Version     uint64  `cbor:"4,keyasint"`
	Address     string  `cbor:"5,keyasint"` // where it accepts links
	Weight      float64 `cbor:"6,keyasint"` // its share of the leases, relative to others
	Leaving     bool    `cbor:"7,keyasint,omitempty"`
	Epoch       uint64  `cbor:"8,keyasint,omitempty"` // of the voters that it uses
	Dead        bool    `cbor:"9,keyasint,omitempty"` // the sender believes it dead
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

// usable reports whether an entry's fields are within the limits.
func (entry Entry) usable() bool {
	return entry.Name != "" && len(entry.Name) <= maxNameSize && len(entry.Address) <= maxAddressSize &&
		entry.Weight > 0 && entry.Weight < maxWeight
}

// Report is an observer's statement that one incarnation and version of a member is silent, deaf or healthy again. A
// Rumour uses the same type.
type Report struct {
	Subject     string     `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	Version     uint64     `cbor:"3,keyasint"`
	Observer    string     `cbor:"4,keyasint"`
	Seq         uint64     `cbor:"5,keyasint"` // increases with each report of the observer
	Kind        ReportKind `cbor:"6,keyasint"`
}

// ReportKind is the kind of a report. Its numbers are sent on the wire.
type ReportKind uint8

// The kinds. Healthy withdraws an earlier report. Silent: no heartbeats arrive from the member. Deaf: the member's
// heartbeats arrive, but their echoes show that it does not receive the observer's heartbeats. Rumour: a peer
// believes the member dead; a rumour has no observer and is passed on so that the member can refute.
const (
	Healthy ReportKind = iota
	Silent
	Deaf
	Rumour
)

// String returns the kind as `tealpath members` prints it.
func (kind ReportKind) String() string { return []string{"fine", "silent", "deaf", "rumour"}[kind] }

// Gossip is a message between two instances: a heartbeat, entries and reports, a digest comparison, or several of
// these.
type Gossip struct {
	Heartbeat     uint64   `cbor:"1,keyasint,omitempty"` // its number on this link; 0: not a heartbeat
	Echo          uint64   `cbor:"2,keyasint,omitempty"` // number of the last heartbeat received from the other side
	Digest        uint64   `cbor:"3,keyasint,omitempty"` // of the entries of all members believed alive
	Entries       []Entry  `cbor:"4,keyasint,omitempty"`
	Reports       []Report `cbor:"5,keyasint,omitempty"`
	BucketDigests []uint64 `cbor:"6,keyasint,omitempty"` // requests the entries of buckets that differ
}

// withinBounds reports whether a message is within the limits.
func (gossip Gossip) withinBounds() bool {
	return len(gossip.Entries) <= MaxPerMessage+maxExtraEntries && len(gossip.Reports) <= MaxPerMessage &&
		(len(gossip.BucketDigests) == 0 || len(gossip.BucketDigests) == DigestBuckets)
}

// Send is a message to be sent to a member. It may be lost.
type Send struct {
	To     string
	Gossip Gossip
}
