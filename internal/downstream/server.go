package downstream

import (
	"cmp"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tealpath/internal/clock"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

// defaultMaxResumeWait is used if the configuration sets no MaxResumeWait.
const defaultMaxResumeWait = 200 * time.Millisecond

// Config holds the limits and dependencies of a Server.
type Config struct {
	MaxConnections           int
	MaxRequestsPerConnection int                 // maximum number of requests in flight on one connection
	MaxBytes                 int64               // bytes for unwritten responses
	MaxRequestBytes          int64               // bytes for large requests until the router has them; 0: MaxBytes
	MaxRequestTime           time.Duration       // longest time for which a client waits for a response; 0: 2 s
	MaxResumeWait            time.Duration       // longest time that received data may wait for memory; 0: 0.2 s
	FreeMemory               func() int64        // bytes that the process may still allocate; nil: enough
	Cores                    float64             // processor cores available to the process; 0: one
	Seed                     uint64              // seed of the random jitter of idle timeouts
	Saturated                func() bool         // whether events are waiting for the router's goroutine; nil: never
	Policies                 *NetworkPolicies    // by the client's network; nil: default timeouts, no limits
	Clock                    clock.Clock         // nil: clock.System
	SystemCalls              *poller.SystemCalls // system calls on suspended connections; nil: poller.Kernel
}

// withDefaults returns a copy of the configuration in which fields that are nil or 0 have their default values.
func (c Config) withDefaults() Config {
	if c.MaxResumeWait <= 0 {
		c.MaxResumeWait = defaultMaxResumeWait
	}
	if c.FreeMemory == nil {
		c.FreeMemory = func() int64 { return math.MaxInt64 }
	}
	c.MaxRequestBytes = cmp.Or(c.MaxRequestBytes, c.MaxBytes)
	if c.MaxRequestTime <= 0 {
		c.MaxRequestTime = requestStallTimeout
	}
	if c.Policies == nil {
		c.Policies = defaultPolicies()
	}
	if c.SystemCalls == nil {
		c.SystemCalls = poller.Kernel
	}
	if c.Saturated == nil {
		c.Saturated = func() bool { return false }
	}
	if c.Clock == nil {
		c.Clock = clock.System()
	}
	return c
}

// PostFunc passes an event to the router, and may wait until the router can take it. Once the router has handled the
// event, or is known never to handle it, handled is called, unless it is nil.
type PostFunc func(event router.Event, handled func())

// Server accepts the client connections of one listener, posts their requests to the router and writes its responses.
type Server struct {
	listener     net.Listener
	config       Config
	post         PostFunc
	emit         func(logevent.Event)
	ready        atomic.Bool // the answer to health requests is "healthy"
	pacer        *idle.AcceptPacer
	resumeLimits idle.ResumeLimits
	memory       *memoryLimits
	idle         *idleConnections
	evicted      evictedConnections
	heartbeat    heartbeat
	goroutines   sync.WaitGroup

	serving   atomic.Int64 // number of connections that have goroutines
	shedding  atomic.Int64 // number of connections that are active only to reject requests for want of memory
	rejecting atomic.Int64 // number of connections without a slot in the table whose requests are being rejected

	answerDeadline atomic.Int64 // see SetAnswerDeadline; 0: none

	draining       atomic.Bool // CloseIdle has closed the listener: no new connection can arrive
	acceptFinished atomic.Bool // no more connections are accepted: each accepted one has a slot or was rejected

	mu          sync.Mutex
	connections map[router.ClientID]*connection // guarded by mu; connections that are not suspended
	lastID      router.ClientID                 // guarded by mu; ID that was assigned last; 0: none
	// atLimit is true from ConnectionLimitReached to ConnectionLimitCleared. It is guarded by mu.
	atLimit    bool
	rejections rejectionLog // guarded by mu; connections rejected because of a limit set by the operator

	partialRejections rejectionLog // guarded by mu; requests rejected before they were received completely
}

// New returns a server for a listener. The server passes the events of clients to post, which may block, and
// log events to emit.
func New(
	listener net.Listener, config Config, post PostFunc, emit func(logevent.Event),
) *Server {
	config = config.withDefaults()
	return &Server{
		listener: listener,
		config:   config,
		post:     post,
		emit:     emit,
		pacer:    idle.NewAcceptPacer(config.Cores),
		resumeLimits: idle.ResumeLimits{
			MaxActive:     idle.MaxActiveConnections(config.MaxBytes),
			ReservedBytes: config.MaxBytes,
			MaxWait:       int64(config.MaxResumeWait),
		},
		memory:      newMemoryLimits(config, emit),
		idle:        newIdleConnections(config, emit),
		connections: map[router.ClientID]*connection{},
	}
}

// now returns the monotonic time of the configured clock in ns.
func (s *Server) now() int64 { return s.config.Clock.Now() }

// SetReady sets whether later health requests are answered as healthy. Before the first call they are not.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// SetAnswerDeadline sets the time, in ns, after which no request is awaited any longer, because the process is about to
// end: a request that is received only partly by then is rejected.
func (s *Server) SetAnswerDeadline(deadline int64) { s.answerDeadline.Store(deadline) }

// answerDeadlineReached reports whether the time set with SetAnswerDeadline has come.
func (s *Server) answerDeadlineReached() bool {
	deadline := s.answerDeadline.Load()
	return deadline > 0 && s.now() >= deadline
}

// register assigns an ID to a connection, publishes it and puts it into its slot. The connection's fields have
// to be set before, because other goroutines can access it from then on.
func (s *Server) register(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	c.id = s.lastID
	s.connections[c.id] = c
	c.tableState = s.idle.attach(c)
	if s.atLimit && s.idle.len() < s.config.MaxConnections/2 {
		s.atLimit = false
		s.emit(ConnectionLimitCleared{})
	}
}

// unregister removes a connection that is about to be marked as closed, so that lookup no longer returns it, and frees
// its slot.
func (s *Server) unregister(c *connection) {
	s.mu.Lock()
	delete(s.connections, c.id)
	s.mu.Unlock()
	s.idle.remove(c)
}

// lookup returns the connection with the given ID, or nil if it is closed or suspended.
func (s *Server) lookup(id router.ClientID) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections[id]
}

// activeConnections returns the number of connections that are not suspended, and so hold goroutines and buffers.
func (s *Server) activeConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// ConnectionCounts holds the number of connections that have a slot: All, and how many of them are in each state.
type ConnectionCounts struct {
	All       int `json:"all"`
	New       int `json:"fresh"` // no response has been queued yet
	Active    int `json:"busy"`  // a request is in flight, or a response is unwritten
	Reading   int `json:"reading"`
	Idle      int `json:"idle"`
	Closing   int `json:"closing"`
	Suspended int `json:"parked"`  // of All, those for which only a descriptor is kept
	Waiting   int `json:"waiting"` // suspended connections reported by the poller, not yet handled
}

// Counts returns the current numbers of connections. Suspended may be slightly wrong while connections are suspended
// or resumed, as it is the difference of two numbers that are read one after the other.
func (s *Server) Counts() ConnectionCounts {
	active := s.activeConnections()
	counts := s.idle.counts()
	counts.Suspended = max(0, counts.All-active)
	return counts
}
