package downstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/logevent"
	"tealpath/internal/neterr"
	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

// Connections without a request are evicted for new ones, which may have one.
func TestSilentConnectionsAreEvictedForNewOnes(t *testing.T) {
	server, events := startServer(t, smallConfig)
	asking := dial(t, server)
	send(t, asking, emptyCall(5))
	nextEvent(t, events)
	for range 20 {
		dial(t, server)
	}
	usual := dial(t, server)
	send(t, usual, healthCall(1))
	expectResponse(t, usual, "health")
	respondServed(server, 1, 5)
	expectResponse(t, asking, "whole")
	if n := server.activeConnections(); n > smallConfig.MaxConnections {
		t.Errorf("%d connections", n)
	}
}

// A connection that has just had its response is closed for the next one without a pause.
func TestEvictionKeepsUpWithNewConnections(t *testing.T) {
	emitted := 0
	config := Config{MaxConnections: 50, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20}
	server := New(listen(t), config, func(router.Event) {}, func(logevent.Event) { emitted++ })
	run(t, server)
	begun, conns := time.Now(), []net.Conn{}
	for range 1500 {
		conn := dial(t, server)
		send(t, conn, healthCall(1))
		conns = append(conns, conn)
		if len(conns) > 40 {
			expectBytes(t, conns[len(conns)-40], healthResponseBytes, "one of the last 40")
		}
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if took := time.Since(begun); took > 3*time.Second || emitted != 1 {
		t.Errorf("it took %v and %d log events", took, emitted)
	}
}

func TestNewConnectionWaitsWhileAllAreActive(t *testing.T) {
	server, events := startServer(t, Config{MaxConnections: 2, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20})
	for range 2 {
		send(t, dial(t, server), emptyCall(5))
		nextEvent(t, events)
	}
	third := dial(t, server)
	send(t, third, emptyCall(5))
	select {
	case e := <-events:
		t.Errorf("%s, while both others have a request in flight", e)
	case <-time.After(100 * time.Millisecond):
	}
	server.Respond(router.Respond{Client: 1, Seq: 5})
	for range 2 {
		if e := nextEvent(t, events); e != "ClientDisconnected" && e != "RequestReceived" {
			t.Error(e)
		}
	}
	respondServed(server, 3, 5)
	expectResponse(t, third, "whole")
}

// A connection that has had its last response and lingers is closed for a new one at once; the response has
// been read.
func TestLingeringConnectionIsEvicted(t *testing.T) {
	server, _ := startServer(t, configWithIdleTimeout(10, time.Hour))
	conn := dial(t, server)
	send(t, conn, frame(1, "odd", 5, "\x00"))
	expectResponse(t, conn, "unknown method")
	testkit.WaitUntil(t, 2*testTimeout, "it lingers", func() bool { return server.Counts().Closing == 1 })
	if !server.evict(0) {
		t.Error("it stays")
	}
	expectEnd(t, conn)
	testkit.WaitUntil(t, 2*testTimeout, "its slot is free", func() bool { return server.idle.len() == 0 })
}

// A request that crosses the close of an idle connection is not handled, and the connection is not reset.
func TestIdleConnectionsAreHalfClosed(t *testing.T) {
	for _, test := range []struct {
		name      string
		suspended bool
		end       func(*Server)
	}{
		{"shutdown", false, (*Server).CloseIdle},
		{"shutdown, suspended", true, (*Server).CloseIdle},
		{"eviction", false, func(server *Server) { server.evict(0) }},
		{"eviction, suspended", true, func(server *Server) { server.evict(0) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, events := startServer(t, configWithIdleTimeout(100, time.Hour))
			conn := idleConnection(t, server, test.suspended)
			test.end(server)
			checkHalfClosed(t, conn)
			neterr.Close(conn)
			testkit.WaitUntil(t, 2*testTimeout, "its descriptor is closed", func() bool {
				return server.idle.len() == 0 && server.closingCount() == 0
			})
			for len(events) > 0 {
				if e := <-events; e != "ClientDisconnected" {
					t.Errorf("%s of what came after the end", e)
				}
			}
		})
	}
}

// A client that never closes its side holds a descriptor for a moment only, however many do so.
func TestClosingDescriptorsAreBounded(t *testing.T) {
	const count = 16
	server, _ := startServer(t, configWithIdleTimeout(count, time.Hour))
	requireSuspension(t, server)
	for range count {
		idleConnection(t, server, false)
	}
	waitForSuspension(t, server)
	for id := range server.idle.slots {
		server.evict(idle.ID(id))
		if n := server.closingCount(); n > count/closingDivisor+1 {
			t.Fatalf("%d are closing", n)
		}
	}
	testkit.WaitUntil(t, 2*testTimeout, "all descriptors are closed", func() bool { return server.closingCount() == 0 })
}

// Requests come at the instant of an eviction: each is answered, or its connection ends without a byte.
func TestRequestsThatCrossAnEviction(t *testing.T) {
	server, _ := startServer(t, configWithIdleTimeout(40, time.Hour))
	requireSuspension(t, server)
	var group sync.WaitGroup
	var mu sync.Mutex
	answered, ended := 0, 0
	// note counts the result of a request, and tells whether to go on.
	note := func(err error) bool {
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			answered++
			return answered <= 60
		}
		ended++
		if !errors.Is(err, io.EOF) && !isReset(err) {
			t.Errorf("half a response: %v", err)
		}
		return false
	}
	for range 40 {
		conn := dial(t, server)
		checkHealth(t, conn)
		group.Go(func() {
			for goOn := true; goOn; {
				time.Sleep(1200 * time.Millisecond)
				goOn = note(requestHealth(conn))
			}
		})
	}
	waitForSuspension(t, server)
	for range 30 {
		checkHealth(t, dial(t, server))
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	if ended == 0 || answered == 0 {
		t.Errorf("%d answered, %d ended: the case is not one", answered, ended)
	}
}
