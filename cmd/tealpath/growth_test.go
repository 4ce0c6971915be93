package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"tealpath/internal/testkit"
)

// growthBounds are the limits of the resources that a router uses with many cache servers. Each limit depends on
// the usage of a router that handles the same traffic with the usual number of cache servers: it is factor * that
// usage + plus + perServers * (number of cache servers / 1000). The users' documentation of the full fleet states
// these limits.
var growthBounds = []struct {
	what                     string
	factor, plus, perServers float64
	of                       func(growthFigures) float64
}{
	{"CPU seconds", 1.4, 0.02, 0.03, func(f growthFigures) float64 { return f.cpuSeconds }},
	{"peak memory, MB", 1.5, 8, 4, func(f growthFigures) float64 { return f.peakMB }},
	{"descriptors", 2, 40, 0, func(f growthFigures) float64 { return f.descriptors }},
	{"connections to cache servers", 2.5, 40, 0, func(f growthFigures) float64 { return f.connections }},
	{"endpoint lists received, KB", 2, 64, 500, func(f growthFigures) float64 { return f.listKB }},
}

// minServedShare is the minimum ratio of the share of requests served with many cache servers to the share served with
// the usual number.
const minServedShare = 0.85

// trafficProfiles are the kinds of traffic that the growth tests send.
var trafficProfiles = []trafficProfile{
	{"list in the configuration", true, 300, 25 * time.Millisecond, 150, 1.1},
	{"list from the service", false, 300, 25 * time.Millisecond, 150, 1.1},
	{"more objects than connections", true, 1200, 8 * time.Millisecond, 30_000, 0},
}

// listFromService is the traffic of a router that receives its endpoint list from the discovery service.
var listFromService = trafficProfiles[1]

// buildProgram builds the router and returns the path of the binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tealpath")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return binary
}

// A router with an endpoint list of 10,000 cache servers, over three times the largest fleet, serves requests and stays
// within its memory limit.
func TestListOfTenThousandIsServedWithinMemory(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t)
	repeatIfDisturbed(t, func() (failures []string, late time.Duration) { return runTenThousand(t, binary) })
}

// runTenThousand runs a router with an endpoint list of 10,000 cache servers. It returns the failed checks, and the
// longest delay of a timer of this process during the run.
func runTenThousand(t *testing.T, binary string) (failures []string, late time.Duration) {
	t.Helper()
	const localServers, allServers = 100, 10_000
	f := newGrowthFleet(t, localServers, 900)
	instances := []string{f.instances(0, localServers, 0, "active")}
	for n := localServers; n < allServers; n++ { // servers in another zone, at addresses where nothing listens
		address := fmt.Sprintf("127.99.%d.%d:1", n>>8, n&255)
		instances = append(instances, growthInstance(n, 0, address, "there", "active"))
	}
	f.publishAll(strings.Join(instances, ","))
	f.start(binary, false)
	stalls := testkit.WatchStalls()
	figures := f.run(listFromService)
	late = stalls.Stop()
	t.Logf("%+v", figures)
	if figures.served < 0.98 || figures.peakMB > routerMemoryMB {
		failures = append(failures, fmt.Sprintf("share served %.3f, want at least 0.98; peak memory %.1f MB, limit %d MB",
			figures.served, figures.peakMB, routerMemoryMB))
	}
	return failures, late
}

// A router among 3,200 cache servers uses no more resources than growthBounds allows, relative to a router among 200
// with the same traffic. Both run at the same time, so that other load on the machine affects both.
func TestGrowthStaysWithinBounds(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t)
	for _, profile := range trafficProfiles {
		t.Run(profile.name, func(t *testing.T) {
			t.Parallel()
			repeatIfDisturbed(t, func() (failures []string, late time.Duration) { return compareGrowth(t, binary, profile) })
		})
	}
}

// repeatIfDisturbed calls run, and calls it again if it failed while a timer of this process fired late: then the load
// of the machine may be the cause. Of at most maxRuns runs, the result of the last one counts in any case.
func repeatIfDisturbed(t *testing.T, run func() (failures []string, late time.Duration)) {
	t.Helper()
	const (
		maxRuns = 3
		maxLate = 50 * time.Millisecond // maximum lateness of a timer in an undisturbed run
	)
	for attempt := 1; ; attempt++ {
		failures, late := run()
		if len(failures) > 0 && late > maxLate && attempt < maxRuns {
			t.Logf("repeated: in run %d a timer of this test fired %v late, and these checks failed: %v",
				attempt, late, failures)
			continue
		}
		for _, failure := range failures {
			t.Error(failure)
		}
		return
	}
}

// compareGrowth sends the same traffic to a router among the usual number of cache servers and to one among many, at
// the same time. It returns the failed checks, and the longest delay of a timer of this process during the run.
func compareGrowth(t *testing.T, binary string, profile trafficProfile) (failures []string, late time.Duration) {
	t.Helper()
	const usualServers, manyServers = 200, 3200
	usual, many := newGrowthFleet(t, usualServers, 300), newGrowthFleet(t, manyServers, 900)
	for _, f := range []*growthFleet{usual, many} {
		f.publishAll(f.instances(0, len(f.servers), 0, "active"))
		f.start(binary, profile.known)
	}
	stalls := testkit.WatchStalls()
	var atUsual, atMany growthFigures
	var both sync.WaitGroup
	both.Go(func() { atUsual = usual.run(profile) })
	both.Go(func() { atMany = many.run(profile) })
	both.Wait()
	late = stalls.Stop()
	for _, b := range growthBounds {
		usually, got := b.of(atUsual), b.of(atMany)
		bound := b.factor*usually + b.plus + b.perServers*manyServers/1000
		t.Logf("%-30s %8.3f at %d, %8.3f at %d, limit %8.3f", b.what, usually, usualServers, got, manyServers, bound)
		if got > bound {
			failures = append(failures, fmt.Sprintf("%s: %.3f, at most %.3f are allowed", b.what, got, bound))
		}
	}
	t.Logf("%-30s %8.3f at %d, %8.3f at %d; a timer fired %v late",
		"share served", atUsual.served, usualServers, atMany.served, manyServers, late)
	if atUsual.served < 0.9 || atMany.served < minServedShare*atUsual.served {
		failures = append(failures, fmt.Sprintf(
			"share served: %.3f at %d cache servers, want at least 0.9; %.3f at %d, want at least %.3f",
			atUsual.served, usualServers, atMany.served, manyServers, minServedShare*atUsual.served))
	}
	return failures, late
}
