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

// slowAccepts has a server accept 120 connections a second that have sent something.
var slowAccepts = Config{MaxConnections: 1000, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20, Cores: 0.05}

// Connections on which nothing has been sent are suspended at a rate of their own, so that a client behind them
// is served soon. What they send later is handled as usual.
func TestSilentConnectionsAreSuspendedAtOnce(t *testing.T) {
	server, _ := startServer(t, slowAccepts)
	if server.idle.poller == nil {
		t.Fatal("this system suspends nothing")
	}
	var silent []net.Conn
	for range 200 {
		silent = append(silent, dial(t, server))
	}
	usual := dial(t, server)
	send(t, usual, healthCall(1))
	expectResponse(t, usual, "health")
	if c := server.Counts(); c.Suspended < 100 || c.All != 201 {
		t.Errorf("%+v: silent connections were accepted at the pace of others", c)
	}
	late := silent[len(silent)-1]
	send(t, late, healthCall(1))
	expectResponse(t, late, "health")
}

// Clients that send a request and close while they wait in the backlog have disconnected: their requests are
// not posted when they are accepted. The connections ahead of them keep them there for a third of a second.
func TestAbandonedInTheBacklogIsRejected(t *testing.T) {
	server, events := startServer(t, slowAccepts)
	var ahead []net.Conn
	for range 40 {
		conn := dial(t, server)
		send(t, conn, healthCall(1))
		ahead = append(ahead, conn)
	}
	for range 5 {
		gone := dial(t, server)
		send(t, gone, emptyCall(5))
		neterr.Close(gone)
	}
	halfClosed := dial(t, server) // it may still read: rejected, and not posted either
	send(t, halfClosed, emptyCall(7))
	closeWrite(t, halfClosed)
	stays := dial(t, server)
	send(t, stays, emptyCall(6))
	for _, conn := range ahead {
		expectBytes(t, conn, 20, "one ahead")
	}
	expectEvents(t, events, "RequestReceived") // of the one that stays, who came last
	select {
	case e := <-events:
		t.Errorf("%s of a client that had gone while it waited", e)
	case <-time.After(300 * time.Millisecond):
	}
	expectResponse(t, halfClosed, rejectionOf(7))
	respondServed(server, 41, 6)
	expectResponse(t, stays, "whole")
}

// loopbackPolicy returns a configuration with a policy of its own for clients on loopback.
func loopbackPolicy(policy idle.Policy) Config {
	networks := &bart.Table[uint16]{}
	networks.Insert(netip.MustParsePrefix("127.0.0.0/8"), 1)
	config := configWithIdleTimeout(100, time.Hour)
	policy.FirstRequestTimeout, policy.IdleTimeout = MaxIdleBeforeFirstRequest, int64(time.Hour)
	config.Policies.ByAddress = networks
	config.Policies.Policies = append(config.Policies.Policies, policy)
	return config
}

// Beyond a limit that the operator has set requests are rejected, and the connection ends without a reset.
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
		if n := server.OpenConnections(); n < 3 { // the listener, the kept one, and this
			t.Errorf("%d are open while one is being rejected", n)
		}
		checkHalfClosed(t, conn)
	}
	checkHealth(t, kept)
	for range 40 { // no more of them are being rejected at a time than a part of the maximum
		dial(t, server)
	}
	testkit.WaitUntil(t, 2*testTimeout, "all are rejected", func() bool { return server.rejecting.Load() == 0 && !server.hasBacklog() })
	if server.idle.len() != 1 || len(events) > 0 {
		t.Errorf("%d connections, %d events", server.idle.len(), len(events))
	}
}

func TestNetworkAndClientLimits(t *testing.T) {
	server, _ := startServer(t, loopbackPolicy(idle.Policy{MaxConnections: 3, MaxPerClient: 2}))
	from := func(ip string) net.Conn {
		t.Helper()
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.Dial("tcp", server.listener.Addr().String())
		if err != nil {
			t.Skip("no further loopback addresses here")
		}
		t.Cleanup(func() { neterr.Close(conn) })
		return conn
	}
	first := from("127.0.0.2")
	checkHealth(t, first)
	checkHealth(t, from("127.0.0.2"))
	if err := requestHealth(from("127.0.0.2")); err == nil {
		t.Error("a client's third was admitted")
	}
	checkHealth(t, from("127.0.0.3"))
	if err := requestHealth(from("127.0.0.4")); err == nil {
		t.Error("a network's fourth was admitted")
	}
	neterr.Close(first)
	testkit.WaitUntil(t, 2*testTimeout, "the slot is free", func() bool { return server.idle.len() == 2 })
	checkHealth(t, from("127.0.0.4"))
}
