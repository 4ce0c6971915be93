package poller

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// MaxEvents is how many keys Wait gives at once; with so many there may be more.
const MaxEvents = maxEvents

// TCPStats is what the system counts of a TCP connection. Its times are exact to some milliseconds, and no clock is asked.
type TCPStats struct {
	Segments         uint32 // with data that have come; 0 also where the system does not tell
	SinceLastData    int64  // ns since the last of them
	SinceEstablished int64  // ns since the connection stood, as long as nothing is sent on it
}

// ReadTCPStats tells what has come on a connection; of none that is TCP it tells nothing.
func ReadTCPStats(conn net.Conn) (r TCPStats, ok bool) {
	c, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return r, false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return r, false
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		ok = true
		r = TCPStats{Segments: info.Data_segs_in, SinceLastData: int64(info.Last_data_recv) * int64(time.Millisecond),
			SinceEstablished: int64(info.Last_data_sent) * int64(time.Millisecond)}
	})
	return r, ok
}
