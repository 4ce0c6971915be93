// Package sharedconfig implements the agreement of instances on one version of a shared configuration. Voters grant
// leases on versions. A version is active at an instance only while, by the instance's own clock, leases on it from a
// quorum of voters are valid. Two incompatible versions are never active at the same time, not even at different
// instances. Two compatible versions are active at the same time for at most the duration of a lease.
// docs/agreement.md has the options and the bound.
//
// A Node is the state of one instance. The caller passes in time and messages and carries out the effects that the
// node returns. A Node does no input or output, reads no clock and is not safe for concurrent use. Instants are ns
// of a monotonic clock that keeps running while the machine is suspended.
package sharedconfig

import "tealpath/internal/cluster/timing"

const (
	// MaxContentSize is the largest size of a version's content in bytes.
	MaxContentSize = 1 << 20

	maxKnownVersions = 8 // largest number of versions whose contents a node keeps
	retryRenewals    = 2 // a proposal without a quorum is retried after this many renewal intervals
	maxAttempts      = 8 // largest number of attempts for one proposal
)

// Version is one version of the shared configuration. A later version has a higher number.
type Version struct {
	Number  uint64
	Content []byte
}

// IncompatibleFunc reports whether two contents must never be active at the same time. It returns an error if proposed
// is invalid. Package internal/compatibility has the implementation for the settings of operators.
type IncompatibleFunc func(current, proposed []byte) (incompatible bool, err error)

// Config is the configuration of a node. Durations are in nanoseconds.
type Config struct {
	Self          string   // name of this instance
	Voters        []string // names of the instances of which a majority grants leases
	LeaseDuration int64    // how long a voter honors a lease after granting it, on the voter's clock
	RenewInterval int64    // time between two requests for leases on the newest version
	MaxClockDrift float64  // largest relative error of a clock's rate: 0.01 is 1%
	Incompatible  IncompatibleFunc
	Initial       []byte // content of version 0, read from the file and active until another is committed
	Incarnation   uint64 // differs at each start, so that version numbers of two starts differ
}

// holdDuration returns how long an instance may use a lease after it sent the Renew for it, in ns of its own clock. It
// is so much shorter than LeaseDuration that the voters still honor the lease even if their clocks are fast
// (docs/duties.md has the proof).
func (config Config) holdDuration() int64 {
	return timing.HoldDuration(config.LeaseDuration, config.MaxClockDrift)
}

// RestartSilence returns how long a voter grants nothing after a start, in ns, because leases that it granted before
// the start may still be valid. The result is rounded down; that of package lease is rounded up.
func (config Config) RestartSilence() int64 {
	return int64(timing.LongestLease(config.LeaseDuration, config.MaxClockDrift))
}
