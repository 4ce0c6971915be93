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

// testTimeout limits how long a test waits for one expected event or response.
const testTimeout = 5 * time.Second

var smallConfig = Config{MaxConnections: 4, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20}

// configWithIdleTimeout returns a configuration for at most that many connections, in which idle ones are closed after
// timeout without jitter.
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

// handling returns a PostFunc that passes each event to handle, after which the event counts as handled.
func handling(handle func(router.Event)) PostFunc {
	return func(event router.Event, handled func()) {
		handle(event)
		if handled != nil {
			handled()
		}
	}
}

// run starts a server that serves until the end of the test or until stop is called. When the server stops, it
// checks that no queued bytes, connections or goroutines are left.
func run(t *testing.T, server *Server) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	stopped := false
	stop = func() {
		t.Helper()
		if stopped {
			return
		}
		stopped = true
		cancel()
		select {
		case err := <-done:
			queued, connections := server.memory.queuedResponses.Load(), len(server.connections)
			if err != nil || queued != 0 || connections != 0 {
				t.Errorf("Serve returned error %v with %d bytes queued and %d connections left", err, queued, connections)
			}
		case <-time.After(testTimeout):
			t.Errorf("Serve did not return within %v: goroutines of a connection are still running", testTimeout)
		}
	}
	t.Cleanup(stop)
	return stop
}

// startServer runs a server on a loopback listener. It returns the server and a channel with the type names of
// the events that the server posts.
func startServer(t *testing.T, config Config) (*Server, chan string) {
	t.Helper()
	events := make(chan string, 100)
	server := New(listen(t), config, handling(func(e router.Event) {
		events <- strings.TrimPrefix(fmt.Sprintf("%T", e), "router.")
	}), ignoreEvents)
	run(t, server)
	return server, events
}

// startServerOn runs a server on the given listener. It returns the server, a channel with the events that the
// server posts, and a function that stops the server.
func startServerOn(t *testing.T, listener net.Listener, config Config) (*Server, chan router.Event, func()) {
	t.Helper()
	events := make(chan router.Event, 1000)
	server := New(listener, config, handling(func(e router.Event) { events <- e }), ignoreEvents)
	stop := run(t, server)
	return server, events, stop
}

// listen returns a TCP listener on a free loopback port.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	return testkit.Listen(t).(*net.TCPListener)
}

// gatedListener is a listener whose connections stay in the kernel's backlog until released is closed.
type gatedListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept waits until released is closed, and then accepts a connection.
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
		t.Errorf("set deadline %v: %v", deadline, err)
	}
}

// send writes data and fails the test if the server does not accept all of it.
func send(t *testing.T, conn net.Conn, data []byte) {
	t.Helper()
	if _, err := conn.Write(data); err != nil {
		t.Errorf("write of %d bytes: %v", len(data), err)
	}
}

// trySend writes data and ignores the error, because the server may close the connection before it has read all of it.
func trySend(conn net.Conn, data []byte) { _, _ = conn.Write(data) }

func closeWrite(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Errorf("close the sending side: %v", err)
	}
}

// reset closes a connection such that the server gets a TCP reset instead of the end of the stream.
func reset(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Errorf("set the linger time to 0: %v", err)
	}
	neterr.Close(conn)
}

// frame returns a framed message. kind is its Thrift message type, args are its arguments in encoded form.
func frame(kind byte, method string, seq uint32, args string) []byte {
	m := binary.BigEndian.AppendUint32([]byte{0x80, 1, 0, kind}, uint32(len(method)))
	m = binary.BigEndian.AppendUint32(append(m, method...), seq)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(m)+len(args))), append(m, args...)...)
}

// emptyCall returns a `call` message without arguments.
func emptyCall(seq uint32) []byte { return frame(1, "call", seq, "\x00") }

// call returns a `call` message with a body of size bytes. A large one is sent in several TCP segments.
func call(seq uint32, size int) []byte {
	args := binary.BigEndian.AppendUint32([]byte("\x0b\x00\x02"), uint32(size))
	args = append(append(args, bytes.Repeat([]byte("x"), size)...), 0)
	return frame(1, "call", seq, string(args))
}

// largeCall returns a call of 100 KB, for which the server has to acquire memory for large requests.
func largeCall(seq uint32) []byte { return frame(1, "call", seq, strings.Repeat("\x00", 100<<10)) }

// cancelOf returns a message that cancels the request with the given sequence number.
func cancelOf(seq byte) []byte {
	return frame(4, "cancel", 9, "\x08\x00\x01\x00\x00\x00"+string([]byte{seq})+"\x00")
}

// healthCall returns a `health` message, which the server answers without the router.
func healthCall(seq uint32) []byte { return frame(1, "health", seq, "\x00") }

// healthResponseBytes is the size in bytes of the response to healthCall, including its length field.
const healthResponseBytes = 47

// rejectedStruct is the encoded start of a Thrift result that rejects a call: field 1, of type struct.
const rejectedStruct = "\x0c\x00\x01"

// rejectionOf returns the part of a response that shows that the call with the sequence number seq is rejected.
func rejectionOf(seq byte) string { return "call\x00\x00\x00" + string([]byte{seq}) + rejectedStruct }

// nextEvent returns the type name of the next event that the server posts. It fails the test if there is none within
// testTimeout.
func nextEvent(t *testing.T, events chan string) string {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(testTimeout):
		t.Fatalf("the server posted no event within %v", testTimeout)
		return ""
	}
}

// expectEvents checks that the next events that the server posts have the given type names, in that order.
func expectEvents(t *testing.T, events chan string, names ...string) {
	t.Helper()
	for _, want := range names {
		if e := nextEvent(t, events); e != want {
			t.Errorf("event %s, want %s", e, want)
		}
	}
}

// respondServed makes the server answer a client's request as served, with the body "whole".
func respondServed(server *Server, client router.ClientID, seq int32) {
	server.Respond(router.Respond{Client: client, Seq: seq, Body: []byte("whole")})
}

// expectResponse checks that the next response on a connection contains the text part.
func expectResponse(t *testing.T, conn net.Conn, part string) {
	t.Helper()
	if got, err := readResponse(conn); err != nil || !strings.Contains(got, part) {
		t.Errorf("response %q, error %v; want a response with %q", got, err, part)
	}
}

// expectEnd checks that the connection ends without an error and without unread data.
func expectEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("read %q, error %v; want the end of the stream without data", rest, err)
	}
}

// expectFinalResponse checks that the remaining data of a connection contains part and that the connection
// then ends without an error.
func expectFinalResponse(t *testing.T, conn net.Conn, part string) {
	t.Helper()
	if got, err := io.ReadAll(conn); err != nil || !strings.Contains(string(got), part) {
		t.Errorf("read %q, error %v; want a response with %q and the end of the stream", got, err, part)
	}
}

// expectBytes reads count bytes from a connection. whose names the connection or response in the failure
// message.
func expectBytes(t *testing.T, conn net.Conn, count int, whose string) {
	t.Helper()
	if _, err := io.ReadFull(conn, make([]byte, count)); err != nil {
		t.Fatalf("%s: read of %d bytes: %v", whose, count, err)
	}
}

// readResponse reads one response and returns it without its frame length.
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

// checkHealth fails the test if the server does not answer a health request on the connection.
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
		t.Skip("this system cannot suspend connections")
	}
}

// waitForSuspension waits until all connections are suspended.
func waitForSuspension(t *testing.T, server *Server) {
	t.Helper()
	testkit.WaitUntil(t, 2*testTimeout, "all connections are suspended", func() bool {
		return server.activeConnections() == 0
	})
}

// idleConnection returns a connection that has had a response. It is idle, and suspended if suspended is true.
func idleConnection(t *testing.T, server *Server, suspended bool) net.Conn {
	t.Helper()
	conn := dial(t, server)
	checkHealth(t, conn)
	testkit.WaitUntil(t, 2*testTimeout, "the response is written", server.Flushed)
	if suspended {
		requireSuspension(t, server)
		waitForSuspension(t, server)
	}
	return conn
}

// dialIdle returns the given number of connections that have each had a response.
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

// checkHalfClosed checks that the server has half-closed a connection rather than closed it: the client reads
// the end of the stream, and data that it still writes is discarded without a reset.
func checkHalfClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	setDeadline(t, conn, time.Now().Add(testTimeout))
	expectEnd(t, conn)
	for range 20 { // a closed connection would answer the first write with a reset, and the next write would fail
		if _, err := conn.Write(emptyCall(7)); err != nil {
			t.Fatalf("write after the end of the stream: %v, want no reset", err)
		}
		time.Sleep(time.Millisecond)
	}
}

// closingCount returns the number of connections that were suspended and whose sending side the server has closed, but
// not yet their descriptor.
func (s *Server) closingCount() int {
	s.idle.mu.Lock()
	defer s.idle.mu.Unlock()
	return len(s.idle.closing)
}

// requestsInFlight returns the ID of the client of each request in flight, by the request's sequence number.
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

// isConnectionError reports whether err is an error of the net package from a read or write, such as a reset, rather
// than the end of the stream.
func isConnectionError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation)
}
