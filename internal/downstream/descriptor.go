package downstream

import (
	"net"
	"syscall"
	"time"

	"tealpath/internal/downstream/poller"
)

// setReadDeadline sets the read deadline and ignores the error: it fails only on a closed connection, whose
// next read fails too.
func setReadDeadline(conn net.Conn, deadline time.Time) { _ = conn.SetReadDeadline(deadline) }

// setWriteDeadline sets the write deadline and ignores the error: it fails only on a closed connection, whose
// next write fails too.
func setWriteDeadline(conn net.Conn, deadline time.Time) { _ = conn.SetWriteDeadline(deadline) }

// withDescriptor calls a function with the descriptor of a connection or listener. It does nothing if there is
// no descriptor, because the connection is closed or is of a type without one, as in tests.
func withDescriptor(owner any, call func(fd int)) {
	c, ok := owner.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// Control fails only if the connection is closed. In that case it has not run the function.
	_ = raw.Control(func(fd uintptr) { call(int(fd)) })
}

// peerClosed reports whether a connection's client is known to have closed its sending side, even if unread
// data precedes the end of the stream.
func (s *Server) peerClosed(conn net.Conn) bool {
	closed := false
	withDescriptor(conn, func(fd int) { closed = s.config.SystemCalls.PeerClosed(fd) })
	return closed
}

// hasUnread reports whether unread data waits on a connection. It also returns true if the kernel cannot tell.
func (s *Server) hasUnread(conn net.Conn) bool {
	result := poller.NoData
	withDescriptor(conn, func(fd int) { result = s.config.SystemCalls.Peek(fd) })
	return result == poller.Data || result == poller.Undetermined
}
