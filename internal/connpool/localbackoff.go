package connpool

// The first delay of a LocalBackoff is the connect timeout divided by firstDelayDivisor, and the longest delay is the
// connect timeout divided by maxDelayDivisor.
const (
	firstDelayDivisor = 16
	maxDelayDivisor   = 4
)

// LocalBackoff suspends dialling while this machine can open no connections because it has run out of descriptors,
// memory or ports. Such an error affects the connections to all caches, so none is dialled until the delay is over.
// The delay doubles with each dial that fails this way, up to a limit, until a dial reaches an endpoint. A
// LocalBackoff is not safe for concurrent use.
type LocalBackoff struct {
	connectTimeout int64 // ns; time within which a connection must be established
	delay          int64 // ns; the last delay; 0: the backoff has not begun or was ended
	until          int64 // ns; end of the last delay; 0: none
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

// End ends the backoff and reports whether there was one. The caller must call it when a dial succeeds, is refused or
// times out, because none of these is an error on this machine.
func (b *LocalBackoff) End() (ends bool) {
	ends = b.delay > 0
	b.delay, b.until = 0, 0
	return ends
}

// Active reports whether no endpoint may be dialled at the time now, in ns.
func (b *LocalBackoff) Active(now int64) bool { return now < b.until }
