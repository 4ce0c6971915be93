package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// server is a cache server, a parent or the origin. It keeps a copy of every object, which the origin gave out some
// time before the case. A copy that is too old for a request is filled anew, as if the origin gave it out just then.
type server struct {
	name     string
	listener net.Listener
	log      *record
	delay    func(class, object string) time.Duration // time until the answer

	mu     sync.Mutex
	first  time.Time            // when the origin gave out the copies that were there from the start
	filled map[string]time.Time // by object: when the origin gave out the copy that was filled since
}

// copyAge is the age of all copies when a case starts.
const copyAge = 10 * time.Second

func startServer(name string, log *record) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		name: name, listener: listener, log: log, first: time.Now().Add(-copyAge), filled: map[string]time.Time{},
	}
	s.delay = func(_, _ string) time.Duration { return 2 * time.Millisecond }
	go s.accept()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	write := func(words ...string) {
		writing.Lock()
		defer writing.Unlock()
		conn.Write(encodeArray(words...))
	}
	for {
		words, err := readArray(in)
		if err != nil || len(words) < 2 {
			return
		}
		switch {
		case words[0] == "alive":
			write(words[1], "green", "-", "")
		case words[0] == "abort":
			s.log.line("%s: abort %s", s.name, words[1])
		case words[0] == "fetch" && len(words) == 4:
			id, fields := words[1], words[2]
			object := field(fields, "path")
			issued, detail := s.copyFor(object, field(fields, "within"))
			s.log.line("%s: fetch %s %s: %s, issued %d", s.name, id, fields, detail, stamp(issued))
			go func() {
				time.Sleep(s.delay(field(words[2], "queue"), object))
				fields := fmt.Sprintf("entity=%016x,issued=%d,detail=%s,use=inflight:1",
					stamp(issued), stamp(issued), detail)
				write(id, "served", fields, strconv.FormatInt(stamp(issued), 10))
			}()
		}
	}
}

// copyFor returns when the origin gave out the copy with which a request is answered, and the note of the answer. within
// is the oldest copy that will do, in ms; absent or 0: any, as the class has no fresh time.
func (s *server) copyFor(object, within string) (issued time.Time, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	issued = s.first
	if filled, ok := s.filled[object]; ok {
		issued = filled
	}
	oldest, _ := strconv.ParseInt(within, 10, 64)
	if issued.IsZero() || oldest > 0 && now.Sub(issued) > time.Duration(oldest)*time.Millisecond {
		s.filled[object] = now
		return now, "TCP_MISS"
	}
	return issued, "TCP_HIT"
}

// drop drops the copies that were given out before an instant.
func (s *server) drop(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = time.Time{}
	for object, issued := range s.filled {
		if issued.Before(before) {
			delete(s.filled, object)
		}
	}
}
