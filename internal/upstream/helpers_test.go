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

// waitLimit bounds every wait for something that has to happen.
const waitLimit = 10 * time.Second

// requestWithin returns a request for connection 1 that may be written and answered within a time.
func requestWithin(id string, within time.Duration) router.Send {
	deadline := clock.System().Now() + int64(within)
	return router.Send{
		Connection:   1,
		Request:      router.UpstreamRequest{ID: id, Deadline: deadline},
		SendDeadline: deadline,
	}
}

// testPool is a pool with the events that it posts.
type testPool struct {
	*Pool
	events chan router.Event
}

// newTestPool returns a pool whose connections end with the test.
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

// dialEndpoint opens connection 1.
func (p *testPool) dialEndpoint(address string) {
	p.Dial(router.Dial{Connection: 1, Address: address, Timeout: int64(time.Second)})
}

// next returns the next event, and fails the test if there is none in time.
func (p *testPool) next(t *testing.T) router.Event {
	t.Helper()
	return testkit.Receive(t, p.events, waitLimit, "an event")
}

// newTestConnection returns a connection of a pool that has not been dialled.
func newTestConnection(pool *Pool) *connection {
	c := newConnection(pool, 1, func() {})
	pool.connections[1] = c
	return c
}

// startCache starts an emulated cache that responds to all that it is asked.
func startCache(t *testing.T) *cache.Cache {
	t.Helper()
	emulator, err := cache.Start("s-a", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(emulator.Close)
	return emulator
}

// startEndpoint starts an endpoint that serves one connection as a test says, and returns its address.
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

// closeTest closes a connection or a listener, which may have been closed before.
func closeTest(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("close: %v", err)
	}
}

// connectedPair returns the two ends of a connection over loopback.
func connectedPair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	listener := testkit.Listen(t)
	ours, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeTest(t, ours) })
	theirs, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeTest(t, theirs) })
	return ours, theirs
}

// readCommand reads one command that was sent to an endpoint; it is empty where the connection has ended.
func readCommand(in *bufio.Reader) [][]byte {
	words, err := resp.Read(in)
	if err != nil {
		return nil
	}
	return words
}

// send writes to a router, which may have closed the connection: whether it has, the test sees at the router.
func send(conn net.Conn, text string) (ok bool) {
	_, err := fmt.Fprint(conn, text)
	return err == nil
}

// waitForClose holds a connection open until the other side closes it.
func waitForClose(in *bufio.Reader) {
	for readCommand(in) != nil {
	}
}
