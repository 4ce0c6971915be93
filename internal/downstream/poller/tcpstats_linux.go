package poller

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// ReadTCPStats reads the kernel's statistics of a connection. ok is false if it is not a TCP connection.
func ReadTCPStats(conn net.Conn) (stats TCPStats, ok bool) {
	err := Control(conn, func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		ok = true
		stats = TCPStats{
			Segments:      info.Data_segs_in,
			SinceLastData: int64(info.Last_data_recv) * int64(time.Millisecond),
			// Until data is sent, the kernel counts Last_data_sent from the connection's establishment.
			SinceEstablished: int64(info.Last_data_sent) * int64(time.Millisecond),
		}
	})
	return stats, ok && err == nil
}
