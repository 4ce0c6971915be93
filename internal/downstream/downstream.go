// Package downstream holds the clients' connections: it reads their requests and writes them their answers.
package downstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"tealpath/internal/clock"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/neterr"
	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
)

// Times that bound what a slow, dead or bad client can hold.
const (
	newMost   = 2 * time.Second  // from connecting until something is open or has been answered
	frameMost = 2 * time.Second  // for a request to come whole
	takeMost  = 10 * time.Second // for a client to take some of an answer
	idleMost  = 10 * time.Second // with no request open; clients close what is idle after 4 s
	acceptGap = 10 * time.Millisecond

	lingerMost  = 2 * time.Second        // for a client to read its last answers
	shutMost    = 200 * time.Millisecond // for a client that is owed nothing to see the end
	lingerGap   = time.Millisecond
	lingerBytes = 32 << 10 // thrown away between two gaps: one that sends without end gets little of the core
)

// MaxIdleBeforeFirstRequest is when the table closes a connection that has asked for nothing, ns. Its own reader ends it before, more
// gently.
const MaxIdleBeforeFirstRequest = int64(2*newMost + lingerMost)

const (
	roomTries   = 8                      // connections that are looked at for one that can be closed
	readingMost = 300 * time.Millisecond // for a request to come before its connection may be closed for another
)

// excessMost is how many requests in a row may come beyond those that a connection may have open.
const excessMost = 8

// batchMost is about how many bytes are written at once.
const batchMost = 1 << 18

// queueMost is how many pieces of answers wait for one client, three an answer; it has 32 requests open.
const queueMost = 3 * 1000

// smallFrame is a frame that needs no share of the memory for large ones.
const smallFrame = 4096

// Config bound what the front holds.
type Config struct {
	MaxConnections           int
	MaxRequestsPerConnection int   // requests on one connection
	MaxBytes                 int64 // of requests being read and, apart, of answers waiting to be written
	Cores                    float64
	Seed                     uint64
	Saturated                func() bool         // whether others wait for the core; nil is never
	Policies                 *NetworkPolicies    // nil: as the platform states it
	Clock                    clock.Clock         // nil: clock.System
	SystemCalls              *poller.SystemCalls // of the system, for connections that rest; nil: as it has them
}

// Server serves clients on one listener.
type Server struct {
	listener net.Listener
	post     func(router.Event)
	log      func(string)
	limits   Config
	ready    atomic.Bool
	reading  *semaphore.Weighted
	queued   atomic.Int64
	full     atomic.Bool // answers are failing for want of memory

	mu      sync.Mutex
	clients map[router.ClientID]*client // those that are not parked
	last    router.ClientID
	crowded bool // connections are at their bound
	group   sync.WaitGroup

	calls          *poller.SystemCalls
	lot            *poller.Poller // nil: the system has none
	refusesParking atomic.Bool
	admit          *idle.AcceptPacer
	holding        atomic.Int64 // connections that have goroutines
	waiting        atomic.Int64 // parked connections on which something has come that is not taken in yet
	refusing       atomic.Int64 // connections beyond the operator's bounds that are told so
	refusals       int
	refusedAt      time.Time

	heart heartbeat

	places sync.Mutex // locked last, for moments; guards what follows
	table  *idle.Table
	keep   *NetworkPolicies
	at     []place // by the table's IDs

	postponed []wakeUp // parked connections that could not be resumed for want of something; guarded by places
	resuming  bool     // some of them are being tried again; guarded by places

	closing []closing   // parked connections at their end; guarded by places
	shut    atomic.Bool // the listener is closed as this router ends
	closed  atomic.Bool // and nothing that was accepted is still to be taken in
}

// New makes a front on a listener; post takes what comes in.
func New(listener net.Listener, limits Config, post func(router.Event), log func(string)) *Server {
	if limits.Policies == nil {
		limits.Policies = &NetworkPolicies{Policies: []idle.Policy{{FirstRequestTimeout: MaxIdleBeforeFirstRequest, IdleTimeout: int64(idleMost)}}}
	}
	if limits.SystemCalls == nil {
		limits.SystemCalls = poller.Kernel
	}
	if limits.Saturated == nil {
		limits.Saturated = func() bool { return false }
	}
	if limits.Clock == nil {
		limits.Clock = clock.System()
	}
	f := &Server{listener: listener, post: post, log: log, limits: limits, keep: limits.Policies, calls: limits.SystemCalls,
		reading: semaphore.NewWeighted(max(limits.MaxBytes, thrift.FrameMost)), clients: map[router.ClientID]*client{},
		admit: idle.NewAcceptPacer(limits.Cores),
		table: idle.NewTable(idle.Limits{MaxConnections: limits.MaxConnections, Cores: limits.Cores}, limits.Policies.Policies, limits.Seed)}
	lot, err := poller.NewWithSystemCalls(f.calls)
	if f.lot = lot; err != nil {
		f.lot = nil
		f.noParking(err)
	}
	return f
}

// now is the time on the process's monotonic axis, ns: what the table and the paces go by.
func (f *Server) now() int64 { return f.limits.Clock.Now() }

// SetReady says what health tells.
func (f *Server) SetReady(ready bool) { f.ready.Store(ready) }

// Serve accepts connections until the context or the listener ends, and returns when all of them have ended.
func (f *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { f.listener.Close() })
	defer stop()
	defer f.closeParked()
	defer f.group.Wait()
	inner, end := context.WithCancel(ctx)
	defer end() // also where the listener ends by itself
	f.group.Go(func() { f.janitor(inner) })
	failing, since := false, time.Now()
	for {
		waited := f.backlog()
		conn, err := f.listener.Accept()
		if !waited {
			since = time.Now() // nobody waited then: whoever does now came later
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				if f.shut.Load() {
					f.closed.Store(true)
					<-ctx.Done() // the connections there are go on to their ends
					return nil
				}
				return err
			}
			if !failing {
				f.log("connections are not accepted: " + err.Error()) // out of descriptors, or the client has gone again
			}
			failing = true
			select {
			case <-time.After(acceptGap):
			case <-ctx.Done():
			}
			continue
		}
		if failing {
			failing = false
			f.log("connections are accepted again")
		}
		if !f.take(inner, conn, since) {
			return nil
		}
	}
}

// take takes a connection in once there is room and the pace lets it; until then it and those behind it wait in the
// listener's backlog, since then at most, but for those that say nothing, which rest. It tells whether to go on.
func (f *Server) take(ctx context.Context, conn net.Conn, since time.Time) bool {
	turn, wait := idle.Defer, int64(0)
	for {
		silent := f.parks() && !f.pending(conn)
		if turn, wait = f.admit.Decide(f.now(), int64(time.Since(since)), f.limits.Saturated(), silent); turn != idle.Defer {
			break
		}
		if !pause(ctx, time.Duration(wait)) {
			conn.Close()
			return false
		}
	}
	for {
		if idle.Abandoned(int64(time.Since(since)), f.hungUp(conn)) {
			f.refuse(ctx, conn) // its client closed while it waited: what it asked for was sent for nobody, seconds later
			return true
		}
		id, generation, v := f.open(conn)
		switch {
		case v == idle.Admitted && turn == idle.AcceptSuspended && f.layToRest(conn, id, generation):
			return true
		case v == idle.Admitted:
			c := f.enter(conn, id, generation, false)
			c.arrivals.begin(f.acceptedSince(conn, since), 0)
			f.run(ctx, c)
			return true
		case v == idle.ClientLimitReached || v == idle.NetworkLimitReached:
			f.refused(v) // a bound of the operator's own, for the one who comes
			f.refuse(ctx, conn)
			return true
		}
		// Closed at once instead of waiting, it took with it what the client had asked for already.
		if !f.room() && !pause(ctx, acceptGap) {
			conn.Close()
			return false
		}
	}
}

func pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Server) run(ctx context.Context, c *client) {
	f.holding.Add(1)
	f.group.Go(func() {
		defer f.holding.Add(-1)
		c.serve(ctx)
	})
}

// open gives a connection a place in the table, if there is one.
func (f *Server) open(conn net.Conn) (id idle.ID, generation uint32, v idle.Verdict) {
	client, network := f.keep.find(conn.RemoteAddr())
	f.places.Lock()
	defer f.places.Unlock()
	if id, v = f.table.Add(f.now(), client, network); v == idle.Admitted {
		generation = f.table.Generation(id)
	}
	return id, generation, v
}

// enter makes a client of a connection that has a place in the table.
func (f *Server) enter(conn net.Conn, id idle.ID, generation uint32, answered bool) *client {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last++
	now := time.Now()
	c := &client{front: f, id: f.last, conn: conn, since: now, used: now, open: map[int32]bool{}, wake: make(chan struct{}, 1),
		place: id, generation: generation, answered: answered, state: idle.StateNew, arrivals: arrivals{Conn: conn, front: f}}
	f.clients[c.id] = c
	f.places.Lock()
	f.put(id, place{client: c, fd: -1})
	c.state = f.table.State(id)
	f.places.Unlock()
	if f.crowded && f.all() < f.limits.MaxConnections/2 {
		f.crowded = false
		f.log("connections are far below their bound again")
	}
	return c
}

// room has one that nobody needs make room: hundreds that say nothing, or are kept for good, kept usual clients out. It
// tells whether there may be room now.
func (f *Server) room() bool {
	f.mu.Lock()
	if !f.crowded {
		f.crowded = true
		f.log(fmt.Sprintf("connections are at their bound of %d: who needs none makes room", f.limits.MaxConnections))
	}
	f.mu.Unlock()
	for range roomTries {
		f.places.Lock()
		if f.table.Len() < f.limits.MaxConnections {
			f.places.Unlock()
			return true
		}
		id := f.table.EvictionCandidate(f.now(), int64(readingMost))
		f.places.Unlock()
		if id == idle.None {
			return false
		}
		f.evict(id)
	}
	return false
}

// takeOut ends a connection, unless something has come on it that is not read yet: whoever asked is answered. What comes in
// this very moment is not taken any more. Its reader half-closes it and reads on for a moment: closed at once over unread
// bytes it was reset, and with that went the last answer where the client had not read it.
func (c *client) takeOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return true
	}
	if !c.lingering {
		came := c.front.pending(c.conn)
		if came {
			c.reading, c.used = true, time.Now() // as its reader will find soon; looked at again and again it hid the others
			c.settle()
		}
		// Only then: one that has something open and is looked at as the router ends went for being read until it rested, and held
		// the end up by a second.
		if came || len(c.open) > 0 || len(c.queue) > 0 || c.writing {
			return false
		}
	}
	if c.lingering {
		c.conn.Close() // it has had its time
		return true
	}
	c.shut = true
	c.conn.SetReadDeadline(time.Now())
	return true
}

// hungUp tells whether a connection's client has closed, though what it sent before is not read yet.
func (f *Server) hungUp(conn net.Conn) (up bool) {
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { up = f.calls.PeerClosed(int(fd)) })
		}
	}
	return up
}

// pending tells whether something has come on a connection that is not read yet, or may have.
func (f *Server) pending(conn net.Conn) bool {
	content := poller.NoData
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { content = f.calls.Peek(int(fd)) })
		}
	}
	return content == poller.Data || content == poller.Undetermined
}

// Respond writes a final answer to its client, if that is still there. It never waits.
func (f *Server) Respond(a router.Respond) {
	f.mu.Lock()
	c := f.clients[a.Client]
	f.mu.Unlock()
	if c == nil {
		return
	}
	out := thrift.Answer{Method: "call", Seq: a.Seq}
	switch a.Kind {
	case router.Served:
		out.Good, out.Body = true, a.Body
		if a.NotModified {
			out.Body, out.Fields = nil, [][2]string{{"ok304", "1"}}
		}
		if f.queued.Load()+int64(len(out.Body)) > f.limits.MaxBytes {
			// Large answers to clients that don't read would take all memory.
			out = thrift.Answer{Method: "call", Seq: a.Seq, Field: 2}
			if !f.full.Swap(true) {
				f.log(fmt.Sprintf("slow clients: %d bytes of answers wait, new ones fail", f.queued.Load()))
			}
		} else if len(out.Body) > 0 && f.queued.Load() < f.limits.MaxBytes/2 && f.full.Swap(false) {
			f.log("slow clients: answers go out again")
		}
	case router.Rejected:
		out.Field = 1
		if ms := a.RetryAfter / 1e6; ms > 0 {
			out.Fields = [][2]string{{"later", strconv.FormatInt(ms, 10)}}
		}
	case router.Failed:
		out.Field = 2
	case router.BadRequest:
		out.Fault, out.Text = thrift.ProtocolError, a.Reason
	}
	c.answer(out)
	if a.Kind == router.BadRequest {
		c.offend()
	}
}

// Flushed tells whether every answer has been written, and nothing has come that is not taken in: on a core that is
// shared it may wait to be read when the router ends, and a connection to be accepted.
func (f *Server) Flushed() bool {
	if f.shut.Load() && !f.closed.Load() || !f.shut.Load() && f.backlog() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.clients { // none that is parked: the lot knows what has come on those
		if !c.flushed() {
			return false
		}
	}
	return f.lot == nil || !f.lot.HasEvents() && !f.postpones()
}

// client is one connection.
type client struct {
	front *Server
	id    router.ClientID
	conn  net.Conn
	since time.Time
	wake  chan struct{}

	mu        sync.Mutex
	queue     net.Buffers
	bytes     int64
	writing   bool
	open      map[int32]bool // requests read and not yet answered
	excess    int            // requests in a row beyond those that may be open
	reading   bool           // something has come that is not taken in yet
	used      time.Time      // when it last came, asked or was answered
	answered  bool           // at least once
	offended  bool           // it sent what no usual client sends: it gets its answers and nothing more is read
	ending    bool           // nothing more is read: it ends once all is answered
	lingering bool           // it has had its last answer
	shut      bool           // told that it ends: what is read from now on is not taken, the client sends it again elsewhere
	gone      bool           // nothing more is queued
	parking   bool           // it gives up its goroutines and buffers

	place      idle.ID
	generation uint32
	state      idle.State // as the table has it

	arrivals arrivals // used by the reader alone
}

func (c *client) serve(ctx context.Context) {
	defer c.conn.Close()
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	var written chan struct{}
	var err error
	for {
		written = make(chan struct{})
		go func() {
			defer close(written)
			c.write(ctx)
		}()
		if err = c.read(ctx); !errors.Is(err, errPark) {
			break
		}
		c.signal()
		<-written
		if c.front.park(c) {
			return
		}
		c.mu.Lock()
		c.parking = false // where the system refuses; one that has made room ends by its next read
		c.mu.Unlock()
	}
	c.mu.Lock()
	c.ending = true
	if !c.offended && !endsReading(err) {
		clear(c.open) // the client has gone
		c.conn.Close()
	}
	offended, halfClosed := c.offended, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	c.mu.Unlock()
	switch {
	case offended:
		// What else it asked for is not served either, and not at the cost of others.
		c.front.post(router.ClientDisconnected{Client: c.id})
		c.abort()
	case halfClosed:
		c.tellHalfClosed()
	}
	c.signal()
	if !offended && !halfClosed {
		c.awaitEnd(written)
	}
	<-written
	c.linger()
	c.front.forget(c)
	c.mu.Lock()
	c.gone = true
	c.front.queued.Add(-c.bytes)
	c.mu.Unlock()
	c.front.post(router.ClientDisconnected{Client: c.id})
}

// offend ends the reading from a client that sent what no usual client sends: at full speed it took the core from
// the others. It has been told already.
func (c *client) offend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offended = true
	c.conn.SetReadDeadline(time.Now()) // it may be waiting for more
}

// abort fails all that is open.
func (c *client) abort() {
	c.mu.Lock()
	open := slices.Sorted(maps.Keys(c.open))
	c.mu.Unlock()
	for _, seq := range open {
		c.answer(thrift.Answer{Method: "call", Seq: seq, Field: 2})
	}
}

// linger lets the client read its last answers: closing with input unread would reset the connection, and
// what the client had not read by then was lost to it.
func (c *client) linger() {
	c.mu.Lock()
	c.lingering = true
	c.settle()
	c.mu.Unlock()
	most := lingerMost
	if c.isShut() {
		most = shutMost
	}
	drain(c.conn, most)
}

// errShut ends the reading from a connection that is told that it ends.
var errShut = errors.New("front: shut")

// errOffence ends the reading from a client that offended.
var errOffence = errors.New("front: a client sent what no usual one sends")

// endsReading tells whether an error leaves the way to the client open, so that what was understood before it
// is still answered: the client has closed its side only, or sent what cannot be understood, or nothing proves that it has gone.
// One that closed both sides shows by the first answer to it.
func endsReading(err error) bool { return !neterr.IsEnd(err) }

// read reads requests until the connection ends or cannot be understood any more.
func (c *client) read(ctx context.Context) error {
	in := bufio.NewReaderSize(neterr.Reader{From: &c.arrivals}, smallFrame)
	for {
		c.conn.SetReadDeadline(c.patience())
		if c.bad() {
			return errOffence
		}
		if c.isShut() {
			return c.ended(in) // asked after the deadline was set, as whoever shuts it sets one that has passed
		}
		if _, err := in.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				if c.isShut() {
					return errShut
				}
				if !c.idle() || c.front.pending(c.conn) {
					continue
				}
				if done, why := c.rest(); !done {
					continue
				} else if why != nil {
					return why
				}
			}
			return err
		}
		arrived := c.arrivals.earliest // the first byte of a frame is among what was read last
		c.note(true)
		c.conn.SetReadDeadline(time.Now().Add(frameMost))
		if c.bad() {
			return errOffence
		}
		if c.isShut() {
			return c.ended(in)
		}
		frame, err := c.frame(ctx, in)
		if err == nil && frame != nil {
			err = c.takeFrame(in, frame, arrived)
		}
		if err != nil {
			return err
		}
		c.note(in.Buffered() > 0)
	}
}

// takeFrame takes a whole frame in that arrived at a time at the earliest.
func (c *client) takeFrame(in *bufio.Reader, frame []byte, arrived int64) error {
	m, err := thrift.Parse(frame)
	if err != nil {
		return err
	}
	if !c.message(m, arrived) {
		return c.ended(in)
	}
	return nil
}

// note keeps whether something is being read.
func (c *client) note(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.used = reading, time.Now()
	c.settle()
}

// patience is until when the next request is waited for. One who connects and asks for nothing, or takes back all
// it asked for, is waited for less long than one who was answered.
func (c *client) patience() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.answered {
		// Whether an idle one stays is the table's to say; here it is asked whether it rests.
		return now.Add(time.Duration(c.front.parkAfter()))
	} else if first := c.since.Add(newMost); now.Before(first) {
		return first
	} else {
		return now.Add(newMost / 10)
	}
}

// frame reads one frame; large ones share a bounded memory, but only once something of them has come: a mere
// claim costs others nothing. One for which there is none soon is refused, and nil.
func (c *client) frame(ctx context.Context, in *bufio.Reader) ([]byte, error) {
	size, err := thrift.FrameSize(in)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, min(size, smallFrame))
	if _, err := io.ReadFull(in, frame); err != nil || size <= smallFrame {
		return frame, err
	}
	soon, cancel := context.WithTimeout(ctx, memoryWait)
	defer cancel()
	if err := c.front.reading.Acquire(soon, int64(size)); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, c.refuse(in, frame, size)
	}
	defer c.front.reading.Release(int64(size))
	frame = append(make([]byte, 0, size), frame...)[:size]
	_, err = io.ReadFull(in, frame[smallFrame:])
	return frame, err
}

// message takes a message in that arrived at a time at the earliest, unless the connection was shut before that: then a request
// is refused. A client that sent what cannot be used is told so,
// and no more is read from it.
func (c *client) message(m thrift.Message, arrived int64) bool {
	if c.isShut() {
		if isRequest(m) {
			c.send(refusedAnswer(m.Seq))
		}
		return false
	}
	fault := func(kind int, text string) {
		c.send(thrift.Answer{Method: m.Name, Seq: m.Seq, Fault: kind, Text: text})
		c.offend()
	}
	if m.Type != thrift.Call && m.Type != thrift.Oneway {
		fault(thrift.InvalidType, "not a call")
		return true
	}
	args, err := thrift.ParseArguments(m.Body)
	switch {
	case m.Name == "cancel":
		if err == nil && args.Has[1] && c.close(args.Number) {
			c.front.post(router.RequestCancelled{Client: c.id, Seq: args.Number})
		}
	case m.Type == thrift.Oneway:
	case m.Name != "call" && m.Name != "health":
		fault(thrift.UnknownMethod, "unknown method "+strconv.QuoteToASCII(m.Name[:min(len(m.Name), 64)]))
	case err != nil:
		fault(thrift.ProtocolError, err.Error())
	case m.Name == "health":
		c.send(thrift.Answer{Method: m.Name, Seq: m.Seq, Good: c.front.ready.Load()})
	default:
		switch c.enter(m.Seq) {
		case entered:
			c.front.post(router.RequestReceived{Client: c.id, Seq: m.Seq, ArrivedAt: arrived, Fields: args.Fields, Body: args.Body})
		case inUse:
			fault(thrift.BadSequence, "sequence number in use")
		case tooMany:
			c.send(refusedAnswer(m.Seq))
		case tooLate:
			c.send(refusedAnswer(m.Seq))
			return false
		}
	}
	return true
}

// What may become of a request that comes.
const (
	entered = iota
	inUse
	tooMany
	tooLate
)

// enter notes a request as open, if it may be.
func (c *client) enter(seq int32) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.shut:
		return tooLate
	case c.open[seq]:
		return inUse
	case len(c.open) >= c.front.limits.MaxRequestsPerConnection:
		if c.excess++; c.excess > excessMost {
			c.offended = true
		}
		return tooMany
	}
	c.excess, c.open[seq] = 0, true
	c.settle()
	return entered
}

// close takes one request off those that are open, and tells whether there was one.
func (c *client) close(seq int32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.open[seq]
	if delete(c.open, seq); c.ending {
		c.signal()
	}
	c.settle()
	return open
}

func (c *client) bad() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offended
}

func (c *client) isShut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut
}

func (c *client) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0 && len(c.queue) == 0 && !c.writing
}

func (c *client) flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0 && !c.writing && (c.ending || c.shut || !c.reading && !c.front.pending(c.conn))
}

func (c *client) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

func (c *client) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}

func (c *client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// answer queues the answer to an open request. In one step: a connection that ends once all is answered ended
// between the two, without the answer.
func (c *client) answer(a thrift.Answer) {
	pieces := thrift.Frame(a)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[a.Seq] {
		delete(c.open, a.Seq)
		c.enqueue(pieces)
	}
}

// send queues what answers no open request.
func (c *client) send(a thrift.Answer) {
	pieces := thrift.Frame(a)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(pieces)
}

func (c *client) enqueue(pieces [][]byte) {
	if c.gone {
		return
	}
	size := int64(0)
	for _, p := range pieces {
		size += int64(len(p))
	}
	c.queue = append(c.queue, pieces...)
	c.bytes += size
	c.front.queued.Add(size)
	c.answered, c.used = true, time.Now()
	c.settle()
	if len(c.queue) > queueMost {
		c.conn.Close() // it asks without end and reads nothing
	}
	c.signal()
}

// take takes from the queue what is to be written at once, and its bytes: little enough that a slow client
// that takes some all the time is not taken for a dead one.
func (c *client) take() (batch net.Buffers, size int64) {
	n := 0
	for n < len(c.queue) && size < batchMost {
		size += int64(len(c.queue[n]))
		n++
	}
	batch, c.queue = c.queue[:n:n], c.queue[n:]
	return batch, size
}

// write writes what is queued until the connection ends.
func (c *client) write(ctx context.Context) {
	for {
		c.mu.Lock()
		batch, size := c.take()
		c.writing = len(batch) > 0
		over := (c.ending || c.parking) && len(c.open) == 0 && len(batch) == 0
		c.settle()
		c.mu.Unlock()
		if over {
			return
		}
		if len(batch) == 0 {
			select {
			case <-c.wake:
			case <-ctx.Done():
				return
			}
			continue
		}
		c.conn.SetWriteDeadline(time.Now().Add(takeMost))
		err := writeAll(c.conn, &batch)
		c.mu.Lock()
		c.writing, c.bytes = false, c.bytes-size
		c.mu.Unlock()
		c.front.queued.Add(-size)
		if err != nil {
			c.conn.Close()
			return
		}
	}
}
