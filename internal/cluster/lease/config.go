package lease

import (
	"fmt"
	"math"
	"slices"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"

	"github.com/cespare/xxhash/v2"
)

// Limits of the configuration.
const (
	MaxSlots  = 4096
	MaxVoters = 64 // of both sets together: they are held as the bits of a word

	maxDrift         = 0.1
	minRenewalsLease = 3 // renewals that a lease must outlast, so that two may be lost
)

// Instance is one start of an instance.
type Instance struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Voters are those whose quorum grants leases: a majority of Current and, unless it is empty, one of
// Previous, the set of the epoch before. The two differ by one name at most.
type Voters struct {
	Epoch    uint64   `json:"Epoch"`
	Current  []string `json:"Now"`
	Previous []string `json:"Before"`
}

// Config is what a node starts with. Lengths of time are in ns.
type Config struct {
	Self          Instance
	Slots         int
	LeaseDuration int64   // for how long a voter counts a holder in
	RenewInterval int64   // between two renewals by a holder
	MaxClockDrift float64 // by which a clock's rate may be off, as a share
	Voters        Voters
	Seed          uint64 // of the chance that spreads tries
}

// ConfigError is a setting that a node can't work with.
type ConfigError struct {
	Setting string // "name", "slots", "renewal", "lease", "drift" or "voters"
	Reason  string
}

// Error names the value and what is wrong with it.
func (err *ConfigError) Error() string { return err.Reason }

// configError makes a ConfigError with a formatted reason.
func configError(setting, format string, values ...any) error {
	return &ConfigError{Setting: setting, Reason: fmt.Sprintf(format, values...)}
}

// Check returns a *ConfigError for the first setting that is wrong.
func (config Config) Check() error {
	switch {
	case config.Self.Name == "":
		return configError("name", "the own name is empty")
	case config.Slots < 1 || config.Slots > MaxSlots:
		return configError("slots", "%d slots: 1 to %d can be", config.Slots, MaxSlots)
	case config.RenewInterval <= 0:
		return configError("renewal", "the renewal interval is not above 0")
	case config.LeaseDuration < minRenewalsLease*config.RenewInterval:
		return configError("lease", "a lease of %d ms is shorter than three renewals of %d ms",
			timing.Milliseconds(config.LeaseDuration), timing.Milliseconds(config.RenewInterval))
	case !(config.MaxClockDrift >= 0 && config.MaxClockDrift <= maxDrift): // also where it is not a number
		return configError("drift", "a drift of %v: 0 to %v can be", config.MaxClockDrift, maxDrift)
	}
	return config.Voters.Check()
}

// Check returns a *ConfigError for the first thing that is wrong with a set of voters.
func (voters Voters) Check() error {
	if len(voters.Current) == 0 {
		return configError("voters", "no voters: a majority of none grants nothing")
	}
	marks := map[uint64]string{}
	for _, set := range [][]string{voters.Current, voters.Previous} {
		if err := checkNames(set, marks); err != nil {
			return err
		}
	}
	if len(voters.Previous) > 0 && countDifferent(voters.Current, voters.Previous) > 1 {
		return configError("voters", "voters change by one at a time: now and before differ by more")
	}
	return nil
}

// checkNames checks one set of voters; marks has the names seen so far by their marks.
func checkNames(set []string, marks map[uint64]string) error {
	if len(set) > MaxVoters/2 {
		return configError("voters", "%d voters: %d at most", len(set), MaxVoters/2)
	}
	seen := map[string]bool{}
	for _, name := range set {
		if seen[name] {
			return configError("voters", "voter %s is named twice", name)
		}
		seen[name] = true
		if other, taken := marks[nameMark(name)]; taken && other != name {
			return configError("voters", "the names %s and %s give the same mark in numbers: rename one", name, other)
		}
		marks[nameMark(name)] = name
	}
	return nil
}

// countDifferent counts the names that are in one set only.
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

// nameMark is the part of a ballot that is its proposer's.
func nameMark(name string) uint64 { return paxos.Mark(xxhash.Sum64String(name)) }

// HoldDuration is for how long a holder acts after it sent the renewal that a quorum accepted, by its own
// clock, ns. It is shorter than the lease by so much that the lease of no voter ends before, whatever the two
// clocks' rates are (docs/duties.md).
func (config Config) HoldDuration() int64 {
	return timing.HoldDuration(config.LeaseDuration, config.MaxClockDrift)
}

// RestartSilence is for how long a voter that started without memory grants nothing, by its own clock, ns:
// the longest lease that it could have granted and forgotten.
func (config Config) RestartSilence() int64 {
	return int64(math.Ceil(timing.LongestLease(config.LeaseDuration, config.MaxClockDrift)))
}
