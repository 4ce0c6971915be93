package idle

// What closing and taking in may cost. A close costs about 15 µs of a core, an accept with its first request about 60 µs,
// both measured by `teallab idle` (docs/idle.md).
const (
	closesPerCore  = 4000. // a second: 6% of a core
	acceptsPerCore = 4000. // a second: a quarter of a core
	crowdedShare   = 0.25  // of the rate while clients wait for answers
	leastCores     = 0.25
	burst          = 0.02 // seconds of the rate that may come at once
	second         = 1e9
)

// Pace is a token bucket: Rate a second, a burst of 20 ms of it. While others wait for answers it gives a quarter.
type Pace struct {
	Rate   float64
	tokens float64
	at     int64
	begun  bool
}

// Take takes one if there is one, or tells for how long to wait.
func (p *Pace) Take(now int64, crowded bool) (wait int64) {
	rate := p.Rate
	if crowded {
		rate *= crowdedShare
	}
	most := max(1, rate*burst)
	if !p.begun {
		p.tokens, p.begun = most, true
	} else {
		p.tokens = min(most, p.tokens+rate*float64(max(0, now-p.at))/second)
	}
	p.at = now
	if p.tokens >= 1 {
		p.tokens--
		return 0
	}
	return int64((1-p.tokens)/rate*second) + 1
}

// Admission paces how connections are taken in, so that a wave of them after a restart, or of clients whose router has
// died, leaves active retrievals their due times. What is not taken in yet waits in the listener's backlog.
type Admission struct{ pace Pace }

// NewAdmission makes an admission for so many cores.
func NewAdmission(cores float64) *Admission {
	return &Admission{Pace{Rate: acceptsPerCore * max(cores, leastCores)}}
}

// Wait tells how long to wait before the next connection is taken in; 0 takes one now.
func (a *Admission) Wait(now int64, crowded bool) int64 { return a.pace.Take(now, crowded) }

const (
	parkAfter    = second       // ns without anything on an idle connection after which it gives up what it holds
	parkPressed  = second / 100 // the same while others wait to be woken
	wakeBytes    = 24 << 10     // that a connection holds while it is not parked: stacks, buffers, a small request
	wakeLeast    = 64
	wakeMemShare = 0.5 // of the front's share of the memory
)

// ParkAfter is how long a connection that is idle keeps its buffers and goroutines, with so many waiting to be woken.
func ParkAfter(waiting int) int64 {
	if waiting > 0 {
		return int64(parkPressed)
	}
	return int64(parkAfter)
}

// WakeMost is how many connections may hold buffers and goroutines at a time within a share of the memory. Those on
// which something comes beyond that wait, and what they sent waits in the system: all that were idle may wake at once.
func WakeMost(bytes int64) int { return max(wakeLeast, int(wakeMemShare*float64(bytes)/wakeBytes)) }
