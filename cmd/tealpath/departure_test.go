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

// budgetSlack is by how much the budget that a cache is told may differ from what the client has left.
const budgetSlack = 150 * time.Millisecond

// budget is the time that a cache was told that the client has left.
func budget(t *testing.T, request testkit.CacheRequest) time.Duration {
	t.Helper()
	milliseconds := request.Number("budget")
	if milliseconds < 0 {
		t.Fatalf("no budget in %s", request.Fields)
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// A client's time runs from the first byte of its request: the cache is told no more than what is left of it.
func TestBudgetIsWhatIsLeft(t *testing.T) {
	const timeout, betweenParts, firstPart = 1200 * time.Millisecond, 500 * time.Millisecond, 9
	caches := startCaches(t)
	discovery := testkit.StartEventStream(t)
	router := newTestRouter(t, addresses(caches), discovery.Address, 3)
	ended := router.serve(t)
	for _, c := range []struct {
		name     string
		idleTime time.Duration // before the request, on a connection that has had a response
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
			if told := budget(t, request); told > left+budgetSlack || told < left-budgetSlack {
				t.Errorf("told of %v, with %v left", told, left)
			}
			client.Expect(client.Sequence(), testkit.Served)
		})
	}
	terminate(t)
	testkit.ExpectEnd(t, ended, drainTimeout)
}

// blockedCache is a cache that accepts connections and reads nothing until it is released. Little goes onto the
// way to it.
type blockedCache struct {
	address  string
	released <-chan struct{}
	requests chan<- testkit.CacheRequest
}

// startBlockedCache starts a cache that reads requests once released is closed.
func startBlockedCache(t *testing.T, released <-chan struct{}, requests chan<- testkit.CacheRequest) blockedCache {
	t.Helper()
	const segment, buffer = 1460, 4096 // bytes: what the system buffers grows with the segments
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

// setOption sets a socket's option.
func setOption(t *testing.T, fd uintptr, level, option, value int) {
	t.Helper()
	if err := syscall.SetsockoptInt(int(fd), level, option, value); err != nil {
		t.Error(err)
	}
}

// serve reads a connection's requests and responds to none.
func (c blockedCache) serve(t *testing.T, conn net.Conn) {
	const readBuffer = 4 << 20 // bytes
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

// Caches read nothing for a while: a request whose client goes meanwhile is not written to them, and one whose
// client stays is written with what is left of its time.
func TestNothingIsWrittenForDepartedClient(t *testing.T) {
	const (
		blockedFor = 600 * time.Millisecond
		timeout    = 3 * time.Second
		// Nothing outside the router shows when the connections are full, and when it has read a request.
		fillPause   = 300 * time.Millisecond
		arrivePause = 50 * time.Millisecond
		departed    = "00000000000000aa"
		staying     = "00000000000000bb"
	)
	released, requests := make(chan struct{}), make(chan testkit.CacheRequest, 1000)
	first, second := startBlockedCache(t, released, requests), startBlockedCache(t, released, requests)
	discovery := testkit.StartEventStream(t)
	// Either cache has capacity for all that fills the connections.
	router := newTestRouter(t, []string{first.address, second.address}, discovery.Address, timeout.Seconds(),
		`"weight":4`, `"weight":40`)
	ended := router.serve(t)
	fillConnections(t, router, timeout)
	time.Sleep(fillPause)
	goes, stays := testkit.Dial(t, router.address), testkit.Dial(t, router.address)
	sentAt := time.Now()
	goes.Call(testkit.ObjectID(1), timeout, "txn", departed)
	stays.Call(testkit.ObjectID(1), timeout, "txn", staying)
	time.Sleep(arrivePause)
	goes.Close()
	time.Sleep(blockedFor)
	close(released)
	left := timeout - time.Since(sentAt)
	expectNotDeparted := func(request testkit.CacheRequest) {
		if request.ID == departed {
			t.Error("written for a client that had gone")
		}
	}
	var came testkit.CacheRequest
	for end := time.Now().Add(time.Second); came.ID != staying; {
		came = testkit.Receive(t, requests, time.Until(end), "the request of the client that stays")
		expectNotDeparted(came)
	}
	if told := budget(t, came); told > left+budgetSlack {
		t.Errorf("told of %v, with %v left", told, left)
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
	testkit.ExpectEnd(t, ended, timeout+time.Second)
}

// fillConnections sends large requests until nothing more can be written to blocked caches: a cache has four
// connections at the most, each opened once three requests are in flight on the one before.
func fillConnections(t *testing.T, router *testRouter, timeout time.Duration) {
	t.Helper()
	const clients, requests, bodySize = 2, 20, 200_000
	const between = 5 * time.Millisecond // in which connections are opened
	body := strings.Repeat("x", bodySize)
	for range clients {
		client := testkit.Dial(t, router.address)
		for range requests {
			testkit.Write(client.Conn, client.CallFrame(testkit.ObjectID(1), timeout, body))
			time.Sleep(between)
		}
	}
}
