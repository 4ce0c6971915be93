// Package discoveryserver emulates a discovery service of little capacity: it takes so many calls a second and
// queues the others, sends so many bytes a second in all, can be down, stay silent, break off in the middle of
// a list, send a stale list, or number its events anew; and it records every call. The protocol is that of the
// real service: server-sent events over HTTP.
package discoveryserver

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const anyPort = "127.0.0.1:0"

// Behavior is how the service treats calls.
type Behavior struct {
	MaxCallRate    float64 // calls accepted a second; 0 is no bound
	BytesPerSecond float64 // sent by all calls together; 0 is no bound
	Truncate       bool    // it breaks off in the middle of the first event
	Silent         bool    // it accepts calls and sends nothing
	Stale          bool    // it sends the complete list as it was at first, under its number
}

// Call is one call that came.
type Call struct {
	At          time.Time
	LastEventID int // the event behind which it asked to go on
	BytesSent   int

	sentEventID int // the last event that was written to it
}

// Service is one emulated service.
type Service struct {
	address string
	group   sync.WaitGroup

	mu          sync.Mutex // guards what follows
	behavior    Behavior
	listener    net.Listener
	events      []string
	published   chan struct{}      // closed when an event is published, and replaced
	connections map[net.Conn]*Call // the open ones
	calls       []*Call
	sendAt      time.Time // when the next bytes may be sent
}

// Start opens a service on a free port of 127.0.0.1.
func Start() (*Service, error) {
	s := &Service{
		address:     anyPort,
		published:   make(chan struct{}),
		connections: map[net.Conn]*Call{},
	}
	return s, s.Listen()
}

// Address returns where it listens, or did before it was stopped.
func (s *Service) Address() string {
	return s.address
}

// SetBehavior has it treat calls so that come from now on.
func (s *Service) SetBehavior(behavior Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = behavior
}

// Listen has it accept calls, at the same address after a stop.
func (s *Service) Listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	s.address = listener.Addr().String()
	s.group.Go(func() { s.accept(listener) })
	return nil
}

// Stop ends it and every call. Further calls are refused.
func (s *Service) Stop() {
	s.mu.Lock()
	ignore(s.listener.Close())
	for conn := range s.connections {
		ignore(conn.Close())
	}
	s.mu.Unlock()
	s.group.Wait()
}

// Close ends it.
func (s *Service) Close() {
	s.Stop()
}

// Publish adds an event; %d in the format is its number.
func (s *Service) Publish(format string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf(format, len(s.events)+1))
	close(s.published)
	s.published = make(chan struct{})
}

// Reset has it forget all events. The next one is number 1.
func (s *Service) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
}

// KnownEvents returns all events so far, as a router's configuration holds them.
func (s *Service) KnownEvents() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, len(s.events), strings.Join(s.events, ","))
}

// Calls returns all that came so far, in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make([]Call, len(s.calls))
	for i, call := range s.calls {
		calls[i] = *call
	}
	return calls
}

// Notified returns how many open calls have been sent every event so far.
func (s *Service) Notified() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	notified := 0
	for _, call := range s.connections {
		if call.sentEventID == len(s.events) {
			notified++
		}
	}
	return notified
}

func (s *Service) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		call := &Call{At: time.Now()}
		s.mu.Lock()
		s.calls = append(s.calls, call)
		s.connections[conn] = call
		behavior := s.behavior
		s.mu.Unlock()
		s.group.Go(func() {
			defer s.remove(conn)
			s.serve(session{conn: conn, call: call, behavior: behavior})
		})
		if behavior.MaxCallRate > 0 { // the others wait in the system's queue
			time.Sleep(time.Duration(float64(time.Second) / behavior.MaxCallRate))
		}
	}
}

func (s *Service) remove(conn net.Conn) {
	ignore(conn.Close())
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
}

// ignore drops the error of closing a connection or listener: what ends is to end, and its peer sees that itself.
func ignore(error) {}
