package cluster

import (
	"errors"
	"fmt"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"

	"github.com/fxamacker/cbor/v2"
)

// These limits apply to one message. Decode rejects a message that exceeds one of them.
const (
	maxProbeResults = 512
	maxLoadFields   = 16 // values in the load report of one probe result
	// maxGossipItems is the largest number of entries and reports together: those that are passed on, and two more
	// entries that a heartbeat may have.
	maxGossipItems = 2*membership.MaxPerMessage + 2
	maxMapPairs    = 64 // key-value pairs in one CBOR map
	maxNesting     = 8  // nested levels of CBOR arrays and maps
)

// ErrLoadReportTooLong is the error of Decode for a probe result whose load report has more than maxLoadFields values.
var ErrLoadReportTooLong = errors.New("load report has too many fields")

// ProbeResult is the result of a probe of one target.
type ProbeResult struct {
	Target  string `cbor:"1,keyasint"`
	Ballot  uint64 `cbor:"2,keyasint"` // ballot of the lease under which the probe was sent
	Healthy bool   `cbor:"3,keyasint"`
	// The values of the load report, in the order in which the settings name its fields; empty: no load report.
	Load []float64 `cbor:"4,keyasint,omitempty"`
	// Increases with each result of the instance that sent the probe.
	Seq uint64 `cbor:"5,keyasint,omitempty"`
}

// Message is a message between two instances. It may have a lease message, probe results and gossip at the same time.
type Message struct {
	HighestBallot uint64             `cbor:"2,keyasint,omitempty"` // highest ballot that the sender knows; 0: none
	Lease         *lease.Message     `cbor:"3,keyasint,omitempty"`
	ProbeResults  []ProbeResult      `cbor:"4,keyasint,omitempty"`
	Gossip        *membership.Gossip `cbor:"5,keyasint,omitempty"`
}

// decoding has limits for the memory and time that decoding a message may take.
var decoding = mustDecMode(cbor.DecOptions{
	MaxArrayElements: lease.MaxSlots,
	MaxMapPairs:      maxMapPairs,
	MaxNestedLevels:  maxNesting,
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
})

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constants
	}
	return mode
}

// Encode returns the message in CBOR (RFC 8949).
func (message Message) Encode() ([]byte, error) { return cbor.Marshal(message) }

// Decode returns the message that Encode encoded, or an error if raw is not one or exceeds the limits above.
func Decode(raw []byte) (Message, error) {
	var message Message
	if err := decoding.Unmarshal(raw, &message); err != nil {
		return Message{}, fmt.Errorf("decode message of %d bytes: %w", len(raw), err)
	}
	if err := message.checkBounds(); err != nil {
		return Message{}, err
	}
	return message, nil
}

func (message Message) checkBounds() error {
	if gossip := message.Gossip; gossip != nil && len(gossip.Entries)+len(gossip.Reports) > maxGossipItems {
		return fmt.Errorf("gossip has %d entries and %d reports, together at most %d are allowed",
			len(gossip.Entries), len(gossip.Reports), maxGossipItems)
	}
	if len(message.ProbeResults) > maxProbeResults {
		return fmt.Errorf("message has %d probe results, at most %d are allowed",
			len(message.ProbeResults), maxProbeResults)
	}
	if inner := message.Lease; inner != nil && (inner.Kind < lease.Prepare || inner.Kind > lease.Release) {
		return fmt.Errorf("unknown lease message kind %d, allowed are %d to %d",
			inner.Kind, lease.Prepare, lease.Release)
	}
	for _, result := range message.ProbeResults {
		if len(result.Load) > maxLoadFields {
			return fmt.Errorf("%w: %d for target %q, at most %d are allowed",
				ErrLoadReportTooLong, len(result.Load), result.Target, maxLoadFields)
		}
	}
	return nil
}

// merge adds the parts of another message to this one and returns true. If both messages have a part of the same kind,
// it changes nothing and returns false.
func (message *Message) merge(other Message) bool {
	if message.Lease != nil && other.Lease != nil || message.Gossip != nil && other.Gossip != nil ||
		message.ProbeResults != nil && other.ProbeResults != nil {
		return false
	}
	if other.Lease != nil {
		message.Lease = other.Lease
	}
	if other.Gossip != nil {
		message.Gossip = other.Gossip
	}
	if other.ProbeResults != nil {
		message.ProbeResults = other.ProbeResults
	}
	message.HighestBallot = max(message.HighestBallot, other.HighestBallot)
	return true
}
