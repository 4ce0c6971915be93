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

// What a router may need in the mean over the same day beside what it needs at the usual size, as the users'
// page on the full fleet states it: a factor, a part that is added, and one that is added for each thousand
// cache servers.
var growthBounds = []struct {
	what                     string
	factor, plus, perServers float64
	of                       func(growthFigures) float64
}{
	{"CPU seconds", 1.4, 0.02, 0.03, func(f growthFigures) float64 { return f.cpuSeconds }},
	{"peak memory, MB", 1.5, 8, 4, func(f growthFigures) float64 { return f.peakMB }},
	{"descriptors", 2, 40, 0, func(f growthFigures) float64 { return f.descriptors }},
	{"connections to cache servers", 2.5, 40, 0, func(f growthFigures) float64 { return f.connections }},
	{"bytes of lists, KB", 2, 64, 500, func(f growthFigures) float64 { return f.listKB }},
}

// minServedShare is the part of the share served at the usual size that has to be served.
const minServedShare = 0.85

var growthDays = []growthDay{
	{"list in the configuration", true, 300, 25 * time.Millisecond, 150, 1.1},
	{"list from the service", false, 300, 25 * time.Millisecond, 150, 1.1},
	{"more objects than links", true, 1200, 8 * time.Millisecond, 30_000, 0},
}

// listFromService is the day of a router whose configuration knows no endpoints.
var listFromService = growthDays[1]

// buildProgram builds the router and returns the path of the binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tealpath")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// A list of 10,000 members, over three times the largest fleet, is taken like any other: the router serves
// within its memory.
func TestListOfTenThousandIsServedWithinMemory(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t)
	playAgain(t, func() (failures []string, late time.Duration) { return playTenThousand(t, binary) })
}

// playTenThousand plays a day with a list of 10,000. It returns what is wrong with it and how late a timer came
// meanwhile.
func playTenThousand(t *testing.T, binary string) (failures []string, late time.Duration) {
	t.Helper()
	const here, all = 100, 10_000
	f := newGrowthFleet(t, here, 900)
	instances := []string{f.instances(0, here, 0, "active")}
	for n := here; n < all; n++ { // of another zone; nobody listens there
		address := fmt.Sprintf("127.99.%d.%d:1", n>>8, n&255)
		instances = append(instances, growthInstance(n, 0, address, "there", "active"))
	}
	f.publishAll(strings.Join(instances, ","))
	f.start(binary, false)
	stalls := testkit.WatchStalls()
	figures := f.play(listFromService)
	late = stalls.Stop()
	t.Logf("%+v", figures)
	if figures.served < 0.98 || figures.peakMB > routerMemoryMB {
		failures = append(failures, fmt.Sprintf("served %.3f, peak memory %.1f of %d MB",
			figures.served, figures.peakMB, routerMemoryMB))
	}
	return failures, late
}

// A real router among 3,200 cache servers needs no more beside one among 200 than the users' table lets it,
// with the same traffic of its own. Both play at the same time, so that a busy machine weighs on both.
func TestGrowthStaysWithinBounds(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t)
	for _, day := range growthDays {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			playAgain(t, func() (failures []string, late time.Duration) { return playGrowth(t, binary, day) })
		})
	}
}

// playAgain plays a day, and again where it failed while this test's own timer came late: such a day tells of
// the machine. The last play counts in any case.
func playAgain(t *testing.T, day func() (failures []string, late time.Duration)) {
	t.Helper()
	const (
		maxPlays = 3
		maxLate  = 50 * time.Millisecond // a timer that comes so late tells of a machine that stood still
	)
	for play := 1; ; play++ {
		failures, late := day()
		if len(failures) > 0 && late > maxLate && play < maxPlays {
			t.Logf("played again: this test's timer came %v late in play %d, which failed: %v", late, play, failures)
			continue
		}
		for _, failure := range failures {
			t.Error(failure)
		}
		return
	}
}

// playGrowth plays a day with both fleets. It returns what is over the table's bounds, and how late a timer
// came meanwhile.
func playGrowth(t *testing.T, binary string, day growthDay) (failures []string, late time.Duration) {
	t.Helper()
	const usualServers, manyServers = 200, 3200
	usual, many := newGrowthFleet(t, usualServers, 300), newGrowthFleet(t, manyServers, 900)
	for _, f := range []*growthFleet{usual, many} {
		f.publishAll(f.instances(0, len(f.servers), 0, "active"))
		f.start(binary, day.known)
	}
	stalls := testkit.WatchStalls()
	var atUsual, atMany growthFigures
	var both sync.WaitGroup
	both.Go(func() { atUsual = usual.play(day) })
	both.Go(func() { atMany = many.play(day) })
	both.Wait()
	late = stalls.Stop()
	for _, b := range growthBounds {
		usually, got := b.of(atUsual), b.of(atMany)
		bound := b.factor*usually + b.plus + b.perServers*manyServers/1000
		t.Logf("%-30s %8.3f at %d, %8.3f at %d, bound %8.3f", b.what, usually, usualServers, got, manyServers, bound)
		if got > bound {
			failures = append(failures, fmt.Sprintf("%s: %.3f, at most %.3f", b.what, got, bound))
		}
	}
	t.Logf("%-30s %8.3f at %d, %8.3f at %d; a timer came %v late",
		"share served", atUsual.served, usualServers, atMany.served, manyServers, late)
	if atUsual.served < 0.9 || atMany.served < minServedShare*atUsual.served {
		failures = append(failures, fmt.Sprintf("share served: %.3f and %.3f", atUsual.served, atMany.served))
	}
	return failures, late
}
