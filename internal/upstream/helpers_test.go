package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"tealpath/internal/clock"
	"tealpath/internal/emulator/cache"
	"tealpath/internal/neterr"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

// waitLimit is how long a test waits, at most, for one expected event.
const waitLimit = 10 * time.Second

// requestWithin returns a request on connection 1. The time limits for sending it and for its response both end
// timeout from now.
func requestWithin(id string, timeout time.Duration) router.Send {
	deadline := clock.System().Now() + int64(timeout)
	return router.Send{
		Connection:   1,
		Request:      router.UpstreamRequest{ID: id, Deadline: deadline},
		SendDeadline: deadline,
	}
}

// testPool is a pool whose posted events a test receives from a channel.
type testPool struct {
	*Pool
	events chan router.Event
}

// newTestPool returns a pool that is closed when the test ends.
func newTestPool(t *testing.T, config Config) *testPool {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tested := &testPool{events: make(chan router.Event, 1000)}
	config.Post = func(event router.Event) { tested.events <- event }
	tested.Pool = NewPool(ctx, config)
	t.Cleanup(func() {
		cancel()
		tested.Wait()
	})
	return tested
}

// dialEndpoint starts to open connection 1 to the address, and does not wait for it.
func (p *testPool) dialEndpoint(address string) {
	p.Dial(router.Dial{Connection: 1, Address: address, Timeout: int64(time.Second)})
}

// next returns the next event, and fails the test if there is none within waitLimit.
func (p *testPool) next(t *testing.T) router.Event {
	t.Helper()
	return testkit.Receive(t, p.events, waitLimit, "an event")
}

// newTestConnection adds connection 1 to the pool without dialling it, so that requests on it stay queued.
func newTestConnection(pool *Pool) *connection {
	c := newConnection(pool, 1, func() {})
	pool.connections[1] = c
	return c
}

// startCache starts an emulated cache that responds to every request.
func startCache(t *testing.T) *cache.Cache {
	t.Helper()
	emulator, err := cache.Start("s-a", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(emulator.Close)
	return emulator
}

// startEndpoint starts an endpoint that accepts one connection and passes it to serve. It returns the endpoint's
// address.
func startEndpoint(t *testing.T, serve func(conn net.Conn, in *bufio.Reader)) string {
	t.Helper()
	listener := testkit.Listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer neterr.Close(conn)
		serve(conn, bufio.NewReader(conn))
	}()
	return listener.Addr().String()
}

// mustClose closes a connection or listener, and fails the test on any error but net.ErrClosed.
func mustClose(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("close: %v", err)
	}
}

// connectedPair returns the two ends of a TCP connection over the loopback interface.
func connectedPair(t *testing.T) (local, peer net.Conn) {
	t.Helper()
	listener := testkit.Listen(t)
	local, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, local) })
	peer, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, peer) })
	return local, peer
}

// readCommand reads one command at an endpoint. It returns nil if the connection has ended or the input is malformed.
func readCommand(in *bufio.Reader) [][]byte {
	words, err := resp.Read(in)
	if err != nil {
		return nil
	}
	return words
}

// send writes text and reports whether that succeeded. Failure is not a test error, because the router may have closed
// the connection on purpose.
func send(conn net.Conn, text string) (ok bool) {
	_, err := fmt.Fprint(conn, text)
	return err == nil
}

// waitForClose reads and discards commands until the router closes the connection.
func waitForClose(in *bufio.Reader) {
	for readCommand(in) != nil {
	}
}
