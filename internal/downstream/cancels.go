package downstream

import "time"

const (
	// recentCancelDuration is how long the cancel of a request counts as recent, in ns.
	recentCancelDuration = int64(100 * time.Millisecond)

	// maxRecentCancelsFactor is the number of recent cancels of one client beyond which its requests are rejected, as a
	// multiple of MaxRequestsPerConnection. Without a limit, a client that cancels each request at once could have any
	// number of them sent to endpoints and aborted there.
	maxRecentCancelsFactor = 2
)

// recentCancels holds the cancels of requests of one connection that are recent.
type recentCancels struct {
	until []int64 // times at which the cancels are no longer recent, in ns, in ascending order
}

// add counts a cancel at the time now, in ns.
func (s *recentCancels) add(now int64) { s.until = append(s.until, now+recentCancelDuration) }

// count returns the number of cancels that are recent at the time now, in ns.
func (s *recentCancels) count(now int64) int {
	expired := 0
	for expired < len(s.until) && s.until[expired] <= now {
		expired++
	}
	s.until = s.until[expired:]
	return len(s.until)
}
