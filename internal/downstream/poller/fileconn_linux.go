package poller

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// fileConn is a connection over a socket's one descriptor. net.FileConn takes a second one for a moment; where there is none a
// request that waited to be read was closed on. It reads and writes through the runtime's poller as a net.TCPConn does, but for
// writing several buffers at once.
type fileConn struct{ file *os.File }

func (c fileConn) Read(p []byte) (int, error)                    { return c.file.Read(p) }
func (c fileConn) Write(p []byte) (int, error)                   { return c.file.Write(p) }
func (c fileConn) Close() error                                  { return c.file.Close() }
func (c fileConn) SetDeadline(t time.Time) error                 { return c.file.SetDeadline(t) }
func (c fileConn) SetReadDeadline(t time.Time) error             { return c.file.SetReadDeadline(t) }
func (c fileConn) SetWriteDeadline(t time.Time) error            { return c.file.SetWriteDeadline(t) }
func (c fileConn) SyscallConn() (raw syscall.RawConn, err error) { return c.file.SyscallConn() }

// LocalAddr is not told; whoever asks for it has the connection from its listener.
func (c fileConn) LocalAddr() net.Addr { return nil }

// RemoteAddr is not told either.
func (c fileConn) RemoteAddr() net.Addr { return nil }

// CloseWrite half-closes the connection, as that of net.TCPConn does.
func (c fileConn) CloseWrite() error {
	raw, err := c.file.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = unix.Shutdown(int(fd), unix.SHUT_WR) }); err != nil {
		return err
	}
	return failed
}
