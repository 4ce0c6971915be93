// Package relay emulates a network path: TCP from one address to another that can be cut in each direction
// (bytes are kept, as by a network that loses them until they are sent again), delayed, or closed.
package relay

import (
	"net"
	"sync"
	"time"
)

const (
	anyPort        = "127.0.0.1:0"
	dialTimeout    = time.Second
	chunkSize      = 32 << 10 // bytes read at a time
	maxQueueChunks = 256      // in one direction; then reading stops, as a TCP window fills
)

// Conditions are those of a path.
type Conditions struct {
	CutForward  bool // nothing passes from the side that dials
	CutBackward bool // nothing passes to it
	Delay       time.Duration
}

// Relay is one path.
type Relay struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	mu          sync.Mutex // guards what follows
	conditions  Conditions
	changed     chan struct{} // closed when the conditions change, and replaced
	connections map[net.Conn]bool
}

// Start opens a path to a target from a free port of 127.0.0.1.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		listener:    listener,
		target:      target,
		changed:     make(chan struct{}),
		connections: map[net.Conn]bool{},
	}
	r.group.Go(r.accept)
	return r, nil
}

// Address returns what is to be dialled.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// SetConditions changes the path's conditions, also for what is on its way.
func (r *Relay) SetConditions(conditions Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions = conditions
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close ends the path and all connections over it.
func (r *Relay) Close() {
	ignore(r.listener.Close())
	r.mu.Lock()
	for conn := range r.connections {
		ignore(conn.Close())
	}
	r.mu.Unlock()
	r.group.Wait()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.pass(conn) })
	}
}

func (r *Relay) add(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[conn] = true
}

func (r *Relay) remove(conn net.Conn) {
	r.mu.Lock()
	delete(r.connections, conn)
	r.mu.Unlock()
	ignore(conn.Close())
}

// pass carries one connection until either side ends it.
func (r *Relay) pass(from net.Conn) {
	r.add(from)
	defer r.remove(from)
	to, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	r.add(to)
	defer r.remove(to)
	ended := make(chan struct{})
	var once sync.Once
	end := func() {
		once.Do(func() {
			close(ended)
			ignore(from.Close())
			ignore(to.Close())
		})
	}
	var both sync.WaitGroup
	both.Go(func() {
		defer end()
		r.carry(to, from, func(c Conditions) bool { return c.CutForward }, ended)
	})
	both.Go(func() {
		defer end()
		r.carry(from, to, func(c Conditions) bool { return c.CutBackward }, ended)
	})
	both.Wait()
}

// chunk is some bytes on their way.
type chunk struct {
	at    time.Time // when they came
	bytes []byte
}

// carry passes bytes on in order, each chunk under the conditions that hold when it goes.
func (r *Relay) carry(to, from net.Conn, isCut func(Conditions) bool, ended chan struct{}) {
	queue := make(chan chunk, maxQueueChunks)
	go readChunks(from, queue, ended)
	for next := range queue {
		if !r.wait(next, isCut, ended) {
			return
		}
		if _, err := to.Write(next.bytes); err != nil {
			return
		}
	}
}

func readChunks(from net.Conn, queue chan<- chunk, ended <-chan struct{}) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			select {
			case queue <- chunk{at: time.Now(), bytes: buffer[:n]}:
			case <-ended:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait waits until a chunk may pass. It returns false if the connection ended before.
func (r *Relay) wait(next chunk, isCut func(Conditions) bool, ended <-chan struct{}) bool {
	for {
		r.mu.Lock()
		conditions, changed := r.conditions, r.changed
		r.mu.Unlock()
		delay := time.Until(next.at.Add(conditions.Delay))
		var due <-chan time.Time // never, while the direction is cut
		if !isCut(conditions) {
			if delay <= 0 {
				return true
			}
			due = time.After(delay)
		}
		select {
		case <-due:
		case <-changed:
		case <-ended:
			return false
		}
	}
}

// ignore drops the error of closing a connection or listener: what ends is to end, and its peer sees that itself.
func ignore(error) {}
