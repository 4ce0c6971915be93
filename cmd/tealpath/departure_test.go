package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/protocol/resp"
	"tealpath/internal/testkit"
)

// budgetSlack is the maximum difference between the budget field of a request to a cache and the client's remaining
// time.
const budgetSlack = 150 * time.Millisecond

// budget returns the client's remaining time according to the budget field of a request to a cache.
func budget(t *testing.T, request testkit.CacheRequest) time.Duration {
	t.Helper()
	milliseconds := request.Number("budget")
	if milliseconds < 0 {
		t.Fatalf("no budget in the fields %q", request.Fields)
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// A client's timeout starts with the first byte of its request. The budget that the cache receives is the remaining
// time.
func TestBudgetIsRemainingTime(t *testing.T) {
	const timeout, betweenParts, firstPart = 1200 * time.Millisecond, 500 * time.Millisecond, 9
	caches := startCaches(t)
	discovery := testkit.StartEventStream(t)
	router := newTestRouter(t, addresses(caches), discovery.Address, 3)
	ended := router.serve(t)
	for _, c := range []struct {
		name string
		// idleTime is the pause between the response to an earlier request on the connection and the request under
		// test; 0: there is no earlier request.
		idleTime time.Duration
	}{
		{"on a new connection", 0},
		{"on a used connection", 100 * time.Millisecond},
		{"on a suspended connection", 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := testkit.Dial(t, router.address)
			if c.idleTime > 0 {
				client.ExpectServed(testkit.ObjectID(1), clientTimeout)
				time.Sleep(c.idleTime)
			}
			frame, sentAt := client.CallFrame(testkit.ObjectID(2), timeout, "body"), time.Now()
			testkit.Write(client.Conn, frame[:firstPart])
			time.Sleep(betweenParts)
			testkit.Write(client.Conn, frame[firstPart:])
			request := testkit.WaitRequestFor(t, testkit.ObjectID(2), caches...)
			left := timeout - request.At.Sub(sentAt)
			if got := budget(t, request); got > left+budgetSlack || got < left-budgetSlack {
				t.Errorf("budget %v, want the remaining %v, +/- %v", got, left, budgetSlack)
			}
			client.Expect(client.Sequence(), testkit.Served)
		})
	}
	terminate(t)
	testkit.ExpectNoError(t, ended, drainTimeout)
}

// blockedCache is a cache that accepts connections and reads nothing until it is released. The kernel buffers only
// a small amount of data for it.
type blockedCache struct {
	address  string
	released <-chan struct{}
	requests chan<- testkit.CacheRequest
}

// startBlockedCache starts a cache that reads requests once released is closed.
func startBlockedCache(t *testing.T, released <-chan struct{}, requests chan<- testkit.CacheRequest) blockedCache {
	t.Helper()
	const segment, buffer = 1460, 4096 // sizes in bytes; the system buffers more data with larger segments
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			setOption(t, fd, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			setOption(t, fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cache := blockedCache{address: listener.Addr().String(), released: released, requests: requests}
	var all sync.WaitGroup
	t.Cleanup(func() {
		testkit.Close(listener)
		all.Wait()
	})
	all.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			all.Go(func() { cache.serve(t, conn) })
		}
	})
	return cache
}

// setOption sets an integer option of the socket fd. level is the protocol of the option, such as syscall.IPPROTO_TCP.
// The test fails if the system refuses the value.
func setOption(t *testing.T, fd uintptr, level, option, value int) {
	t.Helper()
	if err := syscall.SetsockoptInt(int(fd), level, option, value); err != nil {
		t.Error(err)
	}
}

// serve reads the requests on a connection once released is closed, and responds to none.
func (c blockedCache) serve(t *testing.T, conn net.Conn) {
	const readBuffer = 4 << 20 // size of the connection's receive buffer, bytes
	defer testkit.Close(conn)
	<-c.released
	if err := conn.(*net.TCPConn).SetReadBuffer(readBuffer); err != nil {
		t.Error(err)
	}
	testkit.SetTimeout(t, conn, testkit.Timeout)
	for in := bufio.NewReader(conn); ; {
		words, err := resp.Read(in)
		if err != nil {
			return
		}
		if string(words[0]) == "fetch" {
			c.requests <- testkit.CacheRequest{ID: string(words[1]), Fields: string(words[2]), At: time.Now()}
		}
	}
}

// A request waits because caches read nothing for a while. If its client disconnects meanwhile, the request is not
// written to a cache. If its client stays, the request is written with the remaining time as its budget.
func TestNothingIsWrittenForDisconnectedClient(t *testing.T) {
	const (
		blockedFor = 600 * time.Millisecond
		timeout    = 3 * time.Second
		// The connections are full after fillPause, and the router has read a request after arrivePause. The test
		// can observe neither.
		fillPause   = 300 * time.Millisecond
		arrivePause = 50 * time.Millisecond
		departedID  = "00000000000000aa"
		remainingID = "00000000000000bb"
	)
	released, requests := make(chan struct{}), make(chan testkit.CacheRequest, 1000)
	first, second := startBlockedCache(t, released, requests), startBlockedCache(t, released, requests)
	discovery := testkit.StartEventStream(t)
	// With a weight of 40, each cache has the capacity for all requests that fill the connections.
	router := newTestRouter(t, []string{first.address, second.address}, discovery.Address, timeout.Seconds(),
		`"weight":4`, `"weight":40`)
	ended := router.serve(t)
	fillConnections(t, router, timeout)
	time.Sleep(fillPause)
	departing, remaining := testkit.Dial(t, router.address), testkit.Dial(t, router.address)
	sentAt := time.Now()
	departing.Call(testkit.ObjectID(1), timeout, "txn", departedID)
	remaining.Call(testkit.ObjectID(1), timeout, "txn", remainingID)
	time.Sleep(arrivePause)
	departing.Close()
	time.Sleep(blockedFor)
	close(released)
	left := timeout - time.Since(sentAt)
	expectNotDeparted := func(request testkit.CacheRequest) {
		if request.ID == departedID {
			t.Errorf("request %s of a disconnected client was written to a cache", departedID)
		}
	}
	var received testkit.CacheRequest
	for end := time.Now().Add(time.Second); received.ID != remainingID; {
		received = testkit.Receive(t, requests, time.Until(end), "the request of the client that stays connected")
		expectNotDeparted(received)
	}
	if got := budget(t, received); got > left+budgetSlack {
		t.Errorf("budget %v, want at most the remaining %v, + %v", got, left, budgetSlack)
	}
	for end := time.After(200 * time.Millisecond); ; {
		select {
		case request := <-requests:
			expectNotDeparted(request)
			continue
		case <-end:
		}
		break
	}
	terminate(t)
	testkit.ExpectNoError(t, ended, timeout+time.Second)
}

// fillConnections sends large requests until nothing more can be written to blocked caches. A router opens at most
// four connections to a cache: it opens the next one when three requests are in flight on the newest one.
func fillConnections(t *testing.T, router *testRouter, timeout time.Duration) {
	t.Helper()
	const clients, requests, bodySize = 2, 20, 200_000
	const interval = 5 * time.Millisecond // between two requests, so that the router can open connections
	body := strings.Repeat("x", bodySize)
	for range clients {
		client := testkit.Dial(t, router.address)
		for range requests {
			testkit.Write(client.Conn, client.CallFrame(testkit.ObjectID(1), timeout, body))
			time.Sleep(interval)
		}
	}
}
