//go:build !linux

package poller

import "net"

// EventsMost is how many keys Wait gives at once.
const EventsMost = 1

// Received is what the system counts of a TCP connection.
type Received struct {
	Segments    uint32
	Last, Stood int64
}

// ReceivedOn is told of by Linux only.
func ReceivedOn(net.Conn) (Received, bool) { return Received{}, false }
