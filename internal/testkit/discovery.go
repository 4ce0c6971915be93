package testkit

import (
	"net"
	"testing"
	"time"
)

const (
	// responseHead is the HTTP head of the response to a watch.
	responseHead = "HTTP/1.1 200 OK\r\n\r\n"
	// keepAliveInterval is the pause between two keep-alive comments in the stream.
	keepAliveInterval = 500 * time.Millisecond
)

// EventStream is a discovery service that sends the events of a test to one watcher, the latest one. A service for
// many watchers is in internal/emulator/discoveryserver.
type EventStream struct {
	Address string

	events chan string
}

// StartEventStream starts a service on a free port of 127.0.0.1 and stops listening at the end of the test.
func StartEventStream(t *testing.T) *EventStream {
	t.Helper()
	listener := Listen(t)
	stream := &EventStream{Address: listener.Addr().String(), events: make(chan string)}
	watchers := make(chan net.Conn)
	go accept(listener, func(conn net.Conn) { watchers <- conn })
	go stream.serve(watchers)
	return stream
}

// Publish sends an encoded event to the watcher. It fails the test if there is no watcher within Timeout.
func (s *EventStream) Publish(t *testing.T, event string) {
	t.Helper()
	select {
	case s.events <- event:
	case <-time.After(Timeout):
		t.Fatalf("no router watches the discovery service at %s after %v", s.Address, Timeout)
	}
}

// serve sends events and keep-alive comments to the latest watcher. The connections of earlier watchers stay open,
// but nothing more is sent on them.
func (s *EventStream) serve(watchers <-chan net.Conn) {
	conn := <-watchers
	Write(conn, []byte(responseHead))
	for keepAlive := time.Tick(keepAliveInterval); ; {
		select {
		case conn = <-watchers:
			Write(conn, []byte(responseHead))
		case event := <-s.events:
			Write(conn, []byte(event))
		case <-keepAlive:
			Write(conn, []byte(":\n\n"))
		}
	}
}
