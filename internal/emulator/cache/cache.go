// Package cache is a stand-in of a cache on loopback: it answers fetches and probes as the members' protocol says,
// can hang, and notes what came.
package cache

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"tealpath/internal/protocol/resp"
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
	bear     *Bear // nil: it bears all
	group    sync.WaitGroup
}

// Bear has it bear no more than some bounds from now on, as if it had started at a time.
func (c *Cache) Bear(b Bounds, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bear, c.silent = NewBear(b, started.UnixNano()), b.Hangs
	for range c.conns {
		c.bear.Connect(time.Now().UnixNano())
	}
}

// Course is how it went under its bounds so far.
func (c *Cache) Course() Bear {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bear == nil {
		return Bear{Peak: c.peak}
	}
	return *c.bear
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
			if c.bear != nil && !c.bear.Connect(time.Now().UnixNano()) {
				c.mu.Unlock()
				reset(conn)
				continue
			}
			c.conns[conn] = true
			c.peak = max(c.peak, len(c.conns))
			c.mu.Unlock()
			c.group.Go(func() {
				c.serve(conn)
				conn.Close()
				c.mu.Lock()
				if c.conns[conn] && c.bear != nil {
					c.bear.Disconnect()
				}
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
	c.drop()
	c.mu.Unlock()
	c.group.Wait()
}

func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// drop resets all connections; the mutex is held.
func (c *Cache) drop() {
	for conn := range c.conns {
		reset(conn)
		delete(c.conns, conn)
	}
}

// asked takes a request for an object under the bounds: how long its answer takes, and in what words it says where from.
func (c *Cache) asked(fields string) (wait time.Duration, detail string) {
	if c.bear == nil {
		return 0, "TCP_HIT"
	}
	object := ""
	for f := range strings.SplitSeq(fields, ",") {
		if path, ok := strings.CutPrefix(f, "path="); ok {
			object = path
		}
	}
	ns, fill, fell := c.bear.Ask(time.Now().UnixNano(), object)
	switch {
	case fell:
		c.drop()
		return 0, ""
	case fill:
		return time.Duration(ns), "TCP_MISS"
	}
	return time.Duration(ns), "TCP_HIT"
}

func (c *Cache) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	var late sync.WaitGroup
	defer late.Wait()
	for {
		words, err := resp.Read(in)
		if err != nil || len(words) < 2 {
			return
		}
		tag := string(words[1])
		var out []byte
		wait := time.Duration(0)
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
				detail := ""
				wait, detail = c.asked(string(words[2]))
				out = resp.Text(resp.Text(resp.Head(nil, 4), tag), "served")
				out = resp.Text(out, fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=%s", time.Now().UnixMilli(), detail))
				if out = resp.Text(out, words[3]); detail == "" {
					out = nil
				}
			}
		}
		c.mu.Unlock()
		if silent || out == nil {
			continue
		}
		if wait > 0 { // answers come in any order
			late.Go(func() {
				time.Sleep(wait)
				writing.Lock()
				defer writing.Unlock()
				conn.Write(out)
			})
			continue
		}
		writing.Lock()
		_, err = conn.Write(out)
		if writing.Unlock(); err != nil {
			return
		}
	}
}
