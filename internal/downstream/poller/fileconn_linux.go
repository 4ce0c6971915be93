package poller

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// fileConn is a net.Conn over the only descriptor of a socket. Resume falls back on it where net.FileConn
// fails, since that takes a second descriptor. Like net.TCPConn it uses Go's own poller, but it writes several
// buffers one by one.
type fileConn struct{ file *os.File }

// Read reads from the connection.
func (c fileConn) Read(p []byte) (int, error) { return c.file.Read(p) }

// Write writes to the connection.
func (c fileConn) Write(p []byte) (int, error) { return c.file.Write(p) }

// Close closes the connection.
func (c fileConn) Close() error { return c.file.Close() }

// SetDeadline sets the deadlines of reading and writing.
func (c fileConn) SetDeadline(t time.Time) error { return c.file.SetDeadline(t) }

// SetReadDeadline sets the deadline of reading.
func (c fileConn) SetReadDeadline(t time.Time) error { return c.file.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of writing.
func (c fileConn) SetWriteDeadline(t time.Time) error { return c.file.SetWriteDeadline(t) }

// SyscallConn gives access to the descriptor.
func (c fileConn) SyscallConn() (syscall.RawConn, error) { return c.file.SyscallConn() }

// LocalAddr returns nil: the addresses of a connection are known from before it was suspended.
func (c fileConn) LocalAddr() net.Addr { return nil }

// RemoteAddr returns nil, as LocalAddr does.
func (c fileConn) RemoteAddr() net.Addr { return nil }

// CloseWrite half-closes the connection, as net.TCPConn's does.
func (c fileConn) CloseWrite() error {
	var shutdownErr error
	err := Control(c.file, func(fd uintptr) { shutdownErr = unix.Shutdown(int(fd), unix.SHUT_WR) })
	return errors.Join(err, shutdownErr)
}
