// Package discoveryserver is a stand-in of a list service that bears little: it takes so many calls a second and queues the others,
// sends so many bytes a second in all, can be down, stand still, break off in the middle of a list, tell an old list, or
// begin anew; and it notes every call. The protocol is that of the journal service.
package discoveryserver

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Way is how the service behaves.
type Way struct {
	PerSecond float64 // calls taken; 0 is no bound
	Bytes     float64 // sent a second, all calls together; 0 is no bound
	Half      bool    // it breaks off in the middle of the first event
	Still     bool    // it takes calls and says nothing
	Old       bool    // it tells the whole list as it was at first, under its number
}

// Call is one call that came.
type Call struct {
	At     time.Time
	Behind int // the event that it asked behind
	Sent   int // bytes
}

// Service is one stand-in.
type Service struct {
	address string

	mu       sync.Mutex
	way      Way
	listener net.Listener
	events   []string
	changed  chan struct{}
	conns    map[net.Conn]bool
	calls    []*Call
	free     time.Time // when the next bytes may go
	group    sync.WaitGroup
}

// Start opens a stand-in on a free port of 127.0.0.1.
func Start() (*Service, error) {
	s := &Service{address: "127.0.0.1:0", changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	return s, s.Up()
}

// Address is where it listens, or did while it was up.
func (s *Service) Address() string { return s.address }

// Set has it behave so for calls that come.
func (s *Service) Set(w Way) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.way = w
}

// Up has it listen.
func (s *Service) Up() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.address = listener, listener.Addr().String()
	s.group.Go(func() { s.accept(listener) })
	return nil
}

// Down ends it and every call; who calls is refused.
func (s *Service) Down() {
	s.mu.Lock()
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// Tell adds an event; %d in the form is its number.
func (s *Service) Tell(form string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf(form, len(s.events)+1))
	close(s.changed)
	s.changed = make(chan struct{})
}

// Anew has it forget all events; what is told next is number 1.
func (s *Service) Anew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
}

// Known is all events so far, as a configuration holds them.
func (s *Service) Known() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, len(s.events), strings.Join(s.events, ","))
}

// Calls is all that came so far, in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Call, len(s.calls))
	for i, c := range s.calls {
		out[i] = *c
	}
	return out
}

func (s *Service) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		call := &Call{At: time.Now()}
		s.calls = append(s.calls, call)
		s.conns[conn] = true
		way := s.way
		s.mu.Unlock()
		s.group.Go(func() {
			defer func() {
				conn.Close()
				s.mu.Lock()
				delete(s.conns, conn)
				s.mu.Unlock()
			}()
			s.serve(conn, call, way)
		})
		if way.PerSecond > 0 { // the others wait in the system's queue
			time.Sleep(time.Duration(float64(time.Second) / way.PerSecond))
		}
	}
}

// send writes what the service's bytes a second let it; it tells whether the call stands.
func (s *Service) send(conn net.Conn, call *Call, way Way, text string) bool {
	s.mu.Lock()
	wait := time.Duration(0)
	if way.Bytes > 0 {
		now := time.Now()
		if s.free.Before(now) {
			s.free = now
		}
		s.free = s.free.Add(time.Duration(float64(len(text)) / way.Bytes * float64(time.Second)))
		wait = time.Until(s.free)
	}
	call.Sent += len(text)
	s.mu.Unlock()
	time.Sleep(wait)
	_, err := conn.Write([]byte(text))
	return err == nil
}

func (s *Service) serve(conn net.Conn, call *Call, way Way) {
	in := bufio.NewReader(conn)
	last := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "Last-Event-ID: "); ok {
			last, _ = strconv.Atoi(id)
		}
		if line == "" {
			break
		}
	}
	s.mu.Lock()
	call.Behind = last
	s.mu.Unlock()
	gone := make(chan struct{})
	go func() { // one who gives up is seen
		defer close(gone)
		in.ReadByte()
	}()
	if way.Still {
		<-gone
		return
	}
	if !s.send(conn, call, way, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n") {
		return
	}
	for beat := time.NewTicker(time.Second); ; {
		s.mu.Lock()
		events, changed := s.events, s.changed
		s.mu.Unlock()
		if last > len(events) || way.Old {
			last = 0 // it counts anew, and tells all
		}
		for _, e := range events[last:] {
			last++
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", last, e)
			if way.Half {
				s.send(conn, call, way, text[:len(text)/2])
				return
			}
			if !s.send(conn, call, way, text) {
				return
			}
			if way.Old {
				last = len(events)
				way.Old = false
				break
			}
		}
		if !s.send(conn, call, way, ":\n\n") {
			return
		}
		select {
		case <-changed:
		case <-beat.C:
		case <-gone:
			beat.Stop()
			return
		}
	}
}

// Close ends it.
func (s *Service) Close() { s.Down() }
