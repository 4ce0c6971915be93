// Package relay emulates a network path. A relay forwards TCP connections to a target address and can delay the
// data, block it in either direction, or close the connections. Blocked data is kept and forwarded once the
// direction is open again, like data that TCP retransmits after packet loss.
package relay

import (
	"net"
	"sync"
	"time"
)

const (
	anyLoopbackPort = "127.0.0.1:0"
	dialTimeout     = time.Second
	maxChunkSize    = 32 << 10 // bytes in one read

	// maxQueuedChunks limits the queue of one direction of a connection. While the queue is full, nothing is read,
	// so the sender is blocked as by a full TCP window.
	maxQueuedChunks = 256
)

// Conditions describes the state of a network path.
type Conditions struct {
	CutForward  bool          // blocks data from the dialling side to the target
	CutBackward bool          // blocks data from the target to the dialling side
	Delay       time.Duration // time from reading data to forwarding it, in each direction
}

// Relay is one emulated network path.
type Relay struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	conditions  Conditions
	changed     chan struct{} // closed and replaced when the conditions change
	connections map[net.Conn]bool
}

// Start starts a relay that listens on a free port of 127.0.0.1 and forwards connections to a target address.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		listener:    listener,
		target:      target,
		changed:     make(chan struct{}),
		connections: map[net.Conn]bool{},
	}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Address returns the address to dial to reach the target through the relay.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// SetConditions changes the conditions of the path. They also apply to data that was read but not forwarded yet.
func (r *Relay) SetConditions(conditions Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions = conditions
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close closes the listener and all connections, and waits until no more data is forwarded.
func (r *Relay) Close() {
	ignore(r.listener.Close())
	r.mu.Lock()
	for conn := range r.connections {
		ignore(conn.Close())
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.forward(conn) })
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

// forward connects an accepted connection to the target and forwards data in both directions until either side
// closes its connection.
func (r *Relay) forward(from net.Conn) {
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
	var directions sync.WaitGroup
	directions.Go(func() {
		defer end()
		r.copyChunks(to, from, func(c Conditions) bool { return c.CutForward }, ended)
	})
	directions.Go(func() {
		defer end()
		r.copyChunks(from, to, func(c Conditions) bool { return c.CutBackward }, ended)
	})
	directions.Wait()
}

// chunk is data that was read from one side and not forwarded yet.
type chunk struct {
	readAt time.Time
	bytes  []byte
}

// copyChunks forwards the data of one direction in order. Each chunk waits until the current conditions let it
// pass.
func (r *Relay) copyChunks(to, from net.Conn, isCut func(Conditions) bool, ended chan struct{}) {
	queue := make(chan chunk, maxQueuedChunks)
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
		buffer := make([]byte, maxChunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			select {
			case queue <- chunk{readAt: time.Now(), bytes: buffer[:n]}:
			case <-ended:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait waits until the conditions let a chunk pass. It returns false if the connection ends before that.
func (r *Relay) wait(next chunk, isCut func(Conditions) bool, ended <-chan struct{}) bool {
	for {
		r.mu.Lock()
		conditions, changed := r.conditions, r.changed
		r.mu.Unlock()
		delay := time.Until(next.readAt.Add(conditions.Delay))
		var due <-chan time.Time // stays nil while the direction is cut, so that it never fires
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

// ignore drops the error of closing a connection or listener. The peer sees the closed connection itself, so the
// error need not be reported.
func ignore(error) {}
