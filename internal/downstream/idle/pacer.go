package idle

import "time"

// Rates are in connections per second and core. They are low enough that most of a core remains for requests
// while thousands of connections are opened or closed at once; docs/idle.md has the measurements.
const (
	closeRate           = 4000.
	acceptRate          = 2400. // includes reading the first request
	acceptSuspendedRate = 8000. // higher than acceptRate, because nothing is read
	resumeRate          = 2000.

	saturatedFactor = 0.25  // factor applied to a rate while the router is saturated
	minCores        = 0.05  // lower bound of the number of cores that rates are computed with
	burstSeconds    = 0.002 // s; a bucket holds at most the tokens added in this time
)

// tokenBucket limits a rate. Tokens are added at that rate. The bucket holds at most the tokens that are added
// within burstSeconds, or one token if that is more.
type tokenBucket struct {
	rate     float64 // tokens per second
	tokens   float64
	filledAt int64 // ns
	started  bool  // false until the first take, which fills the bucket
}

// take takes a token. It returns 0, or how many ns to wait if no token is available. While the router is
// saturated, tokens are added more slowly.
func (b *tokenBucket) take(now int64, saturated bool) (wait int64) {
	if saturated {
		return b.takeAt(now, b.rate*saturatedFactor)
	}
	return b.takeAt(now, b.rate)
}

// takeAt is like take, but adds tokens at the given rate.
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

// effectiveCores returns the number of cores to compute rates with: at least minCores, or one core if cores is
// 0 or less.
func effectiveCores(cores float64) float64 {
	if cores <= 0 {
		return 1
	}
	return max(cores, minCores)
}

// Pacer limits how fast suspended connections are resumed or closed. It is not safe for concurrent use.
type Pacer struct{ bucket tokenBucket }

// NewResumePacer returns the pacer for suspended connections that have received data.
func NewResumePacer(cores float64) *Pacer {
	return &Pacer{tokenBucket{rate: resumeRate * effectiveCores(cores)}}
}

// NewClosePacer returns the pacer for suspended connections whose clients have closed them.
func NewClosePacer(cores float64) *Pacer {
	return &Pacer{tokenBucket{rate: closeRate * effectiveCores(cores)}}
}

// Wait returns how many ns the next connection has to wait. If it returns 0, the connection may proceed and
// has used up a token.
func (p *Pacer) Wait(now int64, saturated bool) int64 { return p.bucket.take(now, saturated) }
