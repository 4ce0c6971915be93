package compatibility

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// drawSettings draws settings that differ from the example in what is not exclusive and, seldom, in the slots.
func drawSettings(rng *rand.Rand) Settings {
	settings := exampleSettings()
	settings.Routers = 1 + rng.IntN(300)
	settings.PurgeWindow = int64(rng.IntN(9)) * 1e9
	settings.MaxConnections = rng.IntN(3) * 30
	settings.ProbePeriod = int64(rng.IntN(4)) * 1e9
	settings.DrainedEndpoints = nil
	for i := range 4 {
		if rng.IntN(2) == 0 {
			settings.DrainedEndpoints = append(settings.DrainedEndpoints, fmt.Sprint("s-", i))
		}
	}
	if rng.IntN(8) == 0 {
		settings.Slots = 32
	}
	return settings
}

// Whichever of drawn versions is in force, the conservative settings conflict with none: shares sum to at most
// the whole, purges are enforced for as long, who is drained in one gets nothing.
func TestConservative(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		var versions []Settings
		for range 1 + rng.IntN(4) {
			versions = append(versions, drawSettings(rng))
		}
		safe, ok := Conservative(versions...)
		exclusive := slices.ContainsFunc(versions, func(s Settings) bool { return s.Slots != versions[0].Slots })
		if ok == exclusive {
			t.Fatalf("ok %v of %+v", ok, versions)
		}
		for _, version := range versions {
			if safe.Routers < version.Routers || safe.PurgeWindow < version.PurgeWindow ||
				version.MaxConnections > 0 && safe.MaxConnections > version.MaxConnections ||
				safe.ProbePeriod < version.ProbePeriod {
				t.Fatalf("%+v allows more than %+v", safe, version)
			}
			for _, name := range version.DrainedEndpoints {
				if !slices.Contains(safe.DrainedEndpoints, name) {
					t.Fatalf("%s is not drained in %+v", name, safe)
				}
			}
		}
	}
	if _, ok := Conservative(); ok {
		t.Error("conservative settings of no version")
	}
}
