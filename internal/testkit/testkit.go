// Package testkit has what the tests of several packages share: a client of the Thrift protocol, a cache that
// behaves as a test says, a discovery service, a router in a process of its own, and waits with a bound. Only
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

// Timeout bounds a wait for something that has to happen, where a test has no closer bound.
const Timeout = 5 * time.Second

// pollInterval is the pause between two looks at a state that a test waits for.
const pollInterval = 5 * time.Millisecond

// WaitUntil polls a state until it holds, and fails the test at once if it does not within the bound. The state
// is looked at once more when the bound has passed.
func WaitUntil(t *testing.T, bound time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", bound, what)
		}
	}
}

// Receive returns the next value of a channel, and fails the test at once if there is none within the bound.
func Receive[T any](t *testing.T, from <-chan T, bound time.Duration, what string) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(bound):
		t.Fatalf("not within %v: %s", bound, what)
	}
	return value
}

// ExpectEnd waits for the result of something that has to end without an error within the bound.
func ExpectEnd(t *testing.T, result <-chan error, bound time.Duration) {
	t.Helper()
	if err := Receive(t, result, bound, "its end"); err != nil {
		t.Error(err)
	}
}

// Close closes what a test is done with. Its other side may have closed or reset it already, which is no error
// of the test.
func Close(closer io.Closer) { _ = closer.Close() }

// Write writes to a connection that the other side may have closed. What did not arrive shows in what comes
// back, which each test checks.
func Write(conn net.Conn, raw []byte) { _, _ = conn.Write(raw) }

// Reset closes a connection by a reset, as the system does for a process that dies.
func Reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails on a connection that is closed already, and that stays closed
	Close(conn)
}

// SetTimeout bounds how long reads and writes of a connection may take from now on.
func SetTimeout(t *testing.T, conn net.Conn, timeout time.Duration) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Errorf("deadline: %v", err)
	}
}

// WriteFile writes a file that a router reads.
func WriteFile(t *testing.T, path string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// ReplaceFile replaces a file as a careful operator does: a reader sees all of the former content, or all of
// the new.
func ReplaceFile(t *testing.T, path string, raw []byte) {
	t.Helper()
	WriteFile(t, path+".new", raw)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// SignalSelf sends a signal to the test's own process, in which a router runs.
func SignalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}
