package idle

// What closing, taking in and waking may cost. At 4,000 accepts a second and bursts of 20 ms of them a wave took the
// whole core, and active retrievals with it: 17 times their p99 (docs/idle.md).
const (
	closesPerCore  = 4000. // a second
	acceptsPerCore = 2400. // with their first requests
	restsPerCore   = 8000. // of those that say nothing: a descriptor laid to rest is all they cost
	wakesPerCore   = 2000.
	saturatedShare = 0.25 // of the rate while clients wait for answers
	hurryAfter     = 0.2 * second
	hurryShare     = 2. // of the rate once somebody may have waited so long to be taken in
	leastCores     = 0.05
	burst          = 0.002 // seconds of the rate that may come at once
	second         = 1e9
)

// tokenBucket is a token bucket: rate a second, a burst of 2 ms of it. While others wait for answers it gives a quarter.
type tokenBucket struct {
	rate   float64
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

// take takes one if there is one, or tells for how long to wait.
func (p *tokenBucket) take(now int64, saturated bool) (wait int64) {
	if saturated {
		return p.at(now, p.rate*saturatedShare)
	}
	return p.at(now, p.rate)
}

// at takes one at a rate.
func (p *tokenBucket) at(now int64, rate float64) (wait int64) {
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

// AcceptPacer paces how connections are taken in, so that a wave of them after a restart, or of clients whose router has
// died, leaves active retrievals their due times. What is not taken in yet waits in the listener's backlog.
type AcceptPacer struct{ accept, suspend tokenBucket }

// NewAcceptPacer makes one for so many cores.
func NewAcceptPacer(cores float64) *AcceptPacer {
	return &AcceptPacer{accept: tokenBucket{rate: acceptsPerCore * part(cores)}, suspend: tokenBucket{rate: restsPerCore * part(cores)}}
}

// AcceptDecision is what becomes of the connection that is next.
type AcceptDecision int

// The decisions.
const (
	Defer AcceptDecision = iota
	Accept
	AcceptSuspended
)

// Decide says what becomes of the connection that is next: taken in at the pace, or laid to rest beyond it if it says nothing,
// until it does. Usual clients waited for seconds in the backlog behind hundreds that said nothing: each took a turn.
// Those that ask are paced to leave active clients alone, but once somebody may have waited for 0.2 s they are taken in
// faster, whoever waits for answers: a few ms more for those cost less than seconds in the backlog.
func (a *AcceptPacer) Decide(now, waited int64, saturated, silent bool) (decision AcceptDecision, wait int64) {
	if float64(waited) > hurryAfter {
		wait = a.accept.at(now, a.accept.rate*hurryShare)
	} else {
		wait = a.accept.take(now, saturated)
	}
	if wait == 0 {
		return Accept, 0
	}
	if silent {
		rest := a.suspend.take(now, false)
		if rest == 0 {
			return AcceptSuspended, 0
		}
		wait = min(wait, rest)
	}
	return Defer, wait
}

// goneAfter: nothing is sent on 0.1 s after its client closed, and half of that may pass before it is read.
const goneAfter = 0.05 * second

// Abandoned tells whether one that may have waited so long to be read, and whose client has closed, is not to be read any more.
func Abandoned(waited int64, closed bool) bool { return closed && float64(waited) > goneAfter }

// NewClosePacer paces how parked connections are taken out that their clients have ended.
func NewClosePacer(cores float64) *Pacer {
	return &Pacer{bucket: tokenBucket{rate: closesPerCore * part(cores)}}
}

// NewWakePacer paces how parked connections are woken.
func NewWakePacer(cores float64) *Pacer {
	return &Pacer{bucket: tokenBucket{rate: wakesPerCore * part(cores)}}
}

// Pacer paces how connections are closed or woken.
type Pacer struct{ bucket tokenBucket }

// Wait tells how long to wait before the next one's turn; 0 takes it now.
func (p *Pacer) Wait(now int64, saturated bool) int64 { return p.bucket.take(now, saturated) }

const (
	parkAfter   = second * 1.  // ns without anything on an idle connection after which it gives up what it holds
	parkPressed = second * 0.3 // the same while others wait to be woken, or many hold something: long enough not to
	// have those rest that are asked on all the time, which made active retrievals wait behind a wave
	wakeBytes    = 24 << 10 // that a connection holds while it is not parked: stacks, buffers, a small request
	wakeLeast    = 64
	wakeMemShare = 0.5 // of the front's share of the memory
)

// MaxWakeDelayMS is for how many ms a connection that wakes waits for others to rest: usual ones that never do must not keep
// it out.
const MaxWakeDelayMS = 20

// SuspendDelay is how long a connection that is idle policies its buffers and goroutines, with so many waiting to be woken and
// so many of most that hold some.
func SuspendDelay(waiting, active, most int) int64 {
	if waiting > 0 || active > most {
		return int64(parkPressed)
	}
	return int64(parkAfter)
}

// MaxActive is how many connections may hold buffers and goroutines at a time within a share of the memory. Those on
// which something comes beyond that wait, and what they sent waits in the system: all that were idle may wake at once.
func MaxActive(bytes int64) int { return max(wakeLeast, int(wakeMemShare*float64(bytes)/wakeBytes)) }
