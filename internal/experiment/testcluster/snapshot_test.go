package testcluster_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/experiment/testcluster"
	"tealpath/internal/experiment/testcluster/clustertest"
)

const snapshotListConfirmed = "snapshot_list_confirmed"

// snapshotCase is a change of the world between a router's kill and its next start.
type snapshotCase struct {
	name   string
	change func(t *testing.T, cluster *testcluster.Cluster, snapshot string)
	event  string // in the log
	part   string // of its line
	behind int    // what the list service is asked behind, in the end
}

func snapshotCases() []snapshotCase {
	unchanged := func(*testing.T, *testcluster.Cluster, string) {}
	return []snapshotCase{
		{name: "as it was", change: unchanged, event: snapshotListConfirmed},
		{name: "a cache drained", change: drainFirstCache, event: snapshotListConfirmed},
		{name: "torn", change: tearSnapshot, event: "snapshot_ignored", part: `"cause":"the file is incomplete`},
		{
			name:   "of a newer program",
			change: raiseSnapshotVersion,
			event:  "snapshot_ignored",
			part:   `"cause":"it has version 9`,
		},
		{
			name:   "the service began anew",
			change: resetDiscovery,
			event:  "startup_phase_changed",
			part:   `"phase":"warming"`,
			behind: 1,
		},
	}
}

func drainFirstCache(_ *testing.T, cluster *testcluster.Cluster, _ string) {
	endpoint := testcluster.EndpointJSON(cluster.Caches[0], time.Time{})
	cluster.Discovery.Publish(testcluster.EndpointChangeEvent(3, testcluster.Draining(endpoint)))
}

func tearSnapshot(t *testing.T, _ *testcluster.Cluster, snapshot string) {
	t.Helper()
	if err := os.Truncate(snapshot, 200); err != nil {
		t.Fatal(err)
	}
}

func raiseSnapshotVersion(t *testing.T, _ *testcluster.Cluster, snapshot string) {
	t.Helper()
	raw, err := os.ReadFile(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	raw[len("tealpath snapshot\n")+3] = 9
	if err := os.WriteFile(snapshot, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

func resetDiscovery(_ *testing.T, cluster *testcluster.Cluster, _ string) {
	cluster.Discovery.Reset()
	endpoint := testcluster.EndpointJSON(cluster.Caches[1], time.Time{})
	cluster.Discovery.Publish(testcluster.EndpointListEvent(4, []string{endpoint}))
}

// A real router is killed, the world changes, and it starts again from its snapshot: the list is used only once
// the service has confirmed it, a cache that drained meanwhile gets nothing, and what is torn, another's or
// newer is passed over.
func TestRestartFromSnapshot(t *testing.T) {
	binary := clustertest.Build(t, "tealpath")
	for _, test := range snapshotCases() {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			testRestartFromSnapshot(t, binary, test)
		})
	}
}

func testRestartFromSnapshot(t *testing.T, binary string, test snapshotCase) {
	t.Helper()
	cluster, err := testcluster.New(testcluster.Config{
		Binary:              binary,
		Dir:                 t.TempDir(),
		Instances:           1,
		Caches:              2,
		WithoutEndpointList: true,
		OperatorFile:        `(socket "%s") (snapshot (file "kept") (every 1s))`,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	cluster.Discovery.Publish(`{"pos":%d,"expire":{"set":3,"stamp":1}}`)
	name := cluster.Names[0]
	if err := cluster.Start(name); err != nil {
		t.Fatal(err)
	}
	serve(t, cluster, name)
	snapshot := cluster.Path("kept", "")
	waitFor(t, "a snapshot", func() bool {
		_, err := os.Stat(snapshot)
		return err == nil
	})
	if err := cluster.Signal(name, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	cluster.WaitForExit(name, cluster.Incarnation(name))
	before := cluster.Caches[0].Fetches()
	test.change(t, cluster, snapshot)
	if err := cluster.Start(name); err != nil {
		t.Fatal(err)
	}
	result := serve(t, cluster, name)
	clustertest.WaitForLog(t, cluster, name, test.event, test.part)
	if result.Served < result.Sent*9/10 || result.Lost > 0 {
		t.Errorf("%+v", result)
	}
	after := cluster.Caches[0].Fetches()
	if test.name == "a cache drained" && after != before || test.name == "as it was" && after == before {
		t.Errorf("the first cache was asked %d times before the restart, %d in all", before, after)
	}
	calls := cluster.Discovery.Calls()
	isConfirmed := test.event == snapshotListConfirmed
	lastEventID := calls[len(calls)-1].LastEventID
	if isConfirmed != (lastEventID == 1) && test.behind == 0 {
		t.Errorf("the last call asked behind %d", lastEventID)
	}
}

// serve sends load to a router once it is healthy.
func serve(t *testing.T, cluster *testcluster.Cluster, name string) testcluster.LoadResult {
	t.Helper()
	address := cluster.ClientAddress(name)
	waitFor(t, "a healthy router", func() bool { return testcluster.IsHealthy(address) })
	load := testcluster.Load{Rate: 100, Addresses: []string{address}, ConnectionsPer: 1}
	result, err := load.Run(t.Context(), 1200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// waitFor waits until a condition holds, for ten seconds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s never came", what)
		}
	}
}
