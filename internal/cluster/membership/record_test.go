package membership

import (
	"math/rand/v2"
	"testing"

	"tealpath/internal/cluster/recordtest"

	"github.com/fxamacker/cbor/v2"
)

// recordedDigest is the SHA-256 of the lines that TestRecordedSequence records, in order.
const recordedDigest = "7d324924ea1aaccf715d82e5d0f51e3517ac35dc5b98ec2b3ad397e042032ec5"

// TestRecordedSequence simulates 16 members for 300 s with random faults. Each encoded message, each change and each
// time at which a table is next due goes into one digest, so that the test detects a refactoring that changes any of
// them or their order.
func TestRecordedSequence(t *testing.T) {
	const members, seconds = 16, 300
	cluster := newCluster(t, members)
	recorder := recordtest.New(t)
	record := recorder.Record
	cluster.observe = func(name string, sends []Send, changes []Change) {
		for _, send := range sends {
			encoded, err := cbor.Marshal(send.Gossip)
			if err != nil {
				t.Fatal(err)
			}
			record("%d %s send %s %x", cluster.now, name, send.To, encoded)
		}
		for _, change := range changes {
			record("%d %s change %s %d %d %v %v %d %v %d %s",
				cluster.now, name, change.Name, change.Incarnation, change.Version, change.Previous, change.State,
				change.Since, change.HeldOut, len(change.Reports), change.Reason)
		}
		table := cluster.tables[name]
		number, view, since := table.ViewInfo()
		record("%d %s next %d version %d view %d %x %d",
			cluster.now, name, table.Next(), table.Version(), number, view, since)
	}
	faults := rand.New(rand.NewPCG(48, members))
	for range seconds {
		cluster.injectRandomFault(faults)
		cluster.run(second)
		for _, name := range cluster.names {
			table := cluster.tables[name]
			record("%s peers %v health %d rejected %d cut off %v",
				name, table.Peers(), table.LocalHealth(), table.Rejected(), table.IsCutOff())
			for _, member := range table.Members() {
				record("%s believes %v duplicated %v", name, member, table.IsDuplicated(cluster.now, member.Name))
			}
		}
	}
	recorder.Check(recordedDigest)
}

// injectRandomFault starts or ends a random fault of a random member; some draws change nothing.
func (cluster *testCluster) injectRandomFault(faults *rand.Rand) {
	name := cluster.names[faults.IntN(len(cluster.names))]
	other := cluster.names[faults.IntN(len(cluster.names))]
	duration := faults.Int64N(8 * second)
	switch faults.IntN(16) {
	case 0, 1:
		cluster.down[name] = true
	case 2, 3, 4:
		if cluster.down[name] {
			cluster.start(name, cluster.wallMS())
		}
	case 5:
		cluster.start(name, 1) // wall clock set back to 1970
	case 6:
		cluster.pausedUntil[name] = cluster.now + duration
	case 7:
		cluster.cut = func(from, to string) bool { return from == name && to != other }
	case 8:
		cluster.cut = func(_, to string) bool { return to == name }
	case 9:
		cluster.cut = func(from, to string) bool { return (from < name) != (to < name) }
	case 10:
		cluster.cut = noCut
	case 11:
		cluster.loss = faults.Float64() / 2
	case 12:
		cluster.loss = 0
	case 13:
		cluster.twice = !cluster.twice
	case 14:
		cluster.reconfigure(name, other)
	case 15:
		sends := cluster.tables[name].Leave(cluster.now)
		cluster.observed(name, sends, nil)
		cluster.send(name, sends)
		cluster.down[name] = true
	}
}

// reconfigure gives a table a configuration without one of the contacts, with new addresses for the others and with
// another weight and voter epoch.
func (cluster *testCluster) reconfigure(name, without string) {
	var contacts []Contact
	for _, contact := range cluster.names {
		if contact != without {
			contacts = append(contacts, Contact{contact, contact + ":2", 1})
		}
	}
	cluster.tables[name].Configure(cluster.now, contacts, 2, 1)
}
