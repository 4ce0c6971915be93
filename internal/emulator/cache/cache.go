// Package cache emulates a cache on loopback: it answers fetches and health checks by the endpoints' protocol
// within the limits that it is given, can stop to answer, and records what came.
package cache

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"tealpath/internal/protocol/resp"
)

const anyPort = "127.0.0.1:0"

// HealthCheck is one health check that came.
type HealthCheck struct {
	At time.Time
	ID string
}

// Cache is one emulated cache.
type Cache struct {
	Name string

	listener net.Listener
	group    sync.WaitGroup

	mu              sync.Mutex // guards what follows
	connections     map[net.Conn]bool
	healthChecks    []HealthCheck
	fetches         int
	peakConnections int
	unresponsive    bool
	model           *CapacityModel // nil: it has no limits
}

// Start opens a cache at an address; an empty one is any free port of 127.0.0.1.
func Start(name, address string) (*Cache, error) {
	if address == "" {
		address = anyPort
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Cache{Name: name, listener: listener, connections: map[net.Conn]bool{}}
	c.group.Go(c.accept)
	return c, nil
}

// Address returns where it listens.
func (c *Cache) Address() string {
	return c.listener.Addr().String()
}

// SetLimits has it serve within limits from now on, as if it had started at a time.
func (c *Cache) SetLimits(limits Limits, startedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.model = NewCapacityModel(limits, startedAt.UnixNano())
	c.unresponsive = limits.Unresponsive
	for range c.connections {
		c.model.Connect(time.Now().UnixNano())
	}
}

// Model returns its state under its limits, a copy.
func (c *Cache) Model() CapacityModel {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.model == nil {
		return CapacityModel{PeakConnections: c.peakConnections}
	}
	return *c.model
}

// SetUnresponsive has it read on and answer nothing, or answer again.
func (c *Cache) SetUnresponsive(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive = on
}

// HealthChecks returns those that came so far, in order.
func (c *Cache) HealthChecks() []HealthCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.healthChecks)
}

// Fetches returns how many came so far.
func (c *Cache) Fetches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fetches
}

// Close resets all connections, as those of a process that dies.
func (c *Cache) Close() {
	ignore(c.listener.Close())
	c.mu.Lock()
	c.resetConnections()
	c.mu.Unlock()
	c.group.Wait()
}

func (c *Cache) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		if !c.admit(conn) {
			reset(conn)
			continue
		}
		c.group.Go(func() {
			c.serve(conn)
			c.remove(conn)
		})
	}
}

// admit records a connection that is within the limits.
func (c *Cache) admit(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.model != nil && !c.model.Connect(time.Now().UnixNano()) {
		return false
	}
	c.connections[conn] = true
	c.peakConnections = max(c.peakConnections, len(c.connections))
	return true
}

func (c *Cache) remove(conn net.Conn) {
	ignore(conn.Close())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[conn] && c.model != nil {
		c.model.Disconnect()
	}
	delete(c.connections, conn)
}

// resetConnections resets all connections; the mutex is held.
func (c *Cache) resetConnections() {
	for conn := range c.connections {
		reset(conn)
		delete(c.connections, conn)
	}
}

// serve answers what comes on one connection until it ends.
func (c *Cache) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	var writing sync.Mutex // held while an answer is written
	var delayed sync.WaitGroup
	defer delayed.Wait()
	write := func(answer []byte) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := conn.Write(answer)
		return err
	}
	for {
		words, err := resp.Read(in)
		if err != nil || len(words) < 2 {
			return
		}
		answer, delay := c.answer(words)
		switch {
		case answer == nil:
		case delay > 0: // others may overtake it
			delayed.Go(func() {
				time.Sleep(delay)
				ignore(write(answer))
			})
		case write(answer) != nil:
			return
		}
	}
}

// answer records a command and returns its answer, nil for none, and after which time that is to be written.
func (c *Cache) answer(words [][]byte) (answer []byte, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := string(words[1])
	switch string(words[0]) {
	case "alive":
		c.healthChecks = append(c.healthChecks, HealthCheck{At: time.Now(), ID: id})
		answer = encodeHealth(id, len(c.connections)-1)
	case "fetch":
		c.fetches++
		if len(words) == 4 {
			answer, delay = c.fetch(id, string(words[2]), words[3])
		}
	}
	if c.unresponsive {
		return nil, 0
	}
	return answer, delay
}

// The words of a response for where its object is from.
const (
	detailHit  = "TCP_HIT"
	detailFill = "TCP_MISS"
)

// fetch serves an object, whose content is the request's body. The mutex is held.
func (c *Cache) fetch(id, fields string, body []byte) (answer []byte, delay time.Duration) {
	if c.model == nil {
		return encodeServed(id, detailHit, body), 0
	}
	response := c.model.Request(time.Now().UnixNano(), pathOf(fields))
	delay = time.Duration(response.Delay)
	switch {
	case response.Crashed:
		c.resetConnections()
		return nil, 0
	case response.Fill:
		return encodeServed(id, detailFill, body), delay
	}
	return encodeServed(id, detailHit, body), delay
}

// pathOf returns the object that the fields of a fetch name.
func pathOf(fields string) string {
	object := ""
	for field := range strings.SplitSeq(fields, ",") {
		if path, ok := strings.CutPrefix(field, "path="); ok {
			object = path
		}
	}
	return object
}

func encodeHealth(id string, inFlight int) []byte {
	answer := resp.Head(nil, 3)
	answer = resp.Text(answer, id)
	answer = resp.Text(answer, "green")
	return resp.Text(answer, fmt.Sprintf("use=inflight:%d;x1:0.1;x0:0.5", inFlight))
}

func encodeServed(id, detail string, body []byte) []byte {
	answer := resp.Head(nil, 4)
	answer = resp.Text(answer, id)
	answer = resp.Text(answer, "served")
	fields := fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=%s", time.Now().UnixMilli(), detail)
	answer = resp.Text(answer, fields)
	return resp.Text(answer, body)
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		ignore(tcp.SetLinger(0))
	}
	ignore(conn.Close())
}

// ignore drops the error of an operation on a connection or listener that its peer may have ended: an emulated
// cache has nobody to report it to, and the router under test sees the end itself.
func ignore(error) {}
