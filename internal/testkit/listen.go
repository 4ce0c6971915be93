package testkit

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Listen opens a listener on a free port of 127.0.0.1 and closes it at the end of the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	return ListenAt(t, "127.0.0.1:0")
}

// ListenAt opens a listener on an address and closes it at the end of the test, unless the test has closed it
// before.
func ListenAt(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("close the listener on %s: %v", address, err)
		}
	})
	return listener
}

// accept passes the connections of a listener to a function, one after the other, until the listener is closed.
func accept(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		serve(conn)
	}
}

// freeAddresses counts the calls of FreeAddress, so that each one uses another loopback IP address.
var freeAddresses atomic.Uint32

// FreeAddress returns an address on which nothing listens, for a router under test. Each call uses another
// loopback IP address, from which no connection is opened. A free port of 127.0.0.1 could be taken before the
// router listens on it, by another router or as the local port of a connection.
func FreeAddress(t *testing.T) string {
	t.Helper()
	n := freeAddresses.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+n/250%250, 1+n%250)
	listener, err := net.Listen("tcp", host+":0")
	if err != nil { // on some systems 127.0.0.1 is the only loopback address
		listener, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		t.Fatal(err)
	}
	defer Close(listener)
	return listener.Addr().String()
}

// IsListening reports whether an address accepts connections.
func IsListening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	Close(conn)
	return true
}

// WaitListening waits until an address accepts connections. The test fails if it does not within Timeout.
func WaitListening(t *testing.T, address string) {
	t.Helper()
	WaitUntil(t, Timeout, "a listener on "+address, func() bool { return IsListening(address) })
}
