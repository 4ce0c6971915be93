// Package restore decides what a router that starts may use of a snapshot that it finds on its disk. It does no
// input or output and reads no clock. docs/coldstart.md, "What was known before", has the rules and their
// reasons.
//
// All times are Unix ns by the wall clock, read when the snapshot was taken and when the process that reads it
// began: two processes have no monotonic axis in common. docs/time.md says what a step of the clock between the
// two does.
package restore

import "fmt"

const second = int64(1e9)

// FormatVersion is the version of the snapshots that this program writes and reads.
const FormatVersion = 1

const (
	// maxRateAge is the age up to which the request rates of a snapshot are used. It covers a restart, not a
	// longer outage.
	maxRateAge = 60 * second

	// maxAge is the age up to which sending times, and the objects that were requested and purged, are used.
	maxAge = 3600 * second

	// maxClockStep is by how much a snapshot may be in the future, since a machine's clock may be set back a
	// little. The age of such a snapshot counts as zero.
	maxClockStep = 5 * second
)

// Header identifies a snapshot: who wrote it, when, and under which settings.
type Header struct {
	Version        int    // of the format
	Router         string // name of the router that wrote it
	SettingsDigest uint64 `cbor:"Deployment"` // of the settings that it was learned under
	TakenAt        int64  `cbor:"Taken"`
}

// Scope is how much of a snapshot may be used. The endpoint list in it is never used by itself: see
// ListConfirmation.
type Scope int

// The scopes, in order.
const (
	None         Scope = iota
	WithoutRates       // all but the request rates
	All
)

// scopeNames are the words of the log line, which docs/oncall.md names.
var scopeNames = [...]string{None: "nothing", WithoutRates: "beliefs", All: "whole"}

func (s Scope) String() string {
	if s < 0 || int(s) >= len(scopeNames) {
		return fmt.Sprintf("scope %d", int(s))
	}
	return scopeNames[s]
}

// Assess returns how much of a snapshot a router may use that starts now. own is what the router itself would
// write, stored is the snapshot's header. Where it is not All, the error is a *LimitError that says why.
func Assess(now int64, own, stored Header) (Scope, error) {
	age := now - stored.TakenAt
	limited := func(reason Reason) error {
		return &LimitError{Reason: reason, Own: own, Stored: stored, Age: age}
	}
	switch {
	case stored.Version != own.Version:
		return None, limited(OtherVersion)
	case stored.Router != own.Router:
		return None, limited(OtherRouter)
	case stored.SettingsDigest != own.SettingsDigest:
		return None, limited(OtherSettings)
	case age < -maxClockStep:
		return None, limited(InFuture)
	case age > maxAge:
		return None, limited(Old)
	case age > maxRateAge:
		return WithoutRates, limited(Old)
	}
	return All, nil
}
