package membership

// These limits apply to one message.
const (
	// MaxPerMessage is the largest number of queued entries, and also of queued reports, that one message passes on.
	// The following messages pass on the rest.
	MaxPerMessage = 256

	// DigestBuckets is the number of buckets into which entries are divided by the hash of their name. Comparing a
	// digest of each bucket shows in which buckets the entries of two instances differ.
	DigestBuckets = 64

	// maxExtraEntries is the largest number of entries that a heartbeat has besides the queued ones: the sender's and,
	// if the sender believes the receiver dead, the receiver's.
	maxExtraEntries = 2
	maxNameSize     = 128 // bytes of an entry's name
	maxAddressSize  = 256 // bytes of an entry's address
	maxWeight       = 1e6 // the weight of an entry must be above 0 and below this
)

// Entry describes one instance in gossip. Of two entries under one name, the one with the later Start outranks the
// other, then the one with the higher Incarnation, then with the higher Version, then one with Dead set. Only the
// instance itself raises Start and Version.
type Entry struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // random number, drawn at each start
	// Time of the start, ms since 1970. It is raised if it has to outrank an earlier incarnation.
	Start   uint64  `cbor:"3,keyasint"`
	Version uint64  `cbor:"4,keyasint"`
	Address string  `cbor:"5,keyasint"` // IP address and port at which it accepts links
	Weight  float64 `cbor:"6,keyasint"` // its share of the leases in proportion to the weights of all instances
	Leaving bool    `cbor:"7,keyasint,omitempty"`
	Epoch   uint64  `cbor:"8,keyasint,omitempty"` // epoch of the voters that it uses
	Dead    bool    `cbor:"9,keyasint,omitempty"` // the sender believes the instance dead
}

// newer reports whether entry outranks other, an entry under the same name. The order is that described at Entry.
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

// usable reports whether the entry has a name and its fields are within the limits above.
func (entry Entry) usable() bool {
	return entry.Name != "" && len(entry.Name) <= maxNameSize && len(entry.Address) <= maxAddressSize &&
		entry.Weight > 0 && entry.Weight < maxWeight
}

// Report is what an observer reports about one incarnation and version of a member: that it is silent, deaf, or
// healthy again. A rumour is a Report without an observer.
type Report struct {
	Subject     string     `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	Version     uint64     `cbor:"3,keyasint"`
	Observer    string     `cbor:"4,keyasint"`
	Seq         uint64     `cbor:"5,keyasint"` // increases with each report that the observer makes
	Kind        ReportKind `cbor:"6,keyasint"`
}

// ReportKind is the kind of a report. Messages have it as a number, so the numbers must not change.
type ReportKind uint8

// Healthy: the observer withdraws its earlier report. Silent: no heartbeats arrive from the member. Deaf: the member's
// heartbeats arrive, but their echoes show that it does not receive the observer's. Rumour: some peer believes the
// member dead; the report is passed on so that the member can refute it.
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
	Heartbeat     uint64   `cbor:"1,keyasint,omitempty"` // the heartbeat's number on its link; 0: not a heartbeat
	Echo          uint64   `cbor:"2,keyasint,omitempty"` // number of the receiver's last heartbeat; 0: none
	Digest        uint64   `cbor:"3,keyasint,omitempty"` // of the entries of all instances alive at the sender
	Entries       []Entry  `cbor:"4,keyasint,omitempty"`
	Reports       []Report `cbor:"5,keyasint,omitempty"`
	BucketDigests []uint64 `cbor:"6,keyasint,omitempty"` // asks for entries of buckets that differ; nil: for none
}

// withinBounds reports whether the numbers of entries, reports and bucket digests are within the limits of one
// message.
func (gossip Gossip) withinBounds() bool {
	return len(gossip.Entries) <= MaxPerMessage+maxExtraEntries && len(gossip.Reports) <= MaxPerMessage &&
		(len(gossip.BucketDigests) == 0 || len(gossip.BucketDigests) == DigestBuckets)
}

// Send asks the caller to send a message to a member. The message may be lost.
type Send struct {
	To     string
	Gossip Gossip
}
