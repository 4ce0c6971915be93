package main

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// discard closes what a test is done with. Its other side may have closed or reset it already: that is no error of the test's.
func discard(closer io.Closer) { _ = closer.Close() }

// write writes to a connection that the other side may have closed. What did not arrive shows in what comes back, which each test
// checks.
func write(conn net.Conn, raw []byte) { _, _ = conn.Write(raw) }

// kill ends a process that may have ended already.
func kill(process *os.Process) { _ = process.Kill() }

// resetOnClose has a connection reset when it is closed, as by a process that dies. One that is closed already stays closed.
func resetOnClose(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// signalSelf sends a signal to this process, in which a router runs.
func signalSelf(signal syscall.Signal) {
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		panic(err) // a process may always signal itself
	}
}

// setTimeout bounds how long reads and writes of a connection may take from now on.
func setTimeout(t *testing.T, conn net.Conn, timeout time.Duration) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Error(err)
	}
}

// writeFile writes a file that a router reads.
func writeFile(t *testing.T, path string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// setOption sets a socket's option.
func setOption(t *testing.T, fd uintptr, level, option, value int) {
	t.Helper()
	if err := syscall.SetsockoptInt(int(fd), level, option, value); err != nil {
		t.Error(err)
	}
}
