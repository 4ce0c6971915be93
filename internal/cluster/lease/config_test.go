package lease

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestCheckNamesTheInvalidSetting(t *testing.T) {
	valid := Config{
		Self: Instance{"a", 1}, Slots: 64, LeaseDuration: 1500 * ms, RenewInterval: 500 * ms, MaxClockDrift: 0.01,
		Voters: Voters{Epoch: 1, Current: []string{"a", "b", "c"}},
	}
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		change  func(*Config)
		setting string
		reason  string // text that the reason of the expected error contains
	}{
		{"lease too short", func(c *Config) { c.LeaseDuration = 1499 * ms }, "lease", "1499 ms"},
		{"renewal interval of 0", func(c *Config) { c.RenewInterval = 0 }, "renewal", "0 ns: must be above 0"},
		{"no voters", func(c *Config) { c.Voters.Current = nil }, "voters", "no voters"},
		{"same voter twice", func(c *Config) { c.Voters.Current = []string{"a", "a"} }, "voters", "a is named twice"},
		{
			"two voters changed", func(c *Config) { c.Voters.Previous = []string{"a"} },
			"voters", "one at a time: [a] and [a b c]",
		},
		{"too many voters", func(c *Config) {
			c.Voters.Current = strings.Split(strings.Repeat("v", MaxVoters/2+1), "")
		}, "voters", "33 voters in one set: at most 32"},
		{"no slots", func(c *Config) { c.Slots = 0 }, "slots", "0 slots"},
		{"too many slots", func(c *Config) { c.Slots = MaxSlots + 1 }, "slots", "4097 slots"},
		{"drift too large", func(c *Config) { c.MaxClockDrift = 0.5 }, "drift", "0.5"},
		{
			"drift is not a number", func(c *Config) { c.MaxClockDrift = math.NaN() },
			"drift", "NaN: must be from 0 to 0.1",
		},
		{"empty name", func(c *Config) { c.Self.Name = "" }, "name", "the name of this instance is empty"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := valid
			test.change(&config)
			var configError *ConfigError
			err := config.Check()
			if !errors.As(err, &configError) || configError.Setting != test.setting ||
				!strings.Contains(err.Error(), test.reason) {
				t.Errorf("Check() = %v, want an error for setting %s that contains %q", err, test.setting, test.reason)
			}
			if _, err := New(0, config); err == nil {
				t.Errorf("New accepted the invalid configuration %+v", config)
			}
		})
	}
}
