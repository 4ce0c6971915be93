package downstream

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/router"
	"tealpath/internal/testkit"

	"golang.org/x/sys/unix"
)

// faultyListener is a listener whose accepts fail while the function accept returns an error. Accepted connections are
// passed through wrap.
type faultyListener struct {
	*net.TCPListener
	accept func() error
	wrap   func(*net.TCPConn) net.Conn
}

// Accept implements net.Listener. It fails without accepting if l.accept returns an error.
func (l faultyListener) Accept() (net.Conn, error) {
	if err := l.accept(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// faultyConn fails a read or write if the function of that name returns an error. A failing write still sends
// the first half of the data. The connection is embedded as an interface, because net.Buffers would bypass
// Write on a *net.TCPConn.
type faultyConn struct {
	net.Conn
	read, write func() error
}

// SyscallConn gives access to the descriptor of the TCP connection. Its use bypasses the functions read and write.
func (c faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

// CloseWrite closes the sending side of the connection. No error is injected into it.
func (c faultyConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// Read implements net.Conn. It fails without reading if c.read returns an error.
func (c faultyConn) Read(p []byte) (int, error) {
	if err := c.read(); err != nil {
		return 0, os.NewSyscallError("read", err)
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. If c.write returns an error, it sends half of p and fails.
func (c faultyConn) Write(p []byte) (int, error) {
	if err := c.write(); err != nil {
		n, _ := c.Conn.Write(p[:len(p)/2])
		return n, os.NewSyscallError("write", err)
	}
	return c.Conn.Write(p)
}

// startFaultyServer runs a server whose accepts, reads and writes fail if the corresponding function returns
// an error. Suspension is disabled, because a resumed connection would be a plain one that does not fail.
func startFaultyServer(t *testing.T, config Config, accept, read, write func() error) (*Server, chan router.Event) {
	t.Helper()
	config.SystemCalls = failingSystemCalls("fcntl", unix.EINVAL, func() bool { return true })
	wrap := func(conn *net.TCPConn) net.Conn { return faultyConn{conn, read, write} }
	server, events, _ := startServerOn(t, faultyListener{listen(t), accept, wrap}, config)
	return server, events
}

// noError always returns nil. It is passed to startFaultyServer for the calls that must not fail.
func noError() error { return nil }

// Connections that cannot be accepted wait in the backlog with their requests, which are answered once
// accepting works again.
func TestAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			faultEnd := time.Now().Add(2 * time.Second)
			var tries atomic.Int64
			server, _ := startFaultyServer(t, configWithIdleTimeout(100, time.Hour), func() error {
				if time.Now().Before(faultEnd) {
					tries.Add(1)
					return errno
				}
				return nil
			}, noError, noError)
			for range 20 {
				conn := dial(t, server)
				send(t, conn, healthCall(1))
				defer func() {
					if err := requestHealth(conn); err != nil {
						t.Errorf("request after the accept errors: %v", err)
					}
				}()
			}
			server.CloseIdle()
			if server.draining.Load() {
				t.Error("CloseIdle closed the listener while connections wait in the backlog")
			}
			time.Sleep(time.Until(faultEnd))
			if n := tries.Load(); n > 220 {
				t.Errorf("%d failed accepts in 2 s, want 220 at most", n)
			}
			testkit.WaitUntil(t, 2*testTimeout, "all connections are admitted", func() bool {
				return server.idle.len() == 20
			})
		})
	}
}

// A read or write that fails with a transient error is repeated, whatever the state of the connection. No byte
// is lost or sent twice.
func TestTransientReadAndWriteErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR, syscall.EAGAIN} {
		for _, lasting := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v lasting %v", errno, lasting), func(t *testing.T) {
				t.Parallel()
				var calls atomic.Int64
				faultEnd := time.Now().Add(2 * time.Second)
				fault := func() error {
					if lasting && time.Now().Before(faultEnd) || !lasting && calls.Add(1)%2 == 1 {
						return errno
					}
					return nil
				}
				server, events := startFaultyServer(t, configWithIdleTimeout(100, time.Hour), noError, fault, fault)
				conn := dial(t, server)
				const digits = "0123456789"
				body := strings.Repeat(digits, 1000)
				for seq := range int32(3) {
					send(t, conn, emptyCall(uint32(seq)))
					request, ok := (<-events).(router.RequestReceived)
					if !ok || request.Seq != seq {
						t.Fatalf("event %+v, want RequestReceived with sequence number %d", request, seq)
					}
					server.Respond(router.Respond{Client: request.Client, Seq: seq, Body: []byte(body)})
					got, err := readResponse(conn)
					if err != nil || !strings.Contains(got, body) || strings.Count(got, digits) != 1000 {
						t.Fatalf("response of %d bytes, error %v; want the body exactly once", len(got), err)
					}
				}
				checkHealth(t, conn)
			})
		}
	}
}

// After a read error that does not prove the end of the connection, nothing more is read, but requests in
// flight are answered.
func TestUnknownReadErrorKeepsResponses(t *testing.T) {
	var failing atomic.Bool
	server, events := startFaultyServer(t, configWithIdleTimeout(100, time.Hour), noError, func() error {
		if failing.Load() {
			return syscall.EIO
		}
		return nil
	}, noError)
	conn := dial(t, server)
	send(t, conn, emptyCall(5))
	request := (<-events).(router.RequestReceived)
	failing.Store(true)
	send(t, conn, []byte{0}) // makes the pending read return, so that the next one fails
	time.Sleep(50 * time.Millisecond)
	respondServed(server, request.Client, 5)
	expectResponse(t, conn, "whole")
}

// A write error that proves that the client has disconnected ends its connection, but no other one.
func TestFailedWriteClosesOnlyItsConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	} {
		var failNextWrite atomic.Bool
		failNextWrite.Store(true)
		server, events := startFaultyServer(t, configWithIdleTimeout(10, time.Hour), noError, noError, func() error {
			if failNextWrite.Swap(false) {
				return errno
			}
			return nil
		})
		broken := dial(t, server)
		send(t, broken, emptyCall(5))
		healthy := dial(t, server)
		request := (<-events).(router.RequestReceived)
		respondServed(server, request.Client, 5)
		if e, ok := (<-events).(router.ClientDisconnected); !ok || e.Client != request.Client {
			t.Errorf("after write error %v: event %+v, want ClientDisconnected of client %d", errno, e, request.Client)
		}
		checkHealth(t, healthy)
		testkit.WaitUntil(t, 2*testTimeout, "the slot of the broken connection is free", func() bool {
			return server.idle.len() == 1
		})
	}
}
