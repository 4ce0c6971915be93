package downstream

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

// Flushed must return false while a request is partly received. Otherwise a process that shuts down would abandon the
// request.
func TestNotFlushedWithPartialRequest(t *testing.T) {
	server, events := startServer(t, smallConfig)
	conn, request := dial(t, server), emptyCall(5)
	send(t, conn, request[:9])
	time.Sleep(50 * time.Millisecond)
	if server.Flushed() {
		t.Error("Flushed() = true with a partly received request")
	}
	send(t, conn, request[9:])
	nextEvent(t, events)
	server.Respond(router.Respond{Client: 1, Seq: 5})
	for end := time.Now().Add(testTimeout); !server.Flushed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("Flushed() = false although all requests are answered")
		}
	}
}

// A connection that waits in the backlog when the shutdown begins is admitted, and its request is answered.
func TestBacklogIsAdmittedBeforeShutdown(t *testing.T) {
	listener := gatedListener{listen(t), make(chan struct{})}
	server, events, stop := startServerOn(t, listener, configWithIdleTimeout(10, time.Hour))
	conn := dial(t, server)
	send(t, conn, emptyCall(5))
	server.CloseIdle()
	if server.OpenConnections() == 0 || server.Flushed() {
		t.Fatal("the server reports no open connection or is flushed while a request waits in the backlog")
	}
	close(listener.released)
	if _, ok := (<-events).(router.RequestReceived); !ok {
		t.Fatal("the connection in the backlog was not admitted: first event is not RequestReceived")
	}
	server.CloseIdle()
	respondServed(server, 1, 5)
	testkit.WaitUntil(t, 2*testTimeout, "all connections and the listener are closed", func() bool {
		server.CloseIdle()
		return server.OpenConnections() == 0
	})
	expectFinalResponse(t, conn, "whole")
	if _, err := net.Dial("tcp", server.listener.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial after the shutdown: error %v, want connection refused", err)
	}
	stop()
}

// hasPartialRequest reports whether some connection without a request in flight has received a part of a request, as
// far as its reader has recorded that.
func hasPartialRequest(server *Server) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	for _, c := range server.connections {
		if c.isReading() && c.isQuiescent() {
			return true
		}
	}
	return false
}

// A shutdown must neither wait for idle connections nor cut off the others: their requests, even partly received ones,
// are answered first.
func TestCloseIdleKeepsActiveConnections(t *testing.T) {
	server, events := startServer(t, configWithIdleTimeout(10, time.Hour))
	active, unused, partial := dial(t, server), dial(t, server), dial(t, server)
	idleAfterResponse := idleConnection(t, server, false)
	send(t, active, emptyCall(5))
	nextEvent(t, events)
	request := emptyCall(6)
	send(t, partial, request[:9])
	testkit.WaitUntil(t, 2*testTimeout, "all connections are active", func() bool {
		return server.activeConnections() == 4
	})
	testkit.WaitUntil(t, 2*testTimeout, "a part of a request is read", func() bool {
		return !server.Flushed() && hasPartialRequest(server)
	})
	server.CloseIdle()
	checkHalfClosed(t, unused)
	checkHalfClosed(t, idleAfterResponse)
	send(t, partial, request[9:])
	if e := nextEvent(t, events); e != "RequestReceived" && e != "ClientDisconnected" {
		t.Errorf("event %s, want RequestReceived or ClientDisconnected", e)
	}
	testkit.WaitUntil(t, 2*testTimeout, "both requests are in flight", func() bool {
		return len(server.requestsInFlight()) == 2
	})
	begun, clients := time.Now(), server.requestsInFlight()
	for _, seq := range []int32{5, 6} {
		respondServed(server, clients[seq], seq)
	}
	for _, conn := range []net.Conn{active, partial} {
		testkit.WaitUntil(t, 2*testTimeout, "all responses are written and the connections are closed", func() bool {
			server.CloseIdle()
			return len(server.requestsInFlight()) == 0 && server.Flushed() && server.OpenConnections() <= 1
		})
		expectFinalResponse(t, conn, "whole")
	}
	if took := time.Since(begun); took > 800*time.Millisecond { // an active connection is suspended only after 1 s
		t.Errorf("closing the active connections took %v, want 800ms at most", took)
	}
}

// Requests that are read from a draining connection are not posted, because the client may send them again
// elsewhere. They are rejected before the client reads the end of the stream.
func TestRequestsReadWhileDrainingAreRejected(t *testing.T) {
	server, events := startServer(t, configWithIdleTimeout(10, time.Hour))
	conn := idleConnection(t, server, false)
	c := server.lookup(1)
	c.mu.Lock()
	c.draining = true // as tryClose does before it interrupts the reader
	c.mu.Unlock()
	if c.addRequest(9) != requestWhileDraining {
		t.Error("addRequest on a draining connection did not return requestWhileDraining")
	}
	send(t, conn, slices.Concat(emptyCall(7), emptyCall(8), healthCall(9), emptyCall(10)[:9]))
	expectResponse(t, conn, rejectionOf(7))
	expectResponse(t, conn, rejectionOf(8))
	checkHalfClosed(t, conn)
	neterr.Close(conn)
	expectEvents(t, events, "ClientDisconnected")
}

// A connection that waits for a free slot is closed when the process ends. By then, all admitted requests have
// been answered.
func TestConnectionWaitingForCapacityAtShutdown(t *testing.T) {
	config := Config{MaxConnections: 1, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20}
	server, events, stop := startServerOn(t, listen(t), config)
	conn := dial(t, server)
	send(t, conn, emptyCall(5))
	<-events
	waiting := dial(t, server)
	time.Sleep(50 * time.Millisecond)
	server.CloseIdle()
	if server.OpenConnections() < 2 {
		t.Error("OpenConnections() is below 2 while one connection is open and one waits for a slot")
	}
	respondServed(server, 1, 5)
	expectResponse(t, conn, "whole")
	stop()
	setDeadline(t, waiting, time.Now().Add(testTimeout))
	if _, err := waiting.Read(make([]byte, 1)); err == nil || errors.Is(err, syscall.EAGAIN) {
		t.Errorf("read on the connection that waited: error %v, want the end of the connection", err)
	}
}
