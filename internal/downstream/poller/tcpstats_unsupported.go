//go:build !linux

package poller

import "net"

// ReadTCPStats returns false, because the statistics are available on Linux only.
func ReadTCPStats(net.Conn) (TCPStats, bool) { return TCPStats{}, false }
