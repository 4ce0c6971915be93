package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tealpath/internal/clock/clocktest"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/testkit"
)

// parseOperatorFile parses an operator's file whose paths are within a folder.
func parseOperatorFile(t *testing.T, text, folder string) *operatorconfig.File {
	t.Helper()
	file, err := operatorconfig.Parse(text, "n0", folder)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// A clock that steps from one reading to the next, from before the configuration is read until the end.
func TestServesWhileClockStepsAtEachReading(t *testing.T) {
	t.Parallel()
	test, folder := newClockTest(t, nil), t.TempDir()
	file := parseOperatorFile(t, `(snapshot (file "kept") (every 1s))`, folder)
	for range 2 { // the second reads the snapshot of the first
		clock := clocktest.Running(0)
		clock.Swing(time.Hour)
		router := test.serveOn(t, clock, file)
		client := testkit.Dial(t, test.address)
		client.ExpectServed(testkit.ObjectID(1), clientTimeout)
		client.Expect(client.Call(unanswered, 300*time.Millisecond), testkit.Rejected)
		client.Close()
		router.shutDown()
		testkit.ExpectEnd(t, router.ended, testkit.Timeout)
	}
	if _, err := os.Stat(filepath.Join(folder, "kept")); err != nil {
		t.Error(err)
	}
}

// Parts of log lines that say what became of a snapshot.
const (
	restoredWhole = `"scope":"whole"`                               // of a snapshot_restored event
	ignoredFuture = `"event":"snapshot_ignored","cause":"it was taken ` // followed by how far it is ahead
)

// snapshotClocks is how the clocks are off around a snapshot: of the router that writes it, and of the one that
// reads it.
type snapshotClocks struct {
	writerOffset, writerStep time.Duration // at its start, and set by before it writes
	readerOffset, readerStep time.Duration // at its start, and set by before it reads
}

// A step just before a snapshot is written, while it is stored, and just before it is read.
func TestSnapshotAfterClockSteps(t *testing.T) {
	t.Parallel()
	const year = 365 * 24 * time.Hour
	for _, c := range []struct {
		name   string
		clocks snapshotClocks
		says   string
	}{
		{"no step", snapshotClocks{}, restoredWhole},
		{"2 s ahead before it was written", snapshotClocks{writerStep: 2 * time.Second}, restoredWhole},
		{"2 s behind before it was written", snapshotClocks{writerStep: -2 * time.Second}, restoredWhole},
		{"an hour ahead before it was written", snapshotClocks{writerStep: time.Hour}, ignoredFuture + "3"},
		{"an hour behind before it was written", snapshotClocks{writerStep: -time.Hour}, "s old"},
		{"a year ahead all along", snapshotClocks{writerOffset: year}, ignoredFuture + "31"},
		{
			"a year ahead, set right before it was written",
			snapshotClocks{writerOffset: year, writerStep: -year},
			restoredWhole,
		},
		{"a year ahead at both", snapshotClocks{writerOffset: year, readerOffset: year}, restoredWhole},
		{
			"a year behind, set right before it was written",
			snapshotClocks{writerOffset: -year, writerStep: year},
			restoredWhole,
		},
		{"an hour ahead before it is read", snapshotClocks{readerStep: time.Hour}, "s old"},
		{"an hour behind before it is read", snapshotClocks{readerStep: -time.Hour}, ignoredFuture + "3"},
		{
			"an hour behind, set right before it is read",
			snapshotClocks{readerOffset: -time.Hour, readerStep: time.Hour},
			restoredWhole,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			log := restoreSnapshot(t, c.clocks)
			if !strings.Contains(log, c.says) {
				t.Errorf("log: %s, want %q", log, c.says)
			}
		})
	}
}

// restoreSnapshot has a router write a snapshot and another one read it, each with its clock, and returns the
// log of the second, which has to serve.
func restoreSnapshot(t *testing.T, clocks snapshotClocks) (log string) {
	t.Helper()
	test := newClockTest(t, nil)
	file := parseOperatorFile(t, `(snapshot (file "kept") (every 1h))`, t.TempDir())
	clock := clocktest.Running(clocks.writerOffset)
	writer := test.serveOn(t, clock, file)
	client := testkit.Dial(t, test.address)
	for n := range 30 {
		client.ExpectServed(testkit.ObjectID(n), clientTimeout)
	}
	client.Close()
	clock.Step(clocks.writerStep)
	writer.shutDown()
	testkit.ExpectEnd(t, writer.ended, testkit.Timeout)

	clock = clocktest.Running(clocks.readerOffset)
	clock.Step(clocks.readerStep)
	reader := test.serveOn(t, clock, file)
	reader.log.wait(t, `"event":"snapshot_`, time.Second)
	log = strings.Join(reader.log.all(), "\n")
	test.ask(t, 1)
	return log
}
