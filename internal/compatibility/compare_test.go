package compatibility

import (
	"errors"
	"testing"

	"tealpath/internal/cluster/lease"
)

// exampleSettings returns valid settings in which no field has its zero value.
func exampleSettings() Settings {
	return Settings{
		Routers: 300, Slots: 64, LeaseDuration: 15e8, MaxClockDrift: .01,
		Voters:      lease.Voters{Epoch: 4, Current: []string{"a", "b", "c"}},
		PurgeWindow: 6e9, DrainedEndpoints: []string{"s-1"}, MaxConnections: 60, ProbePeriod: 1e9,
	}
}

// nextVoters returns voters of epoch 5, which follows that of exampleSettings.
func nextVoters(current, previous []string) lease.Voters {
	return lease.Voters{Epoch: 5, Current: current, Previous: previous}
}

// differences has changes to exampleSettings, each with the most severe conflict between the changed and the unchanged
// settings.
var differences = []struct {
	name     string
	change   func(*Settings)
	setting  string // name of the setting in the conflict; empty: no conflict
	severity Severity
	rule     Rule
}{
	{"no change", func(*Settings) {}, "", Harmless, NoRule},
	{"fewer routers", func(s *Settings) { s.Routers = 200 }, "routers", Bounded, RuleColdBudget},
	{"more slots", func(s *Settings) { s.Slots = 128 }, "slots", Exclusive, NoRule},
	{"a shorter lease", func(s *Settings) { s.LeaseDuration = 1e9 }, "lease", Exclusive, NoRule},
	{"a smaller drift", func(s *Settings) { s.MaxClockDrift = .001 }, "lease", Exclusive, NoRule},
	{"the next voters", func(s *Settings) {
		s.Voters = nextVoters([]string{"a", "b", "c", "d"}, []string{"a", "b", "c"})
	}, "", Harmless, NoRule},
	{"two changes of voters", func(s *Settings) {
		s.Voters = nextVoters([]string{"a", "d"}, []string{"a", "b", "c"})
	}, "voters", Exclusive, NoRule},
	{"voters two epochs later", func(s *Settings) { s.Voters.Epoch = 6 }, "voters", Exclusive, NoRule},
	{"other voters in the same epoch", func(s *Settings) {
		s.Voters.Current = []string{"a", "b"}
	}, "voters", Exclusive, NoRule},
	{"other previous voters", func(s *Settings) {
		s.Voters = nextVoters([]string{"a", "b", "c"}, []string{"a", "b"})
	}, "voters", Exclusive, NoRule},
	{"shorter purge window", func(s *Settings) { s.PurgeWindow = 5e9 }, "purge-takes", Bounded, RulePurge},
	{"one more drained endpoint", func(s *Settings) {
		s.DrainedEndpoints = []string{"s-2", "s-1"}
	}, "withdrawn", Bounded, RuleDrained},
	{"more connections", func(s *Settings) { s.MaxConnections = 90 }, "holds", Harmless, NoRule},
	{"longer probe period", func(s *Settings) { s.ProbePeriod = 2e9 }, "probe-period", Harmless, NoRule},
	{"slots and connections", func(s *Settings) { s.MaxConnections, s.Slots = 90, 32 }, "slots", Exclusive, NoRule},
}

func TestCompare(t *testing.T) {
	for _, test := range differences {
		t.Run(test.name, func(t *testing.T) {
			a, b := exampleSettings(), exampleSettings()
			test.change(&b)
			conflicts, reversed := Compare(a, b), Compare(b, a)
			var worst Conflict
			if len(conflicts) > 0 {
				worst = conflicts[0]
			}
			if worst.Setting != test.setting || worst.Severity != test.severity || worst.Rule != test.rule {
				t.Errorf("Compare = %v, want %q %s, rule %d, first", conflicts, test.setting, test.severity, test.rule)
			}
			if WorstSeverity(conflicts) != test.severity || WorstSeverity(reversed) != test.severity ||
				len(conflicts) != len(reversed) {
				t.Errorf("conflicts %v, and %v with the arguments swapped; want %s as the worst of both",
					conflicts, reversed, test.severity)
			}
		})
	}
}

// Scripts read the conflicts that `tealpath diff` prints, so their text must not change.
func TestConflictString(t *testing.T) {
	a, b := exampleSettings(), exampleSettings()
	b.Slots, b.Routers, b.MaxConnections = 32, 200, 90
	want := []string{
		"slots (exclusive): a duty hashes to other slots of 64 than of 32: it has two owners",
		"routers (bounded, rule 4): 300 routers of which some divide by 200 send 1.50 of what a cold member bears",
		"holds (harmless): a cache may be asked for more connections than the lower of 60 and 90 for a while, and refuses them",
	}
	conflicts := Compare(a, b)
	if len(conflicts) != len(want) {
		t.Fatalf("Compare = %v, want %d conflicts", conflicts, len(want))
	}
	for i, conflict := range conflicts {
		if conflict.String() != want[i] {
			t.Errorf("conflict %d is\n%s\nwant\n%s", i, conflict, want[i])
		}
	}
}

func TestIncompatible(t *testing.T) {
	encode := func(t *testing.T, change func(*Settings)) []byte {
		t.Helper()
		settings := exampleSettings()
		change(&settings)
		content, err := Encode(settings)
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	current := encode(t, func(*Settings) {})
	for _, test := range differences {
		t.Run(test.name, func(t *testing.T) {
			incompatible, _ := Incompatible(current, encode(t, test.change))
			if incompatible != (test.severity == Exclusive) {
				t.Errorf("Incompatible = %v for a difference that is %s", incompatible, test.severity)
			}
		})
	}
	for _, test := range []struct {
		name    string
		setting string // setting that the error must name
		change  func(*Settings)
	}{
		{"no routers", "routers", func(s *Settings) { s.Routers = 0 }},
		{"no slots", "slots", func(s *Settings) { s.Slots = 0 }},
		{"no lease", "lease", func(s *Settings) { s.LeaseDuration = 0 }},
		{"drift of 1", "drift", func(s *Settings) { s.MaxClockDrift = 1 }},
		{"voters two epochs later", "voters", func(s *Settings) { s.Voters.Epoch = 6 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			incompatible, err := Incompatible(current, encode(t, test.change))
			var settingError *SettingError
			if !incompatible || !errors.As(err, &settingError) || settingError.Setting != test.setting {
				t.Errorf("Incompatible = %v, error %v, want true and an error that names %s",
					incompatible, err, test.setting)
			}
		})
	}
	noVoters := encode(t, func(s *Settings) { s.Voters.Current = nil })
	for name, pair := range map[string][2][]byte{
		"no voters":                 {current, noVoters},
		"current version not CBOR":  {[]byte("\xff"), current},
		"proposed version not CBOR": {current, []byte("\xff")},
		"proposed version is empty": {current, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if incompatible, err := Incompatible(pair[0], pair[1]); !incompatible || err == nil {
				t.Errorf("Incompatible = %v, error %v, want true and an error", incompatible, err)
			}
		})
	}
}
