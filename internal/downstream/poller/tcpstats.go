package poller

// TCPStats is what the kernel counts of a TCP connection. Its times are exact to some milliseconds. They are
// spans, so that no clock has to be compared with the kernel's.
type TCPStats struct {
	Segments         uint32 // with data that have been received; 0 also if the kernel does not count them
	SinceLastData    int64  // ns since the last of them
	SinceEstablished int64  // ns since the connection was established, as long as nothing has been sent on it
}
