// Package sharedconfig has instances act on one version of a configuration that they share. Voters grant
// leases on versions, and an instance acts on a version only while its own clock says that a quorum's leases
// on it hold. Versions that are incompatible are never acted on at once, others for no longer than a lease.
// docs/agreement.md has the options and the bound.
//
// A Node is one instance. Time and messages come in, effects go out: it does no input or output, reads no
// clock and is not safe for concurrent use. Times are ns of a clock that goes on while the machine is
// suspended and never goes back.
package sharedconfig

import "tealpath/internal/cluster/timing"

const (
	// MaxContentSize is the size of the longest content, bytes.
	MaxContentSize = 1 << 20

	maxKnownVersions = 8 // whose contents are kept
	retryRenewals    = 2 // renewals after which a proposal that came to nothing is made again
	maxAttempts      = 8 // of one proposal
)

// Version is one state of the shared configuration. Of two the one with the higher number is the later.
type Version struct {
	Number  uint64
	Content []byte
}

// IncompatibleFunc reports whether two contents may never be acted on at once; err says why the proposed one
// can't be acted on at all. internal/compatibility has the one for operators' settings.
type IncompatibleFunc func(current, proposed []byte) (incompatible bool, err error)

// Config is what a node starts with. Lengths of time are in ns.
type Config struct {
	Self          string
	Voters        []string // whose majority grants
	LeaseDuration int64    // for how long a voter counts an instance in
	RenewInterval int64
	MaxClockDrift float64 // by which a clock's rate may be off, as a share
	Incompatible  IncompatibleFunc
	Initial       []byte // content of version 0, from the file: what is acted on before anything was proposed
	Incarnation   uint64 // of this start, so that the numbers of two starts differ
}

// holdDuration is for how long an instance may act after it sent a renewal, by its own clock: its voters
// count it in for longer, whatever the clocks' rates are (docs/duties.md has the proof).
func (config Config) holdDuration() int64 {
	return timing.HoldDuration(config.LeaseDuration, config.MaxClockDrift)
}

// RestartSilence is for how long a voter that has just started grants nothing, ns: it may have granted
// before. It is rounded down, unlike that of package lease, which rounds up.
func (config Config) RestartSilence() int64 {
	return int64(timing.LongestLease(config.LeaseDuration, config.MaxClockDrift))
}
