package lease

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestCheckNamesTheWrongSetting(t *testing.T) {
	good := Config{
		Self: Instance{"a", 1}, Slots: 64, LeaseDuration: 1500 * ms, RenewInterval: 500 * ms, MaxClockDrift: 0.01,
		Voters: Voters{Epoch: 1, Current: []string{"a", "b", "c"}},
	}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		spoil   func(*Config)
		setting string
		reason  string // a part of it
	}{
		{"a short lease", func(c *Config) { c.LeaseDuration = 1499 * ms }, "lease", "1499 ms"},
		{"no renewals", func(c *Config) { c.RenewInterval = 0 }, "renewal", "not above 0"},
		{"no voters", func(c *Config) { c.Voters.Current = nil }, "voters", "no voters"},
		{"a voter twice", func(c *Config) { c.Voters.Current = []string{"a", "a"} }, "voters", "a is named twice"},
		{"two voters changed", func(c *Config) { c.Voters.Previous = []string{"a"} }, "voters", "one at a time"},
		{"too many voters", func(c *Config) {
			c.Voters.Current = strings.Split(strings.Repeat("v", MaxVoters/2+1), "")
		}, "voters", "33 voters: 32 at most"},
		{"no slots", func(c *Config) { c.Slots = 0 }, "slots", "0 slots"},
		{"too many slots", func(c *Config) { c.Slots = MaxSlots + 1 }, "slots", "4097 slots"},
		{"a large drift", func(c *Config) { c.MaxClockDrift = 0.5 }, "drift", "0.5"},
		{
			"a drift that is no number", func(c *Config) { c.MaxClockDrift = math.NaN() },
			"drift", "NaN: 0 to 0.1 can be",
		},
		{"no name", func(c *Config) { c.Self.Name = "" }, "name", "the own name is empty"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := good
			test.spoil(&config)
			var wrong *ConfigError
			err := config.Check()
			if !errors.As(err, &wrong) || wrong.Setting != test.setting || !strings.Contains(err.Error(), test.reason) {
				t.Errorf("error %v, want one of %s with %q", err, test.setting, test.reason)
			}
			if _, err := New(0, config); err == nil {
				t.Error("a node was made of it")
			}
		})
	}
}
