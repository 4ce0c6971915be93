package idle

import "time"

// The rates are connections per second and core. They are low enough to leave most of a core to requests while
// thousands of connections come or go at once; docs/idle.md has the measurements.
const (
	closeRate           = 4000.
	acceptRate          = 2400. // together with the first request
	acceptSuspendedRate = 8000. // cheaper: nothing is read
	wakeRate            = 2000.

	saturatedFactor = 0.25  // of a rate while the router is saturated
	minCores        = 0.05  // least number of cores that rates are computed for
	burstSeconds    = 0.002 // s; tokens of so long a time can be saved up
)

// tokenBucket limits a rate: tokens are added at the rate, and at most those of burstSeconds are saved up.
type tokenBucket struct {
	rate     float64 // tokens per second
	tokens   float64
	filledAt int64 // ns
	started  bool  // a new bucket is full
}

// take takes a token, or returns how many ns to wait for one. While the router is saturated tokens come more
// slowly.
func (b *tokenBucket) take(now int64, saturated bool) (wait int64) {
	if saturated {
		return b.takeAt(now, b.rate*saturatedFactor)
	}
	return b.takeAt(now, b.rate)
}

// takeAt is take at a given rate.
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

// effectiveCores returns by how many cores a rate is multiplied. 0 is one core.
func effectiveCores(cores float64) float64 {
	if cores <= 0 {
		return 1
	}
	return max(cores, minCores)
}

// Pacer limits how fast suspended connections are resumed or closed. It is not safe for concurrent use.
type Pacer struct{ bucket tokenBucket }

// NewWakePacer returns the pacer for suspended connections on which something has been received.
func NewWakePacer(cores float64) *Pacer {
	return &Pacer{tokenBucket{rate: wakeRate * effectiveCores(cores)}}
}

// NewClosePacer returns the pacer for suspended connections that their clients have closed.
func NewClosePacer(cores float64) *Pacer {
	return &Pacer{tokenBucket{rate: closeRate * effectiveCores(cores)}}
}

// Wait returns for how many ns the next connection has to wait. With 0 it is that connection's turn, and
// counted.
func (p *Pacer) Wait(now int64, saturated bool) int64 { return p.bucket.take(now, saturated) }
