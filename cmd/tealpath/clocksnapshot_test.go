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

// parseOperatorFile parses an operator's file. Its paths are relative to folder.
func parseOperatorFile(t *testing.T, text, folder string) *operatorconfig.File {
	t.Helper()
	file, err := operatorconfig.Parse(text, "n0", folder)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// A router serves requests and writes a snapshot although the wall clock steps by an hour each time it is read, forward
// and back in turn.
func TestServesWhileClockStepsAtEachReading(t *testing.T) {
	t.Parallel()
	test, folder := newClockTest(t, nil), t.TempDir()
	file := parseOperatorFile(t, `(snapshot (file "kept") (every 1s))`, folder)
	for range 2 { // the second router reads the snapshot of the first
		clock := clocktest.Running(0)
		clock.StepEachReading(time.Hour)
		router := test.serveOn(t, clock, file)
		client := testkit.Dial(t, test.address)
		client.ExpectServed(testkit.ObjectID(1), clientTimeout)
		client.Expect(client.Call(unanswered, 300*time.Millisecond), testkit.Rejected)
		client.Close()
		router.shutDown()
		testkit.ExpectNoError(t, router.ended, testkit.Timeout)
	}
	if _, err := os.Stat(filepath.Join(folder, "kept")); err != nil {
		t.Errorf("no snapshot was written: %v", err)
	}
}

// Parts of the log lines about the restoring of a snapshot.
const (
	restoredWhole = `"scope":"whole"`                                   // snapshot_restored: whole snapshot is used
	ignoredFuture = `"event":"snapshot_ignored","cause":"it was taken ` // followed by how far ahead the snapshot's time is
)

// snapshotClocks contains the offsets and steps of the wall clocks of the router that writes a snapshot and of the
// router that reads it.
type snapshotClocks struct {
	writerOffset, writerStep time.Duration // offset at the start, and step before the snapshot is written
	readerOffset, readerStep time.Duration // offset at the start, and step before the snapshot is read
}

// The wall clock steps just before a snapshot is written or just before it is read. A snapshot is restored only if its
// time is plausible by the clock of the router that reads it.
func TestSnapshotAfterClockSteps(t *testing.T) {
	t.Parallel()
	const year = 365 * 24 * time.Hour
	for _, c := range []struct {
		name   string
		clocks snapshotClocks
		want   string // part of the log of the router that reads the snapshot
	}{
		{"no step", snapshotClocks{}, restoredWhole},
		{"2 s forward before writing", snapshotClocks{writerStep: 2 * time.Second}, restoredWhole},
		{"2 s back before writing", snapshotClocks{writerStep: -2 * time.Second}, restoredWhole},
		{"an hour forward before writing", snapshotClocks{writerStep: time.Hour}, ignoredFuture + "3"},
		{"an hour back before writing", snapshotClocks{writerStep: -time.Hour}, "s old"},
		{"writer a year ahead", snapshotClocks{writerOffset: year}, ignoredFuture + "31"},
		{
			"writer a year ahead, corrected before writing",
			snapshotClocks{writerOffset: year, writerStep: -year},
			restoredWhole,
		},
		{"writer and reader a year ahead", snapshotClocks{writerOffset: year, readerOffset: year}, restoredWhole},
		{
			"writer a year behind, corrected before writing",
			snapshotClocks{writerOffset: -year, writerStep: year},
			restoredWhole,
		},
		{"an hour forward before reading", snapshotClocks{readerStep: time.Hour}, "s old"},
		{"an hour back before reading", snapshotClocks{readerStep: -time.Hour}, ignoredFuture + "3"},
		{
			"reader an hour behind, corrected before reading",
			snapshotClocks{readerOffset: -time.Hour, readerStep: time.Hour},
			restoredWhole,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			log := restoreSnapshot(t, c.clocks)
			if !strings.Contains(log, c.want) {
				t.Errorf("log: %s\nwant a line with %q", log, c.want)
			}
		})
	}
}

// restoreSnapshot starts one router that writes a snapshot and another one that reads it, each with its own clock. It
// checks that the second router serves, and returns its log.
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
	testkit.ExpectNoError(t, writer.ended, testkit.Timeout)

	clock = clocktest.Running(clocks.readerOffset)
	clock.Step(clocks.readerStep)
	reader := test.serveOn(t, clock, file)
	reader.log.wait(t, `"event":"snapshot_`, time.Second)
	log = strings.Join(reader.log.all(), "\n")
	test.expectServed(t, 1)
	return log
}
