package downstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gaissmai/bart"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

// The closes of a client's connection, one by one, as docs/endings.md lists them: what was owed is answered first.

// A request for which there is no memory is refused, and what else is open on its connection is answered.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	f, events := serving(t, Config{MaxConnections: 4, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20})
	if !f.memory.requests.TryAcquire(1 << 20) {
		t.Fatal("the memory is in use already")
	}
	conn := dial(t, f)
	conn.Write(message(1, "call", 5, "\x00"))
	next(t, events)
	large := message(1, "call", 6, strings.Repeat("\x00", 100<<10))
	conn.Write(slices.Concat(large, message(1, "call", 7, "\x00")))
	if got, err := answerOn(conn); err != nil || !strings.Contains(got, "call\x00\x00\x00\x06"+refusedField) {
		t.Fatalf("%q, %v", got, err)
	}
	if e := next(t, events); e != "RequestReceived" {
		t.Errorf("%s instead of what came behind it", e)
	}
	for _, seq := range []int32{5, 7} {
		f.Respond(router.Respond{Client: 1, Seq: seq, Body: []byte("whole")})
		if got, err := answerOn(conn); err != nil || !strings.Contains(got, "whole") {
			t.Errorf("%q, %v", got, err)
		}
	}
	f.memory.requests.Release(1 << 20)
}

// Beyond a bound of the operator's what is asked is refused, and the connection ends without a reset.
func TestBeyondABoundRequestsAreRefused(t *testing.T) {
	by := &bart.Table[uint16]{}
	by.Insert(netip.MustParsePrefix("127.0.0.0/8"), 1)
	limits := keeping(100, time.Hour)
	limits.Policies = &NetworkPolicies{ByAddress: by, Policies: []idle.Policy{{FirstRequestTimeout: MaxIdleBeforeFirstRequest, IdleTimeout: int64(time.Hour)},
		{FirstRequestTimeout: MaxIdleBeforeFirstRequest, IdleTimeout: int64(time.Hour), MaxPerClient: 1}}}
	f, events := serving(t, limits)
	kept := dial(t, f)
	health(t, kept)
	for range 3 {
		conn := dial(t, f)
		conn.Write(slices.Concat(message(1, "call", 5, "\x00"), message(1, "call", 6, strings.Repeat("\x00", 100<<10))))
		for _, seq := range []string{"\x05", "\x06"} {
			if got, err := answerOn(conn); err != nil || !strings.Contains(got, "call\x00\x00\x00"+seq+refusedField) {
				t.Fatalf("%q, %v", got, err)
			}
		}
		if n := f.OpenConnections(); n < 3 { // the listener, the kept one, and this
			t.Errorf("%d are open while one is being refused", n)
		}
		endsGently(t, conn)
	}
	health(t, kept)
	for range 40 { // a flood of them holds no more than a part of the bound
		dial(t, f)
	}
	until(t, "all have been seen to", func() bool { return f.rejecting.Load() == 0 && !f.hasBacklog() })
	if f.idle.len() != 1 || len(events) > 0 {
		t.Errorf("%d connections, %d events", f.idle.len(), len(events))
	}
}

// As the process ends whoever waits for room or for a turn is let go: all that was taken has been answered by then.
func TestWaitingAsTheProcessEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan router.Event, 10)
	f := New(listener, Config{MaxConnections: 1, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20}, func(e router.Event) { events <- e }, func(logevent.Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- f.Serve(ctx) }()
	conn := dial(t, f)
	conn.Write(message(1, "call", 5, "\x00"))
	<-events
	waits := dial(t, f)
	time.Sleep(50 * time.Millisecond)
	if f.CloseIdle(); f.OpenConnections() < 2 {
		t.Error("nothing is open, while one is open and one waits")
	}
	f.Respond(router.Respond{Client: 1, Seq: 5, Body: []byte("whole")})
	if got, err := answerOn(conn); err != nil || !strings.Contains(got, "whole") {
		t.Errorf("%q, %v", got, err)
	}
	cancel()
	if err := <-over; err != nil {
		t.Error(err)
	}
	waits.SetDeadline(time.Now().Add(patience))
	if _, err := waits.Read(make([]byte, 1)); err == nil || errors.Is(err, syscall.EAGAIN) {
		t.Errorf("the one that waited reads %v", err)
	}
}

// One that has had its last answer and lingers makes room at once; the answer has been read.
func TestLingeringMakesRoom(t *testing.T) {
	f, _ := serving(t, keeping(10, time.Hour))
	conn := dial(t, f)
	conn.Write(message(1, "odd", 5, "\x00")) // an unknown method: told so, and ended
	if got, err := answerOn(conn); err != nil || !strings.Contains(got, "unknown method") {
		t.Fatalf("%q, %v", got, err)
	}
	until(t, "it lingers", func() bool { return f.Counts().Closing == 1 })
	if !f.evict(0) {
		t.Error("it stays")
	}
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("its end: %q, %v", rest, err)
	}
	until(t, "its place comes back", func() bool { return f.idle.len() == 0 })
}

// A write that shows that its client has gone ends that connection, and nobody else's.
func TestWriteToOneThatHasGone(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		var broken atomic.Bool
		broken.Store(true)
		f, events := fronting(t, keeping(10, time.Hour), never, never, func() error {
			if broken.Swap(false) {
				return errno
			}
			return nil
		})
		gone := dial(t, f)
		gone.Write(message(1, "call", 5, "\x00"))
		stays := dial(t, f)
		q := (<-events).(router.RequestReceived)
		f.Respond(router.Respond{Client: q.Client, Seq: 5, Body: []byte("whole")})
		if e, ok := (<-events).(router.ClientDisconnected); !ok || e.Client != q.Client {
			t.Errorf("%v: %+v", errno, e)
		}
		health(t, stays)
		until(t, "its place comes back", func() bool { return f.idle.len() == 1 })
	}
}

// A client that asked and rests, with others at their bounds, in trouble for descriptors, and its router's end: in whatever order,
// it has its answer before anything of it is closed.
func TestNoOthersTroubleFreesOfAnAnswer(t *testing.T) {
	var exhausted atomic.Bool
	exhausted.Store(true)
	limits := keeping(4, time.Hour)
	limits.SystemCalls = failingCalls("poller", syscall.EMFILE, exhausted.Load)
	f, _ := serving(t, limits)
	var conns []net.Conn
	for range 4 {
		conns = append(conns, rests(t, f, false))
	}
	until(t, "all rest", func() bool { return f.activeConnections() == 0 })
	for _, c := range conns {
		c.Write(message(1, "health", 1, "\x00"))
	}
	until(t, "none can be resumed", func() bool { return f.idle.hasPostponed() })
	until(t, "the set has told all it has", func() bool { return !f.idle.poller.HasEvents() })
	if f.Flushed() {
		t.Error("flushed with requests unread")
	}
	dial(t, f) // one that wants room
	for id := range 4 {
		if f.evict(idle.ID(id)) {
			t.Error("evicted with its request unread")
		}
	}
	f.CloseIdle()
	if f.Flushed() || f.OpenConnections() < 4 {
		t.Error("ended with requests unread")
	}
	exhausted.Store(false)
	for _, c := range conns {
		if got, err := answerOn(c); err != nil || !strings.Contains(got, "health") {
			t.Errorf("%q, %v", got, err)
		}
	}
	until(t, "all is flushed", f.Flushed)
}

// What can't be told of a resting connection neither evicts nor shuts it.
func TestUnknownContentIsNoReasonToClose(t *testing.T) {
	var unknown atomic.Bool
	limits := keeping(4, time.Hour)
	calls := *poller.Kernel
	calls.Receive = func(fd int, p []byte, flags int) (int, error) {
		if unknown.Load() {
			return -1, syscall.ENOMEM
		}
		return poller.Kernel.Receive(fd, p, flags)
	}
	limits.SystemCalls = &calls
	f, _ := serving(t, limits)
	conn := rests(t, f, true)
	unknown.Store(true)
	if f.evict(0) {
		t.Error("evicted")
	}
	unknown.Store(false)
	health(t, conn)
}

// A client at rest that asks and closes its side, and waits to be read: its request is not sent on, and refused, as it may still read.
func TestHalfClosedAtRestIsRefused(t *testing.T) {
	var exhausted atomic.Bool
	limits := keeping(4, time.Hour)
	limits.SystemCalls = failingCalls("poller", syscall.EMFILE, exhausted.Load)
	f, events := serving(t, limits)
	conn, gone := rests(t, f, true), rests(t, f, true)
	exhausted.Store(true)
	for _, c := range []net.Conn{conn, gone} {
		c.Write(message(1, "call", 7, "\x00"))
		c.(*net.TCPConn).CloseWrite()
	}
	gone.Close()
	until(t, "they can't be resumed", f.idle.hasPostponed)
	time.Sleep(100 * time.Millisecond) // longer than a client that has closed is waited with
	exhausted.Store(false)
	if got, err := answerOn(conn); err != nil || !strings.Contains(got, "call\x00\x00\x00\x07"+refusedField) {
		t.Errorf("%q, %v", got, err)
	}
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("its end: %q, %v", rest, err)
	}
	until(t, "their places come back", func() bool { return f.idle.len() == 0 && f.rejecting.Load() == 0 })
	if len(events) > 0 {
		t.Errorf("%s: sent on", <-events)
	}
}
