package connpool

// Spans of a shortage, as parts of the time that a link has to come up.
const (
	shortageLeast = 16 // the first wait is a sixteenth
	shortageMost  = 4  // and none is longer than a quarter
)

// LocalBackoff paces dialling while this machine itself can open no connections: out of descriptors, memory or ports. One dial that
// fails so speaks for all caches, so all wait; the wait doubles from dial to dial until one gets as far as a cache. It is not
// safe for use by two goroutines at once.
type LocalBackoff struct {
	within int64 // in which a link is to come up
	span   int64 // the last wait; 0: there is no shortage
	until  int64
}

// NewLocalBackoff makes one that has seen nothing; within is the time that a link has to come up, ns.
func NewLocalBackoff(within int64) *LocalBackoff { return &LocalBackoff{within: within} }

// DialFailed notes that a dial failed on this machine, and tells whether the shortage begins with it. Dials that were under way
// together fail together and count once.
func (s *LocalBackoff) DialFailed(now int64) (begins bool) {
	if now < s.until {
		return false
	}
	begins = s.span == 0
	s.span = min(max(2*s.span, s.within/shortageLeast, leastGap), max(s.within/shortageMost, leastGap))
	s.until = now + s.span
	return begins
}

// DialSucceeded notes that a dial got as far as the other side, whatever that said, and tells whether a shortage ends with it.
func (s *LocalBackoff) DialSucceeded() (ends bool) {
	ends = s.span > 0
	s.span, s.until = 0, 0
	return ends
}

// Active tells whether nothing is to be dialled now.
func (s *LocalBackoff) Active(now int64) bool { return now < s.until }
