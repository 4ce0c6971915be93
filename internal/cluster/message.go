package cluster

import (
	"errors"
	"fmt"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"

	"github.com/fxamacker/cbor/v2"
)

// These limits apply to one message.
const (
	maxProbeResults = 512
	maxLoadFields   = 16 // in the load report of one probe result
	// maxGossipItems bounds entries and reports together: those passed on, and the two entries that a heartbeat
	// adds.
	maxGossipItems = 2*membership.MaxPerMessage + 2
	maxMapPairs    = 64 // in one CBOR map
	maxNesting     = 8  // levels of CBOR arrays and maps inside each other
)

// ErrLoadReportTooLong is the error for a load report with more than maxLoadFields fields.
var ErrLoadReportTooLong = errors.New("load report has too many fields")

// ProbeResult is the result of a health check of an endpoint.
type ProbeResult struct {
	Target  string    `cbor:"1,keyasint"`
	Ballot  uint64    `cbor:"2,keyasint"` // of the lease under which the probe was sent
	Healthy bool      `cbor:"3,keyasint"`
	Load    []float64 `cbor:"4,keyasint,omitempty"` // the load report's values, in the order of the settings' fields
	Seq     uint64    `cbor:"5,keyasint,omitempty"` // increases with each result of the instance that sent the probe
}

// Message is a message between two instances. It may hold several parts.
type Message struct {
	HighestBallot uint64             `cbor:"2,keyasint,omitempty"` // the highest ballot that the sender knows
	Lease         *lease.Message     `cbor:"3,keyasint,omitempty"`
	ProbeResults  []ProbeResult      `cbor:"4,keyasint,omitempty"`
	Gossip        *membership.Gossip `cbor:"5,keyasint,omitempty"`
}

// decoding limits the memory and time that decoding a message may take.
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
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns a message in CBOR (RFC 8949).
func (message Message) Encode() ([]byte, error) { return cbor.Marshal(message) }

// Decode decodes a message and checks its limits.
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

// merge adds the parts of another message to this one. If both have a part of the same kind, it changes nothing
// and returns false.
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
