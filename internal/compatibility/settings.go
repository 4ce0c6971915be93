// Package compatibility says which versions of the settings that instances share may be in force side by side,
// which may not and by which rule, what is safe while it is unknown which of several versions is in force, and
// by which steps one version becomes another. It does no input or output and reads no clock. docs/agreement.md
// has the reasons.
package compatibility

import (
	"fmt"

	"tealpath/internal/cluster/lease"

	"github.com/fxamacker/cbor/v2"
)

// Settings are what all instances of a fleet share. Lengths of time are in ns. The tags are the names of the
// fields in CBOR, among instances, and in the JSON of `tealpath diff --json`.
type Settings struct {
	Routers          int          `json:"Routers"`    // by which cold budgets are divided
	Slots            int          `json:"Slots"`      // to which periodic tasks hash
	LeaseDuration    int64        `json:"Lease"`      // for how long a voter counts a lease in
	MaxClockDrift    float64      `json:"Drift"`      // by which a clock's rate may be off, as a share
	Voters           lease.Voters `json:"Voters"`     // whose quorum grants leases
	PurgeWindow      int64        `json:"PurgeTakes"` // for how long a purge is enforced
	DrainedEndpoints []string     `json:"Withdrawn"`  // that get nothing new, whatever a list says
	MaxConnections   int          `json:"Holds"`      // that a cache takes; 0 is not known
	ProbePeriod      int64        `json:"ProbeEach"`  // between two health checks of a target; 0: none are made
}

// SettingError is a setting that no instance can act on, whatever the other settings are.
type SettingError struct {
	Setting string // as in Conflict
	Value   any
	Reason  string
}

// Error names the setting, its value and what is wrong with it.
func (err *SettingError) Error() string {
	return fmt.Sprintf("%s is %v: %s", err.Setting, err.Value, err.Reason)
}

// Validate returns a *SettingError for the first setting that can't be acted on, or the error of the voters'
// own check.
func (settings Settings) Validate() error {
	if err := settings.Voters.Check(); err != nil {
		return fmt.Errorf("%s: %w", settingVoters, err)
	}
	switch {
	case settings.Routers < 1:
		return &SettingError{settingRouters, settings.Routers, "cold budgets are divided by it"}
	case settings.Slots < 1:
		return &SettingError{settingSlots, settings.Slots, "there must be one"}
	case settings.LeaseDuration <= 0:
		return &SettingError{settingLease, settings.LeaseDuration, "it must be above 0"}
	case settings.MaxClockDrift < 0 || settings.MaxClockDrift >= 1:
		return &SettingError{settingDrift, settings.MaxClockDrift, "it must be from 0 to below 1"}
	}
	return nil
}

// Encode returns settings as the content of a version (CBOR, RFC 8949).
func Encode(settings Settings) ([]byte, error) { return cbor.Marshal(settings) }

// Decode reads the content of a version.
func Decode(content []byte) (Settings, error) {
	var settings Settings
	if err := cbor.Unmarshal(content, &settings); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return settings, nil
}
