package downstream

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

const patience = 5 * time.Second

var small = Config{MaxConnections: 4, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20}

// serving is a front on loopback whose events are noted; its end is checked by the test's end.
func serving(t *testing.T, limits Config) (*Server, chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan string, 100)
	f := New(listener, limits, func(e router.Event) {
		events <- strings.TrimPrefix(fmt.Sprintf("%T", e), "router.")
	}, func(logevent.Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-over:
			if err != nil || f.memory.queuedResponses.Load() != 0 || len(f.connections) != 0 {
				t.Errorf("it ended with %v, %d bytes queued, %d clients", err, f.memory.queuedResponses.Load(), len(f.connections))
			}
		case <-time.After(patience):
			t.Error("a connection's goroutines were left behind")
		}
	})
	return f, events
}

func dial(t *testing.T, f *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return conn
}

// message is a framed message with arguments.
func message(kind byte, method string, seq uint32, args string) []byte {
	m := binary.BigEndian.AppendUint32([]byte{0x80, 1, 0, kind}, uint32(len(method)))
	m = binary.BigEndian.AppendUint32(append(m, method...), seq)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(m)+len(args))), append(m, args...)...)
}

func next(t *testing.T, events chan string) string {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(patience):
		t.Fatal("no event")
		return ""
	}
}

func TestEvents(t *testing.T) {
	call := string(message(1, "call", 5, "\x00"))
	cancel := func(seq byte) string {
		return string(message(4, "cancel", 9, "\x08\x00\x01\x00\x00\x00"+string(seq)+"\x00"))
	}
	for _, c := range []struct {
		name, in string
		want     string // up to the end of the connection, which the client brings about
	}{
		{"a request and its cancel", call + cancel(5), "RequestReceived RequestCancelled ClientDisconnected"},
		{"cancels for nothing", call + cancel(6) + cancel(5) + cancel(5), "RequestReceived RequestCancelled ClientDisconnected"},
		{"the client leaves with a request open", call, "RequestReceived ClientDisconnected"},
		{"a request cut short", call[:len(call)-1], "ClientDisconnected"},
		{"health is none of the reducer's", string(message(1, "health", 5, "\x00")), "ClientDisconnected"},
		{"answers and unknown one-way calls", string(message(2, "call", 5, "\x00")) + string(message(4, "odd", 5, "\x00")), "ClientDisconnected"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, events := serving(t, small)
			conn := dial(t, f)
			io.WriteString(conn, c.in)
			time.Sleep(30 * time.Millisecond)
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			got := ""
			for e := ""; e != "ClientDisconnected"; got += " " + e {
				e = next(t, events)
			}
			if got[1:] != c.want {
				t.Errorf("events%s, want %s", got, c.want)
			}
		})
	}
}

// A client that has closed its own side only, in whatever state, still gets what it asked for.
func TestHalfClose(t *testing.T) {
	call := message(1, "call", 5, "\x00")
	for _, c := range []struct{ name, more string }{{"at the end of a request", ""}, {"inside the next", string(call[:9])},
		{"behind what cannot be understood", strings.Repeat("\xff", 200<<10)}} {
		t.Run(c.name, func(t *testing.T) {
			f, events := serving(t, small)
			conn := dial(t, f)
			io.WriteString(conn, string(call)+c.more)
			conn.(*net.TCPConn).CloseWrite()
			for _, want := range []string{"RequestReceived", "ClientHalfClosed"} {
				if e := next(t, events); e != want {
					t.Errorf("%s, want %s", e, want)
				}
			}
			f.Respond(router.Respond{Client: 1, Seq: 5, Body: []byte("whole")})
			got, err := io.ReadAll(conn)
			if err != nil || !strings.Contains(string(got), "whole") {
				t.Errorf("%q, %v", got, err)
			}
			if e := next(t, events); e != "ClientDisconnected" {
				t.Errorf("%s, want ClientDisconnected", e)
			}
		})
	}
}

// Large answers to clients that do not read: memory stays bounded, what does not fit fails openly, others go on.
func TestSlowReader(t *testing.T) {
	const size, limit, calls = 200 << 10, 8 << 20, 200
	f, events := serving(t, Config{MaxConnections: 4, MaxRequestsPerConnection: calls, MaxBytes: limit})
	slow, quick := dial(t, f), dial(t, f)
	for seq := range uint32(calls) {
		slow.Write(message(1, "call", seq, "\x00"))
		next(t, events)
	}
	for seq := range int32(calls) {
		f.Respond(router.Respond{Client: 1, Seq: seq, Body: make([]byte, size)})
	}
	if got := f.memory.queuedResponses.Load(); got > limit+calls*100 {
		t.Errorf("%d bytes queued, limit %d", got, limit)
	}
	quick.Write(message(1, "health", 1, "\x00"))
	if _, err := io.ReadFull(quick, make([]byte, 20)); err != nil {
		t.Errorf("another client: %v", err)
	}
	whole, failed := 0, 0
	for range calls {
		var head [4]byte
		if _, err := io.ReadFull(slow, head[:]); err != nil {
			t.Fatal(err)
		}
		n := binary.BigEndian.Uint32(head[:])
		if io.CopyN(io.Discard, slow, int64(n)); n > size {
			whole++
		} else {
			failed++
		}
	}
	if whole == 0 || failed == 0 {
		t.Errorf("%d answers whole, %d failed", whole, failed)
	}
}

// A client that asks without end and reads nothing would take all memory with small answers.
func TestEndlessAsker(t *testing.T) {
	f, events := serving(t, small)
	conn := dial(t, f)
	ask := bytes.Repeat(message(1, "odd", 1, "\x00"), 1000)
	for range 1000 {
		if _, err := conn.Write(ask); err != nil {
			break
		}
	}
	if e := next(t, events); e != "ClientDisconnected" {
		t.Error(e)
	}
}

// A router that ends must not leave a request behind that has come in part already.
func TestFlushed(t *testing.T) {
	f, events := serving(t, small)
	conn, call := dial(t, f), message(1, "call", 5, "\x00")
	conn.Write(call[:9])
	time.Sleep(50 * time.Millisecond)
	if f.Flushed() {
		t.Error("flushed with half a request")
	}
	conn.Write(call[9:])
	next(t, events)
	f.Respond(router.Respond{Client: 1, Seq: 5})
	for end := time.Now().Add(patience); !f.Flushed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not flushed with all answered")
		}
	}
}

// What no usual client sends is answered or closed on soon, readably, and whatever else came on that connection
// is not served. The usual client beside it keeps its idle connection.
func TestBadClients(t *testing.T) {
	call := func(seq uint32) string { return string(message(1, "call", seq, "\x00")) }
	cancel := string(message(4, "cancel", 9, "\x08\x00\x01\x00\x00\x00\x05\x00"))
	flood := ""
	for seq := range uint32(300) {
		flood += call(seq)
	}
	for _, c := range []struct {
		name, in string
		events   int // that come before that of the end
		says     string
	}{
		{"silence", "", 0, ""},
		{"half a request", call(5)[:20], 0, ""},
		{"a frame that claims more than comes", "\x00\x03\x00\x00" + call(5)[4:], 0, ""},
		{"not the protocol", "GET / HTTP/1.1\r\n\r\n", 0, ""},
		{"a message without end", "\x7f\xff\xff\xff" + strings.Repeat("x", 60<<20), 0, ""},
		{"all withdrawn", strings.Repeat(call(5)+cancel, 40), 80, ""},
		{"two under one number", call(5) + call(5), 1, "sequence number in use"},
		{"hundreds at once", flood, 32, "\x0c\x00\x01"},
		{"an unknown method again and again", strings.Repeat(string(message(1, "odd", 5, "\x00")), 1000), 0, "unknown method"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, events := serving(t, small)
			usual := dial(t, f)
			usual.Write(message(1, "health", 1, "\x00"))
			conn, begun := dial(t, f), time.Now()
			go func() {
				io.WriteString(conn, c.in)
			}()
			got, err := io.ReadAll(conn)
			if took := time.Since(begun); err != nil || took > 2500*time.Millisecond || !strings.Contains(string(got), c.says) {
				t.Errorf("%v after %v: %.200q", err, took, got)
			}
			for range c.events {
				next(t, events)
			}
			if e := next(t, events); e != "ClientDisconnected" {
				t.Errorf("%s where it should have left", e)
			}
			f.Respond(router.Respond{Client: 2, Seq: 5, Body: []byte("late")}) // nobody is there any more
			usual.Write(message(1, "health", 2, "\x00"))
			if _, err := io.ReadFull(usual, make([]byte, 2*47)); err != nil {
				t.Errorf("the usual client: %v", err)
			}
		})
	}
}

// Clients that connect by the hundred and say nothing, or have nothing to ask for now, make room for those that ask.
func TestRoomForThoseThatAsk(t *testing.T) {
	f, events := serving(t, small)
	asking := dial(t, f)
	asking.Write(message(1, "call", 5, "\x00"))
	next(t, events)
	for range 20 {
		dial(t, f)
	}
	usual := dial(t, f)
	usual.Write(message(1, "health", 1, "\x00"))
	if _, err := io.ReadFull(usual, make([]byte, 20)); err != nil {
		t.Errorf("one who asks: %v", err)
	}
	f.Respond(router.Respond{Client: 1, Seq: 5, Body: []byte("whole")})
	if _, err := io.ReadFull(asking, make([]byte, 20)); err != nil {
		t.Errorf("one who has asked: %v", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.connections) > small.MaxConnections {
		t.Errorf("%d connections", len(f.connections))
	}
}

// Who has just come and asked is no reason to keep the next one waiting: at the bound each cost 10 ms.
func TestManyThatAskOnceAndStay(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	f := New(listener, Config{MaxConnections: 50, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20}, func(router.Event) {}, func(logevent.Event) { lines++ })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Serve(ctx)
	begun, conns := time.Now(), []net.Conn{}
	for range 1500 {
		conn := dial(t, f)
		conn.Write(message(1, "health", 1, "\x00"))
		if conns = append(conns, conn); len(conns) > 40 {
			if _, err := io.ReadFull(conns[len(conns)-40], make([]byte, 47)); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if took := time.Since(begun); took > 3*time.Second || lines != 1 {
		t.Errorf("it took %v and %d lines of the log", took, lines)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	f, events := serving(t, Config{MaxConnections: 2, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20})
	for range 2 {
		dial(t, f).Write(message(1, "call", 5, "\x00"))
		next(t, events)
	}
	third := dial(t, f)
	third.Write(message(1, "call", 5, "\x00"))
	select {
	case e := <-events:
		t.Errorf("%s, while both others ask", e)
	case <-time.After(100 * time.Millisecond):
	}
	f.Respond(router.Respond{Client: 1, Seq: 5})
	if e := next(t, events); e != "ClientDisconnected" && e != "RequestReceived" {
		t.Error(e)
	}
	if e := next(t, events); e != "ClientDisconnected" && e != "RequestReceived" {
		t.Error(e)
	}
	f.Respond(router.Respond{Client: 3, Seq: 5, Body: []byte("whole")})
	if _, err := io.ReadFull(third, make([]byte, 20)); err != nil {
		t.Errorf("the third one, which has waited: %v", err)
	}
}
