package downstream

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

// held is a listener whose connections stay in the system's backlog until they are let in.
type held struct {
	*net.TCPListener
	let chan struct{}
}

func (h held) Accept() (net.Conn, error) {
	<-h.let
	return h.TCPListener.Accept()
}

// rests brings a connection to where it has been answered and rests, parked or not.
func rests(t *testing.T, f *Server, parked bool) net.Conn {
	t.Helper()
	conn := dial(t, f)
	health(t, conn)
	until(t, "its answer is written", f.Flushed)
	if parked {
		parks(t, f)
		until(t, "it is parked", func() bool { return f.activeConnections() == 0 })
	}
	return conn
}

// endsGently checks that a connection was half-closed, not closed: what is written to it in the very moment is thrown away and
// resets nothing, and the client reads its end.
func endsGently(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(patience))
	if got, err := io.ReadAll(conn); err != nil || len(got) > 0 {
		t.Errorf("its end: %q, %v", got, err)
	}
	for range 20 { // closed, the first write was answered by a reset, and the next one failed
		if _, err := conn.Write(message(1, "call", 7, "\x00")); err != nil {
			t.Fatalf("it was reset: %v", err)
		}
		time.Sleep(time.Millisecond)
	}
}

// A request on a resting connection, in the moment in which that is ended: it is not taken, and nothing is reset.
func TestRestingConnectionsEndGently(t *testing.T) {
	for _, c := range []struct {
		name   string
		parked bool
		end    func(*Server, net.Conn)
	}{
		{"the router ends", false, func(f *Server, _ net.Conn) { f.CloseIdle() }},
		{"the router ends, and it is parked", true, func(f *Server, _ net.Conn) { f.CloseIdle() }},
		{"it makes room", false, func(f *Server, _ net.Conn) { f.evict(0) }},
		{"it makes room, and is parked", true, func(f *Server, _ net.Conn) { f.evict(0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, events := serving(t, keeping(100, time.Hour))
			conn := rests(t, f, c.parked)
			c.end(f, conn)
			endsGently(t, conn)
			conn.Close()
			until(t, "its descriptor comes back", func() bool { return f.idle.len() == 0 && len(f.closingNow()) == 0 })
			for len(events) > 0 {
				if e := <-events; e != "ClientDisconnected" {
					t.Errorf("%s of what came after the end", e)
				}
			}
		})
	}
}

// Who never closes its side holds a descriptor for a moment only, however many do.
func TestClientsThatIgnoreTheEnd(t *testing.T) {
	f, _ := serving(t, keeping(16, time.Hour))
	parks(t, f)
	for range 16 {
		rests(t, f, false)
	}
	until(t, "all are parked", func() bool { return f.activeConnections() == 0 })
	for id := range f.idle.slots {
		f.evict(idle.ID(id))
		if n := len(f.closingNow()); n > 16/closingDivisor+1 {
			t.Fatalf("%d at their ends", n)
		}
	}
	until(t, "all descriptors come back", func() bool { return len(f.closingNow()) == 0 })
}

// A connection that came in the very moment in which the router ends waits in the backlog: its request is answered.
func TestBacklogIsTakenInBeforeTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := held{listener.(*net.TCPListener), make(chan struct{})}
	events := make(chan router.Event, 10)
	f := New(h, keeping(10, time.Hour), func(e router.Event) { events <- e }, func(logevent.Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- f.Serve(ctx) }()
	conn := dial(t, f)
	conn.Write(message(1, "call", 5, "\x00"))
	f.CloseIdle()
	if f.OpenConnections() == 0 || f.Flushed() {
		t.Fatal("nothing is open, while a request waits in the backlog")
	}
	close(h.let)
	if _, ok := (<-events).(router.RequestReceived); !ok {
		t.Fatal("not taken in")
	}
	f.CloseIdle()
	f.Respond(router.Respond{Client: 1, Seq: 5, Body: []byte("whole")})
	until(t, "all has ended", func() bool { f.CloseIdle(); return f.OpenConnections() == 0 })
	if got, err := io.ReadAll(conn); err != nil || !strings.Contains(string(got), "whole") {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := net.Dial("tcp", f.listener.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a later one: %v", err)
	}
	cancel()
	if err := <-over; err != nil {
		t.Error(err)
	}
}

// What is open is answered whole before its connection ends; the others end meanwhile.
func TestShutLeavesWhatIsOpen(t *testing.T) {
	f, events := serving(t, keeping(10, time.Hour))
	busy, fresh, half, resting := dial(t, f), dial(t, f), dial(t, f), rests(t, f, false)
	busy.Write(message(1, "call", 5, "\x00"))
	next(t, events)
	call := message(1, "call", 6, "\x00")
	half.Write(call[:9])
	until(t, "all are there", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.connections) == 4 })
	until(t, "half a request has come", func() bool { return !f.Flushed() })
	f.CloseIdle()
	endsGently(t, fresh)
	endsGently(t, resting)
	half.Write(call[9:])
	if e := next(t, events); e != "RequestReceived" && e != "ClientDisconnected" {
		t.Error(e)
	}
	until(t, "both are open", func() bool { return f.opens() == 2 })
	begun := time.Now()
	f.Respond(router.Respond{Client: f.clientOf(5), Seq: 5, Body: []byte("whole")})
	f.Respond(router.Respond{Client: f.clientOf(6), Seq: 6, Body: []byte("whole")})
	for _, conn := range []net.Conn{busy, half} {
		until(t, "it is flushed and shut", func() bool { f.CloseIdle(); return f.opens() == 0 && f.Flushed() && f.OpenConnections() <= 1 })
		if got, err := io.ReadAll(conn); err != nil || !strings.Contains(string(got), "whole") {
			t.Errorf("%q, %v", got, err)
		}
	}
	if took := time.Since(begun); took > 800*time.Millisecond { // a second later it would rest
		t.Errorf("its end took %v", took)
	}
}

// Read from a connection that is shut in that moment: not sent on, as its client may send it again, but refused before the client
// sees the end; with no answer it was lost.
func TestReadBeforeTheEndAndTakenAfter(t *testing.T) {
	f, events := serving(t, keeping(10, time.Hour))
	conn := rests(t, f, false)
	f.mu.Lock()
	c := f.connections[1]
	f.mu.Unlock()
	c.mu.Lock()
	c.draining = true // as whoever takes it out does, before its reader is told
	c.mu.Unlock()
	if c.addRequest(9) != requestTooLate {
		t.Error("taken")
	}
	call := func(seq uint32) []byte { return message(1, "call", seq, "\x00") }
	conn.Write(slices.Concat(call(7), call(8), message(1, "health", 9, "\x00"), call(10)[:9]))
	for _, seq := range []string{"\x00\x00\x00\x07", "\x00\x00\x00\x08"} {
		if got, err := answerOn(conn); err != nil || !strings.Contains(got, "call"+seq+refusedField) {
			t.Errorf("%q, %v", got, err)
		}
	}
	endsGently(t, conn)
	conn.Close()
	if e := next(t, events); e != "ClientDisconnected" {
		t.Error(e)
	}
}

// refusedField is the start of what refuses a call: a struct as field 1.
const refusedField = "\x0c\x00\x01"

// A client that goes while nothing is open tells nobody that something waits.
func TestHalfCloseWithNothingOpen(t *testing.T) {
	f, events := serving(t, small)
	conn := dial(t, f)
	conn.Write(message(1, "call", 5, "\x00"))
	next(t, events)
	f.Respond(router.Respond{Client: 1, Seq: 5})
	io.ReadFull(conn, make([]byte, 20))
	conn.Close()
	if e := next(t, events); e != "ClientDisconnected" {
		t.Error(e)
	}
}

func (f *Server) closingNow() []closingDescriptor {
	f.idle.mu.Lock()
	defer f.idle.mu.Unlock()
	return f.idle.closing
}

// opens is how many requests are open.
func (f *Server) opens() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.connections {
		c.mu.Lock()
		n += len(c.inFlight)
		c.mu.Unlock()
	}
	return n
}

// clientOf is who has a request open.
func (f *Server) clientOf(seq int32) router.ClientID {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, c := range f.connections {
		c.mu.Lock()
		open := c.inFlight[seq]
		c.mu.Unlock()
		if open {
			return id
		}
	}
	return 0
}

// Clients that ask and close while they wait in the backlog have gone: what they asked for is not sent on when their turn comes. Those ahead of them, sixty a second, hold the turns.
func TestGoneWhileItWaited(t *testing.T) {
	f, events := serving(t, Config{MaxConnections: 1000, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20, Cores: 0.05})
	var ahead []net.Conn
	for range 40 {
		conn := dial(t, f)
		conn.Write(message(1, "health", 1, "\x00"))
		ahead = append(ahead, conn)
	}
	for range 5 {
		gone := dial(t, f)
		gone.Write(message(1, "call", 5, "\x00"))
		gone.Close()
	}
	half := dial(t, f) // it may still read: refused, and not sent on either
	half.Write(message(1, "call", 7, "\x00"))
	half.(*net.TCPConn).CloseWrite()
	stays := dial(t, f)
	stays.Write(message(1, "call", 6, "\x00"))
	for _, conn := range ahead {
		if _, err := io.ReadFull(conn, make([]byte, 20)); err != nil {
			t.Fatal(err)
		}
	}
	if e := next(t, events); e != "RequestReceived" { // that of the one that stays, who came last
		t.Errorf("%s", e)
	}
	select {
	case e := <-events:
		t.Errorf("%s of a client that had gone while it waited", e)
	case <-time.After(300 * time.Millisecond):
	}
	if got, err := answerOn(half); err != nil || !strings.Contains(got, "call\x00\x00\x00\x07"+refusedField) {
		t.Errorf("the one that closed its side alone: %q, %v", got, err)
	}
	f.Respond(router.Respond{Client: 41, Seq: 6, Body: []byte("whole")})
	if _, err := io.ReadFull(stays, make([]byte, 20)); err != nil {
		t.Error(err)
	}
}

// answerOn reads one whole answer.
func answerOn(conn net.Conn) (string, error) {
	conn.SetReadDeadline(time.Now().Add(patience))
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return "", err
	}
	got := make([]byte, binary.BigEndian.Uint32(head[:]))
	_, err := io.ReadFull(conn, got)
	return string(got), err
}
