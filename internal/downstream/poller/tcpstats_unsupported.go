//go:build !linux

package poller

import "net"

// ReadTCPStats returns no statistics: it is implemented on Linux only.
func ReadTCPStats(net.Conn) (TCPStats, bool) { return TCPStats{}, false }
