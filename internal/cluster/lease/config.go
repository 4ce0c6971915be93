package lease

import (
	"fmt"
	"math"
	"slices"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"

	"github.com/cespare/xxhash/v2"
)

// These are the limits of a Config and its Voters that Check enforces.
const (
	MaxSlots = 4096
	// In both sets of voters together. A holder keeps one bit per voter in a uint64.
	MaxVoters = 64

	maxAllowedDrift     = 0.1 // largest allowed Config.MaxClockDrift: 0.1 is 10%
	minRenewalsPerLease = 3   // smallest LeaseDuration/RenewInterval: a lease outlasts two lost renewals
)

// Instance identifies one run of a router: each start has its own incarnation.
type Instance struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Voters names the instances whose quorum grants leases. A quorum is a majority of Current and, unless Previous
// is empty, also a majority of Previous, the voters of the previous epoch. The two sets differ by at most one name.
type Voters struct {
	Epoch    uint64   `json:"Epoch"`
	Current  []string `json:"Now"`
	Previous []string `json:"Before"`
}

// Config is the configuration of a node. Durations are in nanoseconds.
type Config struct {
	Self          Instance
	Slots         int
	LeaseDuration int64   // how long a voter honors a lease after granting it, on the voter's clock
	RenewInterval int64   // time between two renewals of a lease by its holder
	MaxClockDrift float64 // largest relative error of a clock's rate: 0.01 is 1%
	Voters        Voters
	Seed          uint64 // seed of the random waits before attempts to acquire a slot
}

// ConfigError reports an invalid setting.
type ConfigError struct {
	Setting string // the invalid setting: "name", "slots", "renewal", "lease", "drift" or "voters"
	Reason  string
}

// Error returns the reason, which names the invalid value.
func (err *ConfigError) Error() string { return err.Reason }

// configError returns a *ConfigError with a formatted reason.
func configError(setting, format string, values ...any) error {
	return &ConfigError{Setting: setting, Reason: fmt.Sprintf(format, values...)}
}

// Check returns nil if all settings are valid, and otherwise a *ConfigError for the first invalid one.
func (config Config) Check() error {
	switch {
	case config.Self.Name == "":
		return configError("name", "the name of this instance is empty")
	case config.Slots < 1 || config.Slots > MaxSlots:
		return configError("slots", "%d slots: must be from 1 to %d", config.Slots, MaxSlots)
	case config.RenewInterval <= 0:
		return configError("renewal", "a renewal interval of %d ns: must be above 0", config.RenewInterval)
	case config.LeaseDuration < minRenewalsPerLease*config.RenewInterval:
		return configError("lease", "a lease of %d ms is shorter than three renewals of %d ms",
			timing.Milliseconds(config.LeaseDuration), timing.Milliseconds(config.RenewInterval))
	case !(config.MaxClockDrift >= 0 && config.MaxClockDrift <= maxAllowedDrift): // the negation also rejects NaN
		return configError("drift", "a drift of %v: must be from 0 to %v", config.MaxClockDrift, maxAllowedDrift)
	}
	return config.Voters.Check()
}

// Check returns nil if the voters are valid, and otherwise a *ConfigError for the first problem found.
func (voters Voters) Check() error {
	if len(voters.Current) == 0 {
		return configError("voters", "no voters: at least one is needed")
	}
	namesByID := map[uint64]string{}
	for _, set := range [][]string{voters.Current, voters.Previous} {
		if err := checkNames(set, namesByID); err != nil {
			return err
		}
	}
	if len(voters.Previous) > 0 && countDifferent(voters.Current, voters.Previous) > 1 {
		return configError("voters", "voters change by one at a time: %v and %v differ by more",
			voters.Previous, voters.Current)
	}
	return nil
}

// checkNames returns a *ConfigError if one of the two sets of voters is too large, or if a name in it is invalid.
// namesByID holds, by proposer ID, the names of both sets that were checked so far; checkNames adds those of this set.
func checkNames(set []string, namesByID map[uint64]string) error {
	if len(set) > MaxVoters/2 {
		return configError("voters", "%d voters in one set: at most %d are allowed", len(set), MaxVoters/2)
	}
	seen := map[string]bool{}
	for _, name := range set {
		if seen[name] {
			return configError("voters", "voter %s is named twice", name)
		}
		seen[name] = true
		if other, taken := namesByID[proposerID(name)]; taken && other != name {
			return configError("voters", "voters %s and %s have the same proposer ID %#x: rename one",
				name, other, proposerID(name))
		}
		namesByID[proposerID(name)] = name
	}
	return nil
}

// countDifferent counts the names that are in only one of two sets.
func countDifferent(a, b []string) int {
	count := 0
	for _, pair := range [][2][]string{{a, b}, {b, a}} {
		for _, name := range pair[0] {
			if !slices.Contains(pair[1], name) {
				count++
			}
		}
	}
	return count
}

// proposerID returns the low bits that all ballots of the instance with this name have in common.
func proposerID(name string) uint64 { return paxos.ProposerID(xxhash.Sum64String(name)) }

// HoldDuration returns how long a holder may act after it sent a renewal that a quorum accepted, in ns of the
// holder's clock. It is shorter than the lease, so that the holder stops before any voter's lease ends even if
// the two clocks drift apart (docs/duties.md).
func (config Config) HoldDuration() int64 {
	return timing.HoldDuration(config.LeaseDuration, config.MaxClockDrift)
}

// RestartSilence returns how long a voter grants nothing after a start, in ns of the voter's clock. A lease that the
// voter granted before the restart, and has no record of, can last at most that long.
func (config Config) RestartSilence() int64 {
	return int64(math.Ceil(timing.LongestLease(config.LeaseDuration, config.MaxClockDrift)))
}
