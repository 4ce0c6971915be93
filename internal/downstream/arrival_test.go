package downstream

import (
	"fmt"
	"net"
	"testing"
	"time"

	"tealpath/internal/router"
)

// early and late are how far the stated arrival of a request may be from its sending: the kernel counts in
// steps of some ms, and the core is shared.
const (
	early = 30 * time.Millisecond
	late  = 100 * time.Millisecond // less than the slack of 0.15 s that the deadline passed on has
)

// recordArrivals runs a server on a listener, and returns it with the requests that it posts. meanwhile is
// called with each.
func recordArrivals(
	t *testing.T, listener net.Listener, config Config, meanwhile func(router.RequestReceived),
) (*Server, chan router.RequestReceived) {
	t.Helper()
	requests := make(chan router.RequestReceived, 1000)
	server := New(listener, config, func(e router.Event) {
		if r, ok := e.(router.RequestReceived); ok {
			requests <- r
			meanwhile(r)
		}
	}, ignoreEvents)
	run(t, server)
	return server, requests
}

func doNothing(router.RequestReceived) {}

// expectArrival checks that the next request arrived when it was sent, or up to early before.
func expectArrival(
	t *testing.T, server *Server, requests chan router.RequestReceived, sent time.Time, early time.Duration,
) {
	t.Helper()
	select {
	case r := <-requests:
		server.Respond(router.Respond{Client: r.Client, Seq: r.Seq})
		if after := arrivedAfter(server, r, sent); after < -early || after > late {
			t.Errorf("request %d arrived %v after it was sent", r.Seq, after)
		}
	case <-time.After(testTimeout):
		t.Fatal("no request")
	}
}

// arrivedAfter returns how long after a time a request arrived, as the server has it.
func arrivedAfter(server *Server, r router.RequestReceived, sent time.Time) time.Duration {
	return time.Duration(r.ArrivedAt - (server.now() - int64(time.Since(sent))))
}

// unreadFor is how long requests wait to be read.
const unreadFor = 400 * time.Millisecond

// A request arrives when its first byte does, however long it waits to be read; and no earlier.
func TestArrivalTime(t *testing.T) {
	t.Run("in the backlog", func(t *testing.T) {
		listener := gatedListener{listen(t), make(chan struct{})}
		server, requests := recordArrivals(t, listener, smallConfig, doNothing)
		one, two := dial(t, server), dial(t, server)
		sent := time.Now()
		send(t, one, call(1, 10))
		send(t, two, call(2, 10))
		time.Sleep(unreadFor)
		send(t, two, call(3, 10)) // a second segment: the kernel does not tell when the first one came
		close(listener.released)
		for range 3 {
			expectArrival(t, server, requests, sent, early)
		}
	})
	t.Run("waiting for the pace of accepts", func(t *testing.T) {
		server, requests := recordArrivals(t, listen(t), slowAccepts, doNothing)
		for range 60 {
			send(t, dial(t, server), healthCall(1))
		}
		conn, sent := dial(t, server), time.Now()
		send(t, conn, call(1, 10))
		expectArrival(t, server, requests, sent, early)
		if took := time.Since(sent); took < 150*time.Millisecond {
			t.Errorf("it waited for %v only", took)
		}
	})
	t.Run("as its reader waits for the router", func(t *testing.T) {
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

// The arrival of a request that comes in parts is that of its first one.
func TestArrivalTimeOfParts(t *testing.T) {
	both := append(call(1, 10), call(2, 10)...)
	for _, test := range []struct {
		name     string
		data     []byte
		split    int
		requests int
	}{
		{"in two parts", call(1, 10), 7, 1},
		{"its first part with the one before", both, len(both) - 5, 2},
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

// Requests after a quiet time have not waited.
func TestArrivalTimeAfterQuietTime(t *testing.T) {
	for _, test := range []struct {
		size         int
		early, quiet time.Duration
	}{
		{10, early, unreadFor},
		{5000, early, unreadFor},
		// Several segments: it counts from before the process last stood still, and on a busy core it does
		// for a moment.
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

// Hundreds of suspended connections get a request at once: those that are resumed last have waited since
// then, also beyond what the poller tells at a time.
func TestArrivalTimeOnSuspendedConnections(t *testing.T) {
	const clients = 300
	config := configWithIdleTimeout(1000, time.Hour)
	config.MaxBytes, config.Cores = 64<<20, 0.2 // 400 are resumed a second
	server, requests := recordArrivals(t, listen(t), config, doNothing)
	conns := dialIdle(t, server, clients)
	waitForSuspension(t, server)
	sent := time.Now()
	for n, conn := range conns {
		send(t, conn, call(uint32(n), 10))
		if n%2 == 0 { // two segments: the kernel does not tell when the first one came
			send(t, conn, healthCall(2))
		}
	}
	sending := time.Since(sent)
	worst, earliest := time.Duration(0), time.Duration(0)
	for range clients {
		select {
		case r := <-requests:
			server.Respond(router.Respond{Client: r.Client, Seq: r.Seq})
			after := arrivedAfter(server, r, sent)
			worst, earliest = max(worst, after), min(earliest, after)
		case <-time.After(testTimeout):
			t.Fatal("no request")
		}
	}
	if took := time.Since(sent); took < 500*time.Millisecond {
		t.Errorf("all were resumed within %v", took)
	}
	if worst > sending+late || earliest < -early {
		t.Errorf("requests that were sent within %v arrived between %v and %v", sending, earliest, worst)
	}
}

// A process that stands still sees what came meanwhile when it goes on.
func TestHeartbeat(t *testing.T) {
	const ms = int64(time.Millisecond)
	for _, test := range []struct {
		name      string
		beats     []int64 // ms
		now, want int64
	}{
		{"never beaten", nil, 1000, 1000},
		{"as usual", []int64{900, 1000}, 1050, 1050},
		{"still since the last beat", []int64{900, 1000}, 3000, 1000},
		{"and beaten again before it is seen", []int64{900, 1000, 3000}, 3001, 1000},
		{"long after that", []int64{900, 1000, 3000, 3100, 3200}, 3250, 3250},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h heartbeat
			for _, at := range test.beats {
				h.record(at * ms)
			}
			if got := h.earliestArrival(test.now*ms) / ms; got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}
