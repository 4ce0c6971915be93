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

// session is a call with its connection and the behavior of the service when the call arrived.
type session struct {
	conn     net.Conn
	call     *Call // guarded by Service.mu
	behavior Behavior
}

// serve responds to one call until either side closes the connection.
func (s *Service) serve(session session) {
	in := bufio.NewReader(session.conn)
	lastEventID, err := readRequest(in)
	if err != nil {
		return
	}
	s.mu.Lock()
	session.call.LastEventID = lastEventID
	s.mu.Unlock()
	clientGone := make(chan struct{})
	go func() {
		defer close(clientGone)
		_, err := in.ReadByte() // a client sends nothing after its request, so this returns when the connection ends
		ignore(err)
	}()
	if session.behavior.Silent {
		<-clientGone
		return
	}
	if s.send(session, responseHead) {
		s.stream(session, lastEventID, clientGone)
	}
}

// readRequest reads the head of a request and returns the number of the last event that the client already has,
// or 0 if the request has no valid number.
func readRequest(in *bufio.Reader) (lastEventID int, err error) {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return 0, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			return lastEventID, nil
		}
		if id, found := strings.CutPrefix(line, lastEventHeader); found {
			lastEventID, err = strconv.Atoi(id)
			if err != nil {
				lastEventID = 0
			}
		}
	}
}

// stream sends the events after lastEventID as they are published. It sends a heartbeat after them and then every
// heartbeatInterval.
func (s *Service) stream(session session, lastEventID int, clientGone <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		events, published := s.events, s.published
		s.mu.Unlock()
		if lastEventID > len(events) || session.behavior.Stale {
			lastEventID = 0 // the numbering has restarted, or only the outdated event 1 is sent
		}
		for _, event := range events[lastEventID:] {
			lastEventID++
			if !s.sendEvent(session, lastEventID, event) {
				return
			}
			if session.behavior.Stale {
				session.behavior.Stale = false
				lastEventID = len(events)
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

// sendEvent sends an event and reports whether the call is still open.
func (s *Service) sendEvent(session session, eventID int, event string) bool {
	text := fmt.Sprintf("id: %d\ndata: %s\n\n", eventID, event)
	if session.behavior.Truncate {
		s.send(session, text[:len(text)/2])
		return false
	}
	if !s.send(session, text) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	session.call.sentEventID = eventID
	return true
}

// send writes a text within the bandwidth of the service and reports whether the call is still open.
func (s *Service) send(session session, text string) bool {
	time.Sleep(s.reserve(session, len(text)))
	_, err := session.conn.Write([]byte(text))
	return err == nil
}

// reserve counts bytes that are about to be sent and returns how long to wait before sending them, so that all
// calls together stay within the bandwidth.
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
