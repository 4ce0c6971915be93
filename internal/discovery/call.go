package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/neterr"
	"tealpath/internal/protocol/sse"
)

// watchPath is the path of the watch at the discovery service.
const watchPath = "/journal"

// call is one connection to the discovery service, with the watch on it.
type call struct {
	watcher *Watcher
	conn    net.Conn
	stream  *sse.Stream // nil until the response's head has come
	hasData bool        // an event or a comment has come
}

// call connects to the service and processes what it sends until the connection ends. It returns how that
// came about; the error is never nil.
func (w *Watcher) call(ctx context.Context, address string) (startup.CallResult, error) {
	dialled, err := w.dial(ctx, "tcp", address)
	if err != nil {
		return dialResult(err), err
	}
	conn := neterr.Conn{Conn: dialled}
	defer neterr.Close(conn)
	stop := context.AfterFunc(ctx, func() { neterr.Close(conn) })
	defer stop()
	w.schedule.CallStarted(w.clock.Now())
	c := &call{watcher: w, conn: conn}
	if result, err := c.open(address); err != nil {
		return result, err
	}
	return c.receive()
}

// dialResult says how a call ended whose connection was never established.
func dialResult(err error) startup.CallResult {
	switch {
	case neterr.IsLocal(err):
		return startup.LocalError
	case errors.Is(err, syscall.ECONNREFUSED):
		return startup.Refused
	}
	return startup.Unreachable
}

// open requests the watch and reads the response's head. The result counts only with an error.
func (c *call) open(address string) (startup.CallResult, error) {
	if err := c.conn.SetDeadline(c.watcher.readDeadline()); err != nil {
		return c.result(err), err
	}
	resumeAfter := strconv.FormatInt(c.watcher.position, 10)
	if err := sse.WriteRequest(c.conn, address, watchPath, resumeAfter); err != nil {
		return c.result(err), err
	}
	stream, err := sse.Open(c)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return startup.Truncated, err // the request was taken, and no response came
	}
	c.stream = stream
	return c.result(err), err
}

// receive processes events and comments until the connection ends or one of them ends it.
func (c *call) receive() (startup.CallResult, error) {
	for {
		event, err := c.stream.Next()
		if err != nil {
			return c.streamResult(err), err
		}
		c.dataReceived()
		if event.Comment {
			if err := c.watcher.processComment(); err != nil {
				return startup.Disconnected, err
			}
			continue
		}
		err = c.watcher.processEvent(event)
		if errors.Is(err, errListUnconfirmed) {
			// The event was complete and understood, so the next call backs off: a service that has lost half
			// of its list is not to be called by all routers at full speed.
			return startup.Disconnected, err
		}
		if err != nil {
			return startup.Truncated, err
		}
	}
}

func (c *call) dataReceived() {
	c.watcher.schedule.DataReceived()
	if !c.hasData {
		c.hasData = true
		c.watcher.connected()
	}
}

// result says how a call ended by an error on its connection.
func (c *call) result(err error) startup.CallResult {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timedOut && c.hasData:
		return startup.Silent
	case timedOut:
		return startup.Unanswered
	}
	return startup.Disconnected
}

// streamResult says how a call ended whose stream failed. A stream that ends inside an event, or before
// anything has come on it, is truncated.
func (c *call) streamResult(err error) startup.CallResult {
	result := c.result(err)
	endedBeforeData := !c.hasData && result == startup.Disconnected
	if c.stream.InsideEvent() || endedBeforeData {
		return startup.Truncated
	}
	return result
}

// Read implements io.Reader for the stream. Between events it waits for as long as the service may take
// between two comments, inside an event for much less: the router counts as notified of an event that it cannot
// act on until it is complete.
func (c *call) Read(p []byte) (int, error) {
	deadline := c.watcher.readDeadline()
	if c.stream != nil && c.stream.InsideEvent() {
		deadline = time.Now().Add(time.Duration(c.watcher.schedule.StallTimeout()))
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.conn.Read(p)
}

// readDeadline returns until when to wait for the next byte between events, or for the first.
func (w *Watcher) readDeadline() time.Time {
	timeout := time.Duration(w.schedule.ReadTimeout())
	if w.maxReadTimeout > 0 {
		timeout = min(timeout, w.maxReadTimeout)
	}
	return time.Now().Add(timeout)
}
