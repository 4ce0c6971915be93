package testkit

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tealpath/internal/protocol/resp"
)

// unansweredPrefix is how the names of objects begin that no cache responds for.
const unansweredPrefix = "dead"

// UnansweredID returns the name of an object that no cache responds for.
func UnansweredID(n int) string { return fmt.Sprintf("%s%012x", unansweredPrefix, n) }

// Behavior is how a cache treats the requests that come to it.
type Behavior int

const (
	// Respond serves each request, but those for objects of UnansweredID.
	Respond Behavior = iota
	// Hang reads requests and never responds.
	Hang
	// ResetConnection resets the connection by which a request comes.
	ResetConnection
	// ForgetConnections resets those connections by the next request on them that were made before the behavior
	// was set; new ones are served.
	ForgetConnections
)

// CacheRequest is what a router has asked a cache for.
type CacheRequest struct {
	ID     string
	Object string
	Fields string // as they were sent, NAME=VALUE separated by commas
	At     time.Time
	Abort  bool // the router has given up request ID; the other fields are empty
}

// Number returns the number that a field has, or -1 if there is none.
func (r CacheRequest) Number(name string) int64 {
	number, err := strconv.ParseInt(r.field(name), 10, 64)
	if err != nil {
		return -1
	}
	return number
}

func (r CacheRequest) field(name string) string {
	for field := range strings.SplitSeq(r.Fields, ",") {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			return value
		}
	}
	return ""
}

// Cache is a cache server that behaves as a test says and records what it is asked for. It has no limits; a
// model of a cache's capacity is in internal/emulator/cache.
type Cache struct {
	listener net.Listener
	issued   func(CacheRequest) time.Time

	mu          sync.Mutex
	behavior    Behavior          // guarded by mu
	delay       time.Duration     // guarded by mu; until it responds
	connections map[net.Conn]bool // guarded by mu; whether the next request resets the connection
	requests    []CacheRequest    // guarded by mu; all that came
	taken       int               // guarded by mu; how many of them Next has returned
}

// StartCache starts a cache that ends with the test.
func StartCache(t *testing.T) *Cache {
	t.Helper()
	return StartCacheAt(t, "127.0.0.1:0", nil)
}

// StartCacheAt starts a cache at an address. Where issued is not nil it returns when the copy was issued that
// the cache responds with; else that is the time of the response.
func StartCacheAt(t *testing.T, address string, issued func(CacheRequest) time.Time) *Cache {
	t.Helper()
	c := &Cache{listener: ListenAt(t, address), issued: issued, connections: map[net.Conn]bool{}}
	t.Cleanup(c.Kill)
	go accept(c.listener, func(conn net.Conn) {
		c.add(conn)
		go c.serve(conn)
	})
	return c
}

// Address returns where the cache listens.
func (c *Cache) Address() string { return c.listener.Addr().String() }

// Kill closes the listener and resets all connections, as the system does for a process that dies.
func (c *Cache) Kill() {
	Close(c.listener)
	c.ResetAll()
}

// ResetAll resets all connections.
func (c *Cache) ResetAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.connections {
		c.resetLocked(conn)
	}
}

// resetLocked resets a connection. The caller holds mu.
func (c *Cache) resetLocked(conn net.Conn) {
	delete(c.connections, conn)
	Reset(conn)
}

// SetBehavior sets how the cache treats requests from now on, and how long after a request it responds.
func (c *Cache) SetBehavior(behavior Behavior, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behavior, c.delay = behavior, delay
	for conn := range c.connections {
		if behavior == ForgetConnections {
			c.connections[conn] = true
		}
	}
}

// Requests returns what has come for an object so far, or all that has come where the name is empty. Aborts are
// left out.
func (c *Cache) Requests(object string) (came []CacheRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.requests {
		isWanted := object == "" || request.Object == object
		if isWanted && !request.Abort {
			came = append(came, request)
		}
	}
	return came
}

// OpenConnections returns how many connections there are.
func (c *Cache) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.connections)
}

// take returns the oldest request that was not taken yet, and whether there is one.
func (c *Cache) take() (CacheRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken == len(c.requests) {
		return CacheRequest{}, false
	}
	c.taken++
	return c.requests[c.taken-1], true
}

// Drain takes all requests that have come so far, and returns how many there were.
func (c *Cache) Drain() (count int) {
	for {
		if _, ok := c.take(); !ok {
			return count
		}
		count++
	}
}

// WaitRequest takes requests from caches, each in its order, until one is as wanted, and returns that one. It
// fails the test if there is none within Timeout.
func WaitRequest(t *testing.T, what string, wanted func(CacheRequest) bool, caches ...*Cache) (found CacheRequest) {
	t.Helper()
	WaitUntil(t, Timeout, "a cache is asked "+what, func() bool {
		for _, cache := range caches {
			for request, ok := cache.take(); ok; request, ok = cache.take() {
				if wanted(request) {
					found = request
					return true
				}
			}
		}
		return false
	})
	return found
}

// WaitRequestFor is WaitRequest for an object.
func WaitRequestFor(t *testing.T, object string, caches ...*Cache) CacheRequest {
	t.Helper()
	isFor := func(request CacheRequest) bool { return request.Object == object }
	return WaitRequest(t, "for "+object, isFor, caches...)
}

func (c *Cache) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections[conn] = false
}

func (c *Cache) remove(conn net.Conn) {
	Close(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.connections, conn)
}

// serve serves a connection until it ends.
func (c *Cache) serve(conn net.Conn) {
	defer c.remove(conn)
	for in := bufio.NewReader(conn); ; {
		words, err := resp.Read(in)
		if err != nil {
			return
		}
		switch string(words[0]) {
		case "abort":
			c.record(conn, CacheRequest{ID: string(words[1]), Abort: true})
		case "fetch":
			c.fetch(conn, words)
		}
	}
}

// record records a request, and returns how it is to be treated.
func (c *Cache) record(conn net.Conn, request CacheRequest) (responds bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.At = time.Now()
	c.requests = append(c.requests, request)
	if request.Abort {
		return false, 0
	}
	if c.behavior == ResetConnection || c.connections[conn] {
		c.resetLocked(conn)
		return false, 0
	}
	return c.behavior != Hang && !strings.HasPrefix(request.Object, unansweredPrefix), c.delay
}

// fetch responds to a request. Its words are the command, the identifier, the fields and the body.
func (c *Cache) fetch(conn net.Conn, words [][]byte) {
	request := CacheRequest{ID: string(words[1]), Fields: string(words[2])}
	request.Object = request.field("path")
	responds, delay := c.record(conn, request)
	if !responds {
		return
	}
	respond := func() { Write(conn, c.response(request, words[3])) } // in one write
	if delay > 0 {
		time.AfterFunc(delay, respond)
		return
	}
	respond()
}

// response returns the response to a request: that the client's copy holds if it has one, else a body.
func (c *Cache) response(request CacheRequest, body []byte) []byte {
	status, content := "served", append([]byte("whole:"), body...)
	if request.field("mine") != "" {
		status, content = "still_good", nil
	}
	issued := time.Now()
	if c.issued != nil {
		issued = c.issued(request)
	}
	out := resp.Text(resp.Text(resp.Head(nil, 4), request.ID), status)
	out = resp.Text(out, fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=TCP_MISS", issued.UnixMilli()))
	return resp.Text(out, content)
}
