// Package upstream manages the router's connections to endpoints (caches, parents and the origin). It carries out
// the effects of the reducer on these connections, and posts responses and connection changes to it as events.
package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"tealpath/internal/clock"
	"tealpath/internal/router"
)

// Config holds the settings and dependencies of a Pool.
type Config struct {
	LoadReportFields []string           // names of the load report values to return, in this order
	MinResponseRate  float64            // lowest expected rate of a response, bytes per second; 0: no limit
	Post             func(router.Event) // receives the events of all connections; it may block
	Clock            clock.Clock        // nil: clock.System
}

// Pool is the set of a router's connections to endpoints. Each of the methods Dial, Send, WithdrawAttempt,
// CancelAttempt and Close carries out the effect of the same name in package router. Only Wait blocks. All methods
// are safe for concurrent use.
type Pool struct {
	ctx              context.Context
	post             func(router.Event)
	clock            clock.Clock
	loadReportFields []string
	responseTimeout  time.Duration // maximum time from a response's first byte to its last; 0: unlimited
	dial             dialFunc
	write            writeFunc
	group            sync.WaitGroup

	mu          sync.Mutex
	connections map[router.ConnectionID]*connection // guarded by mu
}

// NewPool returns a pool without connections. Its connections are closed when ctx ends.
func NewPool(ctx context.Context, config Config) *Pool {
	pool := &Pool{
		ctx:              ctx,
		post:             config.Post,
		clock:            config.Clock,
		loadReportFields: config.LoadReportFields,
		responseTimeout:  responseTimeout(config.MinResponseRate),
		dial:             new(net.Dialer).DialContext,
		write:            syscall.Write,
		connections:      map[router.ConnectionID]*connection{},
	}
	if pool.clock == nil {
		pool.clock = clock.System()
	}
	return pool
}

// Wait blocks until all connections have ended and their events are posted.
func (p *Pool) Wait() { p.group.Wait() }

// Dial opens a connection. It posts ConnectionUp once the connection is established, and always posts ConnectionDown
// at the end, even if dialling failed.
func (p *Pool) Dial(effect router.Dial) {
	ctx, cancel := context.WithCancel(p.ctx)
	c := newConnection(p, effect.Connection, cancel)
	p.mu.Lock()
	p.connections[effect.Connection] = c
	p.mu.Unlock()
	p.group.Go(func() {
		defer cancel()
		p.post(c.down(c.run(ctx, effect)))
	})
}

// Send queues a request on a connection, or does nothing if the pool has no such connection. The request is encoded
// only when it is written.
func (p *Pool) Send(effect router.Send) {
	if c := p.find(effect.Connection); c != nil {
		c.enqueue(queueItem{send: &effect})
	}
}

// WithdrawAttempt removes a request from the queue and then posts AttemptWithdrawn. It does nothing if any byte of the
// request has been written.
func (p *Pool) WithdrawAttempt(effect router.WithdrawAttempt) {
	if c := p.find(effect.Connection); c != nil && c.withdraw(effect.ID) {
		// Posted in a separate goroutine, because post may block until this method's caller receives the event.
		p.group.Go(func() { c.postWithdrawn(effect.ID) })
	}
}

// CancelAttempt removes a request from the queue. If the request is no longer queued, because at least a part of it
// has been written, it queues an abort command for the endpoint instead.
func (p *Pool) CancelAttempt(effect router.CancelAttempt) {
	if c := p.find(effect.Connection); c != nil {
		c.cancelAttempt(effect.ID)
	}
}

// Close closes a connection, or ends the attempt to establish it. It does nothing if the pool has no such connection.
func (p *Pool) Close(effect router.Close) {
	if c := p.find(effect.Connection); c != nil {
		c.cancel()
	}
}

// RemoveConnection removes a connection that is down from the pool. It returns the event with an Unsent that includes
// the requests queued since the event was posted: without them, these requests would count as written. Call it before
// the event is handled.
func (p *Pool) RemoveConnection(event router.ConnectionDown) router.ConnectionDown {
	c := p.find(event.Connection)
	if c == nil {
		return event
	}
	p.mu.Lock()
	delete(p.connections, event.Connection)
	p.mu.Unlock()
	event.Unsent = c.unsent()
	return event
}

// find returns the connection with the ID, which may be down already, or nil if the pool has none.
func (p *Pool) find(id router.ConnectionID) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections[id]
}
