// Package upstream holds the connections to endpoints: caches, parents and the origin. It carries out the
// router's effects on them and posts what comes in as events.
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

// Config is what a pool is made of.
type Config struct {
	LoadReportFields []string           // names of the load report's fields, in the order in which they are returned
	MinResponseRate  float64            // bytes a second at which one response comes at the least; 0 is not known
	Post             func(router.Event) // takes what comes in; it may block
	Clock            clock.Clock        // nil is clock.System
}

// Pool is all connections of a router to endpoints. Dial, Send, WithdrawAttempt, CancelAttempt and Close carry
// out the router's effects of these names. Only Wait blocks, and all methods may be called from any goroutine.
type Pool struct {
	ctx              context.Context
	post             func(router.Event)
	clock            clock.Clock
	loadReportFields []string
	responseTimeout  time.Duration // for a response that has begun; 0 is no bound
	dial             dialFunc
	write            systemWrite
	group            sync.WaitGroup

	mu          sync.Mutex
	connections map[router.ConnectionID]*connection // guarded by mu
}

// NewPool returns a pool without connections. All its connections end with the context.
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

// Wait returns when all connections have ended.
func (p *Pool) Wait() { p.group.Wait() }

// Dial opens a connection. ConnectionDown follows in any case, after ConnectionUp where it was established.
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

// Send queues a request on a connection. It is encoded when it is written.
func (p *Pool) Send(effect router.Send) {
	if c := p.find(effect.Connection); c != nil {
		c.enqueue(queueItem{send: &effect})
	}
}

// WithdrawAttempt removes a request of which nothing has been written. AttemptWithdrawn follows if there was one.
func (p *Pool) WithdrawAttempt(effect router.WithdrawAttempt) {
	if c := p.find(effect.Connection); c != nil && c.withdraw(effect.ID) {
		// In a goroutine of its own, because the caller may be the one that takes the event.
		p.group.Go(func() { c.postWithdrawn(effect.ID) })
	}
}

// CancelAttempt removes a request of which nothing has been written; otherwise the endpoint is sent an abort.
func (p *Pool) CancelAttempt(effect router.CancelAttempt) {
	if c := p.find(effect.Connection); c != nil {
		c.cancelAttempt(effect.ID)
	}
}

// Close closes a connection.
func (p *Pool) Close(effect router.Close) {
	if c := p.find(effect.Connection); c != nil {
		c.cancel()
	}
}

// RemoveConnection forgets a connection that is down, and returns its event with Unsent brought up to date. It is
// to be called before the event is handled: otherwise a request that was queued after the event was posted would
// count as written.
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

// find returns a connection, or nil if it was removed.
func (p *Pool) find(id router.ConnectionID) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections[id]
}
