package experiment

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The simulations are deterministic: with the same plan and seed they give the same results to the last digit. These
// tests compare small runs under every fault with results that were recorded earlier, so that a change of the code that
// changes a decision, a time or the order of random draws is seen.

// compareRecorded compares text with a file of recorded results.
func compareRecorded(t *testing.T, name, got string) {
	t.Helper()
	recorded, err := os.ReadFile(filepath.Join("testdata", "recorded", name))
	if err != nil {
		t.Errorf("%v; got\n%s", err, got)
		return
	}
	if got != string(recorded) {
		t.Errorf("results differ from %s; got\n%s", name, got)
	}
}

// recordedLine is one result as it is recorded: the case and what the command prints, as JSON.
func recordedLine(t *testing.T, name string, result any) string {
	t.Helper()
	raw, err := json.Marshal(result)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s %s\n", name, raw)
}

// fileDigests gives a line with the name and SHA-256 of each file in a folder.
func fileDigests(t *testing.T, folder string) string {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	var lines strings.Builder
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "%s %x\n", entry.Name(), sha256.Sum256(content))
	}
	return lines.String()
}

func TestRecordedColdFleet(t *testing.T) {
	t.Parallel()
	var got strings.Builder
	folder := t.TempDir()
	for _, faults := range FleetFaults {
		var plays []FleetColdResult
		for _, before := range []bool{true, false} {
			play := FleetCold{Routers: 20, Caches: 4, Seed: 11, Faults: faults, Span: 12e9, Rate: 80, Tries: 3, Before: before, Bears: 15, Opens: 30}
			result, err := play.Run()
			if err != nil {
				t.Fatal(err)
			}
			plays = append(plays, result)
			got.WriteString(recordedLine(t, faults, result))
			fmt.Fprintf(&got, "seconds %v\n", result.Seconds)
		}
		if err := KeepFleet(folder, plays...); err != nil {
			t.Fatal(err)
		}
	}
	play := FleetCold{Routers: 20, Caches: 4, Seed: 3, Faults: "none", Span: 8e9, Rate: 80, Holds: 9, Hold: 4e9, Bound: 5, Listed: true}
	result, err := play.Run()
	if err != nil {
		t.Fatal(err)
	}
	got.WriteString(recordedLine(t, "hold, known list", result))
	play = FleetCold{Routers: 20, Caches: 2, Seed: 3, Faults: "retries", Span: 8e9, Rate: 1500, Tries: 5, Bound: 1}
	if result, err = play.Run(); err != nil {
		t.Fatal(err)
	}
	got.WriteString(recordedLine(t, "caches that crash", result))
	got.WriteString(fileDigests(t, folder))
	compareRecorded(t, "coldfleet.txt", got.String())
	if _, err := (FleetCold{Routers: 1, Caches: 1, Faults: "x", Rate: 1}).Run(); err == nil || err.Error() !=
		"faults are one of [none list-down list-slow caches-cold caches-silent cache-hangs retries half-killed]" {
		t.Errorf("%v", err)
	}
}

func TestRecordedMembers(t *testing.T) {
	t.Parallel()
	var got strings.Builder
	var plays []MemberSimResult
	run := func(name string, play MemberSim) {
		result := play.Run()
		plays = append(plays, result)
		got.WriteString(recordedLine(t, name, result))
		got.WriteString(fmt.Sprintln("broken", result.Broken()))
	}
	for _, fault := range MemberFaults {
		run(fault, MemberSim{Instances: 16, Span: 90e9, Seed: 11, Interval: 5e8, Quiet: 21e8, Faults: []string{fault}, Every: 15e9, Spread: 1e9})
	}
	run("all", MemberSim{Instances: 30, Span: 300e9, Seed: 12, Interval: 5e8, Quiet: 21e8, Loss: 0.05, Faults: MemberFaults, Every: 15e9, Spread: 1e9})
	run("many", MemberSim{Instances: 60, Span: 60e9, Seed: 12, Interval: 5e8, Quiet: 21e8, Faults: MemberFaults, Every: 10e9, Spread: 1e9})
	run("before", MemberSim{Instances: 16, Span: 120e9, Seed: 11, Interval: 5e8, Faults: MemberFaults, Every: 15e9, Spread: 1e9, Before: true})
	run("before, calm", MemberSim{Instances: 30, Span: 40e9, Seed: 11, Interval: 5e8, Before: true})
	folder := t.TempDir()
	if err := ChartMembers(folder, plays); err != nil {
		t.Fatal(err)
	}
	got.WriteString(fileDigests(t, folder))
	compareRecorded(t, "members.txt", got.String())
}

func TestRecordedAgreement(t *testing.T) {
	t.Parallel()
	var got strings.Builder
	for _, play := range []AgreeSim{
		{Instances: 3, Span: 900e9, Seed: 11, Lease: 15e8, Renewal: 5e8, Every: 2e9},
		{Instances: 5, Span: 900e9, Seed: 12, Lease: 15e8, Renewal: 5e8, Every: 4e9},
		{Instances: 12, Span: 600e9, Seed: 13, Lease: 30e8, Renewal: 5e8, Every: 3e9},
	} {
		got.WriteString(recordedLine(t, fmt.Sprint(play.Instances), play.Run()))
	}
	compareRecorded(t, "agreement.txt", got.String())
}

func TestRecordedLeases(t *testing.T) {
	t.Parallel()
	var got strings.Builder
	for _, steps := range []bool{false, true} {
		for _, instances := range []int{1, 3, 6, 12} {
			play := Virtual{Instances: instances, Slots: 16, Targets: 10, Hours: 0.1, Seed: 11, Steps: steps, Lease: 1500e6, Renewal: 500e6}
			result := play.Run(t.Context())
			got.WriteString(recordedLine(t, fmt.Sprint(instances, steps), result))
			sum := VirtualResult{Instances: instances}
			sum.Add(result)
			sum.Add(result)
			got.WriteString(recordedLine(t, "sum", sum))
		}
	}
	compareRecorded(t, "leases.txt", got.String())
}
