package downstream

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/logevent"
	"tealpath/internal/neterr"
	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

// testTimeout is for how long a test waits for what has to come.
const testTimeout = 5 * time.Second

var smallConfig = Config{MaxConnections: 4, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20}

// configWithIdleTimeout returns a configuration under which idle connections are kept for a span.
func configWithIdleTimeout(connections int, timeout time.Duration) Config {
	policy := idle.Policy{FirstRequestTimeout: MaxIdleBeforeFirstRequest, IdleTimeout: int64(timeout)}
	return Config{
		MaxConnections:           connections,
		MaxRequestsPerConnection: 32,
		MaxBytes:                 16 << 20,
		Cores:                    1,
		Policies:                 &NetworkPolicies{Policies: []idle.Policy{policy}},
	}
}

func ignoreEvents(logevent.Event) {}

// run serves until the test's end, or until the returned function is called, and checks that the server
// ends with nothing left behind.
func run(t *testing.T, server *Server) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- server.Serve(ctx) }()
	stopped := false
	stop = func() {
		t.Helper()
		if stopped {
			return
		}
		stopped = true
		cancel()
		select {
		case err := <-over:
			queued, connections := server.memory.queuedResponses.Load(), len(server.connections)
			if err != nil || queued != 0 || connections != 0 {
				t.Errorf("it ended with %v, %d bytes queued, %d connections", err, queued, connections)
			}
		case <-time.After(testTimeout):
			t.Error("a connection's goroutines were left behind")
		}
	}
	t.Cleanup(stop)
	return stop
}

// startServer runs a server on loopback, and returns it with the names of the types of the events that it
// posts.
func startServer(t *testing.T, config Config) (*Server, chan string) {
	t.Helper()
	events := make(chan string, 100)
	server := New(listen(t), config, func(e router.Event) {
		events <- strings.TrimPrefix(fmt.Sprintf("%T", e), "router.")
	}, ignoreEvents)
	run(t, server)
	return server, events
}

// startServerOn runs a server on a listener, and returns it with the events that it posts.
func startServerOn(t *testing.T, listener net.Listener, config Config) (*Server, chan router.Event, func()) {
	t.Helper()
	events := make(chan router.Event, 1000)
	server := New(listener, config, func(e router.Event) { events <- e }, ignoreEvents)
	stop := run(t, server)
	return server, events, stop
}

// listen returns a listener on loopback.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	return testkit.Listen(t).(*net.TCPListener)
}

// gatedListener is a listener whose connections stay in the system's backlog until it is released.
type gatedListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

func dial(t *testing.T, server *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { neterr.Close(conn) })
	setDeadline(t, conn, time.Now().Add(testTimeout))
	return conn
}

func setDeadline(t *testing.T, conn net.Conn, deadline time.Time) {
	t.Helper()
	if err := conn.SetDeadline(deadline); err != nil {
		t.Errorf("deadline: %v", err)
	}
}

// send writes to a server that has to take it.
func send(t *testing.T, conn net.Conn, data []byte) {
	t.Helper()
	if _, err := conn.Write(data); err != nil {
		t.Errorf("write: %v", err)
	}
}

// trySend writes to a server that may close the connection before it has read all.
func trySend(conn net.Conn, data []byte) { _, _ = conn.Write(data) }

func closeWrite(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Errorf("half-close: %v", err)
	}
}

// reset closes a connection by a reset.
func reset(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Errorf("linger: %v", err)
	}
	neterr.Close(conn)
}

// frame returns a framed message with encoded arguments.
func frame(kind byte, method string, seq uint32, args string) []byte {
	m := binary.BigEndian.AppendUint32([]byte{0x80, 1, 0, kind}, uint32(len(method)))
	m = binary.BigEndian.AppendUint32(append(m, method...), seq)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(m)+len(args))), append(m, args...)...)
}

// emptyCall returns a request without arguments.
func emptyCall(seq uint32) []byte { return frame(1, "call", seq, "\x00") }

// call returns a request with a body of a size; a large one is sent in several segments.
func call(seq uint32, size int) []byte {
	args := binary.BigEndian.AppendUint32([]byte("\x0b\x00\x02"), uint32(size))
	args = append(append(args, bytes.Repeat([]byte("x"), size)...), 0)
	return frame(1, "call", seq, string(args))
}

// largeCall returns a request of 100 KB that needs a share of the memory for large ones.
func largeCall(seq uint32) []byte { return frame(1, "call", seq, strings.Repeat("\x00", 100<<10)) }

// cancelOf returns a message that cancels a request.
func cancelOf(seq byte) []byte {
	return frame(4, "cancel", 9, "\x08\x00\x01\x00\x00\x00"+string([]byte{seq})+"\x00")
}

// healthCall returns a request for the server's health.
func healthCall(seq uint32) []byte { return frame(1, "health", seq, "\x00") }

// healthResponseBytes is the size of the response to healthCall.
const healthResponseBytes = 47

// rejectedStruct is the start of a result that rejects a call: a struct as field 1.
const rejectedStruct = "\x0c\x00\x01"

// rejectionOf returns a part of the response that rejects a request.
func rejectionOf(seq byte) string { return "call\x00\x00\x00" + string([]byte{seq}) + rejectedStruct }

// nextEvent returns the name of the next event.
func nextEvent(t *testing.T, events chan string) string {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(testTimeout):
		t.Fatal("no event")
		return ""
	}
}

// expectEvents checks the names of the next events.
func expectEvents(t *testing.T, events chan string, names ...string) {
	t.Helper()
	for _, want := range names {
		if e := nextEvent(t, events); e != want {
			t.Errorf("%s, want %s", e, want)
		}
	}
}

// respondServed responds to a request with a body.
func respondServed(server *Server, client router.ClientID, seq int32) {
	server.Respond(router.Respond{Client: client, Seq: seq, Body: []byte("whole")})
}

// expectResponse reads a response and checks that it contains a text.
func expectResponse(t *testing.T, conn net.Conn, part string) {
	t.Helper()
	if got, err := readResponse(conn); err != nil || !strings.Contains(got, part) {
		t.Errorf("%q, %v; want %q", got, err, part)
	}
}

// expectEnd checks that a connection ends, without an error and with nothing more to be read.
func expectEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("its end: %q, %v", rest, err)
	}
}

// expectFinalResponse checks that a connection ends without an error behind a response that contains a text.
func expectFinalResponse(t *testing.T, conn net.Conn, part string) {
	t.Helper()
	if got, err := io.ReadAll(conn); err != nil || !strings.Contains(string(got), part) {
		t.Errorf("%q, %v; want %q", got, err, part)
	}
}

// expectBytes checks that a connection brings at least so many bytes.
func expectBytes(t *testing.T, conn net.Conn, count int, whose string) {
	t.Helper()
	if _, err := io.ReadFull(conn, make([]byte, count)); err != nil {
		t.Fatalf("%s: %v", whose, err)
	}
}

// readResponse reads one response.
func readResponse(conn net.Conn) (string, error) {
	setReadDeadline(conn, time.Now().Add(testTimeout))
	var length [4]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return "", err
	}
	got := make([]byte, binary.BigEndian.Uint32(length[:]))
	_, err := io.ReadFull(conn, got)
	return string(got), err
}

// checkHealth asks for the server's health and reads the response.
func checkHealth(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := requestHealth(conn); err != nil {
		t.Fatal(err)
	}
}

func requestHealth(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write(healthCall(1)); err != nil {
		return err
	}
	_, err := readResponse(conn)
	return err
}

func requireSuspension(t *testing.T, server *Server) {
	t.Helper()
	if server.idle.poller == nil {
		t.Skip("this system suspends nothing")
	}
}

// waitForSuspension waits until all connections are suspended.
func waitForSuspension(t *testing.T, server *Server) {
	t.Helper()
	testkit.WaitUntil(t, 2*testTimeout, "all are suspended", func() bool { return server.activeConnections() == 0 })
}

// idleConnection brings a connection to where it has its response and is idle, suspended or not.
func idleConnection(t *testing.T, server *Server, suspended bool) net.Conn {
	t.Helper()
	conn := dial(t, server)
	checkHealth(t, conn)
	testkit.WaitUntil(t, 2*testTimeout, "its response is written", server.Flushed)
	if suspended {
		requireSuspension(t, server)
		waitForSuspension(t, server)
	}
	return conn
}

// dialIdle brings many connections to where they have their responses.
func dialIdle(t *testing.T, server *Server, count int) []net.Conn {
	t.Helper()
	var conns []net.Conn
	for range count {
		conn := dial(t, server)
		checkHealth(t, conn)
		conns = append(conns, conn)
	}
	return conns
}

// checkHalfClosed checks that a connection was half-closed, not closed: the client reads its end, and what
// it writes in that moment is discarded and does not reset the connection.
func checkHalfClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	setDeadline(t, conn, time.Now().Add(testTimeout))
	expectEnd(t, conn)
	for range 20 { // a closed connection would answer the first write by a reset, and the next one would fail
		if _, err := conn.Write(emptyCall(7)); err != nil {
			t.Fatalf("it was reset: %v", err)
		}
		time.Sleep(time.Millisecond)
	}
}

// closingCount returns how many suspended connections are closing.
func (s *Server) closingCount() int {
	s.idle.mu.Lock()
	defer s.idle.mu.Unlock()
	return len(s.idle.closing)
}

// requestsInFlight returns, for the sequence number of each request in flight, whose it is.
func (s *Server) requestsInFlight() map[int32]router.ClientID {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := map[int32]router.ClientID{}
	for id, c := range s.connections {
		c.mu.Lock()
		for seq := range c.inFlight {
			inFlight[seq] = id
		}
		c.mu.Unlock()
	}
	return inFlight
}

func isReset(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation)
}
