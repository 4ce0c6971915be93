// Package probe decides when each target is probed and by which instance. Each target has one periodic task, which
// the holder of the lease on the target's slot runs. Probes of a cold target stay within the part of its capacity
// that is reserved for probing, over all instances and across takeovers (docs/duties.md). The package does no input
// or output, reads no clock and is not safe for concurrent use.
package probe

import (
	"fmt"
	"time"
)

// MaxColdPart is the largest part of a cold target's limit that may be reserved for probing. The traffic of all
// routers uses 0.6 of the limit, and 0.1 remains as a margin for errors of both estimates.
const MaxColdPart = 0.3

// ColdLimit is the load that a target can bear just after its start, from the deployment's settings.
type ColdLimit struct {
	Share          float64 // the part of its capacity that it has at its start
	Factor         float64 // the multiple of that part at which it fails
	Window         int64   // the time over which the load is summed, ns
	WarmUpDuration int64   // from its start until it is warm, ns; 0: it is never cold
}

// Config is the configuration of a Prober.
type Config struct {
	Period        int64     // between two probes of a target, ns
	Timeout       int64     // within which a probe must be answered, ns
	ColdPart      float64   // the part of a cold target's limit that probing may use
	Cost          float64   // of one probe, in seconds of sending time
	MaxClockDrift float64   // the largest relative error of a clock's rate
	Slots         int       // number of slots to which the targets hash
	Cache         ColdLimit // of targets that are not parent caches
	Parent        ColdLimit // of parent caches
}

// ConfigError is the error for an invalid setting.
type ConfigError struct {
	Setting string // as the operator's file names it
	Reason  string
}

// Error returns the reason, which names the setting and its value.
func (err *ConfigError) Error() string { return err.Reason }

// Check returns a *ConfigError for the first invalid setting.
func (config Config) Check() error {
	switch {
	case config.Period <= 0 || config.Timeout <= 0:
		return &ConfigError{"period", fmt.Sprintf("the probe period of %d ns and timeout of %d ns must both be above 0",
			config.Period, config.Timeout)}
	case config.Timeout > config.Period:
		return &ConfigError{"within", fmt.Sprintf("the probe timeout of %d ms is longer than the period of %d ms",
			time.Duration(config.Timeout).Milliseconds(), time.Duration(config.Period).Milliseconds())}
	case !(config.ColdPart > 0 && config.ColdPart <= MaxColdPart): // true for NaN as well
		return &ConfigError{"cold-part", fmt.Sprintf(
			"the cold part is %v, must be above 0 and at most %v, because traffic uses 0.6 of a cold target's limit",
			config.ColdPart, MaxColdPart)}
	case !(config.Cost > 0):
		return &ConfigError{"cost", fmt.Sprintf("the cost of a probe is %v s, must be above 0", config.Cost)}
	}
	return nil
}

// limitOf returns the load limit of a target while it is cold.
func (config Config) limitOf(target Target) ColdLimit {
	if target.Parent {
		return config.Parent
	}
	return config.Cache
}

// withDrift lengthens a duration by the largest difference in rate between two clocks.
func (config Config) withDrift(duration int64) int64 {
	return int64(float64(duration) * (1 + 2*config.MaxClockDrift))
}
