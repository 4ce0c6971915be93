package idle

import "time"

// Rates at which connections are closed, accepted and resumed, in connections per second and core. They are low enough
// that most of a core remains for requests while thousands of connections are opened or closed at once; docs/idle.md
// has the measurements.
const (
	closeRate           = 4000.
	acceptRate          = 2400. // lower than acceptSuspendedRate, as the first request is read too
	acceptSuspendedRate = 8000. // for connections suspended at once, from which nothing is read
	resumeRate          = 2000.

	// maxPacedWait is the time, in ns, from which received data does not wait for a rate.
	maxPacedWait = int64(200 * time.Millisecond)

	saturatedFactor = 0.25  // factor by which each rate is multiplied while the router is saturated
	minCores        = 0.05  // fewest cores by which the rates per core are multiplied
	burstSeconds    = 0.002 // seconds; a bucket holds at most the tokens added in this time
)

// tokenBucket limits how often take succeeds: each success uses a token, and tokens are added at a given rate. The
// bucket holds at most the tokens that are added within burstSeconds, or one token if that is more.
type tokenBucket struct {
	rate     float64 // tokens added per second while the router is not saturated
	tokens   float64 // available now; may have a fraction
	filledAt int64   // time at which tokens were last added, ns
	started  bool    // false until the first take, which fills the bucket
}

// take takes a token and returns 0. If no token is available, it returns the time until the next one, in ns. While the
// router is saturated, tokens are added more slowly.
func (b *tokenBucket) take(now int64, saturated bool) (wait int64) {
	if saturated {
		return b.takeAt(now, b.rate*saturatedFactor)
	}
	return b.takeAt(now, b.rate)
}

// takeAt is like take, but adds tokens at the given rate, in tokens per second, in place of b.rate.
func (b *tokenBucket) takeAt(now int64, rate float64) (wait int64) {
	const second = float64(time.Second)
	burst := max(1, rate*burstSeconds)
	if b.started {
		elapsed := float64(max(0, now-b.filledAt))
		b.tokens = min(burst, b.tokens+rate*elapsed/second)
	} else {
		b.tokens = burst
		b.started = true
	}
	b.filledAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return int64((1-b.tokens)/rate*second) + 1
}

// effectiveCores returns the number of cores by which rates per core are multiplied: cores, but at least minCores, or
// 1 if cores is 0 or less.
func effectiveCores(cores float64) float64 {
	if cores <= 0 {
		return 1
	}
	return max(cores, minCores)
}

// Pacer limits how fast suspended connections are resumed or closed. It is not safe for concurrent use.
type Pacer struct{ bucket tokenBucket }

// NewResumePacer returns the pacer for resuming suspended connections that have received data.
func NewResumePacer(cores float64) *Pacer {
	return &Pacer{tokenBucket{rate: resumeRate * effectiveCores(cores)}}
}

// NewClosePacer returns the pacer for closing suspended connections whose clients have closed their side.
func NewClosePacer(cores float64) *Pacer {
	return &Pacer{tokenBucket{rate: closeRate * effectiveCores(cores)}}
}

// Wait returns 0 if a connection may be resumed or closed now. Otherwise it returns how many ns to wait before the
// next call.
func (p *Pacer) Wait(now int64, saturated bool) int64 { return p.bucket.take(now, saturated) }

// WaitToResume is like Wait for a connection on which data has waited for the given time, in ns. Data that has waited
// for longer than maxPacedWait is not paced any more: requests would be answered too late, which is worse for their
// clients than a slow processor is for the others.
func (p *Pacer) WaitToResume(now, waited int64, saturated bool) int64 {
	if waited > maxPacedWait {
		return 0
	}
	return p.bucket.take(now, saturated)
}
