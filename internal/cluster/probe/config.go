// Package probe decides when each target is probed and by which instance. Each target has one periodic task, which
// the holder of the lease on the target's slot runs. Probes of a cold target stay within the part of its capacity
// that is reserved for probing, over all instances and across takeovers (docs/duties.md). The package does no input
// or output, reads no clock and is not safe for concurrent use.
package probe

import (
	"fmt"
	"time"
)

// MaxColdPart is the largest allowed Config.ColdPart. The requests of all routers use up to 0.6 of a cold target's
// limit, and 0.1 is a margin for errors in the estimates of both.
const MaxColdPart = 0.3

// ColdLimit is the load that a target can bear just after its start, as given in the deployment's settings.
type ColdLimit struct {
	Share          float64 // fraction of Target.Capacity that the target has at its start
	Factor         float64 // the target fails at this multiple of its capacity at the start
	Window         int64   // duration over which the load is summed up, ns
	WarmUpDuration int64   // time from the target's start until it is warm, ns; 0: it is never cold
}

// Config is the configuration of a Prober.
type Config struct {
	Period        int64     // time between two probes of one target, ns
	Timeout       int64     // time within which a probe must be answered, ns
	ColdPart      float64   // fraction of a cold target's limit that probing may use; above 0, at most MaxColdPart
	Cost          float64   // load of one probe, in seconds for which the target sends
	MaxClockDrift float64   // largest relative error of an instance's clock rate: 0.01 is 1%
	Slots         int       // number of slots to which the names of targets hash
	Cache         ColdLimit // limit of targets that are not parent caches
	Parent        ColdLimit // limit of targets that are parent caches
}

// ConfigError is the error for an invalid setting.
type ConfigError struct {
	Setting string // name of the setting in the operator's file
	Reason  string
}

// Error returns the reason, which names the setting and its value.
func (err *ConfigError) Error() string { return err.Reason }

// Check returns nil if the settings are valid, and otherwise a *ConfigError for the first invalid one.
func (config Config) Check() error {
	switch {
	case config.Period <= 0 || config.Timeout <= 0:
		return &ConfigError{"period", fmt.Sprintf("the probe period of %d ns and timeout of %d ns must both be above 0",
			config.Period, config.Timeout)}
	case config.Timeout > config.Period:
		return &ConfigError{"within", fmt.Sprintf("the probe timeout of %d ms is longer than the period of %d ms",
			time.Duration(config.Timeout).Milliseconds(), time.Duration(config.Period).Milliseconds())}
	case !(config.ColdPart > 0 && config.ColdPart <= MaxColdPart): // also true for NaN
		return &ConfigError{"cold-part", fmt.Sprintf(
			"the cold part is %v, must be above 0 and at most %v, because traffic uses 0.6 of a cold target's limit",
			config.ColdPart, MaxColdPart)}
	case !(config.Cost > 0):
		return &ConfigError{"cost", fmt.Sprintf("the cost of a probe is %v s, must be above 0", config.Cost)}
	}
	return nil
}

// limitOf returns the load limit that applies to a target while it is cold.
func (config Config) limitOf(target Target) ColdLimit {
	if target.Parent {
		return config.Parent
	}
	return config.Cache
}

// withDrift returns about how many ns pass on the fastest clock while duration passes on the slowest.
func (config Config) withDrift(duration int64) int64 {
	return int64(float64(duration) * (1 + 2*config.MaxClockDrift))
}
