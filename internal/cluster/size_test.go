package cluster

import (
	"fmt"
	"strings"
	"testing"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/peer"
)

// A frame limits the size of a message. Even if the probes of all cache servers of the largest fleet end within one
// renewal interval, all results must be sent, in messages that each fit a frame.
func TestProbeResultsOfTheLargestFleet(t *testing.T) {
	const servers = 4096
	node := newNode(t, "a", 1)
	node.Handle(1, TimerFired{WallMS: 1e12})
	for i := range servers {
		node.Handle(2, ProbeEnded{ProbeResult{
			Target:  fmt.Sprintf("cache-server-%051d", i),
			Ballot:  7,
			Healthy: true,
			Load:    make([]float64, maxLoadFields),
		}})
	}
	sent := map[string]bool{}
	for now := int64(3); now < 1000*ms; now += 100 * ms {
		for _, effect := range node.Handle(now, TimerFired{WallMS: 1e12}) {
			send, ok := effect.(Send)
			if !ok || send.To != "b" {
				continue
			}
			raw, err := send.Message.Encode()
			if err != nil || len(raw) > peer.MaxFrameSize {
				t.Fatalf("message of %d bytes, at most %d fit a frame; error %v", len(raw), peer.MaxFrameSize, err)
			}
			message, err := Decode(raw)
			if err != nil {
				t.Fatal(err)
			}
			for _, result := range message.ProbeResults {
				sent[result.Target] = true
			}
		}
	}
	if len(sent) != servers {
		t.Errorf("results of %d servers were sent, want %d", len(sent), servers)
	}
}

// A link drops a message that does not fit a frame, so the largest messages must fit. They must also pass the decoding
// limits.
func TestLargestMessages(t *testing.T) {
	name := strings.Repeat("n", 128)
	rejection := lease.Message{Kind: lease.Reject, Epoch: 1 << 40, SentAt: 1 << 62}
	for slot := range lease.MaxSlots {
		rejection.Items = append(rejection.Items, lease.SlotBallot{
			Slot: slot, Ballot: 1 << 63,
			Holder: lease.Instance{Name: name, Incarnation: 1 << 63}, Remaining: 1 << 40,
		})
	}
	gossip := membership.Gossip{
		Heartbeat:     1 << 40,
		Echo:          1 << 40,
		Digest:        1 << 63,
		BucketDigests: make([]uint64, membership.DigestBuckets),
	}
	for range membership.MaxPerMessage {
		gossip.Entries = append(gossip.Entries, membership.Entry{
			Name: name, Incarnation: 1 << 63, Start: 1 << 63, Version: 1 << 63,
			Address: strings.Repeat("a", 256), Weight: 1.1, Leaving: true, Epoch: 1 << 63, Dead: true,
		})
		gossip.Reports = append(gossip.Reports, membership.Report{
			Subject: name, Incarnation: 1 << 63, Version: 1 << 63, Observer: name, Seq: 1 << 63, Kind: 1,
		})
	}
	largest := map[string]Message{"all slots rejected": {Lease: &rejection}, "full gossip": {Gossip: &gossip}}
	for name, message := range largest {
		raw, err := message.Encode()
		if err != nil || len(raw) > peer.MaxFrameSize {
			t.Errorf("%s: %d bytes, at most %d fit a frame; error %v", name, len(raw), peer.MaxFrameSize, err)
		}
		if _, err := Decode(raw); err != nil {
			t.Errorf("%s: decoding failed: %v", name, err)
		}
	}
}
