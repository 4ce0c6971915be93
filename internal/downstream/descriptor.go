package downstream

import (
	"net"
	"syscall"
	"time"

	"tealpath/internal/downstream/poller"
)

// setReadDeadline sets when reads time out. It only fails on a connection that is closed, and the next read
// fails then.
func setReadDeadline(conn net.Conn, deadline time.Time) { _ = conn.SetReadDeadline(deadline) }

// setWriteDeadline sets when writes time out. It only fails on a connection that is closed, and the next
// write fails then.
func setWriteDeadline(conn net.Conn, deadline time.Time) { _ = conn.SetWriteDeadline(deadline) }

// withDescriptor calls a function with the descriptor of a connection or listener. It does not where there
// is none: a type of its own in tests, or a connection that is closed.
func withDescriptor(owner any, call func(fd int)) {
	c, ok := owner.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// The error is that the connection is closed; call was not called then.
	_ = raw.Control(func(fd uintptr) { call(int(fd)) })
}

// peerClosed tells whether a connection's client is known to have closed its sending side, be it behind
// unread data.
func (s *Server) peerClosed(conn net.Conn) bool {
	closed := false
	withDescriptor(conn, func(fd int) { closed = s.config.SystemCalls.PeerClosed(fd) })
	return closed
}

// hasUnread tells whether data waits to be read from a connection, or whether that can't be told.
func (s *Server) hasUnread(conn net.Conn) bool {
	result := poller.NoData
	withDescriptor(conn, func(fd int) { result = s.config.SystemCalls.Peek(fd) })
	return result == poller.Data || result == poller.Undetermined
}
