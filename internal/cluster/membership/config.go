package membership

import "cmp"

// Bounds of what is kept.
const (
	// MaxMembers bounds the instances that are known; entries of others beyond it are rejected.
	MaxMembers = 8192

	maxIncarnations  = 64 // under one name that are kept apart
	maxReports       = 32 // kept of one member
	maxQueuedReports = 4096
	maxLocalHealth   = 8
)

// Lengths of time in heartbeat intervals.
const (
	defaultSilence   = 3  // without a sign from which a neighbour is reported
	confirmIntervals = 1  // for which most observers must report a member until it is believed dead
	reportLifetime   = 50 // for which a report counts, unless it is said again
	reportRepeat     = 20 // after which it is
	forgetAfter      = 60 // without a sign, after which one that is not configured is forgotten
	forgetEvery      = forgetAfter / 6
	unheardOnRings   = forgetAfter / 3 // from the start, in which contacts that nobody has heard of count on the rings
	strayEvery       = 4               // between two tries to reach one that is not there
	maxChanging      = 8               // for which a view that goes on changing is held back
	flapWindow       = 120             // in which deaths count as flapping
	maxHoldOut       = 60              // for which one that keeps dying is held out of the view
	syncAfter        = 2               // for which digests differ before all is compared
	syncEvery        = 2 * syncAfter
	forgetInbound    = 4 // without a heartbeat after which one that is no neighbour is answered no more
)

// Parts of a heartbeat interval: one over so many.
const (
	quietPart = 5  // a view is handed on once nothing has changed for so long
	batchPart = 10 // changes wait for so long to go in one message
	latePart  = 2  // a step that comes later than this tells against the own health
)

// healthPart is by which part of the silence timeout each point of local health lengthens it: one in so many.
const healthPart = 4

// Contact is an instance as it is configured: somebody to ask at the start.
type Contact struct {
	Name, Address string
	Weight        float64
}

// Config is what a table starts with. Durations are in ns.
type Config struct {
	Self              Entry
	Contacts          []Contact // the others; those that are not reached are tried on
	HeartbeatInterval int64
	SilenceTimeout    int64                 // after which a silent neighbour is reported; 0 is three intervals
	ReplacedTimeout   int64                 // for which a replaced incarnation may still be there
	Seed              uint64                // of chance
	NextHeartbeat     func(now int64) int64 // when the next heartbeat is due; nil is an interval on
}

// withDefaults fills in what is not said.
func (config Config) withDefaults() Config {
	config.SilenceTimeout = cmp.Or(config.SilenceTimeout, defaultSilence*config.HeartbeatInterval)
	if config.NextHeartbeat == nil {
		config.NextHeartbeat = func(now int64) int64 { return now + config.HeartbeatInterval }
	}
	return config
}

// intervals is a length of time in ns.
func (config Config) intervals(count int64) int64 { return count * config.HeartbeatInterval }
