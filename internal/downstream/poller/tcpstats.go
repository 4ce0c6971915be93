package poller

// TCPStats holds the kernel's statistics of a TCP connection. Times are precise to a few milliseconds. They
// are durations rather than timestamps, so that no clock has to be compared with the kernel's.
type TCPStats struct {
	Segments         uint32 // number of segments with data received; also 0 if the kernel does not count them
	SinceLastData    int64  // time since the last segment with data was received, ns
	SinceEstablished int64  // time since the connection was established, ns; wrong once data has been sent on it
}
