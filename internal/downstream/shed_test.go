package downstream

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

const (
	burstConnections = 300
	activeClients    = 70 // more than are resumed whatever the free memory
	ampleMemory      = 1 << 30
)

// burstConfig returns a configuration for many connections and little memory for active ones. free is the memory that
// the process may still allocate, in bytes.
func burstConfig(free *atomic.Int64) Config {
	config := configWithIdleTimeout(1000, time.Hour)
	config.MaxBytes = 1 << 20
	config.MaxResumeWait = 300 * time.Millisecond
	config.FreeMemory = free.Load
	return config
}

// startBurst starts a server with suspended connections, and beside them more clients with a request in flight than are
// active whatever the free memory.
func startBurst(t *testing.T, config Config) (*Server, chan router.Event, []net.Conn) {
	t.Helper()
	server, events, _ := startServerOn(t, listen(t), config)
	requireSuspension(t, server)
	conns := dialIdle(t, server, burstConnections)
	waitForSuspension(t, server)
	for range activeClients {
		send(t, dial(t, server), emptyCall(1))
	}
	for range activeClients {
		testkit.Receive(t, events, testTimeout, "the request of an active client")
	}
	return server, events, conns
}

// sendBurst sends a request on each connection and returns the responses, "" where there was none within the limit.
func sendBurst(t *testing.T, conns []net.Conn, limit time.Duration) []string {
	t.Helper()
	responses := make([]string, len(conns))
	var group sync.WaitGroup
	for i, conn := range conns {
		send(t, conn, emptyCall(2))
		sentAt := time.Now()
		group.Go(func() {
			response, err := readResponse(conn)
			if err == nil && time.Since(sentAt) <= limit {
				responses[i] = response
			}
		})
	}
	group.Wait()
	return responses
}

// In a burst, requests on suspended connections must be read at the pace of the processor while memory is free, however
// many connections are active. Each used to wait for up to 20 ms, one after the other, so that most got no response
// within their time.
func TestBurstOnSuspendedConnectionsIsReadWhileMemoryIsFree(t *testing.T) {
	var free atomic.Int64
	free.Store(ampleMemory)
	server, events, conns := startBurst(t, burstConfig(&free))
	go func() {
		for range conns {
			if received, ok := (<-events).(router.RequestReceived); ok {
				respondServed(server, received.Client, received.Seq)
			}
		}
	}()
	for i, response := range sendBurst(t, conns, time.Second) {
		if !strings.Contains(response, "whole") {
			t.Fatalf("connection %d: response %q within 1s, want it served", i, response)
		}
	}
}

// Without free memory, requests on suspended connections must be rejected within their time, and the connections be
// suspended again at once: they would otherwise hold the memory that is lacking. Once memory is free, requests on the
// same connections are served.
func TestBurstWithoutMemoryIsRejectedInTime(t *testing.T) {
	var free atomic.Int64
	server, events, conns := startBurst(t, burstConfig(&free))
	for i, response := range sendBurst(t, conns, time.Second) {
		if !strings.Contains(response, rejectionOf(2)) {
			t.Fatalf("connection %d: response %q within 1s, want a rejection", i, response)
		}
	}
	testkit.WaitUntil(t, time.Second, "the connections are suspended again", func() bool {
		return server.activeConnections() == activeClients
	})
	if len(events) > 0 || server.shedding.Load() != 0 {
		t.Errorf("%d events and %d connections that reject, want none", len(events), server.shedding.Load())
	}
	free.Store(ampleMemory)
	send(t, conns[0], emptyCall(3))
	received, ok := testkit.Receive(t, events, testTimeout, "a request").(router.RequestReceived)
	if !ok || received.Seq != 3 {
		t.Errorf("event %+v, want request 3", received)
	}
}

// While requests are rejected for want of memory, one that was sent beside them must not be lost, and a connection on
// which memory becomes free serves again.
func TestRejectingConnectionServesOnceMemoryIsFree(t *testing.T) {
	var free atomic.Int64
	_, events, conns := startBurst(t, burstConfig(&free))
	send(t, conns[0], slices.Concat(emptyCall(2), emptyCall(3)))
	expectResponse(t, conns[0], rejectionOf(2))
	expectResponse(t, conns[0], rejectionOf(3))
	free.Store(ampleMemory)
	send(t, conns[0], emptyCall(4))
	testkit.Receive(t, events, testTimeout, "a request")
}

// BenchmarkResume resumes suspended connections while more others are active than are resumed whatever the free memory.
func BenchmarkResume(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	config := configWithIdleTimeout(4096, time.Hour)
	config.MaxBytes = 6 << 20 // the share of 32 MB
	server := New(listener, config, func(router.Event) {}, ignoreEvents)
	ctx, cancel := context.WithCancel(b.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	defer func() {
		cancel()
		if err := <-served; err != nil {
			b.Error(err)
		}
	}()
	dialTo := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { neterr.Close(conn) })
		return conn
	}
	conns := make([]net.Conn, 1000)
	for i := range conns {
		conns[i] = dialTo()
		if err := requestHealth(conns[i]); err != nil {
			b.Fatal(err)
		}
	}
	for range 200 {
		trySend(dialTo(), emptyCall(1))
	}
	b.ResetTimer()
	resumed := 0
	for range b.N {
		b.StopTimer()
		for server.activeConnections() > 200 {
			time.Sleep(10 * time.Millisecond)
		}
		b.StartTimer()
		var group sync.WaitGroup
		for _, conn := range conns {
			group.Go(func() { _ = requestHealth(conn) })
		}
		group.Wait()
		resumed += len(conns)
	}
	b.ReportMetric(float64(resumed)/b.Elapsed().Seconds(), "resumed/s")
}
