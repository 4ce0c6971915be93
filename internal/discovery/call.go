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

// watchPath is the URL path of the watch at the discovery service.
const watchPath = "/journal"

// call is one connection to the discovery service, and the watch that is received on it.
type call struct {
	watcher  *Watcher
	conn     net.Conn
	stream   *sse.Stream // nil until the response headers have been received
	answered bool        // the answer has begun, and the watcher's goroutine reads it
	hasData  bool        // at least one event or comment has been received on this connection
	pause    int64       // longest wait for a byte inside the event or comment that is being received, ns
}

// call makes a call of the service after a delay, ns, and processes events and comments until the connection ends. If
// an earlier call is answered before that, call continues with the earlier one. It returns how the call ended; the
// error is never nil.
func (w *Watcher) call(ctx context.Context, address string, delay int64) (startup.CallResult, error) {
	answered := w.pause(ctx, delay)
	if ctx.Err() != nil {
		return startup.Disconnected, ctx.Err()
	}
	if answered == nil {
		opened, result, err := w.dialCall(ctx, address)
		if err != nil {
			return result, err
		}
		answered, result, err = w.awaitAnswer(ctx, opened)
		if err != nil {
			return result, err
		}
	}
	defer answered.close()
	return answered.call.receive()
}

// dialResult returns the result of a call that failed to connect: LocalError, Refused or Unreachable.
func dialResult(err error) startup.CallResult {
	switch {
	case neterr.IsLocal(err):
		return startup.LocalError
	case errors.Is(err, syscall.ECONNREFUSED):
		return startup.Refused
	}
	return startup.Unreachable
}

// open requests the watch after the event at position resumeAfter, and waits until the body of the answer begins.
func (c *call) open(address string, resumeAfter int64) error {
	if err := sse.WriteRequest(c.conn, address, watchPath, strconv.FormatInt(resumeAfter, 10)); err != nil {
		return err
	}
	stream, err := sse.Open(c)
	if err != nil {
		return err
	}
	c.stream = stream
	return stream.AwaitData()
}

// openResult returns the result of a call that failed with err before the body of its answer began.
func (c *call) openResult(err error) startup.CallResult {
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return startup.Truncated
	}
	return c.result(err)
}

// receive processes events and comments until the connection ends or processing one of them returns an error.
func (c *call) receive() (startup.CallResult, error) {
	for {
		event, err := c.stream.Next()
		if err != nil {
			return c.streamResult(err), err
		}
		pause := c.pause
		c.pause = 0
		c.dataReceived()
		if event.Comment {
			if err := c.watcher.processComment(); err != nil {
				return startup.Disconnected, err
			}
			continue
		}
		c.watcher.schedule.EventReceived(pause)
		err = c.watcher.processEvent(event)
		if errors.Is(err, errListUnconfirmed) {
			// The event was complete and valid, so the result is not Truncated and the next call is delayed. Without
			// the delay, all routers would immediately repeat their calls of a service that has lost part of its list.
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

// result returns the result of a call whose connection failed with err: Silent or Unanswered after a timeout,
// depending on whether any data had been received, and Disconnected otherwise.
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

// streamResult returns the result of a call whose stream failed with err. The result is Truncated if the stream ended
// inside an event or before the first event or comment.
func (c *call) streamResult(err error) startup.CallResult {
	result := c.result(err)
	insideEvent := c.stream.InsideEvent()
	if insideEvent && result != startup.Disconnected {
		c.watcher.schedule.EventStalled()
	}
	endedBeforeData := !c.hasData && result == startup.Disconnected
	if insideEvent || endedBeforeData {
		return startup.Truncated
	}
	return result
}

// Read implements io.Reader for the stream. Before the answer has begun, the deadline is that of the opening. Between
// events, the timeout allows for the time between two comments of the service. Inside an event startup.CallSchedule
// sets another one, and is told of the pauses.
func (c *call) Read(p []byte) (int, error) {
	if !c.answered {
		return c.conn.Read(p)
	}
	if !c.stream.InsideEvent() {
		return c.readUntil(c.watcher.readDeadline(), p)
	}
	begunAt := c.watcher.clock.Now()
	timeout := time.Duration(c.watcher.schedule.StallTimeout(begunAt))
	count, err := c.readUntil(time.Now().Add(timeout), p)
	c.pause = max(c.pause, c.watcher.clock.Now()-begunAt)
	return count, err
}

// readUntil reads from the connection with a deadline.
func (c *call) readUntil(deadline time.Time, p []byte) (int, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.conn.Read(p)
}

// readDeadline returns the time by which the next byte must arrive, if none of the response or of the next event has
// arrived yet.
func (w *Watcher) readDeadline() time.Time {
	timeout := time.Duration(w.schedule.ReadTimeout())
	if w.maxReadTimeout > 0 {
		timeout = min(timeout, w.maxReadTimeout)
	}
	return time.Now().Add(timeout)
}
