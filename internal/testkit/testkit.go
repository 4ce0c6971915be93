// Package testkit contains helpers for the tests of several packages: a client of the Thrift protocol, a cache
// and a discovery service that a test controls, a router in a separate process, and waits with a timeout. Only
// tests import it.
package testkit

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Timeout is the default timeout for something that must happen in a test.
const Timeout = 5 * time.Second

// pollInterval is the pause between two checks of a condition that a test waits for.
const pollInterval = 5 * time.Millisecond

// WaitUntil polls a condition until it holds. It fails the test immediately if the condition still does not hold
// after the timeout. The failure message contains the description.
func WaitUntil(t *testing.T, timeout time.Duration, description string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v, waiting for: %s", timeout, description)
		}
	}
}

// Receive returns the next value of a channel. It fails the test immediately if there is none within the timeout.
// The failure message contains the description.
func Receive[T any](t *testing.T, from <-chan T, timeout time.Duration, description string) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(timeout):
		t.Fatalf("timed out after %v, waiting for: %s", timeout, description)
	}
	return value
}

// ExpectNoError waits for the result of an operation and checks that it ends within the timeout and without an error.
func ExpectNoError(t *testing.T, result <-chan error, timeout time.Duration) {
	t.Helper()
	if err := Receive(t, result, timeout, "the end of the operation"); err != nil {
		t.Errorf("the operation ended with an error: %v", err)
	}
}

// Close closes a connection, listener or file and ignores the error, because the peer may have closed or reset the
// connection already.
func Close(closer io.Closer) { _ = closer.Close() }

// Write writes to a connection and ignores the error, because the peer may have closed the connection already.
// Lost data shows in the responses, which each test checks.
func Write(conn net.Conn, raw []byte) { _, _ = conn.Write(raw) }

// Reset closes a connection with a TCP reset, as the system does for a process that dies.
func Reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a connection that is already closed
	Close(conn)
}

// SetTimeout makes all reads and writes of a connection fail after the timeout, which starts now.
func SetTimeout(t *testing.T, conn net.Conn, timeout time.Duration) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Errorf("set a deadline in %v on the connection to %v: %v", timeout, conn.RemoteAddr(), err)
	}
}

// WriteFile writes a file for a router under test. It fails the test if the file cannot be written.
func WriteFile(t *testing.T, path string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// ReplaceFile replaces a file atomically: a reader sees either all of the old content or all of the new content.
func ReplaceFile(t *testing.T, path string, raw []byte) {
	t.Helper()
	WriteFile(t, path+".new", raw)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// SignalSelf sends a signal to the process of the test, for tests that run a router in it.
func SignalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatalf("send %v to the process of the test: %v", signal, err)
	}
}
