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

// unansweredPrefix is the prefix of the IDs of objects for which no cache sends a response.
const unansweredPrefix = "dead"

// UnansweredObjectID returns the ID of the object with a number. No cache responds to requests for this object.
func UnansweredObjectID(n int) string { return fmt.Sprintf("%s%012x", unansweredPrefix, n) }

// Behavior is how a cache reacts to requests.
type Behavior int

const (
	// Respond serves all requests except those for objects of UnansweredObjectID.
	Respond Behavior = iota
	// Hang reads requests and never responds.
	Hang
	// ResetConnection resets each connection on which a request arrives, without a response.
	ResetConnection
	// ResetOldConnections resets each connection that is open when the behavior is set, once a request arrives on
	// it. Requests on later connections are served.
	ResetOldConnections
)

// CacheRequest is a request or an abort that a cache has received from a router.
type CacheRequest struct {
	ID     string
	Object string
	Fields string // the fields as received: NAME=VALUE, separated by commas
	At     time.Time
	Abort  bool // the router has aborted the request ID; Object and Fields are empty
}

// Number returns the value of a numeric field, or -1 if the request has no such field.
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

// Cache is a cache server whose behavior a test sets. It records all requests. It has no capacity limits, unlike
// the cache in internal/emulator/cache.
type Cache struct {
	listener net.Listener
	issued   func(CacheRequest) time.Time

	mu          sync.Mutex
	behavior    Behavior          // guarded by mu; reaction to the next request
	delay       time.Duration     // guarded by mu; time from a request to its response; 0: respond at once
	connections map[net.Conn]bool // guarded by mu; whether the next request resets the connection
	requests    []CacheRequest    // guarded by mu; all requests and aborts received
	taken       int               // guarded by mu; number of requests and aborts that take has returned
}

// StartCache starts a cache on a free port of 127.0.0.1 and stops it at the end of the test.
func StartCache(t *testing.T) *Cache {
	t.Helper()
	return StartCacheAt(t, "127.0.0.1:0", nil)
}

// StartCacheAt starts a cache on an address and stops it at the end of the test. Each response reports as its time of
// issue what issued returns for the request, or the current time if issued is nil.
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

// Address returns the address on which the cache listens.
func (c *Cache) Address() string { return c.listener.Addr().String() }

// Kill closes the listener and resets all connections, as the system does for a process that dies.
func (c *Cache) Kill() {
	Close(c.listener)
	c.ResetAll()
}

// ResetAll ends all connections with a TCP reset. The cache still accepts new connections.
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

// SetBehavior sets how the cache reacts to requests from now on, and the delay before each response.
func (c *Cache) SetBehavior(behavior Behavior, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behavior, c.delay = behavior, delay
	for conn := range c.connections {
		if behavior == ResetOldConnections {
			c.connections[conn] = true
		}
	}
}

// Requests returns the requests for an object received so far, or all requests if the object is empty. Aborts are
// not included.
func (c *Cache) Requests(object string) (received []CacheRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.requests {
		isWanted := object == "" || request.Object == object
		if isWanted && !request.Abort {
			received = append(received, request)
		}
	}
	return received
}

// OpenConnections returns the number of connections that the cache has accepted and that have not ended.
func (c *Cache) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.connections)
}

// take returns the oldest request or abort that it has not returned before, and whether there is one.
func (c *Cache) take() (CacheRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken == len(c.requests) {
		return CacheRequest{}, false
	}
	c.taken++
	return c.requests[c.taken-1], true
}

// DiscardRequests discards all requests and aborts that WaitRequest has not looked at, and returns their number.
func (c *Cache) DiscardRequests() (count int) {
	for {
		if _, ok := c.take(); !ok {
			return count
		}
		count++
	}
}

// WaitRequest waits until one of the caches receives a matching request or abort, and returns it. It discards those
// that it looks at and that do not match. If there is no match within Timeout, the test fails with a message that
// contains the description.
func WaitRequest(
	t *testing.T, description string, matches func(CacheRequest) bool, caches ...*Cache,
) (found CacheRequest) {
	t.Helper()
	WaitUntil(t, Timeout, "a cache is asked "+description, func() bool {
		for _, cache := range caches {
			for request, ok := cache.take(); ok; request, ok = cache.take() {
				if matches(request) {
					found = request
					return true
				}
			}
		}
		return false
	})
	return found
}

// WaitRequestFor waits until one of the caches receives a request for an object, and returns it. It discards requests
// and fails the test like WaitRequest.
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

// serve handles the requests on a connection until the connection ends.
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

// record records a request or an abort, and resets the connection if the behavior says so. It returns whether the
// cache responds, and after which delay.
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

// fetch handles a request, whose words are the command, the ID, the fields and the body.
func (c *Cache) fetch(conn net.Conn, words [][]byte) {
	request := CacheRequest{ID: string(words[1]), Fields: string(words[2])}
	request.Object = request.field("path")
	responds, delay := c.record(conn, request)
	if !responds {
		return
	}
	respond := func() { Write(conn, c.response(request, words[3])) } // one write, so that responses do not mix
	if delay > 0 {
		time.AfterFunc(delay, respond)
		return
	}
	respond()
}

// response encodes the response to a request. If the client has a copy of the object, the response says that the
// copy is still valid, else it has a body.
func (c *Cache) response(request CacheRequest, body []byte) []byte {
	status, content := "served", append([]byte("whole:"), body...)
	if request.field("mine") != "" {
		status, content = "still_good", nil
	}
	issued := time.Now()
	if c.issued != nil {
		issued = c.issued(request)
	}
	out := resp.AppendString(resp.AppendString(resp.AppendArrayHeader(nil, 4), request.ID), status)
	out = resp.AppendString(out, fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=TCP_MISS", issued.UnixMilli()))
	return resp.AppendString(out, content)
}
