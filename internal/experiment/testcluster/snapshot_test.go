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

// snapshotCase is a change of the snapshot or of the discovery service while the router is not running.
type snapshotCase struct {
	name             string
	change           func(t *testing.T, cluster *testcluster.Cluster, snapshot string)
	wantEvent        string // name of the event that the restarted router logs
	wantText         string // part of that event's log line
	skipEventIDCheck int    // 1: the event ID of the last call to the discovery service is not checked; 0: it is
}

func snapshotCases() []snapshotCase {
	unchanged := func(*testing.T, *testcluster.Cluster, string) {}
	return []snapshotCase{
		{name: "unchanged", change: unchanged, wantEvent: snapshotListConfirmed},
		{name: "a cache drains", change: drainFirstCache, wantEvent: snapshotListConfirmed},
		{
			name:      "truncated snapshot",
			change:    truncateSnapshot,
			wantEvent: "snapshot_ignored",
			wantText:  `"cause":"the file is incomplete`,
		},
		{
			name:      "snapshot of a newer version",
			change:    raiseSnapshotVersion,
			wantEvent: "snapshot_ignored",
			wantText:  `"cause":"it has version 9`,
		},
		{
			name:             "discovery service reset",
			change:           resetDiscovery,
			wantEvent:        "startup_phase_changed",
			wantText:         `"phase":"warming"`,
			skipEventIDCheck: 1,
		},
	}
}

func drainFirstCache(_ *testing.T, cluster *testcluster.Cluster, _ string) {
	endpoint := testcluster.EndpointJSON(cluster.Caches[0], time.Time{})
	cluster.Discovery.Publish(testcluster.EndpointChangeEvent(3, testcluster.DrainingEndpoint(endpoint)))
}

func truncateSnapshot(t *testing.T, _ *testcluster.Cluster, snapshot string) {
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

// A router that restarts from a snapshot must use the snapshot's endpoint list only after the discovery service has
// confirmed it, send nothing to a cache that started to drain in the meantime, and ignore a snapshot that is
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
	sendLoad(t, cluster, name)
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
	result := sendLoad(t, cluster, name)
	clustertest.WaitForLog(t, cluster, name, test.wantEvent, test.wantText)
	if result.Served < result.Sent*9/10 || result.Lost > 0 {
		t.Errorf("fewer than 90%% of the requests served, or some lost, after the restart: %+v", result)
	}
	after := cluster.Caches[0].Fetches()
	if test.name == "a cache drains" && after != before || test.name == "unchanged" && after == before {
		t.Errorf("the first cache received %d requests before the restart and %d in total, want more only if it is active",
			before, after)
	}
	calls := cluster.Discovery.Calls()
	isConfirmed := test.wantEvent == snapshotListConfirmed
	lastEventID := calls[len(calls)-1].LastEventID
	if isConfirmed != (lastEventID == 1) && test.skipEventIDCheck == 0 {
		t.Errorf("the last call asked for events after %d; want after 1 only if the list was confirmed", lastEventID)
	}
}

// sendLoad waits until a router is healthy, sends requests to it and returns their results.
func sendLoad(t *testing.T, cluster *testcluster.Cluster, name string) testcluster.LoadResult {
	t.Helper()
	address := cluster.ClientAddress(name)
	waitFor(t, "a healthy router", func() bool { return testcluster.IsHealthy(address) })
	load := testcluster.Load{Rate: 100, Addresses: []string{address}, ConnectionsPerAddress: 1}
	result, err := load.Run(t.Context(), 1200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// waitFor polls a condition, and fails the test if it does not hold within ten seconds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not appear within 10 s", what)
		}
	}
}
