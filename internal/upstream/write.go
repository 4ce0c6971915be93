package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"tealpath/internal/neterr"
)

const (
	// writeSize limits how long the queue stays locked during a write: once this many bytes are encoded, no further
	// item is added.
	writeSize = 64 << 10

	// transientErrorPause is the delay before a write is repeated after a transient error, such as a lack of kernel
	// memory.
	transientErrorPause = 5 * time.Millisecond
)

var (
	// errPeerClosed is returned instead of writing a request if the endpoint has already closed the connection.
	errPeerClosed = errors.New("upstream: connection closed by the endpoint")

	// errNoDescriptor is returned for a connection that is not a socket of the operating system.
	errNoDescriptor = errors.New("upstream: connection has no file descriptor")
)

// writeFunc has the signature of syscall.Write; tests replace it to inject errors.
type writeFunc func(fd int, out []byte) (int, error)

// writeAvailable writes as many bytes as fit into the socket's send buffer and returns their number. It repeats calls
// that a signal interrupted.
func (write writeFunc) writeAvailable(fd int, out []byte) (int, error) {
	for {
		n, err := write(fd, out)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

// write writes queued items until the context ends or a write fails.
func (c *connection) write(ctx context.Context, conn net.Conn) error {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%w: %T", errNoDescriptor, conn)
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return err
	}
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.flush(conn, raw); err != nil {
			return err
		}
	}
}

// flush writes until the queue is empty or a write fails with an error that is not transient.
func (c *connection) flush(conn net.Conn, raw syscall.RawConn) error {
	for {
		var step writeStep
		err := raw.Write(func(fd uintptr) bool {
			step = c.writeSome(int(fd))
			for _, id := range step.expired {
				c.postWithdrawn(id)
			}
			return !step.wouldBlock
		})
		if neterr.IsTransient(step.err) {
			time.Sleep(transientErrorPause)
			continue // nothing was written: encode the queue again, with current budgets
		}
		if err = errors.Join(err, step.err); err != nil || step.empty {
			return err
		}
		if err := c.finishPartial(conn, step.remainder); err != nil {
			return err
		}
	}
}

// finishPartial writes the bytes that are left of a partially written item, if any, and blocks until they are written.
func (c *connection) finishPartial(conn net.Conn, remainder []byte) error {
	if len(remainder) == 0 {
		return nil
	}
	if _, err := conn.Write(remainder); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = ""
	return nil
}

// writeStep is the outcome of one call of writeSome. If err is set or wouldBlock is true, nothing was written.
type writeStep struct {
	empty      bool     // the queue held nothing to write
	wouldBlock bool     // the socket's send buffer is full
	remainder  []byte   // bytes of a partially written item that are still to be written; empty: there is no such item
	expired    []string // IDs of the requests removed because their SendDeadline has passed
	err        error
}

// writeSome writes as much of the queue as fits into the socket's buffer, up to about writeSize. Requests are encoded
// and checked for expiry here, with the queue locked, so that a request can be withdrawn until it is written.
func (c *connection) writeSome(fd int) (step writeStep) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.pool.clock.Now()
	step.expired = c.expireLocked(now)
	encoded, ends := c.encodeLocked(now)
	if len(encoded) == 0 {
		step.empty = true
		return step
	}
	if hasPeerClosed(fd) {
		step.err = errPeerClosed
		return step
	}
	written, err := c.pool.write.writeAvailable(fd, encoded)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		step.wouldBlock = true
	case err != nil:
		step.err = err
	default:
		step.remainder = c.dequeueLocked(encoded, ends, written)
	}
	return step
}

// dequeueLocked removes the items of which at least one byte was written. If the last of them was only partially
// written, it returns the remaining bytes of that item. ends has the offset in encoded at which each item ends. The
// caller holds mu.
func (c *connection) dequeueLocked(encoded []byte, ends []int, written int) (remainder []byte) {
	complete := 0
	for complete < len(ends) && ends[complete] <= written {
		complete++
	}
	begin := 0 // position in encoded of the first item that is not completely written
	if complete > 0 {
		begin = ends[complete-1]
	}
	if begin < written {
		c.partial = c.queue[complete].requestID()
		remainder = encoded[written:ends[complete]]
		complete++
	}
	c.queue = slices.Delete(c.queue, 0, complete)
	return remainder
}

// hasPeerClosed reports whether the endpoint has closed the connection and the reader has not noticed yet. A request
// that is not written for this reason is known not to have run; once it is written, it may have run.
func hasPeerClosed(fd int) bool {
	n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n == 0
}
