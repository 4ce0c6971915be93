package testkit

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Listen opens a listener on a free port of 127.0.0.1, and closes it with the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	return ListenAt(t, "127.0.0.1:0")
}

// ListenAt opens a listener on an address, and closes it with the test, which may have closed it before.
func ListenAt(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("close: %v", err)
		}
	})
	return listener
}

// accept hands the connections of a listener to a function, one after the other, until the listener is closed.
func accept(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		serve(conn)
	}
}

// routerAddresses counts the loopback addresses that routers under test have had.
var routerAddresses atomic.Uint32

// FreeAddress returns an address on which no listener is. Its loopback host is one that no other router of this
// test run has and that no connection comes from: a port that was found free on 127.0.0.1 may be taken, by
// another router or as the port of a connection, before the router listens there.
func FreeAddress(t *testing.T) string {
	t.Helper()
	n := routerAddresses.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+n/250%250, 1+n%250)
	free, err := net.Listen("tcp", host+":0")
	if err != nil { // a system that has 127.0.0.1 alone
		free, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		t.Fatal(err)
	}
	defer Close(free)
	return free.Addr().String()
}

// IsListening tells whether a connection to an address can be made.
func IsListening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	Close(conn)
	return true
}

// WaitListening waits until connections to an address can be made.
func WaitListening(t *testing.T, address string) {
	t.Helper()
	WaitUntil(t, Timeout, "it listens", func() bool { return IsListening(address) })
}
