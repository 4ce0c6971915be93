package membership

import "cmp"

// Limits of the table.
const (
	// MaxMembers bounds the known instances. Entries of further instances are rejected.
	MaxMembers = 8192

	maxIncarnations  = 64   // recorded for one name
	maxReports       = 32   // kept about one member
	maxQueuedReports = 4096 // waiting to be passed on
	maxLocalHealth   = 8    // the worst local health score
)

// Durations in heartbeat intervals.
const (
	defaultSilence   = 3  // a neighbour that is silent for longer is reported
	confirmIntervals = 1  // most observers must report a member for this long before it is believed dead
	reportLifetime   = 50 // an older report no longer counts
	reportRepeat     = 20 // an observer repeats a report that still holds after this long
	forgetAfter      = 60 // an unconfigured member that is not alive is removed after this long without news of it
	forgetEvery      = forgetAfter / 6
	unheardOnRings   = forgetAfter / 3 // after the start, contacts not yet heard from are on the rings for this long
	reconnectEvery   = 4               // between two attempts to reach members without a link
	maxChanging      = 8               // a view that keeps changing is published after this long
	flapWindow       = 120             // deaths within this time count as flapping
	maxHoldOut       = 60              // longest time for which a flapping member is held out of the view
	syncAfter        = 2               // digests must differ for this long before bucket digests are sent
	syncEvery        = 2 * syncAfter
	forgetInbound    = 4 // an inbound link without a heartbeat for this long is dropped
)

// Divisors of a heartbeat interval.
const (
	quietDivisor = 5  // the view is published once nothing has changed for interval/quietDivisor
	batchDivisor = 10 // changes wait for interval/batchDivisor to be sent in one message
	lateDivisor  = 2  // a tick that is later than interval/lateDivisor worsens the local health
)

// healthDivisor sets how much a poor local health lengthens the silence timeout: each point of the score adds
// timeout/healthDivisor.
const healthDivisor = 4

// Contact is an instance from the configuration.
type Contact struct {
	Name, Address string
	Weight        float64
}

// Config is the configuration of a Table. Durations are in ns.
type Config struct {
	Self              Entry
	Contacts          []Contact // may include this instance; a table keeps trying to reach the others
	HeartbeatInterval int64
	SilenceTimeout    int64                 // after which a silent neighbour is reported; 0 is three intervals
	ReplacedTimeout   int64                 // how long a replaced incarnation may still be running
	Seed              uint64                // of the random number generator
	NextHeartbeat     func(now int64) int64 // returns when the next heartbeat is due; nil: one interval after now
}

// withDefaults returns the configuration with defaults for the fields that are not set.
func (config Config) withDefaults() Config {
	config.SilenceTimeout = cmp.Or(config.SilenceTimeout, defaultSilence*config.HeartbeatInterval)
	if config.NextHeartbeat == nil {
		config.NextHeartbeat = func(now int64) int64 { return now + config.HeartbeatInterval }
	}
	return config
}

// intervals returns the duration of a number of heartbeat intervals, ns.
func (config Config) intervals(count int64) int64 { return count * config.HeartbeatInterval }
