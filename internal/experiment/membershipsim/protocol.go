package membershipsim

import (
	"tealpath/internal/cluster"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/experiment/heartbeatgossip"

	"github.com/fxamacker/cbor/v2"
)

// protocol is the membership protocol that one member runs.
type protocol interface {
	// tick performs what is due, and receive handles a message. Both return the messages to send.
	tick(now int64) []message
	receive(now int64, from string, received message) []message
	// next returns the time at which tick has to be called next.
	next() int64
	// belief reports whether a member is believed to be dead or alive. Both are false for an unknown member.
	belief(name string) (dead, alive bool)
	// view identifies the view that the protocol publishes, by its digest and by the number of changes so far.
	view() (digest, number uint64)
	// connections returns the number of other members that the member is connected to.
	connections() int
}

// message is a message to another member. Exactly one of gossip and heartbeats is set.
type message struct {
	to         string
	gossip     membership.Gossip       // set by membershipProtocol
	heartbeats []heartbeatgossip.Entry // set by baselineProtocol
	bytes      int                     // size on the network, with frame header and TLS record
}

const (
	frameHeaderBytes      = 4          // bytes of a frame's length prefix
	tlsRecordBytes        = 22         // bytes that TLS 1.3 adds to a record
	baselineOverheadBytes = 40         // bytes of frame, TLS record and message around the entries
	typicalBallot         = 1 << 40    // has the encoded length of a typical ballot
	digestFactor          = uint64(31) // multiplier of the polynomial hash over the bytes of names
)

// encodedLength returns the length of a value's CBOR encoding.
func encodedLength(value any) int {
	raw, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // all values passed here are of types that CBOR can encode
	}
	return len(raw)
}

// membershipProtocol runs internal/cluster/membership.
type membershipProtocol struct{ table *membership.Table }

func (p membershipProtocol) messages(sends []membership.Send) []message {
	var messages []message
	for _, send := range sends {
		envelope := cluster.Message{Gossip: &send.Gossip, HighestBallot: typicalBallot}
		messages = append(messages, message{
			to:     send.To,
			gossip: send.Gossip,
			bytes:  encodedLength(envelope) + frameHeaderBytes + tlsRecordBytes,
		})
	}
	return messages
}

func (p membershipProtocol) tick(now int64) []message {
	sends, _ := p.table.Tick(now)
	return p.messages(sends)
}

func (p membershipProtocol) receive(now int64, from string, received message) []message {
	sends, _ := p.table.Receive(now, from, received.gossip)
	return p.messages(sends)
}

func (p membershipProtocol) next() int64 { return p.table.Next() }

func (p membershipProtocol) belief(name string) (dead, alive bool) {
	member, _ := p.table.Member(name)
	return member.State == membership.Dead, member.State == membership.Alive
}

func (p membershipProtocol) view() (digest, number uint64) {
	number, digest, _ = p.table.ViewInfo()
	return digest, number
}

func (p membershipProtocol) connections() int { return len(p.table.Peers()) }

// baselineProtocol runs internal/experiment/heartbeatgossip.
type baselineProtocol struct{ table *heartbeatgossip.Table }

func (p baselineProtocol) tick(now int64) []message {
	sends, _ := p.table.Tick(now)
	var messages []message
	for _, send := range sends {
		messages = append(messages, message{
			to:         send.To,
			heartbeats: send.Entries,
			bytes:      encodedLength(send.Entries) + baselineOverheadBytes,
		})
	}
	return messages
}

func (p baselineProtocol) receive(now int64, _ string, received message) []message {
	p.table.Receive(now, received.heartbeats)
	return nil
}

func (p baselineProtocol) next() int64 { return p.table.Next() }

func (p baselineProtocol) belief(name string) (dead, alive bool) {
	member, _ := p.table.Member(name)
	return member.State == heartbeatgossip.Dead, member.State == heartbeatgossip.Alive
}

func (p baselineProtocol) view() (digest, number uint64) {
	for _, entry := range p.table.Alive() {
		for _, char := range []byte(entry.Name) {
			digest = digest*digestFactor + uint64(char)
		}
	}
	return digest, p.table.Version()
}

func (p baselineProtocol) connections() int { return len(p.table.Members()) }
