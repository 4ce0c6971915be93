package cluster

import (
	"errors"
	"fmt"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of what one message holds.
const (
	maxProbeResults = 512
	maxLoadFields   = 16
	maxGossipItems  = 2*membership.MaxPerMessage + 2
	maxMapPairs     = 64
	maxNesting      = 8
)

// ErrLoadReportTooLong is a message with a load report of more fields than one may have.
var ErrLoadReportTooLong = errors.New("a load report too long")

// ProbeResult is what a probe found.
type ProbeResult struct {
	Target  string    `cbor:"1,keyasint"`
	Ballot  uint64    `cbor:"2,keyasint"` // of the lease under which it was sent
	Healthy bool      `cbor:"3,keyasint"`
	Load    []float64 `cbor:"4,keyasint,omitempty"` // the load report, in the order of the settings' fields
	Seq     uint64    `cbor:"5,keyasint,omitempty"` // grows with each result under a ballot
}

// Message is what instances send each other.
type Message struct {
	HighestBallot uint64             `cbor:"2,keyasint,omitempty"` // that the sender knows
	Lease         *lease.Message     `cbor:"3,keyasint,omitempty"`
	ProbeResults  []ProbeResult      `cbor:"4,keyasint,omitempty"`
	Gossip        *membership.Gossip `cbor:"5,keyasint,omitempty"`
}

// decoding bounds what a message may have a decoder do.
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

// Encode returns a message's bytes (CBOR, RFC 8949).
func (message Message) Encode() ([]byte, error) { return cbor.Marshal(message) }

// Decode reads a message and checks its bounds.
func Decode(raw []byte) (Message, error) {
	var message Message
	if err := decoding.Unmarshal(raw, &message); err != nil {
		return Message{}, err
	}
	if err := message.checkBounds(); err != nil {
		return Message{}, err
	}
	return message, nil
}

func (message Message) checkBounds() error {
	if gossip := message.Gossip; gossip != nil && len(gossip.Entries)+len(gossip.Reports) > maxGossipItems {
		return fmt.Errorf("%d members and %d reports", len(gossip.Entries), len(gossip.Reports))
	}
	if len(message.ProbeResults) > maxProbeResults {
		return fmt.Errorf("%d findings", len(message.ProbeResults))
	}
	if inner := message.Lease; inner != nil && (inner.Kind < lease.Prepare || inner.Kind > lease.Release) {
		return fmt.Errorf("kind %d", inner.Kind)
	}
	for _, result := range message.ProbeResults {
		if len(result.Load) > maxLoadFields {
			return ErrLoadReportTooLong
		}
	}
	return nil
}

// merge adds what another message says to this one, as far as one can hold both; it reports whether it could.
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
