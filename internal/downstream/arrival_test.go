package downstream

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"testing"
	"time"

	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

// early and late are how far from the sending of a request its arrival may be stated: the system counts in steps of some ms, and
// the core is shared.
const (
	early = 30 * time.Millisecond
	late  = 100 * time.Millisecond // less than the slack of 0.15 s that the deadline passed on has
)

// arrivalsAt is a front on a listener that notes when requests arrived.
func arrivalsAt(t *testing.T, listener net.Listener, limits Config, meanwhile func(router.RequestReceived)) (*Server, chan router.RequestReceived) {
	t.Helper()
	requests := make(chan router.RequestReceived, 1000)
	f := New(listener, limits, func(e router.Event) {
		if r, ok := e.(router.RequestReceived); ok {
			requests <- r
			meanwhile(r)
		}
	}, func(logevent.Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-over; err != nil {
			t.Error(err)
		}
	})
	return f, requests
}

// loopback is a listener.
func loopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// arrives checks that the next request arrived when it was sent.
func arrives(t *testing.T, f *Server, requests chan router.RequestReceived, sent time.Time) {
	t.Helper()
	arrivesWithin(t, f, requests, sent, early)
}

// arrivesWithin checks that the next request arrived when it was sent, or so much earlier.
func arrivesWithin(t *testing.T, f *Server, requests chan router.RequestReceived, sent time.Time, early time.Duration) {
	t.Helper()
	select {
	case r := <-requests:
		f.Respond(router.Respond{Client: r.Client, Seq: r.Seq})
		after := time.Duration(r.ArrivedAt - (f.now() - int64(time.Since(sent))))
		if after < -early || after > late {
			t.Errorf("request %d arrived %v after it was sent", r.Seq, after)
		}
	case <-time.After(patience):
		t.Error("no request")
	}
}

// call is a request; a large one comes in several segments.
func call(seq uint32, size int) []byte {
	args := binary.BigEndian.AppendUint32([]byte("\x0b\x00\x02"), uint32(size))
	args = append(append(args, bytes.Repeat([]byte("x"), size)...), 0)
	return message(1, "call", seq, string(args))
}

const unreadFor = 400 * time.Millisecond

// A request arrives when its first byte does, however long it waits to be read; and no earlier.
func TestArrival(t *testing.T) {
	nothing := func(router.RequestReceived) {}
	t.Run("in the backlog", func(t *testing.T) {
		h := held{loopback(t).(*net.TCPListener), make(chan struct{})}
		f, requests := arrivalsAt(t, h, small, nothing)
		one, two := dial(t, f), dial(t, f)
		sent := time.Now()
		one.Write(call(1, 10))
		two.Write(call(2, 10))
		time.Sleep(unreadFor)
		two.Write(call(3, 10)) // a second segment: when the first one came is not told
		close(h.let)
		for range 3 {
			select {
			case r := <-requests:
				if after := time.Duration(r.ArrivedAt - (f.now() - int64(time.Since(sent)))); after < -early || after > late {
					t.Errorf("request %d arrived %v after it was sent", r.Seq, after)
				}
			case <-time.After(patience):
				t.Fatal("no request")
			}
		}
	})
	t.Run("before the pace of accepts", func(t *testing.T) {
		f, requests := arrivalsAt(t, loopback(t), Config{MaxConnections: 1000, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20, Cores: 0.05}, nothing)
		for range 60 { // 120 a second at most
			dial(t, f).Write(message(1, "health", 1, "\x00"))
		}
		conn, sent := dial(t, f), time.Now()
		conn.Write(call(1, 10))
		arrives(t, f, requests, sent)
		if took := time.Since(sent); took < 150*time.Millisecond {
			t.Errorf("it waited for %v only", took)
		}
	})
	t.Run("as its reader waits for the reducer", func(t *testing.T) {
		f, requests := arrivalsAt(t, loopback(t), small, func(r router.RequestReceived) {
			if r.Seq == 1 {
				time.Sleep(2 * unreadFor)
			}
		})
		conn, first := dial(t, f), time.Now()
		conn.Write(call(1, 10))
		time.Sleep(unreadFor)
		second := time.Now()
		conn.Write(call(2, 10))
		arrives(t, f, requests, first)
		arrives(t, f, requests, second)
	})
	t.Run("in two parts", func(t *testing.T) {
		f, requests := arrivalsAt(t, loopback(t), small, nothing)
		conn, whole, sent := dial(t, f), call(1, 10), time.Now()
		conn.Write(whole[:7])
		time.Sleep(unreadFor)
		conn.Write(whole[7:])
		arrives(t, f, requests, sent)
	})
	t.Run("behind the first part of it, with the one before", func(t *testing.T) {
		f, requests := arrivalsAt(t, loopback(t), small, nothing)
		conn, two, sent := dial(t, f), append(call(1, 10), call(2, 10)...), time.Now()
		conn.Write(two[:len(two)-5])
		time.Sleep(unreadFor)
		conn.Write(two[len(two)-5:])
		arrives(t, f, requests, sent)
		arrives(t, f, requests, sent)
	})
	for _, c := range []struct {
		size         int
		early, quiet time.Duration
	}{{10, early, unreadFor}, {5000, early, unreadFor},
		// Several segments: it counts from before the process last stood still, and on a shared core it does for a moment.
		{200_000, unreadFor, 2 * unreadFor}} {
		t.Run(fmt.Sprint("after a quiet time, ", c.size, " bytes"), func(t *testing.T) {
			f, requests := arrivalsAt(t, loopback(t), Config{MaxConnections: 4, MaxRequestsPerConnection: 32, MaxBytes: 8 << 20}, nothing)
			conn := dial(t, f)
			for seq := range uint32(3) {
				time.Sleep(c.quiet)
				sent := time.Now()
				conn.Write(append(call(2*seq, c.size), call(2*seq+1, c.size)...))
				arrivesWithin(t, f, requests, sent, c.early)
				arrivesWithin(t, f, requests, sent, c.early)
			}
		})
	}
}

// Hundreds that rest ask at once: those whose turn to be woken comes late have waited for it, also beyond what the system tells
// at a time.
func TestArrivalOfThoseThatRest(t *testing.T) {
	const clients = 300
	limits := keeping(1000, time.Hour)
	limits.MaxBytes, limits.Cores = 64<<20, 0.2 // 400 are woken a second
	f, requests := arrivalsAt(t, loopback(t), limits, func(router.RequestReceived) {})
	var conns []net.Conn
	for range clients {
		conn := dial(t, f)
		health(t, conn)
		conns = append(conns, conn)
	}
	until(t, "all rest", func() bool { return f.activeConnections() == 0 })
	sent := time.Now()
	for n, conn := range conns {
		conn.Write(call(uint32(n), 10))
		if n%2 == 0 { // two segments: when the first one came is not told
			conn.Write(message(1, "health", 2, "\x00"))
		}
	}
	sending := time.Since(sent)
	worst, earliest := time.Duration(0), time.Duration(0)
	for range clients {
		select {
		case r := <-requests:
			f.Respond(router.Respond{Client: r.Client, Seq: r.Seq})
			after := time.Duration(r.ArrivedAt - (f.now() - int64(time.Since(sent))))
			worst, earliest = max(worst, after), min(earliest, after)
		case <-time.After(patience):
			t.Fatal("no request")
		}
	}
	if took := time.Since(sent); took < 500*time.Millisecond {
		t.Errorf("all were woken within %v", took)
	}
	if worst > sending+late || earliest < -early {
		t.Errorf("requests that were sent within %v arrived between %v and %v", sending, earliest, worst)
	}
}

// A process that stands still sees what came meanwhile when it goes on.
func TestHeartbeat(t *testing.T) {
	const ms = int64(time.Millisecond)
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			var h heartbeat
			for _, at := range c.beats {
				h.beat(at * ms)
			}
			if got := h.earliestArrival(c.now*ms) / ms; got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}
