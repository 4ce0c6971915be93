// Package front holds the clients' connections: it reads their requests and writes them their answers.
package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"tealpath/router"
	"tealpath/thrift"
)

// Times that bound what a slow or dead client can hold.
const (
	idleMost  = 30 * time.Second // with no request open
	frameMost = 10 * time.Second // for a request to come whole, and for a client to take some of an answer
	acceptGap = 10 * time.Millisecond

	lingerMost = time.Second
)

// batchMost is about how many bytes are written at once.
const batchMost = 1 << 18

// queueMost is how many pieces of answers wait for one client, three an answer; it has 32 requests open.
const queueMost = 3 * 1000

// smallFrame is a frame that needs no share of the memory for large ones.
const smallFrame = 4096

// Limits bound what the front holds.
type Limits struct {
	Connections int
	Bytes       int64 // of requests being read and, apart, of answers waiting to be written
}

// Front serves clients on one listener.
type Front struct {
	listener net.Listener
	post     func(router.Event)
	log      func(string)
	limits   Limits
	ready    atomic.Bool
	reading  *semaphore.Weighted
	queued   atomic.Int64
	full     atomic.Bool // answers are failing for want of memory

	mu      sync.Mutex
	clients map[router.ClientID]*client
	last    router.ClientID
	group   sync.WaitGroup
}

// New makes a front on a listener; post takes what comes in.
func New(listener net.Listener, limits Limits, post func(router.Event), log func(string)) *Front {
	return &Front{listener: listener, post: post, log: log, limits: limits,
		reading: semaphore.NewWeighted(max(limits.Bytes, thrift.FrameMost)), clients: map[router.ClientID]*client{}}
}

// SetReady says what health tells.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// Serve accepts connections until the context or the listener ends, and returns when all of them have ended.
func (f *Front) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { f.listener.Close() })
	defer stop()
	defer f.group.Wait()
	failing := false
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
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
		if c := f.add(conn); c != nil {
			f.group.Add(1)
			go func() {
				defer f.group.Done()
				c.serve(ctx)
			}()
		}
	}
}

// add takes a connection in, or closes it if there are too many.
func (f *Front) add(conn net.Conn) *client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.clients) >= f.limits.Connections {
		conn.Close()
		return nil
	}
	f.last++
	c := &client{front: f, id: f.last, conn: conn, open: map[int32]int{}, wake: make(chan struct{}, 1)}
	f.clients[c.id] = c
	return c
}

// Answer writes a final answer to its client, if that is still there. It never waits.
func (f *Front) Answer(a router.Answer) {
	f.mu.Lock()
	c := f.clients[a.Client]
	f.mu.Unlock()
	if c == nil {
		return
	}
	out := thrift.Answer{Method: "call", Seq: a.Seq}
	switch a.Kind {
	case router.Settled:
		out.Good, out.Body = true, a.Body
		if a.Same {
			out.Body, out.Fields = nil, [][2]string{{"ok304", "1"}}
		}
		if f.queued.Load()+int64(len(out.Body)) > f.limits.Bytes {
			// Large answers to clients that don't read would take all memory.
			out = thrift.Answer{Method: "call", Seq: a.Seq, Field: 2}
			if !f.full.Swap(true) {
				f.log(fmt.Sprintf("slow clients: %d bytes of answers wait, new ones fail", f.queued.Load()))
			}
		} else if len(out.Body) > 0 && f.queued.Load() < f.limits.Bytes/2 && f.full.Swap(false) {
			f.log("slow clients: answers go out again")
		}
	case router.Dismissed:
		out.Field = 1
		if ms := a.Later / 1e6; ms > 0 {
			out.Fields = [][2]string{{"later", strconv.FormatInt(ms, 10)}}
		}
	case router.Aborted:
		out.Field = 2
	case router.Unusable:
		out.Fault, out.Text = thrift.ProtocolError, a.Why
	}
	// In this order: a connection that ends once all is answered ended between the two, without the answer.
	c.send(out)
	c.close(a.Seq)
}

// Flushed tells whether every answer has been written.
func (f *Front) Flushed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.clients {
		if !c.flushed() {
			return false
		}
	}
	return true
}

// client is one connection.
type client struct {
	front *Front
	id    router.ClientID
	conn  net.Conn
	wake  chan struct{}

	mu      sync.Mutex
	queue   net.Buffers
	bytes   int64
	writing bool
	open    map[int32]int // requests read and not yet answered
	ending  bool          // nothing more is read: it ends once all is answered
	gone    bool          // nothing more is queued
}

func (c *client) serve(ctx context.Context) {
	defer c.conn.Close()
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(ctx)
	}()
	err := c.read(ctx)
	c.mu.Lock()
	c.ending = true
	if !endsReading(err) {
		clear(c.open) // the client has gone
		c.conn.Close()
	}
	c.mu.Unlock()
	c.signal()
	<-written
	c.linger()
	c.front.mu.Lock()
	delete(c.front.clients, c.id)
	c.front.mu.Unlock()
	c.mu.Lock()
	c.gone = true
	c.front.queued.Add(-c.bytes)
	c.mu.Unlock()
	c.front.post(router.Left{Client: c.id})
}

// linger lets the client read its last answers: closing with input unread would reset the connection, and
// what the client had not read by then was lost to it.
func (c *client) linger() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		tcp.SetReadDeadline(time.Now().Add(lingerMost))
		io.Copy(io.Discard, tcp)
	}
}

// endsReading tells whether an error leaves the way to the client open, so that what was understood before it
// is still answered: the client has closed its side only, or sent what cannot be understood. One that closed
// both sides shows by the first answer to it.
func endsReading(err error) bool {
	for _, e := range []error{thrift.ErrFrame, thrift.ErrVersion, io.EOF, io.ErrUnexpectedEOF, os.ErrDeadlineExceeded} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// read reads requests until the connection ends or cannot be understood any more.
func (c *client) read(ctx context.Context) error {
	in := bufio.NewReaderSize(c.conn, smallFrame)
	for {
		c.conn.SetReadDeadline(time.Now().Add(idleMost))
		if _, err := in.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.idle() {
				continue
			}
			return err
		}
		c.conn.SetReadDeadline(time.Now().Add(frameMost))
		frame, err := c.frame(ctx, in)
		if err != nil {
			return err
		}
		m, err := thrift.Parse(frame)
		if err != nil {
			return err
		}
		c.message(m)
	}
}

// frame reads one frame; large ones share a bounded memory.
func (c *client) frame(ctx context.Context, in *bufio.Reader) ([]byte, error) {
	size, err := thrift.FrameSize(in)
	if err != nil {
		return nil, err
	}
	if size > smallFrame {
		if err := c.front.reading.Acquire(ctx, int64(size)); err != nil {
			return nil, err
		}
		defer c.front.reading.Release(int64(size))
	}
	frame := make([]byte, size)
	_, err = io.ReadFull(in, frame)
	return frame, err
}

func (c *client) message(m thrift.Message) {
	fault := func(kind int, text string) {
		c.send(thrift.Answer{Method: m.Name, Seq: m.Seq, Fault: kind, Text: text})
	}
	if m.Type != thrift.Call && m.Type != thrift.Oneway {
		fault(thrift.InvalidType, "not a call")
		return
	}
	args, err := thrift.ParseArguments(m.Body)
	switch {
	case m.Name == "cancel":
		if err == nil && args.Has[1] && c.close(args.Number) {
			c.front.post(router.Cancelled{Client: c.id, Seq: args.Number})
		}
	case m.Type == thrift.Oneway:
	case m.Name != "call" && m.Name != "health":
		fault(thrift.UnknownMethod, "unknown method "+strconv.QuoteToASCII(m.Name[:min(len(m.Name), 64)]))
	case err != nil:
		fault(thrift.ProtocolError, err.Error())
	case m.Name == "health":
		c.send(thrift.Answer{Method: m.Name, Seq: m.Seq, Good: c.front.ready.Load()})
	default:
		c.mu.Lock()
		c.open[m.Seq]++
		c.mu.Unlock()
		c.front.post(router.Requested{Client: c.id, Seq: m.Seq, Fields: args.Fields, Body: args.Body})
	}
}

// close takes one request off those that are open, and tells whether there was one.
func (c *client) close(seq int32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[seq] == 0 {
		return false
	}
	if c.open[seq]--; c.open[seq] == 0 {
		delete(c.open, seq)
	}
	if c.ending {
		c.signal()
	}
	return true
}

func (c *client) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0 && len(c.queue) == 0 && !c.writing
}

func (c *client) flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0 && !c.writing
}

func (c *client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// send queues an answer for the writer.
func (c *client) send(a thrift.Answer) {
	pieces := thrift.Frame(a)
	size := int64(0)
	for _, p := range pieces {
		size += int64(len(p))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return
	}
	c.queue = append(c.queue, pieces...)
	c.bytes += size
	c.front.queued.Add(size)
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
		over := c.ending && len(c.open) == 0 && len(batch) == 0
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
		c.conn.SetWriteDeadline(time.Now().Add(frameMost))
		_, err := batch.WriteTo(c.conn)
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
