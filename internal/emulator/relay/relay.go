// Package relay is a scripted stand-in of a network way: TCP from one address to another, which can be cut in one
// direction (bytes are held, as by a network that loses them), delayed, or closed.
package relay

import (
	"net"
	"sync"
	"time"
)

const (
	chunk    = 32 << 10
	heldMost = 256 // chunks held in one direction; then reading stops, as windows fill
)

// Relay is one way.
type Relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	forth    rule // from who dials
	back     rule
	conns    map[net.Conn]bool
	changed  chan struct{}
	group    sync.WaitGroup
}

type rule struct {
	cut   bool
	delay time.Duration
}

// Start opens a way to a target from a free port of 127.0.0.1.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	r.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.group.Go(func() { r.pass(conn) })
		}
	})
	return r, nil
}

// Address is what is to be dialled.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set scripts the way: whether each direction is cut, and by how much what goes is late.
func (r *Relay) Set(cutForth, cutBack bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forth, r.back = rule{cutForth, delay}, rule{cutBack, delay}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close ends it and all that goes over it.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.group.Wait()
}

func (r *Relay) hold(c net.Conn, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.conns[c] = true
	} else {
		delete(r.conns, c)
	}
}

func (r *Relay) pass(from net.Conn) {
	defer from.Close()
	r.hold(from, true)
	defer r.hold(from, false)
	to, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	r.hold(to, true)
	defer r.hold(to, false)
	var both sync.WaitGroup
	over := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(over); from.Close(); to.Close() }) }
	both.Go(func() { defer end(); r.copy(to, from, &r.forth, over) })
	both.Go(func() { defer end(); r.copy(from, to, &r.back, over) })
	both.Wait()
}

// copy carries bytes in order, each chunk by the rule in force when it goes.
func (r *Relay) copy(to, from net.Conn, by *rule, over chan struct{}) {
	type piece struct {
		at    time.Time
		bytes []byte
	}
	held := make(chan piece, heldMost)
	go func() {
		defer close(held)
		for {
			buffer := make([]byte, chunk)
			n, err := from.Read(buffer)
			if n > 0 {
				select {
				case held <- piece{time.Now(), buffer[:n]}:
				case <-over:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range held {
		for {
			r.mu.Lock()
			now, changed := *by, r.changed
			r.mu.Unlock()
			wait := time.Until(p.at.Add(now.delay))
			if !now.cut && wait <= 0 {
				break
			}
			if now.cut {
				wait = time.Hour
			}
			select {
			case <-time.After(wait):
			case <-changed:
			case <-over:
				return
			}
		}
		if _, err := to.Write(p.bytes); err != nil {
			return
		}
	}
}
