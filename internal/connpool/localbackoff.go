package connpool

// Delays of a LocalBackoff, as parts of the time in which a connection is to be established.
const (
	firstDelayDivisor = 16
	maxDelayDivisor   = 4
)

// LocalBackoff pauses dialling while this machine itself can open no connections, because descriptors, memory
// or ports are used up. A dial that fails so says the same for all caches, so that none is dialled until the
// delay is over. The delay doubles with each dial until one reaches a cache. A LocalBackoff is not safe for use
// by two goroutines at once.
type LocalBackoff struct {
	connectTimeout int64
	delay          int64 // the last one; 0: none is active
	until          int64
}

// NewLocalBackoff returns one that is not active. connectTimeout is the time in which a connection is to be
// established, ns.
func NewLocalBackoff(connectTimeout int64) *LocalBackoff {
	return &LocalBackoff{connectTimeout: connectTimeout}
}

// DialFailed notes that a dial failed on this machine, and reports whether the backoff begins with it. Dials
// that were under way together fail together and count once.
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

// DialSucceeded notes that a dial reached the other side, whatever that answered, and reports whether the
// backoff ends with it.
func (b *LocalBackoff) DialSucceeded() (ends bool) {
	ends = b.delay > 0
	b.delay, b.until = 0, 0
	return ends
}

// Active reports whether nothing is to be dialled now.
func (b *LocalBackoff) Active(now int64) bool { return now < b.until }
