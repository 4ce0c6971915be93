package poller

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// fileConn is a net.Conn that uses the only descriptor of a socket. Resume falls back on it when net.FileConn,
// which needs a second descriptor, fails. Like net.TCPConn it uses Go's runtime poller, but it writes the
// elements of net.Buffers one at a time.
type fileConn struct{ file *os.File }

// Read implements net.Conn.
func (c fileConn) Read(p []byte) (int, error) { return c.file.Read(p) }

// Write implements net.Conn.
func (c fileConn) Write(p []byte) (int, error) { return c.file.Write(p) }

// Close implements net.Conn.
func (c fileConn) Close() error { return c.file.Close() }

// SetDeadline implements net.Conn.
func (c fileConn) SetDeadline(t time.Time) error { return c.file.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c fileConn) SetReadDeadline(t time.Time) error { return c.file.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c fileConn) SetWriteDeadline(t time.Time) error { return c.file.SetWriteDeadline(t) }

// SyscallConn implements syscall.Conn.
func (c fileConn) SyscallConn() (syscall.RawConn, error) { return c.file.SyscallConn() }

// LocalAddr returns nil. Callers read the addresses of a connection before it is suspended.
func (c fileConn) LocalAddr() net.Addr { return nil }

// RemoteAddr returns nil, as LocalAddr does.
func (c fileConn) RemoteAddr() net.Addr { return nil }

// CloseWrite closes the sending side of the connection, which can still be read from, as net.TCPConn.CloseWrite does.
func (c fileConn) CloseWrite() error {
	var shutdownErr error
	err := Control(c.file, func(fd uintptr) { shutdownErr = unix.Shutdown(int(fd), unix.SHUT_WR) })
	return errors.Join(err, shutdownErr)
}
