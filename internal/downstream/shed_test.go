package downstream

import (
	"context"
	"net"
	"os"
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

	// maxBurstWait is how long received data may wait for memory in these tests. It is a quarter of the shortest time
	// of a request, as in service.
	maxBurstWait = 300 * time.Millisecond
	requestTime  = 4 * maxBurstWait
)

// burstConfig returns a configuration for many connections and little memory for active ones. free is the memory that
// the process may still allocate, in bytes.
func burstConfig(free *atomic.Int64) Config {
	config := configWithIdleTimeout(1000, time.Hour)
	config.MaxBytes = 1 << 20
	config.MaxResumeWait = maxBurstWait
	config.FreeMemory = free.Load
	return config
}

// startBurst starts a server with suspended connections, and beside them more clients with a request in flight than are
// active whatever the free memory. Memory is free until all that is so, and from then on as much as given, in bytes.
func startBurst(t *testing.T, freeBytes int64) (*Server, chan router.Event, []net.Conn, *atomic.Int64) {
	t.Helper()
	var free atomic.Int64
	free.Store(ampleMemory)
	server, events, _ := startServerOn(t, listen(t), burstConfig(&free))
	requireSuspension(t, server)
	conns := dialIdle(t, server, burstConnections)
	waitForSuspension(t, server)
	for range activeClients {
		send(t, dial(t, server), emptyCall(1))
	}
	for range activeClients {
		testkit.Receive(t, events, testTimeout, "the request of an active client")
	}
	free.Store(freeBytes)
	return server, events, conns, &free
}

// checkBurst sends a request on each connection and checks that each gets a response with the given part within its
// time. Stalls of this process, which also runs the server, are added to that time.
func checkBurst(t *testing.T, conns []net.Conn, part string) {
	t.Helper()
	stalls := testkit.WatchProcessStalls(os.Getpid())
	defer stalls.Stop()
	responses, took := make([]string, len(conns)), make([]time.Duration, len(conns))
	var group sync.WaitGroup
	for i, conn := range conns {
		send(t, conn, emptyCall(2))
		sentAt := time.Now()
		group.Go(func() {
			responses[i], _ = readResponse(conn)
			took[i] = time.Since(sentAt)
		})
	}
	group.Wait()
	limit := requestTime + stalls.Total()
	for i, response := range responses {
		if !strings.Contains(response, part) || took[i] > limit {
			t.Fatalf("connection %d: response %q after %v, want one with %q within %v", i, response, took[i], part, limit)
		}
	}
}

// In a burst, requests on suspended connections must be read at the pace of the processor while memory is free, however
// many connections are active. Each used to wait for up to 20 ms, one after the other, so that most got no response
// within their time.
func TestBurstOnSuspendedConnectionsIsReadWhileMemoryIsFree(t *testing.T) {
	server, events, conns, _ := startBurst(t, ampleMemory)
	go func() {
		for range conns {
			if received, ok := (<-events).(router.RequestReceived); ok {
				respondServed(server, received.Client, received.Seq)
			}
		}
	}()
	checkBurst(t, conns, "whole")
}

// Without free memory, requests on suspended connections must be rejected within their time, and the connections be
// suspended again at once: they would otherwise hold the memory that is lacking. Once memory is free, requests on the
// same connections are served.
func TestBurstWithoutMemoryIsRejectedInTime(t *testing.T) {
	server, events, conns, free := startBurst(t, 0)
	checkBurst(t, conns, rejectionOf(2))
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
	_, events, conns, free := startBurst(t, 0)
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
	server := New(listener, config, handling(func(router.Event) {}), ignoreEvents)
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
