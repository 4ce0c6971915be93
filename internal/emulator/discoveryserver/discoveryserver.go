// Package discoveryserver emulates a discovery service on a loopback address. It speaks the protocol of the real
// service, server-sent events over HTTP, and records every call. Its rate of calls and its bandwidth can be
// limited. It can also be stopped, send nothing, close a call in the middle of an event, send an outdated endpoint
// list, or restart the numbering of its events.
package discoveryserver

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const anyLoopbackPort = "127.0.0.1:0"

// Behavior describes how the service responds to calls.
type Behavior struct {
	MaxCallRate    float64 // calls accepted per second; 0: unlimited
	BytesPerSecond float64 // bandwidth of all calls together; 0: unlimited
	Truncate       bool    // the service closes the call in the middle of the first event
	Silent         bool    // the service accepts calls and sends nothing
	Stale          bool    // the service sends event 1, an outdated endpoint list, instead of all events so far
}

// Call is one call that the service has received.
type Call struct {
	At          time.Time
	LastEventID int // number of the last event that the caller already has; 0: none
	BytesSent   int

	sentEventID int // number of the last event that was sent to the caller
}

// Service is one emulated discovery service.
type Service struct {
	address    string
	goroutines sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	behavior    Behavior
	listener    net.Listener
	events      []string
	published   chan struct{}      // closed and replaced when an event is published
	connections map[net.Conn]*Call // open connections, each with its call
	calls       []*Call
	sendAt      time.Time // earliest time at which the bandwidth allows more bytes
}

// Start starts a service on a free port of 127.0.0.1.
func Start() (*Service, error) {
	s := &Service{
		address:     anyLoopbackPort,
		published:   make(chan struct{}),
		connections: map[net.Conn]*Call{},
	}
	return s, s.Listen()
}

// Address returns the address of the service. It stays the same while the service is stopped.
func (s *Service) Address() string {
	return s.address
}

// SetBehavior sets the behavior of the service for calls that arrive from now on. Earlier calls are not affected.
func (s *Service) SetBehavior(behavior Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = behavior
}

// Listen makes the service accept calls. After Stop it listens on the same address again.
func (s *Service) Listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	s.address = listener.Addr().String()
	s.goroutines.Go(func() { s.accept(listener) })
	return nil
}

// Stop closes the listener and all calls, and waits until their goroutines have ended. Further calls are refused
// until Listen is called.
func (s *Service) Stop() {
	s.mu.Lock()
	ignore(s.listener.Close())
	for conn := range s.connections {
		ignore(conn.Close())
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// Close does the same as Stop, for callers that do not start the service again.
func (s *Service) Close() {
	s.Stop()
}

// Publish adds an event and sends it to all callers. The format must contain %d, which is replaced by the number of
// the event.
func (s *Service) Publish(format string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf(format, len(s.events)+1))
	close(s.published)
	s.published = make(chan struct{})
}

// Reset removes all events. The next event gets number 1.
func (s *Service) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
}

// KnownEvents returns all events so far in the form in which a router's configuration lists known events.
func (s *Service) KnownEvents() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, len(s.events), strings.Join(s.events, ","))
}

// Calls returns copies of all calls so far, in the order of their arrival.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make([]Call, len(s.calls))
	for i, call := range s.calls {
		calls[i] = *call
	}
	return calls
}

// Notified returns the number of open calls on which the service has sent the last event, compared by number. A call
// on which it has not sent that event does not count, even if the caller stated in its request that it already has
// the event. If there are no events, the calls on which none was sent count.
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
		s.goroutines.Go(func() {
			defer s.remove(conn)
			s.serve(session{conn: conn, call: call, behavior: behavior})
		})
		if behavior.MaxCallRate > 0 { // further calls wait in the listener's backlog
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

// ignore drops an error on a connection or listener that is being closed. The peer sees the closed connection
// itself, so the error need not be reported.
func ignore(error) {}
