package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// journal is the discovery service: numbered events over server-sent events, and a comment each second.
type journal struct {
	log    *record
	addr   string
	pieces time.Duration // guarded by mu; pause inside each event: it is written in two pieces; 0: in one

	mu       sync.Mutex
	listener net.Listener
	events   []string
	changed  chan struct{}
	conns    map[net.Conn]bool
	calls    []time.Time
}

func startJournal(log *record) (*journal, error) {
	j := &journal{log: log, addr: "127.0.0.1:0", changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	return j, j.listen()
}

// listen opens the service, at the address that it had before.
func (j *journal) listen() error {
	listener, err := net.Listen("tcp", j.addr)
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.listener, j.addr = listener, listener.Addr().String()
	j.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go j.serve(conn)
		}
	}()
	return nil
}

// publish adds an event. The %d in its JSON is its number.
func (j *journal) publish(format string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	event := fmt.Sprintf(format, len(j.events)+1)
	j.events = append(j.events, event)
	j.log.line("journal: event %s", event)
	close(j.changed)
	j.changed = make(chan struct{})
}

// known returns the events up to now in the form of the configuration.
func (j *journal) known() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, len(j.events), strings.Join(j.events, ","))
}

func (j *journal) serve(conn net.Conn) {
	defer conn.Close()
	j.mu.Lock()
	j.conns[conn] = true
	j.calls = append(j.calls, time.Now())
	j.mu.Unlock()
	defer func() {
		j.mu.Lock()
		delete(j.conns, conn)
		j.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	last := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Last-Event-ID") {
			last, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	j.log.line("journal: call from %s after event %d", conn.RemoteAddr(), last)
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"); err != nil {
		return
	}
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		j.mu.Lock()
		events, changed := j.events, j.changed
		j.mu.Unlock()
		for ; last < len(events); last++ {
			if err := j.send(conn, last+1, events[last]); err != nil {
				j.log.line("journal: event %d to %s: %v", last+1, conn.RemoteAddr(), err)
				return
			}
			j.log.line("journal: event %d is written to %s", last+1, conn.RemoteAddr())
		}
		select {
		case <-changed:
		case <-beat.C:
			if _, err := fmt.Fprint(conn, ":\n\n"); err != nil {
				return
			}
		}
	}
}

// send writes one event, in two pieces if that is set.
func (j *journal) send(conn net.Conn, number int, event string) error {
	j.mu.Lock()
	pause := j.pieces
	j.mu.Unlock()
	first, second := fmt.Sprintf("id: %d\n", number), "data: "+event+"\n\n"
	if pause == 0 {
		_, err := fmt.Fprint(conn, first+second)
		return err
	}
	if _, err := fmt.Fprint(conn, first); err != nil {
		return err
	}
	time.Sleep(pause)
	_, err := fmt.Fprint(conn, second)
	return err
}

// setPieces sets the pause inside each event.
func (j *journal) setPieces(pause time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pieces = pause
}
