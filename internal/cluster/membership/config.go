package membership

import "cmp"

// These limits apply to one table.
const (
	// MaxMembers bounds the known instances. Entries of further instances are rejected.
	MaxMembers = 8192

	maxIncarnations  = 64   // incarnations recorded for one name; others are ignored
	maxReports       = 32   // observers whose reports about one member are kept
	maxQueuedReports = 4096 // reports waiting to be passed on; beyond it the oldest are dropped
	maxLocalHealth   = 8    // the worst local health score; 0 is healthy
)

// These are durations in heartbeat intervals.
const (
	defaultSilence   = 3  // default SilenceTimeout: a neighbour that is silent for longer is reported
	confirmIntervals = 1  // most observers must report a member for this long before it is believed dead
	reportLifetime   = 50 // a report that arrived longer ago no longer counts
	reportRepeat     = 20 // an observer repeats a report that still holds after this long
	forgetAfter      = 60 // an unconfigured member that is not alive is removed after this long without news of it
	forgetEvery      = forgetAfter / 6
	unheardOnRings   = forgetAfter / 3 // contacts not yet heard from stay on the rings for this long
	reconnectEvery   = 4               // time between two attempts to reach a member without a link
	maxChanging      = 8               // the view is published after this long even if members keep changing state
	flapWindow       = 120             // a member that is marked as dead twice within so many intervals is flapping
	maxHoldOut       = 60              // longest time that a flapping member must be alive before it is in the view
	syncAfter        = 2               // digests must differ for this long before bucket digests are sent
	syncEvery        = 2 * syncAfter
	forgetInbound    = 4 // an inbound link without a heartbeat for this long is dropped
)

// These are divisors of a heartbeat interval; the results are durations.
const (
	quietDivisor = 5  // the view is published once no member has changed for interval/quietDivisor
	batchDivisor = 10 // queued entries and reports are sent interval/batchDivisor after the first was queued
	lateDivisor  = 2  // a tick that is late by more than interval/lateDivisor worsens the local health
)

// healthDivisor sets how much a poor local health lengthens the silence timeout: each point of the score adds
// timeout/healthDivisor.
const healthDivisor = 4

// Contact is an instance that the configuration names.
type Contact struct {
	Name, Address string
	Weight        float64
}

// Config is the configuration of a Table. Durations and times are in ns.
type Config struct {
	Self              Entry
	Contacts          []Contact // instances that a table always tries to reach; may include this instance
	HeartbeatInterval int64
	SilenceTimeout    int64                 // a neighbour silent for longer is reported; 0: three intervals
	ReplacedTimeout   int64                 // how long an incarnation may keep running after another has replaced it
	Seed              uint64                // seed of the random number generator
	NextHeartbeat     func(now int64) int64 // returns when the heartbeat after now is due; nil: one interval after now
}

// withDefaults returns the configuration with the defaults for SilenceTimeout and NextHeartbeat where they are not
// set.
func (config Config) withDefaults() Config {
	config.SilenceTimeout = cmp.Or(config.SilenceTimeout, defaultSilence*config.HeartbeatInterval)
	if config.NextHeartbeat == nil {
		config.NextHeartbeat = func(now int64) int64 { return now + config.HeartbeatInterval }
	}
	return config
}

// intervals returns count heartbeat intervals as a duration in ns.
func (config Config) intervals(count int64) int64 { return count * config.HeartbeatInterval }
