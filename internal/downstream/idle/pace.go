package idle

// What closing, taking in and waking may cost. At 4,000 accepts a second and bursts of 20 ms of them a wave took the
// whole core, and active retrievals with it: 17 times their p99 (docs/idle.md).
const (
	closesPerCore  = 4000. // a second
	acceptsPerCore = 2400. // with their first requests
	restsPerCore   = 8000. // of those that say nothing: a descriptor laid to rest is all they cost
	wakesPerCore   = 2000.
	crowdedShare   = 0.25 // of the rate while clients wait for answers
	hurryAfter     = 0.2 * second
	hurryShare     = 2. // of the rate once somebody may have waited so long to be taken in
	leastCores     = 0.05
	burst          = 0.002 // seconds of the rate that may come at once
	second         = 1e9
)

// Pace is a token bucket: Rate a second, a burst of 2 ms of it. While others wait for answers it gives a quarter.
type Pace struct {
	Rate   float64
	tokens float64
	last   int64
	begun  bool
}

// part is how much of a core there is; none said is one.
func part(cores float64) float64 {
	if cores <= 0 {
		return 1
	}
	return max(cores, leastCores)
}

// Take takes one if there is one, or tells for how long to wait.
func (p *Pace) Take(now int64, crowded bool) (wait int64) {
	if crowded {
		return p.at(now, p.Rate*crowdedShare)
	}
	return p.at(now, p.Rate)
}

// at takes one at a rate.
func (p *Pace) at(now int64, rate float64) (wait int64) {
	most := max(1, rate*burst)
	if !p.begun {
		p.tokens, p.begun = most, true
	} else {
		p.tokens = min(most, p.tokens+rate*float64(max(0, now-p.last))/second)
	}
	p.last = now
	if p.tokens >= 1 {
		p.tokens--
		return 0
	}
	return int64((1-p.tokens)/rate*second) + 1
}

// Admission paces how connections are taken in, so that a wave of them after a restart, or of clients whose router has
// died, leaves active retrievals their due times. What is not taken in yet waits in the listener's backlog.
type Admission struct{ pace, rest Pace }

// NewAdmission makes an admission for so many cores.
func NewAdmission(cores float64) *Admission {
	return &Admission{pace: Pace{Rate: acceptsPerCore * part(cores)}, rest: Pace{Rate: restsPerCore * part(cores)}}
}

// Turn is what becomes of the connection that is next.
type Turn int

// The turns.
const (
	Waits Turn = iota
	TakenIn
	Rests
)

// Turn says what becomes of the connection that is next: taken in at the pace, or laid to rest beyond it if it says nothing,
// until it does. Usual clients waited for seconds in the backlog behind hundreds that said nothing: each took a turn.
// Those that ask are paced to leave active clients alone, but once somebody may have waited for 0.2 s they are taken in
// faster, whoever waits for answers: a few ms more for those cost less than seconds in the backlog.
func (a *Admission) Turn(now, waited int64, crowded, silent bool) (turn Turn, wait int64) {
	if float64(waited) > hurryAfter {
		wait = a.pace.at(now, a.pace.Rate*hurryShare)
	} else {
		wait = a.pace.Take(now, crowded)
	}
	if wait == 0 {
		return TakenIn, 0
	}
	if silent {
		rest := a.rest.Take(now, false)
		if rest == 0 {
			return Rests, 0
		}
		wait = min(wait, rest)
	}
	return Waits, wait
}

// goneAfter: nothing is sent on 0.1 s after its client closed, and half of that may pass before it is read.
const goneAfter = 0.05 * second

// Gone tells whether one that may have waited so long to be read, and whose client has closed, is not to be read any more.
func Gone(waited int64, closed bool) bool { return closed && float64(waited) > goneAfter }

// NewEnding paces how parked connections are taken out that their clients have ended.
func NewEnding(cores float64) *Admission {
	return &Admission{pace: Pace{Rate: closesPerCore * part(cores)}}
}

// NewWaking paces how parked connections are woken.
func NewWaking(cores float64) *Admission {
	return &Admission{pace: Pace{Rate: wakesPerCore * part(cores)}}
}

// Wait tells how long to wait before the next one's turn; 0 takes it now.
func (a *Admission) Wait(now int64, crowded bool) int64 { return a.pace.Take(now, crowded) }

const (
	parkAfter   = second * 1.  // ns without anything on an idle connection after which it gives up what it holds
	parkPressed = second * 0.3 // the same while others wait to be woken, or many hold something: long enough not to
	// have those rest that are asked on all the time, which made active retrievals wait behind a wave
	wakeBytes    = 24 << 10 // that a connection holds while it is not parked: stacks, buffers, a small request
	wakeLeast    = 64
	wakeMemShare = 0.5 // of the front's share of the memory
)

// WakeTries is for how many ms a connection that wakes waits for others to rest: usual ones that never do must not keep
// it out.
const WakeTries = 20

// ParkAfter is how long a connection that is idle keeps its buffers and goroutines, with so many waiting to be woken and
// so many of most that hold some.
func ParkAfter(waiting, active, most int) int64 {
	if waiting > 0 || active > most {
		return int64(parkPressed)
	}
	return int64(parkAfter)
}

// WakeMost is how many connections may hold buffers and goroutines at a time within a share of the memory. Those on
// which something comes beyond that wait, and what they sent waits in the system: all that were idle may wake at once.
func WakeMost(bytes int64) int { return max(wakeLeast, int(wakeMemShare*float64(bytes)/wakeBytes)) }
