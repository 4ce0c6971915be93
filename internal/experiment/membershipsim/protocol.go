package membershipsim

import (
	"tealpath/internal/cluster"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/experiment/heartbeatgossip"

	"github.com/fxamacker/cbor/v2"
)

// protocol is the membership protocol of one member.
type protocol interface {
	// tick performs the actions that are due, and receive handles a message. Both return the messages to send.
	tick(now int64) []message
	receive(now int64, from string, received message) []message
	// next returns the time at which tick must be called next.
	next() int64
	// belief reports whether a member is believed dead, and whether it is believed alive. Both are false for a member
	// of which nothing is known yet.
	belief(name string) (dead, alive bool)
	// view returns a digest of the members in the published view, and the number of the view's changes.
	view() (digest, number uint64)
	// connections returns the number of members to which this member is connected.
	connections() int
}

// message is a message to another member, with its size on the network. It holds either gossip or heartbeats.
type message struct {
	to         string
	gossip     membership.Gossip       // of membershipProtocol
	heartbeats []heartbeatgossip.Entry // of baselineProtocol
	bytes      int
}

const (
	frameHeaderBytes      = 4          // frame header with the payload's length
	tlsRecordBytes        = 22         // overhead of a TLS 1.3 record
	baselineOverheadBytes = 40         // frame, TLS and the message around the entries
	usualBallot           = 1 << 40    // a ballot of typical encoded length
	digestFactor          = uint64(31) // base of the polynomial hash of names
)

// encodedLength returns the length of a value's CBOR encoding in bytes.
func encodedLength(value any) int {
	raw, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // all types passed to it can be encoded
	}
	return len(raw)
}

// membershipProtocol implements protocol by internal/cluster/membership.
type membershipProtocol struct{ table *membership.Table }

func (p membershipProtocol) messages(sends []membership.Send) []message {
	var messages []message
	for _, send := range sends {
		envelope := cluster.Message{Gossip: &send.Gossip, HighestBallot: usualBallot}
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

// baselineProtocol implements protocol by internal/experiment/heartbeatgossip.
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
