//go:build !linux

package poller

import "net"

// ReadTCPStats reads nothing: only Linux counts what it returns.
func ReadTCPStats(net.Conn) (TCPStats, bool) { return TCPStats{}, false }
