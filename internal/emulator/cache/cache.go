// Package cache emulates a cache server on a loopback address. It responds to fetches and health checks in the
// protocol between router and endpoints, can have capacity limits, can be made unresponsive, and counts the
// requests that it receives.
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

const anyLoopbackPort = "127.0.0.1:0"

// HealthCheck is one health check that a cache has received.
type HealthCheck struct {
	At time.Time // when the cache received it
	ID string    // the identifier that the router gave it
}

// Cache is one emulated cache server.
type Cache struct {
	Name string

	listener   net.Listener
	goroutines sync.WaitGroup

	mu              sync.Mutex // guards the fields below
	connections     map[net.Conn]bool
	healthChecks    []HealthCheck
	fetches         int
	peakConnections int
	unresponsive    bool
	model           *CapacityModel // nil: the cache has no limits
}

// Start starts a cache that listens on an address. If the address is empty, the cache listens on a free port of
// 127.0.0.1.
func Start(name, address string) (*Cache, error) {
	if address == "" {
		address = anyLoopbackPort
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Cache{Name: name, listener: listener, connections: map[net.Conn]bool{}}
	c.goroutines.Go(c.accept)
	return c, nil
}

// Address returns the address on which the cache listens.
func (c *Cache) Address() string {
	return c.listener.Addr().String()
}

// SetLimits replaces the limits of the cache. Its warm-up begins at startedAt. Open connections stay open and count
// against the new limits.
func (c *Cache) SetLimits(limits Limits, startedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.model = NewCapacityModel(limits, startedAt.UnixNano())
	c.unresponsive = limits.Unresponsive
	for range c.connections {
		c.model.Connect(time.Now().UnixNano())
	}
}

// Model returns a copy of the cache's capacity model. Without limits only PeakConnections is set.
func (c *Cache) Model() CapacityModel {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.model == nil {
		return CapacityModel{PeakConnections: c.peakConnections}
	}
	return *c.model
}

// SetUnresponsive sets whether the cache reads requests without responding to them.
func (c *Cache) SetUnresponsive(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive = on
}

// HealthChecks returns all health checks received so far, in the order of their arrival.
func (c *Cache) HealthChecks() []HealthCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.healthChecks)
}

// Fetches returns the number of fetches received so far, including those that got no response.
func (c *Cache) Fetches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fetches
}

// Close closes the listener, resets all connections, as the system does for a process that dies, and waits for
// the goroutines of the cache.
func (c *Cache) Close() {
	ignore(c.listener.Close())
	c.mu.Lock()
	c.resetConnections()
	c.mu.Unlock()
	c.goroutines.Wait()
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
		c.goroutines.Go(func() {
			c.serve(conn)
			c.remove(conn)
		})
	}
}

// admit records a new connection and returns true, or returns false if the limits do not allow the connection.
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

// resetConnections ends all connections with a TCP reset, so that requests in flight fail at once. The caller holds
// mu.
func (c *Cache) resetConnections() {
	for conn := range c.connections {
		reset(conn)
		delete(c.connections, conn)
	}
}

// serve responds to the requests on one connection until the connection ends.
func (c *Cache) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	var writeMu sync.Mutex // held while a response is written
	var delayedWrites sync.WaitGroup
	defer delayedWrites.Wait()
	write := func(response []byte) error {
		writeMu.Lock()
		defer writeMu.Unlock()
		_, err := conn.Write(response)
		return err
	}
	for {
		words, err := resp.Read(in)
		if err != nil || len(words) < 2 {
			return
		}
		response, delay := c.respond(words)
		switch {
		case response == nil:
		case delay > 0: // responses to later requests may be written before this one
			delayedWrites.Go(func() {
				time.Sleep(delay)
				ignore(write(response))
			})
		case write(response) != nil:
			return
		}
	}
}

// respond records a request. It returns the encoded response, or nil if there is none, and the delay after which the
// response must be written.
func (c *Cache) respond(words [][]byte) (response []byte, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := string(words[1])
	switch string(words[0]) {
	case "alive":
		c.healthChecks = append(c.healthChecks, HealthCheck{At: time.Now(), ID: id})
		response = encodeHealth(id, len(c.connections)-1)
	case "fetch":
		c.fetches++
		if len(words) == 4 {
			response, delay = c.fetch(id, string(words[2]), words[3])
		}
	}
	if c.unresponsive {
		return nil, 0
	}
	return response, delay
}

// Values of the detail field of a response, which tells whether the cache had the object or filled it first.
const (
	detailHit  = "TCP_HIT"
	detailFill = "TCP_MISS"
)

// fetch returns the response to the request for an object and its delay. The content of the object is the body
// of the request. The caller holds mu.
func (c *Cache) fetch(id, fields string, body []byte) (response []byte, delay time.Duration) {
	if c.model == nil {
		return encodeServed(id, detailHit, body), 0
	}
	outcome := c.model.Request(time.Now().UnixNano(), objectPath(fields))
	delay = time.Duration(outcome.Delay)
	switch {
	case outcome.Crashed:
		c.resetConnections()
		return nil, 0
	case outcome.Fill:
		return encodeServed(id, detailFill, body), delay
	}
	return encodeServed(id, detailHit, body), delay
}

// objectPath returns the value of the last "path" field of a fetch, which names the requested object.
func objectPath(fields string) string {
	object := ""
	for field := range strings.SplitSeq(fields, ",") {
		if path, ok := strings.CutPrefix(field, "path="); ok {
			object = path
		}
	}
	return object
}

func encodeHealth(id string, inFlight int) []byte {
	response := resp.AppendArrayHeader(nil, 3)
	response = resp.AppendString(response, id)
	response = resp.AppendString(response, "green")
	return resp.AppendString(response, fmt.Sprintf("use=inflight:%d;x1:0.1;x0:0.5", inFlight))
}

func encodeServed(id, detail string, body []byte) []byte {
	response := resp.AppendArrayHeader(nil, 4)
	response = resp.AppendString(response, id)
	response = resp.AppendString(response, "served")
	fields := fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=%s", time.Now().UnixMilli(), detail)
	response = resp.AppendString(response, fields)
	return resp.AppendString(response, body)
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		ignore(tcp.SetLinger(0))
	}
	ignore(conn.Close())
}

// ignore drops the error of an operation on a connection or listener that may be closed already. The router
// under test sees the closed connection itself, so the error need not be reported.
func ignore(error) {}
