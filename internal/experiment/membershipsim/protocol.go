package membershipsim

import (
	"tealpath/internal/cluster"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/experiment/heartbeatgossip"

	"github.com/fxamacker/cbor/v2"
)

// protocol is the membership protocol of one member.
type protocol interface {
	// tick does what is due, receive takes a message; both return what is to be sent.
	tick(now int64) []message
	receive(now int64, from string, received message) []message
	// next is when tick has something to do.
	next() int64
	// belief tells whether a member is believed to be dead, or to be alive; neither holds until it was
	// heard of.
	belief(name string) (dead, alive bool)
	// view identifies the members that are handed on: a digest of them, and how often they have changed.
	view() (digest, number uint64)
	// connections is to how many others the member is connected.
	connections() int
}

// message is what one member sends to another: one of the two contents, and its size on the network.
type message struct {
	to         string
	gossip     membership.Gossip       // of membershipProtocol
	heartbeats []heartbeatgossip.Entry // of baselineProtocol
	bytes      int
}

const (
	frameHeaderBytes      = 4          // length of a frame
	tlsRecordBytes        = 22         // what TLS 1.3 adds to a record
	baselineOverheadBytes = 40         // frame, TLS and the message around the entries
	usualBallot           = 1 << 40    // a ballot of the usual length in the encoded message
	digestFactor          = uint64(31) // of the polynomial over the bytes of names
)

// encodedLength is the length of a value in CBOR.
func encodedLength(value any) int {
	raw, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // the types are this program's
	}
	return len(raw)
}

// membershipProtocol is internal/cluster/membership.
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

// baselineProtocol is internal/experiment/heartbeatgossip.
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
