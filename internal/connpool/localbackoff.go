package connpool

// The first and the longest delay of a LocalBackoff are the connect timeout divided by these numbers.
const (
	firstDelayDivisor = 16
	maxDelayDivisor   = 4
)

// LocalBackoff suspends dialling while this machine can open no connections because it has run out of descriptors,
// memory or ports. Such an error affects the connections to all caches, so none is dialled until the delay is over.
// The delay doubles with each dial that fails this way, up to a limit, until a dial reaches an endpoint. A
// LocalBackoff is not safe for concurrent use.
type LocalBackoff struct {
	connectTimeout int64 // ns
	delay          int64 // ns; the last delay; 0: there was no failure since the last success
	until          int64 // ns; end of the last delay
}

// NewLocalBackoff returns a LocalBackoff that is not active. connectTimeout is the time in ns within which a
// connection must be established.
func NewLocalBackoff(connectTimeout int64) *LocalBackoff {
	return &LocalBackoff{connectTimeout: connectTimeout}
}

// DialFailed records that a dial failed because of an error on this machine, and reports whether the backoff begins
// with it. Failures during a delay do not count, since their dials began before it.
func (b *LocalBackoff) DialFailed(now int64) (begins bool) {
	if now < b.until {
		return false
	}
	begins = b.delay == 0
	first := max(b.connectTimeout/firstDelayDivisor, minConnectDelay)
	limit := max(b.connectTimeout/maxDelayDivisor, minConnectDelay)
	b.delay = min(max(2*b.delay, first), limit)
	b.until = now + b.delay
	return begins
}

// End ends the backoff and reports whether there was one. It is called when a dial succeeded, was refused or timed out:
// none of these is an error on this machine.
func (b *LocalBackoff) End() (ends bool) {
	ends = b.delay > 0
	b.delay, b.until = 0, 0
	return ends
}

// Active reports whether dialling is suspended.
func (b *LocalBackoff) Active(now int64) bool { return now < b.until }
