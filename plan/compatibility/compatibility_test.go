package compatibility

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"tealpath/fleet/duty"
)

func some() Settings {
	return Settings{Routers: 300, Slots: 64, LeaseDuration: 15e8, MaxClockDrift: .01, Voters: duty.Voters{Epoch: 4, Now: []string{"a", "b", "c"}},
		PurgeWindow: 6e9, DrainedEndpoints: []string{"s-1"}, MaxConnections: 60, ProbePeriod: 1e9}
}

func TestBetween(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
		want   string // setting and degree of the first; empty: none
		rule   int
	}{
		{"the same", func(*Settings) {}, "", 0},
		{"fewer routers", func(s *Settings) { s.Routers = 200 }, "routers bounded", 4},
		{"more slots", func(s *Settings) { s.Slots = 128 }, "slots exclusive", 0},
		{"a shorter lease", func(s *Settings) { s.LeaseDuration = 1e9 }, "lease exclusive", 0},
		{"a smaller drift", func(s *Settings) { s.MaxClockDrift = .001 }, "lease exclusive", 0},
		{"the next voters", func(s *Settings) {
			s.Voters = duty.Voters{Epoch: 5, Now: []string{"a", "b", "c", "d"}, Before: []string{"a", "b", "c"}}
		}, "", 0},
		{"two changes of voters", func(s *Settings) {
			s.Voters = duty.Voters{Epoch: 5, Now: []string{"a", "d"}, Before: []string{"a", "b", "c"}}
		}, "voters exclusive", 0},
		{"two epochs on", func(s *Settings) { s.Voters.Epoch = 6 }, "voters exclusive", 0},
		{"others under the same epoch", func(s *Settings) { s.Voters.Now = []string{"a", "b"} }, "voters exclusive", 0},
		{"others before", func(s *Settings) {
			s.Voters = duty.Voters{Epoch: 5, Now: []string{"a", "b", "c"}, Before: []string{"a", "b"}}
		}, "voters exclusive", 0},
		{"purges for shorter", func(s *Settings) { s.PurgeWindow = 5e9 }, "purge-takes bounded", 5},
		{"one more withdrawn", func(s *Settings) { s.DrainedEndpoints = []string{"s-2", "s-1"} }, "withdrawn bounded", 3},
		{"more connections", func(s *Settings) { s.MaxConnections = 90 }, "holds harmless", 0},
		{"another period", func(s *Settings) { s.ProbePeriod = 2e9 }, "probe-period harmless", 0},
		{"slots and connections", func(s *Settings) { s.MaxConnections, s.Slots = 90, 32 }, "slots exclusive", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := some(), some()
			c.change(&b)
			there, back := Compare(a, b), Compare(b, a)
			got, rule := "", 0
			if len(there) > 0 {
				got, rule = there[0].Setting+" "+there[0].Severity.String(), there[0].Rule
			}
			if got != c.want || rule != c.rule || WorstSeverity(there) != WorstSeverity(back) || len(there) != len(back) {
				t.Errorf("%v, back %v, want %q", there, back, c.want)
			}
		})
	}
}

// Whatever is in force of drawn versions, the floor contradicts none of them: shares sum to at most the whole, purges are
// enforced for as long, who is withdrawn in one gets nothing.
func TestFloor(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		var all []Settings
		for range 1 + rng.IntN(4) {
			s := some()
			s.Routers, s.PurgeWindow, s.MaxConnections, s.ProbePeriod = 1+rng.IntN(300), int64(rng.IntN(9))*1e9, rng.IntN(3)*30, int64(rng.IntN(4))*1e9
			s.DrainedEndpoints = nil
			for i := range 4 {
				if rng.IntN(2) == 0 {
					s.DrainedEndpoints = append(s.DrainedEndpoints, fmt.Sprint("s-", i))
				}
			}
			if rng.IntN(8) == 0 {
				s.Slots = 32
			}
			all = append(all, s)
		}
		floor, ok := Conservative(all...)
		exclusive := slices.ContainsFunc(all, func(s Settings) bool { return s.Slots != all[0].Slots })
		if ok == exclusive {
			t.Fatalf("ok %v of %+v", ok, all)
		}
		for _, s := range all {
			if floor.Routers < s.Routers || floor.PurgeWindow < s.PurgeWindow || s.MaxConnections > 0 && floor.MaxConnections > s.MaxConnections || floor.ProbePeriod < s.ProbePeriod {
				t.Fatalf("%+v is above %+v", floor, s)
			}
			for _, name := range s.DrainedEndpoints {
				if !slices.Contains(floor.DrainedEndpoints, name) {
					t.Fatalf("%s is not withdrawn in %+v", name, floor)
				}
			}
		}
	}
	if _, ok := Conservative(); ok {
		t.Error("a floor of nothing")
	}
}

// Between any two drawn versions there are steps, each of which differs from the one before by no voters apart, and exclusive
// settings change in the last alone.
func TestSteps(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	for range 2000 {
		from, to := some(), some()
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		to.Voters = duty.Voters{Epoch: 4, Now: slices.Sorted(slices.Values(names[:1+rng.IntN(6)]))}
		if slices.Equal(to.Voters.Now, from.Voters.Now) {
			continue
		}
		to.Routers, to.Slots = 1+rng.IntN(400), 32<<rng.IntN(3)
		steps, err := MigrationPath(from, to)
		if err != nil {
			t.Fatal(err)
		}
		at := from
		for i, s := range steps {
			for _, c := range Compare(at, s) {
				if c.Setting == "voters" || c.Severity == Exclusive && i < len(steps)-1 {
					t.Fatalf("step %d of %d: %v", i, len(steps), c)
				}
			}
			if err := s.Voters.Check(); err != nil {
				t.Fatalf("step %d: %v", i, err)
			}
			at = s
		}
		end := at
		end.Voters, to.Voters = duty.Voters{}, duty.Voters{Now: to.Voters.Now}
		if !slices.Equal(slices.Sorted(slices.Values(at.Voters.Now)), to.Voters.Now) || !reflect.DeepEqual(end, func() Settings { x := to; x.Voters = duty.Voters{}; return x }()) {
			t.Fatalf("steps end at %+v, not at %+v", at, to)
		}
	}
	back := some()
	back.Voters.Epoch = 3
	if _, err := MigrationPath(some(), back); err == nil || !strings.Contains(err.Error(), "can't follow") {
		t.Error(err)
	}
}
