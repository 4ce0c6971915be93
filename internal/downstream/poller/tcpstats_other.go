//go:build !linux

package poller

import "net"

// MaxEvents is how many keys Wait gives at once.
const MaxEvents = 1

// TCPStats is what the system counts of a TCP connection.
type TCPStats struct {
	Segments                        uint32
	SinceLastData, SinceEstablished int64
}

// ReadTCPStats is told of by Linux only.
func ReadTCPStats(net.Conn) (TCPStats, bool) { return TCPStats{}, false }
