package testkit

import (
	"net"
	"testing"
	"time"
)

const (
	// streamHead is the head of the response to a watch.
	streamHead = "HTTP/1.1 200 OK\r\n\r\n"
	// keepAliveInterval is the pause between two comments that say that the service lives.
	keepAliveInterval = 500 * time.Millisecond
)

// EventStream is a discovery service that sends one watcher, the one that has called last, what a test says. A
// whole service is in internal/emulator/discoveryserver.
type EventStream struct {
	Address string

	events chan string
}

// StartEventStream starts a service that ends with the test.
func StartEventStream(t *testing.T) *EventStream {
	t.Helper()
	listener := Listen(t)
	stream := &EventStream{Address: listener.Addr().String(), events: make(chan string)}
	watchers := make(chan net.Conn)
	go accept(listener, func(conn net.Conn) { watchers <- conn })
	go stream.serve(watchers)
	return stream
}

// Publish sends an event, as it stands in the stream, and fails the test if nobody watches.
func (s *EventStream) Publish(t *testing.T, event string) {
	t.Helper()
	select {
	case s.events <- event:
	case <-time.After(Timeout):
		t.Fatal("no router watches this service")
	}
}

// serve sends events to the latest watcher. The connection of the one before stays open, and nothing comes on
// it.
func (s *EventStream) serve(watchers <-chan net.Conn) {
	conn := <-watchers
	Write(conn, []byte(streamHead))
	for keepAlive := time.Tick(keepAliveInterval); ; {
		select {
		case conn = <-watchers:
			Write(conn, []byte(streamHead))
		case event := <-s.events:
			Write(conn, []byte(event))
		case <-keepAlive:
			Write(conn, []byte(":\n\n"))
		}
	}
}
