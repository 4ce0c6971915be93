package connpool

// Delays of a LocalBackoff, as parts of the time in which a connection is to come up.
const (
	firstDelayDivisor = 16
	maxDelayDivisor   = 4
)

// LocalBackoff pauses dialling while this machine itself can open no connections: it is out of descriptors, memory or ports. One dial
// that fails so speaks for all caches, so all wait; the delay doubles from dial to dial until one reaches a cache. It is not safe for
// use by two goroutines at once.
type LocalBackoff struct {
	connectTimeout int64
	delay          int64 // the last one; 0: no backoff is on
	until          int64
}

// NewLocalBackoff returns one that is not on. connectTimeout is the time in which a connection is to come up, ns.
func NewLocalBackoff(connectTimeout int64) *LocalBackoff {
	return &LocalBackoff{connectTimeout: connectTimeout}
}

// DialFailed notes that a dial failed on this machine, and reports whether the backoff begins with it. Dials that were under way
// together fail together and count once.
func (b *LocalBackoff) DialFailed(now int64) (begins bool) {
	if now < b.until {
		return false
	}
	begins = b.delay == 0
	first := max(b.connectTimeout/firstDelayDivisor, minConnectDelay)
	most := max(b.connectTimeout/maxDelayDivisor, minConnectDelay)
	b.delay = min(max(2*b.delay, first), most)
	b.until = now + b.delay
	return begins
}

// DialSucceeded notes that a dial got as far as the other side, whatever that answered, and reports whether the backoff ends with it.
func (b *LocalBackoff) DialSucceeded() (ends bool) {
	ends = b.delay > 0
	b.delay, b.until = 0, 0
	return ends
}

// Active reports whether nothing is to be dialled now.
func (b *LocalBackoff) Active(now int64) bool { return now < b.until }
