package cluster

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
)

var update = flag.Bool("update", false, "overwrite the golden files with the actual results")

// golden fails the test if got differs from the named file in testdata. With the flag update it first writes got to
// that file.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := "testdata/" + name
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got %s\nwant %s", path, got, want)
	}
}

// fullMessage returns a message with a value in each field, so that the encoding contains the key of every field.
func fullMessage() Message {
	return Message{
		HighestBallot: 1,
		Lease: &lease.Message{
			Kind: lease.Reject, Epoch: 2, SentAt: 3,
			Items: []lease.SlotBallot{{
				Slot: 4, Ballot: 5, Holder: lease.Instance{Name: "a", Incarnation: 6}, Remaining: 7,
			}},
		},
		ProbeResults: []ProbeResult{{Target: "t", Ballot: 8, Healthy: true, Load: []float64{9}, Seq: 10}},
		Gossip: &membership.Gossip{
			Heartbeat: 11, Echo: 12, Digest: 13,
			Entries: []membership.Entry{{
				Name: "b", Incarnation: 14, Start: 15, Version: 16, Address: "b:1", Weight: 17,
				Leaving: true, Epoch: 18, Dead: true,
			}},
			Reports: []membership.Report{{
				Subject: "c", Incarnation: 19, Version: 20, Observer: "d", Seq: 21, Kind: membership.Deaf,
			}},
			BucketDigests: []uint64{22},
		},
	}
}

// During an upgrade, instances of this version and the previous one exchange messages. If the encoding changed, they
// would not understand each other.
func TestMessageBytes(t *testing.T) {
	message := fullMessage()
	raw, err := message.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "message.hex", hex.EncodeToString(raw)+"\n")
	back, err := Decode(raw)
	if err != nil || !reflect.DeepEqual(back, message) {
		t.Errorf("decoded %+v, error %v, want %+v", back, err, message)
	}
}

// Instances send the kinds of messages and reports as numbers. If a number changed, instances of two versions would
// take one kind for another.
func TestMessageKindNumbers(t *testing.T) {
	leaseKinds := []lease.MessageKind{
		lease.Prepare, lease.Promise, lease.Propose, lease.Accept, lease.Reject, lease.Release,
	}
	for i, kind := range leaseKinds {
		if int(kind) != i+1 {
			t.Errorf("lease message kind at index %d has the number %d, want %d", i, kind, i+1)
		}
	}
	reportKinds := []membership.ReportKind{
		membership.Healthy, membership.Silent, membership.Deaf, membership.Rumour,
	}
	for i, kind := range reportKinds {
		if int(kind) != i {
			t.Errorf("report kind at index %d has the number %d, want %d", i, kind, i)
		}
	}
}

// Operators' scripts read the status that commands print as JSON, and would break if a field's name or form changed.
func TestStatusJSON(t *testing.T) {
	a := newNode(t, "a", 1)
	entry := membership.Entry{Name: "b", Incarnation: 2, Start: 1, Version: 1, Address: "b:1", Weight: 1, Epoch: 1}
	from := lease.Instance{Name: "b", Incarnation: 2}
	hello := Message{Gossip: &membership.Gossip{Heartbeat: 1, Entries: []membership.Entry{entry}}}
	a.Handle(1000*ms, MessageReceived{From: from, Message: hello})
	for now := 1000 * ms; now < 6000*ms; now += 50 * ms {
		for _, effect := range a.Handle(now, TimerFired{WallMS: 1}) {
			send, ok := effect.(Send)
			if !ok || send.Message.Lease == nil || send.To != "b" {
				continue
			}
			asked := send.Message.Lease
			answer := lease.Message{Kind: lease.Promise, Epoch: 1, SentAt: asked.SentAt, Items: asked.Items}
			if send.Message.Lease.Kind == lease.Propose {
				answer.Kind = lease.Accept
			}
			if send.Message.Lease.Kind == lease.Prepare || send.Message.Lease.Kind == lease.Propose {
				a.Handle(now, MessageReceived{From: from, Message: Message{Lease: &answer}})
			}
		}
	}
	var text strings.Builder
	encoder := json.NewEncoder(&text)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(a.Status(6000 * ms)); err != nil {
		t.Fatal(err)
	}
	if err := encoder.Encode(a.Members(6000 * ms)); err != nil {
		t.Fatal(err)
	}
	golden(t, "status.json", text.String())
}

func FuzzDecode(f *testing.F) {
	for _, message := range []Message{
		{HighestBallot: 3},
		{Lease: &lease.Message{Kind: lease.Propose, Epoch: 1, Items: []lease.SlotBallot{{Slot: 3, Ballot: 9}}}},
		{ProbeResults: []ProbeResult{{Target: "t", Ballot: 4, Load: []float64{1}}}},
		{Gossip: &membership.Gossip{
			Heartbeat: 2, Entries: []membership.Entry{{Name: "b", Incarnation: 1, Version: 2, Weight: 1}},
			Reports:       []membership.Report{{Subject: "b", Observer: "a", Kind: membership.Deaf}},
			BucketDigests: make([]uint64, membership.DigestBuckets),
		}},
		fullMessage(),
	} {
		raw, err := message.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add(bytes.Repeat([]byte{0x9f}, 100))
	node := newNode(f, "a", 1)
	f.Fuzz(func(t *testing.T, raw []byte) {
		message, err := Decode(raw)
		if err != nil {
			return
		}
		node.Handle(2000*ms, MessageReceived{From: lease.Instance{Name: "b", Incarnation: 2}, Message: message})
		node.Handle(2000*ms, TimerFired{WallMS: 1})
	})
}
