// Package cache is a stand-in of a cache on loopback: it answers fetches and probes as the members' protocol says,
// can hang, and notes what came.
package cache

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"tealpath/resp"
)

// Probe is one `alive` that came.
type Probe struct {
	At  time.Time
	Tag string
}

// Cache is one stand-in.
type Cache struct {
	Name string

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	probes   []Probe
	fetches  int
	peak     int // connections at a time
	silent   bool
	group    sync.WaitGroup
}

// Start opens a stand-in at an address; an empty one is any free port of 127.0.0.1.
func Start(name, address string) (*Cache, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Cache{Name: name, listener: listener, conns: map[net.Conn]bool{}}
	c.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[conn] = true
			c.peak = max(c.peak, len(c.conns))
			c.mu.Unlock()
			c.group.Go(func() {
				c.serve(conn)
				conn.Close()
				c.mu.Lock()
				delete(c.conns, conn)
				c.mu.Unlock()
			})
		}
	})
	return c, nil
}

// Address is where it listens.
func (c *Cache) Address() string { return c.listener.Addr().String() }

// Hang has it read on and answer nothing, or answer again.
func (c *Cache) Hang(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = on
}

// Probes is what came so far, in order.
func (c *Cache) Probes() []Probe {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Probe(nil), c.probes...)
}

// Fetches is how many came.
func (c *Cache) Fetches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fetches
}

// Peak is the most connections that there were at a time.
func (c *Cache) Peak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak
}

// Close resets all connections, as a process that dies does.
func (c *Cache) Close() {
	c.listener.Close()
	c.mu.Lock()
	for conn := range c.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	c.mu.Unlock()
	c.group.Wait()
}

func (c *Cache) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		words, err := resp.Read(in)
		if err != nil || len(words) < 2 {
			return
		}
		tag := string(words[1])
		var out []byte
		c.mu.Lock()
		open, silent := len(c.conns), c.silent
		switch string(words[0]) {
		case "alive":
			c.probes = append(c.probes, Probe{time.Now(), tag})
			out = resp.Text(resp.Text(resp.Head(nil, 3), tag), "green")
			out = resp.Text(out, fmt.Sprintf("use=inflight:%d;x1:0.1;x0:0.5", open-1))
		case "fetch":
			c.fetches++
			if len(words) == 4 {
				out = resp.Text(resp.Text(resp.Head(nil, 4), tag), "served")
				out = resp.Text(out, fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=TCP_HIT", time.Now().UnixMilli()))
				out = resp.Text(out, words[3])
			}
		}
		c.mu.Unlock()
		if silent || out == nil {
			continue
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}
