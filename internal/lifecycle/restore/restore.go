// Package restore decides which parts of a stored snapshot a router may use when it starts. It does no I/O and reads
// no clock. docs/coldstart.md, "What was known before", has the rules and their reasons.
//
// All times are Unix ns of the wall clock, read when the snapshot was taken and when the process that reads it
// started: two processes share no monotonic clock. docs/time.md describes the effects of a step of the wall clock
// between these two times.
package restore

import "fmt"

const second = int64(1e9)

// FormatVersion is the version of the snapshots that this program writes and reads.
const FormatVersion = 1

const (
	// maxRateAge is the age up to which the request rates of a snapshot are used. It is long enough for a restart,
	// but not for a longer outage.
	maxRateAge = 60 * second

	// maxAge is the age up to which all other parts of a snapshot are used: sending times, and which objects were
	// requested and purged.
	maxAge = 3600 * second

	// maxClockStep is how far in the future the time of a snapshot may be, since the machine's clock may have been
	// set back a little. The age of such a snapshot counts as zero.
	maxClockStep = 5 * second
)

// Header identifies a snapshot: the router that wrote it, that router's settings, and when it was taken.
type Header struct {
	Version        int    // version of the snapshot's format
	Router         string // name of the router that wrote it
	SettingsDigest uint64 `cbor:"Deployment"` // digest of that router's settings
	TakenAt        int64  `cbor:"Taken"`      // when the snapshot was taken, Unix ns
}

// Scope is how much of a snapshot may be used. It does not apply to the endpoint list, which is used only once the
// discovery service has confirmed it: see ListConfirmation.
type Scope int

// The scopes, from the least to the most.
const (
	None         Scope = iota // nothing may be used
	WithoutRates              // all but the request rates
	All                       // all parts of the snapshot
)

// scopeNames are the names of scopes in log lines, which docs/oncall.md explains.
var scopeNames = [...]string{None: "nothing", WithoutRates: "beliefs", All: "whole"}

func (s Scope) String() string {
	if s < 0 || int(s) >= len(scopeNames) {
		return fmt.Sprintf("scope %d", int(s))
	}
	return scopeNames[s]
}

// Assess returns how much of a snapshot may be used by a router that starts now. own is the header that the router
// itself would write, stored is the header of the snapshot. If the scope is not All, the error is a *LimitError with
// the reason.
func Assess(now int64, own, stored Header) (Scope, error) {
	age := now - stored.TakenAt
	limitError := func(reason Reason) error {
		return &LimitError{Reason: reason, Own: own, Stored: stored, Age: age}
	}
	switch {
	case stored.Version != own.Version:
		return None, limitError(OtherVersion)
	case stored.Router != own.Router:
		return None, limitError(OtherRouter)
	case stored.SettingsDigest != own.SettingsDigest:
		return None, limitError(OtherSettings)
	case age < -maxClockStep:
		return None, limitError(InFuture)
	case age > maxAge:
		return None, limitError(TooOld)
	case age > maxRateAge:
		return WithoutRates, limitError(TooOld)
	}
	return All, nil
}
