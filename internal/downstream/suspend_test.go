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

// expectEOF checks that the next read of a connection gives its end.
func expectEOF(t *testing.T, conn net.Conn, whose string) {
	t.Helper()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("%s reads %v", whose, err)
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
		t.Errorf("%d goroutines, %d before %d idle connections", goroutines, before, count)
	}
	if open := server.idle.len(); open != count {
		t.Errorf("%d connections", open)
	}
	// All are resumed at the same moment; each gets its response.
	var group sync.WaitGroup
	for _, conn := range conns {
		group.Go(func() {
			if err := requestHealth(conn); err != nil {
				t.Errorf("not answered after it was suspended: %v", err)
			}
		})
	}
	group.Wait()
	waitForSuspension(t, server)
	if open := server.idle.len(); open != count {
		t.Errorf("%d connections after they were suspended again", open)
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
	testkit.WaitUntil(t, 2*testTimeout, "all are closed", func() bool { return server.idle.len() == 0 })
	expectEOF(t, conns[2], "a client that closed its side")
	// Slots are used again, and nothing of before shows on them.
	again := dial(t, server)
	checkHealth(t, again)
	waitForSuspension(t, server)
	checkHealth(t, again)
}

func TestIdleConnectionsExpire(t *testing.T) {
	server, _ := startServer(t, configWithIdleTimeout(1000, 1500*time.Millisecond))
	requireSuspension(t, server)
	conns := dialIdle(t, server, 200)
	kept := dial(t, server)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		checkHealth(t, kept)
	}
	testkit.WaitUntil(t, 2*testTimeout, "the idle ones are closed", func() bool { return server.idle.len() == 1 })
	for _, conn := range conns {
		expectEOF(t, conn, "an expired connection")
	}
	checkHealth(t, kept)
}

// A suspended connection on which a part of a request comes has the time of a request for the rest, not its
// idle timeout.
func TestPartialRequestOnSuspendedConnectionTimesOut(t *testing.T) {
	server, _ := startServer(t, configWithIdleTimeout(100, time.Hour))
	requireSuspension(t, server)
	conns := dialIdle(t, server, 20)
	waitForSuspension(t, server)
	for _, conn := range conns {
		send(t, conn, []byte{0})
	}
	testkit.WaitUntil(t, 2*testTimeout, "each is closed", func() bool { return server.idle.len() == 0 })
}

// A connection is kept idle for its timeout, whichever way the wall clock is set meanwhile.
func TestClockStepDoesNotMoveTimeouts(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			checkTimeoutAcrossClockStep(t, step, true)
		})
		t.Run(step.String()+", without a request yet", func(t *testing.T) {
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
		t.Fatalf("%v after its last response: %v", time.Since(begun), err)
	}
	setReadDeadline(unused, begun.Add(timeout+2*time.Second))
	expectEOF(t, unused, "the one that is idle")
	checkHealth(t, used)
}

// A connection that is resumed is complete when the shutdown can see it first. The race detector reports it
// otherwise.
func TestResumeWhileShutdownLooks(t *testing.T) {
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
