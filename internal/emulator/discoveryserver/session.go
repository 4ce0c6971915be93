package discoveryserver

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	responseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

	heartbeat         = ":\n\n"
	heartbeatInterval = time.Second

	lastEventHeader = "Last-Event-ID: "
)

// session is the service's side of one call.
type session struct {
	conn     net.Conn
	call     *Call // guarded by the service's mutex
	behavior Behavior
}

// serve answers one call until either side ends it.
func (s *Service) serve(session session) {
	in := bufio.NewReader(session.conn)
	position, err := readRequest(in)
	if err != nil {
		return
	}
	s.mu.Lock()
	session.call.LastEventID = position
	s.mu.Unlock()
	clientGone := make(chan struct{})
	go func() {
		defer close(clientGone)
		_, err := in.ReadByte() // a client sends nothing more: this ends with the connection
		ignore(err)
	}()
	if session.behavior.Silent {
		<-clientGone
		return
	}
	if s.send(session, responseHead) {
		s.stream(session, position, clientGone)
	}
}

// readRequest reads a request and returns the event behind which it asks to go on.
func readRequest(in *bufio.Reader) (position int, err error) {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return 0, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			return position, nil
		}
		if id, found := strings.CutPrefix(line, lastEventHeader); found {
			position, err = strconv.Atoi(id)
			if err != nil {
				position = 0
			}
		}
	}
}

// stream sends the events behind a position as they are published, and heartbeats.
func (s *Service) stream(session session, position int, clientGone <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		events, published := s.events, s.published
		s.mu.Unlock()
		if position > len(events) || session.behavior.Stale {
			position = 0 // its numbers began anew since, or it sends an old list
		}
		for _, event := range events[position:] {
			position++
			if !s.sendEvent(session, position, event) {
				return
			}
			if session.behavior.Stale {
				session.behavior.Stale = false
				position = len(events)
				break
			}
		}
		if !s.send(session, heartbeat) {
			return
		}
		select {
		case <-published:
		case <-ticker.C:
		case <-clientGone:
			return
		}
	}
}

// sendEvent sends an event and tells whether the call goes on.
func (s *Service) sendEvent(session session, position int, event string) bool {
	text := fmt.Sprintf("id: %d\ndata: %s\n\n", position, event)
	if session.behavior.Truncate {
		s.send(session, text[:len(text)/2])
		return false
	}
	if !s.send(session, text) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	session.call.sentEventID = position
	return true
}

// send writes a text at the service's pace and tells whether the call goes on.
func (s *Service) send(session session, text string) bool {
	time.Sleep(s.reserve(session, len(text)))
	_, err := session.conn.Write([]byte(text))
	return err == nil
}

// reserve counts bytes that are to be sent and returns how long they have to wait for those before them.
func (s *Service) reserve(session session, size int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	session.call.BytesSent += size
	if session.behavior.BytesPerSecond <= 0 {
		return 0
	}
	if now := time.Now(); s.sendAt.Before(now) {
		s.sendAt = now
	}
	duration := float64(size) / session.behavior.BytesPerSecond * float64(time.Second)
	s.sendAt = s.sendAt.Add(time.Duration(duration))
	return time.Until(s.sendAt)
}
