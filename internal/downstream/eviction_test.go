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

// Connections that never send a request must not keep out clients that have one: they are evicted for new
// connections.
func TestSilentConnectionsAreEvictedForNewOnes(t *testing.T) {
	server, events := startServer(t, smallConfig)
	requesting := dial(t, server)
	send(t, requesting, emptyCall(5))
	nextEvent(t, events)
	for range 20 {
		dial(t, server)
	}
	newest := dial(t, server)
	send(t, newest, healthCall(1))
	expectResponse(t, newest, "health")
	respondServed(server, 1, 5)
	expectResponse(t, requesting, "whole")
	if n := server.activeConnections(); n > smallConfig.MaxConnections {
		t.Errorf("%d active connections, want %d at most", n, smallConfig.MaxConnections)
	}
}

// At the connection limit, connections that have had their responses are closed for new ones without delay.
func TestEvictionKeepsUpWithNewConnections(t *testing.T) {
	emitted := 0
	config := Config{MaxConnections: 50, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20}
	server := New(listen(t), config, handling(func(router.Event) {}), func(logevent.Event) { emitted++ })
	run(t, server)
	begun, conns := time.Now(), []net.Conn{}
	for range 1500 {
		conn := dial(t, server)
		send(t, conn, healthCall(1))
		conns = append(conns, conn)
		if len(conns) > 40 {
			expectBytes(t, conns[len(conns)-40], healthResponseBytes, "health response on an earlier connection")
		}
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if took := time.Since(begun); took > 3*time.Second || emitted != 1 {
		t.Errorf("1500 connections took %v and emitted %d log events, want 3s at most and 1 event", took, emitted)
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
		t.Errorf("event %s for the third connection while both others have a request in flight", e)
	case <-time.After(100 * time.Millisecond):
	}
	server.Respond(router.Respond{Client: 1, Seq: 5})
	for range 2 {
		if e := nextEvent(t, events); e != "ClientDisconnected" && e != "RequestReceived" {
			t.Errorf("event %s, want ClientDisconnected or RequestReceived", e)
		}
	}
	respondServed(server, 3, 5)
	expectResponse(t, third, "whole")
}

// A connection lingers after its last response, which its client has read. If a new connection needs its slot, the
// lingering connection must be closed at once.
func TestLingeringConnectionIsEvicted(t *testing.T) {
	server, _ := startServer(t, configWithIdleTimeout(10, time.Hour))
	conn := dial(t, server)
	send(t, conn, frame(1, "odd", 5, "\x00"))
	expectResponse(t, conn, "unknown method")
	testkit.WaitUntil(t, 2*testTimeout, "the connection lingers", func() bool { return server.Counts().Closing == 1 })
	if !server.evict(0) {
		t.Error("evict did not close the lingering connection")
	}
	expectEnd(t, conn)
	testkit.WaitUntil(t, 2*testTimeout, "the slot is free", func() bool { return server.idle.len() == 0 })
}

// A request that a client sends while the server closes its idle connection is not handled, and the connection
// is not reset.
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
			testkit.WaitUntil(t, 2*testTimeout, "the slot is free and the descriptor is closed", func() bool {
				return server.idle.len() == 0 && server.closingCount() == 0
			})
			for len(events) > 0 {
				if e := <-events; e != "ClientDisconnected" {
					t.Errorf("event %s for data sent after the server closed its side, want only ClientDisconnected", e)
				}
			}
		})
	}
}

// Clients that never close their side hold descriptors only for a short time, and the number of such
// descriptors is limited.
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
			t.Fatalf("%d descriptors are closing, want %d at most", n, count/closingDivisor+1)
		}
	}
	testkit.WaitUntil(t, 2*testTimeout, "all descriptors are closed", func() bool {
		return server.closingCount() == 0
	})
}

// Clients send requests at about the time at which their connections are evicted. Each request is answered, or
// its connection ends without a part of a response.
func TestRequestsDuringEviction(t *testing.T) {
	server, _ := startServer(t, configWithIdleTimeout(40, time.Hour))
	requireSuspension(t, server)
	var group sync.WaitGroup
	var mu sync.Mutex
	answered, ended := 0, 0
	// record counts a request as answered or as lost with its connection, and reports whether to send another one.
	record := func(err error) bool {
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			answered++
			return answered <= 60
		}
		ended++
		if !errors.Is(err, io.EOF) && !isConnectionError(err) {
			t.Errorf("request failed with %v, want a response, EOF or an error of the connection, such as a reset", err)
		}
		return false
	}
	for range 40 {
		conn := dial(t, server)
		checkHealth(t, conn)
		group.Go(func() {
			for again := true; again; {
				time.Sleep(1200 * time.Millisecond)
				again = record(requestHealth(conn))
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
		t.Errorf("precondition: %d requests answered, %d connections ended; want both above 0", answered, ended)
	}
}
