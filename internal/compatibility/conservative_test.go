package compatibility

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomSettings returns exampleSettings with random values in the settings in which a difference is no exclusive
// conflict. With a probability of 1/8 it also changes the number of slots, which is an exclusive conflict.
func randomSettings(rng *rand.Rand) Settings {
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

// The conservative settings must be safe whichever of several random versions is in force: slow-start shares must not
// add up to more than the whole, purges must be enforced for at least as long, and an endpoint that is drained in one
// version must be drained.
func TestConservative(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		var versions []Settings
		for range 1 + rng.IntN(4) {
			versions = append(versions, randomSettings(rng))
		}
		safe, ok := Conservative(versions...)
		exclusive := slices.ContainsFunc(versions, func(s Settings) bool { return s.Slots != versions[0].Slots })
		if ok == exclusive {
			t.Fatalf("Conservative returned ok = %v for %+v, want %v", ok, versions, !exclusive)
		}
		for _, version := range versions {
			if safe.Routers < version.Routers || safe.PurgeWindow < version.PurgeWindow ||
				version.MaxConnections > 0 && safe.MaxConnections > version.MaxConnections ||
				safe.ProbePeriod < version.ProbePeriod {
				t.Fatalf("conservative settings %+v allow more than version %+v", safe, version)
			}
			for _, name := range version.DrainedEndpoints {
				if !slices.Contains(safe.DrainedEndpoints, name) {
					t.Fatalf("%s is not drained in the conservative settings %+v", name, safe)
				}
			}
		}
	}
	if _, ok := Conservative(); ok {
		t.Error("Conservative without versions returned ok = true, want false")
	}
}
