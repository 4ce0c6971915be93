// Package compatibility decides which versions of the settings that instances share may be in force at the same time.
// For those that may not, it names the setting and the routing rule that it affects. It also computes settings that
// are safe while it is unknown which of several versions is in force, and the steps from one version to another. It
// does no input or output and reads no clock. docs/agreement.md has the reasons.
package compatibility

import (
	"fmt"

	"tealpath/internal/cluster/lease"

	"github.com/fxamacker/cbor/v2"
)

// Settings are the settings that all instances of a fleet share. Durations are in nanoseconds. The tags name the
// fields both in the CBOR that instances exchange and in the JSON of `tealpath diff --json`.
type Settings struct {
	Routers          int          `json:"Routers"`    // number of routers that share a slow-start budget
	Slots            int          `json:"Slots"`      // number of slots to which periodic tasks hash
	LeaseDuration    int64        `json:"Lease"`      // how long a voter honors a lease after granting it
	MaxClockDrift    float64      `json:"Drift"`      // largest relative error of a clock's rate: 0.01 is 1%
	Voters           lease.Voters `json:"Voters"`     // instances of which a quorum grants leases
	PurgeWindow      int64        `json:"PurgeTakes"` // how long a purge is enforced
	DrainedEndpoints []string     `json:"Withdrawn"`  // names of endpoints that get no new attempts, even if listed
	MaxConnections   int          `json:"Holds"`      // connections that a cache accepts; 0: not known
	ProbePeriod      int64        `json:"ProbeEach"`  // time between two health checks of a target; 0: no checks
}

// SettingError is the error for a setting with an invalid value.
type SettingError struct {
	Setting string // name of the setting, as in Conflict.Setting
	Value   any
	Reason  string
}

// Error returns a text with the setting's name, its value and why it is invalid.
func (err *SettingError) Error() string {
	return fmt.Sprintf("%s is %v: %s", err.Setting, err.Value, err.Reason)
}

// Validate returns nil if all settings are valid. Otherwise it returns a *SettingError for the first invalid one or,
// for the voters, the wrapped error of lease.Voters.Check.
func (settings Settings) Validate() error {
	if err := settings.Voters.Check(); err != nil {
		return fmt.Errorf("%s: %w", settingVoters, err)
	}
	switch {
	case settings.Routers < 1:
		return &SettingError{settingRouters, settings.Routers, "must be at least 1 to divide slow-start budgets by"}
	case settings.Slots < 1:
		return &SettingError{settingSlots, settings.Slots, "must be at least 1"}
	case settings.LeaseDuration <= 0:
		return &SettingError{settingLease, settings.LeaseDuration, "must be above 0 ns"}
	case settings.MaxClockDrift < 0 || settings.MaxClockDrift >= 1:
		return &SettingError{settingDrift, settings.MaxClockDrift, "must be at least 0 and below 1"}
	}
	return nil
}

// Encode returns the settings in CBOR (RFC 8949), as the content of a sharedconfig.Version.
func Encode(settings Settings) ([]byte, error) { return cbor.Marshal(settings) }

// Decode returns the settings that Encode encoded, or an error if content is not their CBOR.
func Decode(content []byte) (Settings, error) {
	var settings Settings
	if err := cbor.Unmarshal(content, &settings); err != nil {
		return Settings{}, fmt.Errorf("decode settings of %d bytes: %w", len(content), err)
	}
	return settings, nil
}
