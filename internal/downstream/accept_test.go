package downstream

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/neterr"
	"tealpath/internal/testkit"

	"github.com/gaissmai/bart"
)

// slowAcceptConfig makes a server accept at most 120 connections per second of those that have already sent data.
var slowAcceptConfig = Config{MaxConnections: 1000, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20, Cores: 0.05}

// Connections that have sent nothing are suspended at a separate rate, so that a client behind them is served
// soon. Requests that arrive on them later are handled as usual.
func TestSilentConnectionsAreSuspendedAtOnce(t *testing.T) {
	server, _ := startServer(t, slowAcceptConfig)
	if server.idle.poller == nil {
		t.Fatal("this system cannot suspend connections")
	}
	var silent []net.Conn
	for range 200 {
		silent = append(silent, dial(t, server))
	}
	requesting := dial(t, server)
	send(t, requesting, healthCall(1))
	expectResponse(t, requesting, "health")
	if c := server.Counts(); c.Suspended < 100 || c.All != 201 {
		t.Errorf("counts %+v, want 201 connections, at least 100 of them suspended", c)
	}
	late := silent[len(silent)-1]
	send(t, late, healthCall(1))
	expectResponse(t, late, "health")
}

// Clients that send a request and close while their connection waits in the backlog have disconnected: their
// requests are not posted once the connections are accepted. The connections ahead of them keep them in the
// backlog for a third of a second.
func TestAbandonedRequestInBacklogIsRejected(t *testing.T) {
	server, events := startServer(t, slowAcceptConfig)
	var ahead []net.Conn
	for range 40 {
		conn := dial(t, server)
		send(t, conn, healthCall(1))
		ahead = append(ahead, conn)
	}
	for range 5 {
		disconnected := dial(t, server)
		send(t, disconnected, emptyCall(5))
		neterr.Close(disconnected)
	}
	// This client may still be reading, so its request is rejected rather than dropped. It is not posted either.
	halfClosed := dial(t, server)
	send(t, halfClosed, emptyCall(7))
	closeWrite(t, halfClosed)
	connected := dial(t, server)
	send(t, connected, emptyCall(6))
	for _, conn := range ahead {
		expectBytes(t, conn, 20, "connection ahead in the backlog")
	}
	expectEvents(t, events, "RequestReceived") // for the request of the client that is still connected
	select {
	case e := <-events:
		t.Errorf("event %s for a client that closed while it waited in the backlog", e)
	case <-time.After(300 * time.Millisecond):
	}
	expectResponse(t, halfClosed, rejectionOf(7))
	// The clients ahead have the IDs 1 to 40. Rejected connections get no ID, so the connected client has the ID 41.
	respondServed(server, 41, 6)
	expectResponse(t, connected, "whole")
}

// loopbackPolicy returns a configuration that applies the policy to clients on loopback.
func loopbackPolicy(policy idle.Policy) Config {
	networks := &bart.Table[uint16]{}
	networks.Insert(netip.MustParsePrefix("127.0.0.0/8"), 1)
	config := configWithIdleTimeout(100, time.Hour)
	policy.FirstRequestTimeout, policy.IdleTimeout = MaxIdleBeforeFirstRequest, int64(time.Hour)
	config.Policies.ByAddress = networks
	config.Policies.Policies = append(config.Policies.Policies, policy)
	return config
}

// Requests on connections beyond a limit set by the operator are rejected, and the connections end without a
// reset.
func TestConnectionsBeyondOperatorLimitsAreRejected(t *testing.T) {
	server, events := startServer(t, loopbackPolicy(idle.Policy{MaxPerClient: 1}))
	kept := dial(t, server)
	checkHealth(t, kept)
	for range 3 {
		conn := dial(t, server)
		send(t, conn, slices.Concat(emptyCall(5), largeCall(6)))
		for _, seq := range []byte{5, 6} {
			expectResponse(t, conn, rejectionOf(seq))
		}
		if n := server.OpenConnections(); n < 3 { // the listener, the kept connection and this one count
			t.Errorf("OpenConnections() = %d while a connection is being rejected, want at least 3", n)
		}
		checkHalfClosed(t, conn)
	}
	checkHealth(t, kept)
	for range 40 { // more than MaxConnections/closingDivisor, which may be rejected at the same time
		dial(t, server)
	}
	testkit.WaitUntil(t, 2*testTimeout, "all connections beyond the limit are closed", func() bool {
		return server.rejecting.Load() == 0 && !server.hasBacklog()
	})
	if server.idle.len() != 1 || len(events) > 0 {
		t.Errorf("%d connections and %d events, want 1 connection and no event", server.idle.len(), len(events))
	}
}

// On a connection beyond a limit, a request that is written slowly is rejected as soon as its sequence number has come.
// The rejection must not wait for the rest, which may come only after the connection has been closed.
func TestPartialRequestBeyondOperatorLimitIsRejected(t *testing.T) {
	server, _ := startServer(t, loopbackPolicy(idle.Policy{MaxPerClient: 1}))
	checkHealth(t, dial(t, server))
	conn := dial(t, server)
	send(t, conn, largeCall(6)[:1000])
	expectResponse(t, conn, rejectionOf(6))
}

func TestNetworkAndClientLimits(t *testing.T) {
	server, _ := startServer(t, loopbackPolicy(idle.Policy{MaxConnections: 3, MaxPerClient: 2}))
	from := func(ip string) net.Conn {
		t.Helper()
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.Dial("tcp", server.listener.Addr().String())
		if err != nil {
			t.Skipf("cannot dial from loopback address %s: %v", ip, err)
		}
		t.Cleanup(func() { neterr.Close(conn) })
		return conn
	}
	first := from("127.0.0.2")
	checkHealth(t, first)
	checkHealth(t, from("127.0.0.2"))
	if err := requestHealth(from("127.0.0.2")); err == nil {
		t.Error("the third connection of a client was admitted, want 2 at most")
	}
	checkHealth(t, from("127.0.0.3"))
	if err := requestHealth(from("127.0.0.4")); err == nil {
		t.Error("the fourth connection of a network was admitted, want 3 at most")
	}
	neterr.Close(first)
	testkit.WaitUntil(t, 2*testTimeout, "the slot of the closed connection is free", func() bool {
		return server.idle.len() == 2
	})
	checkHealth(t, from("127.0.0.4"))
}
