package downstream

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"tealpath/internal/downstream/poller"
	"tealpath/internal/router"
)

// A request's reported arrival time may be up to early before, and up to late after, the time at which the test
// sent it. The kernel's times have steps of a few ms, and the test shares its core with other processes.
const (
	early = 30 * time.Millisecond

	// late is below 150 ms, the difference that the platform tolerates between the deadline that the router passes on
	// and the time that the client really has left.
	late = 100 * time.Millisecond
)

// recordArrivals runs a server on a listener. It returns the server and a channel with the requests that the server
// posts. onRequest is called for each of them.
func recordArrivals(
	t *testing.T, listener net.Listener, config Config, onRequest func(router.RequestReceived),
) (*Server, chan router.RequestReceived) {
	t.Helper()
	requests := make(chan router.RequestReceived, 1000)
	server := New(listener, config, handling(func(e router.Event) {
		if r, ok := e.(router.RequestReceived); ok {
			requests <- r
			onRequest(r)
		}
	}), ignoreEvents)
	run(t, server)
	return server, requests
}

func doNothing(router.RequestReceived) {}

// expectArrival checks that the reported arrival time of the next request is at most early before and at most
// late after it was sent.
func expectArrival(
	t *testing.T, server *Server, requests chan router.RequestReceived, sent time.Time, early time.Duration,
) {
	t.Helper()
	select {
	case r := <-requests:
		server.Respond(router.Respond{Client: r.Client, Seq: r.Seq})
		if after := arrivedAfter(server, r, sent); after < -early || after > late {
			t.Errorf("request %d: arrival time %v after it was sent, want between %v and %v", r.Seq, after, -early, late)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the server posted no request within %v", testTimeout)
	}
}

// arrivedAfter returns the time from sent to the arrival time that the server reported for a request.
func arrivedAfter(server *Server, r router.RequestReceived, sent time.Time) time.Duration {
	return time.Duration(r.ArrivedAt - (server.now() - int64(time.Since(sent))))
}

// unreadFor is how long the tests keep a request unread after its client has sent it.
const unreadFor = 400 * time.Millisecond

// However long a request waits to be read, its reported arrival time is that of its first byte. A later time would
// give the request a later deadline than its client has.
func TestArrivalTime(t *testing.T) {
	t.Run("in the backlog", func(t *testing.T) {
		listener := gatedListener{listen(t), make(chan struct{})}
		server, requests := recordArrivals(t, listener, smallConfig, doNothing)
		one, two := dial(t, server), dial(t, server)
		sent := time.Now()
		send(t, one, call(1, 10))
		send(t, two, call(2, 10))
		time.Sleep(unreadFor)
		send(t, two, call(3, 10)) // a second segment, so that the kernel does not report the time of the first one
		close(listener.released)
		for range 3 {
			expectArrival(t, server, requests, sent, early)
		}
	})
	t.Run("waiting for the accept pacer", func(t *testing.T) {
		server, requests := recordArrivals(t, listen(t), slowAcceptConfig, doNothing)
		for range 60 {
			send(t, dial(t, server), healthCall(1))
		}
		conn, sent := dial(t, server), time.Now()
		send(t, conn, call(1, 10))
		expectArrival(t, server, requests, sent, early)
		if took := time.Since(sent); took < 150*time.Millisecond {
			t.Errorf("precondition: the request waited %v for the accept pacer, want at least 150ms", took)
		}
	})
	t.Run("while its reader waits for the router", func(t *testing.T) {
		server, requests := recordArrivals(t, listen(t), smallConfig, func(r router.RequestReceived) {
			if r.Seq == 1 {
				time.Sleep(2 * unreadFor)
			}
		})
		conn, first := dial(t, server), time.Now()
		send(t, conn, call(1, 10))
		time.Sleep(unreadFor)
		second := time.Now()
		send(t, conn, call(2, 10))
		expectArrival(t, server, requests, first, early)
		expectArrival(t, server, requests, second, early)
	})
}

// A request received in parts must get the arrival time of its first part, even if that part arrived together with the
// previous request.
func TestArrivalTimeOfParts(t *testing.T) {
	both := append(call(1, 10), call(2, 10)...)
	for _, test := range []struct {
		name     string
		data     []byte
		split    int
		requests int
	}{
		{"in two parts", call(1, 10), 7, 1},
		{"first part together with the previous request", both, len(both) - 5, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, requests := recordArrivals(t, listen(t), smallConfig, doNothing)
			conn, sent := dial(t, server), time.Now()
			send(t, conn, test.data[:test.split])
			time.Sleep(unreadFor)
			send(t, conn, test.data[test.split:])
			for range test.requests {
				expectArrival(t, server, requests, sent, early)
			}
		})
	}
}

// A request that arrives on a connection without unread data must not be reported as having waited since the last
// request. It would get an earlier deadline than its client has.
func TestArrivalTimeAfterQuietTime(t *testing.T) {
	for _, test := range []struct {
		size         int
		early, quiet time.Duration
	}{
		{10, early, unreadFor},
		{5000, early, unreadFor},
		// The request takes several segments, so the server cannot use the kernel's time of a single segment. If
		// the process was paused, the server reports the time of the last heartbeat before the pause. A busy core
		// causes short pauses, so the reported time may be earlier by up to unreadFor.
		{200_000, unreadFor, 2 * unreadFor},
	} {
		t.Run(fmt.Sprint(test.size, " bytes"), func(t *testing.T) {
			config := smallConfig
			config.MaxBytes = 8 << 20
			server, requests := recordArrivals(t, listen(t), config, doNothing)
			conn := dial(t, server)
			for seq := range uint32(3) {
				time.Sleep(test.quiet)
				sent := time.Now()
				send(t, conn, append(call(2*seq, test.size), call(2*seq+1, test.size)...))
				for range 2 {
					expectArrival(t, server, requests, sent, test.early)
				}
			}
		})
	}
}

// Hundreds of suspended connections receive a request at the same time. The arrival times of those that are
// resumed last are correct too, even of those that the poller does not report in its first batch.
func TestArrivalTimeOnSuspendedConnections(t *testing.T) {
	checkArrivalOnSuspendedConnections(t, poller.Kernel)
}

func checkArrivalOnSuspendedConnections(t *testing.T, calls *poller.SystemCalls) {
	t.Helper()
	const clients = 300
	config := configWithIdleTimeout(1000, time.Hour)
	config.SystemCalls = calls
	var free atomic.Int64
	free.Store(ampleMemory)
	config.MaxBytes, config.MaxResumeWait, config.FreeMemory = 1<<20, testTimeout, free.Load
	server, requests := recordArrivals(t, listen(t), config, doNothing)
	conns := dialIdle(t, server, clients)
	waitForSuspension(t, server)
	// Without free memory, only 64 connections are resumed, and the others wait until there is some.
	free.Store(0)
	time.AfterFunc(800*time.Millisecond, func() { free.Store(ampleMemory) })
	sent := time.Now()
	for n, conn := range conns {
		send(t, conn, call(uint32(n), 10))
		if n%2 == 0 { // a second segment, so that the kernel does not report the time of the first one
			send(t, conn, healthCall(2))
		}
	}
	sending := time.Since(sent)
	latest, earliest := time.Duration(0), time.Duration(0)
	for range clients {
		select {
		case r := <-requests:
			server.Respond(router.Respond{Client: r.Client, Seq: r.Seq})
			after := arrivedAfter(server, r, sent)
			latest, earliest = max(latest, after), min(earliest, after)
		case <-time.After(testTimeout):
			t.Fatalf("the server posted no request within %v", testTimeout)
		}
	}
	if took := time.Since(sent); took < 500*time.Millisecond {
		t.Errorf("precondition: all connections were resumed within %v, want at least 500ms", took)
	}
	if latest > sending+late || earliest < -early {
		t.Errorf("requests sent within %v: arrival times from %v to %v after the first was sent, want from %v to %v",
			sending, earliest, latest, -early, sending+late)
	}
}

// After a pause of the process, data may have arrived at any time since the last heartbeat before the pause.
func TestHeartbeat(t *testing.T) {
	const ms = int64(time.Millisecond)
	for _, test := range []struct {
		name      string
		beats     []int64 // times of the heartbeats, ms
		now, want int64
	}{
		{"no heartbeat yet", nil, 1000, 1000},
		{"no pause", []int64{900, 1000}, 1050, 1050},
		{"pause since the last heartbeat", []int64{900, 1000}, 3000, 1000},
		{"heartbeat just after a pause", []int64{900, 1000, 3000}, 3001, 1000},
		{"long after a pause", []int64{900, 1000, 3000, 3100, 3200}, 3250, 3250},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h heartbeat
			for _, at := range test.beats {
				h.record(at * ms)
			}
			if got := h.earliestArrival(test.now*ms) / ms; got != test.want {
				t.Errorf("earliestArrival(%d ms) = %d ms, want %d ms", test.now, got, test.want)
			}
		})
	}
}
