// Package probe decides when a target is probed and by whom: one periodic task a target, done by whoever
// holds the lease on the target's slot. It keeps probes of a cold target within a part of what that can bear
// that is set aside for probing, over all instances and takeovers (docs/duties.md). It does no input or
// output, reads no clock and is not safe for concurrent use.
package probe

import (
	"fmt"
	"time"
)

// MaxColdPart is the largest part of a cold target's limit that may be set aside for probing: traffic of all
// routers uses 0.6 of it, and a tenth stays for what both reckon wrongly.
const MaxColdPart = 0.3

// ColdLimit is what a target that has just started bears, as the deployment's settings state it.
type ColdLimit struct {
	Share          float64 // of its capacity, at its start
	Factor         float64 // multiple of that at which it falls over
	Window         int64   // over which it is reckoned, ns
	WarmUpDuration int64   // until it is warm, ns; 0 is never cold
}

// Config is what a Prober goes by.
type Config struct {
	Period        int64   // between two probes of a target, ns
	Timeout       int64   // by which a probe is to be answered, ns
	ColdPart      float64 // of a cold target's limit that probing may use
	Cost          float64 // of a probe, seconds of sending time
	MaxClockDrift float64 // by which a clock's rate may be off, as a share
	Slots         int
	Cache         ColdLimit
	Parent        ColdLimit
}

// ConfigError is a setting that a Prober can't work with.
type ConfigError struct {
	Setting string // as the operator's file names it
	Reason  string
}

// Error says what is wrong.
func (err *ConfigError) Error() string { return err.Reason }

// Check returns a *ConfigError for the first setting that is wrong.
func (config Config) Check() error {
	switch {
	case config.Period <= 0 || config.Timeout <= 0:
		return &ConfigError{"period", "the period and the time to answer must be above 0"}
	case config.Timeout > config.Period:
		return &ConfigError{"within", fmt.Sprintf("a probe of %d ms takes longer than the period of %d ms",
			time.Duration(config.Timeout).Milliseconds(), time.Duration(config.Period).Milliseconds())}
	case !(config.ColdPart > 0 && config.ColdPart <= MaxColdPart): // also where it is not a number
		return &ConfigError{"cold-part", fmt.Sprintf("a cold part of %v: above 0 to %v can be, as traffic uses 0.6",
			config.ColdPart, MaxColdPart)}
	case !(config.Cost > 0):
		return &ConfigError{"cost", "the cost of a probe must be above 0"}
	}
	return nil
}

// limitOf is what a target bears while it is cold.
func (config Config) limitOf(target Target) ColdLimit {
	if target.Parent {
		return config.Parent
	}
	return config.Cache
}

// withDrift is a length of time lengthened by what two clocks may differ in rate.
func (config Config) withDrift(duration int64) int64 {
	return int64(float64(duration) * (1 + 2*config.MaxClockDrift))
}
