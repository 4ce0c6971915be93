package downstream

import (
	"net"
	"sync"
	"sync/atomic"

	"tealpath/internal/clock"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

// Config is what a Server may hold, and where it gets its time from.
type Config struct {
	MaxConnections           int
	MaxRequestsPerConnection int   // in flight at once
	MaxBytes                 int64 // of large requests being read and, apart from them, of unwritten responses
	Cores                    float64
	Seed                     uint64
	Saturated                func() bool         // whether events wait for the router's goroutine; nil: never
	Policies                 *NetworkPolicies    // how long connections are kept; nil: the platform's timeouts for all
	Clock                    clock.Clock         // nil: clock.System
	SystemCalls              *poller.SystemCalls // for suspended connections; nil: poller.Kernel
}

// withDefaults returns the configuration with each field that may be nil set.
func (c Config) withDefaults() Config {
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

// Server serves the clients' connections of one listener.
type Server struct {
	listener   net.Listener
	config     Config
	post       func(router.Event)
	emit       func(logevent.Event)
	ready      atomic.Bool // whether a health request is answered as healthy
	pacer      *idle.AcceptPacer
	memory     *memoryLimits
	idle       *idleConnections
	heartbeat  heartbeat
	goroutines sync.WaitGroup

	serving   atomic.Int64 // connections that have goroutines
	rejecting atomic.Int64 // connections whose requests are being rejected; they have no slot in the table

	draining       atomic.Bool // CloseIdle has closed the listener
	acceptFinished atomic.Bool // and each connection accepted before that has its slot, or was rejected

	mu          sync.Mutex
	connections map[router.ClientID]*connection // guarded by mu; those that are not suspended
	lastID      router.ClientID                 // guarded by mu
	atLimit     bool                            // guarded by mu; ConnectionLimitReached was emitted and not cleared
	rejections  rejectionLog                    // guarded by mu
}

// New makes a server on a listener. post takes the events of clients and may block. emit takes the events
// for the log.
func New(
	listener net.Listener, config Config, post func(router.Event), emit func(logevent.Event),
) *Server {
	config = config.withDefaults()
	return &Server{
		listener:    listener,
		config:      config,
		post:        post,
		emit:        emit,
		pacer:       idle.NewAcceptPacer(config.Cores),
		memory:      newMemoryLimits(config.MaxBytes, emit),
		idle:        newIdleConnections(config, emit),
		connections: map[router.ClientID]*connection{},
	}
}

// now returns the time on the process's monotonic axis, ns.
func (s *Server) now() int64 { return s.config.Clock.Now() }

// SetReady sets whether health requests are answered as healthy.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// register assigns an ID to the connection for a slot and publishes it. Other goroutines see it from then on:
// its fields have to be set before.
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

// unregister removes a connection that is over, and frees its slot.
func (s *Server) unregister(c *connection) {
	s.mu.Lock()
	delete(s.connections, c.id)
	s.mu.Unlock()
	s.idle.remove(c)
}

// lookup returns the connection with an ID, or nil if it is over or suspended.
func (s *Server) lookup(id router.ClientID) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections[id]
}

// activeConnections returns how many connections hold goroutines and buffers.
func (s *Server) activeConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// ConnectionCounts is how many connections are in which state.
type ConnectionCounts struct {
	All       int `json:"all"`
	New       int `json:"fresh"` // no request has come yet
	Active    int `json:"busy"`  // a request is in flight or a response unwritten
	Reading   int `json:"reading"`
	Idle      int `json:"idle"`
	Closing   int `json:"closing"`
	Suspended int `json:"parked"`  // of All: they hold a descriptor and nothing else
	Waiting   int `json:"waiting"` // suspended, with data that is not read yet
}

// Counts returns how many connections are in which state.
func (s *Server) Counts() ConnectionCounts {
	active := s.activeConnections()
	counts := s.idle.counts()
	counts.Suspended = max(0, counts.All-active)
	return counts
}
