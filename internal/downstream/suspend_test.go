package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"tealpath/internal/clock/clocktest"
	"tealpath/internal/neterr"
	"tealpath/internal/testkit"
)

// expectEOF checks that the next read of a connection returns io.EOF. whose names the connection in the
// failure message.
func expectEOF(t *testing.T, conn net.Conn, whose string) {
	t.Helper()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("%s: read returned error %v, want EOF", whose, err)
	}
}

func TestIdleConnectionsHoldNoGoroutine(t *testing.T) {
	const count = 300
	server, _ := startServer(t, configWithIdleTimeout(1000, time.Hour))
	requireSuspension(t, server)
	before := runtime.NumGoroutine()
	conns := dialIdle(t, server, count)
	waitForSuspension(t, server)
	if goroutines := runtime.NumGoroutine(); goroutines > before+5 {
		t.Errorf("%d goroutines with %d idle connections, want about the %d before them", goroutines, count, before)
	}
	if open := server.idle.len(); open != count {
		t.Errorf("%d connections while suspended, want %d", open, count)
	}
	// All connections are resumed at the same time, and each client gets its response.
	var group sync.WaitGroup
	for _, conn := range conns {
		group.Go(func() {
			if err := requestHealth(conn); err != nil {
				t.Errorf("request on a suspended connection: %v", err)
			}
		})
	}
	group.Wait()
	waitForSuspension(t, server)
	if open := server.idle.len(); open != count {
		t.Errorf("%d connections after they were suspended again, want %d", open, count)
	}
}

func TestSuspendedConnectionsEnd(t *testing.T) {
	server, _ := startServer(t, configWithIdleTimeout(1000, time.Hour))
	requireSuspension(t, server)
	conns := dialIdle(t, server, 3)
	waitForSuspension(t, server)
	neterr.Close(conns[0])
	reset(t, conns[1])
	closeWrite(t, conns[2])
	testkit.WaitUntil(t, 2*testTimeout, "all connections are closed", func() bool { return server.idle.len() == 0 })
	expectEOF(t, conns[2], "client that closed its side")
	// A new connection in one of the freed slots is served, can be suspended, and is served again.
	reused := dial(t, server)
	checkHealth(t, reused)
	waitForSuspension(t, server)
	checkHealth(t, reused)
}

func TestIdleConnectionsExpire(t *testing.T) {
	server, _ := startServer(t, configWithIdleTimeout(1000, 1500*time.Millisecond))
	requireSuspension(t, server)
	conns := dialIdle(t, server, 200)
	kept := dial(t, server)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		checkHealth(t, kept)
	}
	testkit.WaitUntil(t, 2*testTimeout, "the idle connections are closed", func() bool {
		return server.idle.len() == 1
	})
	for _, conn := range conns {
		expectEOF(t, conn, "expired connection")
	}
	checkHealth(t, kept)
}

// After a suspended connection has received part of a request, the next byte must arrive within requestStallTimeout. If the
// idle timeout applied, clients could hold connections with incomplete requests.
func TestPartialRequestOnSuspendedConnectionTimesOut(t *testing.T) {
	server, _ := startServer(t, configWithIdleTimeout(100, time.Hour))
	requireSuspension(t, server)
	conns := dialIdle(t, server, 20)
	waitForSuspension(t, server)
	for _, conn := range conns {
		send(t, conn, []byte{0})
	}
	testkit.WaitUntil(t, 2*testTimeout, "all connections are closed", func() bool { return server.idle.len() == 0 })
}

// Setting the wall clock forward or back must neither close a connection before its idle timeout nor keep it longer.
func TestClockStepDoesNotMoveTimeouts(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			checkTimeoutAcrossClockStep(t, step, true)
		})
		t.Run(step.String()+", before the first request", func(t *testing.T) {
			t.Parallel()
			checkTimeoutAcrossClockStep(t, step, false)
		})
	}
}

func checkTimeoutAcrossClockStep(t *testing.T, step time.Duration, afterRequest bool) {
	t.Helper()
	const timeout = 2500 * time.Millisecond
	config, clock := configWithIdleTimeout(1000, timeout), clocktest.Running(0)
	config.Clock = clock
	config.Policies.Policies[0].FirstRequestTimeout = int64(timeout)
	server, _ := startServer(t, config)
	requireSuspension(t, server)
	unused, used := dial(t, server), dial(t, server)
	if afterRequest {
		checkHealth(t, unused)
	}
	checkHealth(t, used)
	begun := time.Now()
	if afterRequest {
		waitForSuspension(t, server)
	}
	clock.Step(step)
	checkHealth(t, used)
	setReadDeadline(unused, begun.Add(timeout-time.Second))
	if _, err := unused.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %v after the connection became idle: error %v, want a timeout of the read", time.Since(begun), err)
	}
	setReadDeadline(unused, begun.Add(timeout+2*time.Second))
	expectEOF(t, unused, "idle connection")
	checkHealth(t, used)
}

// A resumed connection must be fully initialized before Flushed can access it during a shutdown. Otherwise the race
// detector reports a data race.
func TestResumeDuringShutdownHasNoRace(t *testing.T) {
	const count = 100
	server, _ := startServer(t, configWithIdleTimeout(1000, time.Hour))
	requireSuspension(t, server)
	conns := dialIdle(t, server, count)
	waitForSuspension(t, server)
	answered := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-answered:
				return
			default:
				server.Flushed()
			}
		}
	})
	for _, conn := range conns {
		checkHealth(t, conn)
	}
	close(answered)
	group.Wait()
}
