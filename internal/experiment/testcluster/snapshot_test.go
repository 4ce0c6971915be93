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

// snapshotCase is a change between the kill of a router and its next start, with the log event that must follow.
type snapshotCase struct {
	name   string
	change func(t *testing.T, cluster *testcluster.Cluster, snapshot string)
	event  string // name of the expected log event
	part   string // expected part of the event's log line
	behind int    // if not 0, the event ID of the last call is not checked
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

// A router is killed and starts again from its snapshot. It must use the endpoint list only after the discovery
// service has confirmed it, send no requests to a cache that has drained meanwhile, and ignore a snapshot that is
// truncated or of a newer version.
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
		t.Errorf("want at least 9 in 10 requests served and none lost, got %+v", result)
	}
	after := cluster.Caches[0].Fetches()
	if test.name == "a cache drained" && after != before || test.name == "as it was" && after == before {
		t.Errorf("the first cache received %d requests before the restart and %d after it, want some after it, "+
			"or none if the cache drained", before, after-before)
	}
	calls := cluster.Discovery.Calls()
	isConfirmed := test.event == snapshotListConfirmed
	lastEventID := calls[len(calls)-1].LastEventID
	if isConfirmed != (lastEventID == 1) && test.behind == 0 {
		t.Errorf("the last call has event ID %d, want 1 only if the list was confirmed (%v)",
			lastEventID, isConfirmed)
	}
}

// serve waits until a router is healthy, sends load to it and returns the result.
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

// waitFor waits until a condition holds. The test fails if it does not hold within 10 s.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not observed within 10 s: %s", what)
		}
	}
}
