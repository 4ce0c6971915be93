// Package journal is a stand-in of the journal service: it keeps numbered events and tells them as server-sent events
// behind the number that is asked for, with a comment each second.
package journal

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Journal is one stand-in.
type Journal struct {
	server   *http.Server
	listener net.Listener
	mu       sync.Mutex
	events   []string // data of events 1 and up
	changed  chan struct{}
}

// Start opens a stand-in on a free port of 127.0.0.1.
func Start() (*Journal, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &Journal{listener: listener, changed: make(chan struct{})}
	j.server = &http.Server{Handler: j, ReadHeaderTimeout: time.Second}
	go j.server.Serve(listener)
	return j, nil
}

// Address is where it listens.
func (j *Journal) Address() string { return j.listener.Addr().String() }

// Tell adds an event; %d in the form is its number.
func (j *Journal) Tell(form string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, fmt.Sprintf(form, len(j.events)+1))
	close(j.changed)
	j.changed = make(chan struct{})
}

// Known is all events so far, as a configuration holds them.
func (j *Journal) Known() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := fmt.Sprintf(`{"pos":%d,"entries":[`, len(j.events))
	for i, e := range j.events {
		if i > 0 {
			out += ","
		}
		out += e
	}
	return out + "]}"
}

// Close ends it and every connection.
func (j *Journal) Close() { j.server.Close() }

// ServeHTTP tells events until the connection ends.
func (j *Journal) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-ID"))
	flush := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		j.mu.Lock()
		var news []string
		if last < len(j.events) {
			news = j.events[last:]
		}
		changed := j.changed
		j.mu.Unlock()
		for _, e := range news {
			last++
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last, e)
		}
		fmt.Fprint(w, ":\n\n")
		if flush.Flush() != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}
