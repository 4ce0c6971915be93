package downstream

import (
	"math"

	"tealpath/internal/downstream/idle"
)

// maxShedding is the maximum number of connections that are active at the same time only to reject requests. Their
// buffers are beyond the memory that is kept free, and each is active for about rejectingSuspendDelay.
const maxShedding = 64

// maxSheddingWaits is how long received data may wait for a place among maxShedding, as a multiple of MaxResumeWait,
// counted from its arrival. After that, its requests are rejected all the same.
const maxSheddingWaits = 2

// resumeDecision returns what to do with a suspended connection on which data has waited for the given time, in ns.
func (s *Server) resumeDecision(waited int64) idle.ResumeDecision {
	return s.resumeLimits.Decide(s.activeConnections(), s.config.FreeMemory(), waited)
}

// mustReject reports whether a request has to be rejected because its connection was resumed without memory to serve
// it, and there is still none. Only the connection's reader may call it.
func (c *connection) mustReject() bool {
	if c.rejecting && c.server.resumeDecision(math.MaxInt64) == idle.Resume {
		c.stopRejecting()
	}
	return c.rejecting
}

// stopRejecting ends the rejection of requests for want of memory. Only the connection's reader may call it.
func (c *connection) stopRejecting() {
	if c.rejecting {
		c.rejecting = false
		c.server.shedding.Add(-1)
	}
}
