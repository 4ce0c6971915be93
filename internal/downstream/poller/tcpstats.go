package poller

// TCPStats holds the kernel's statistics of a TCP connection. Times are precise to a few milliseconds. They
// are durations rather than timestamps, so that no clock has to be compared with the kernel's.
type TCPStats struct {
	Segments         uint32 // received segments with data; also 0 if the kernel does not count them
	SinceLastData    int64  // ns since the last segment with data was received
	SinceEstablished int64  // ns since the connection was established; valid until something is sent on it
}
