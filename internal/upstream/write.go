package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"tealpath/internal/neterr"
)

const (
	// writeSize is about how many bytes are encoded for one write, during which the queue stays locked.
	writeSize = 64 << 10

	// transientErrorPause is between two writes of which the first met a transient error, such as a lack of
	// memory in the kernel.
	transientErrorPause = 5 * time.Millisecond
)

var (
	// errPeerClosed is the endpoint's end of the connection that came before a request was written.
	errPeerClosed = errors.New("upstream: closed by the endpoint")

	// errNoDescriptor is a connection that is none of the system's.
	errNoDescriptor = errors.New("upstream: a connection without a descriptor")
)

// systemWrite is the system call write(2); tests put its errors in its place.
type systemWrite func(fd int, out []byte) (int, error)

// once writes what a descriptor takes at once.
func (write systemWrite) once(fd int, out []byte) (int, error) {
	for {
		n, err := write(fd, out)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

// write writes what is queued until the connection or the context ends.
func (c *connection) write(ctx context.Context, conn net.Conn) error {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return errNoDescriptor
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

// flush writes until the queue is empty.
func (c *connection) flush(conn net.Conn, raw syscall.RawConn) error {
	for {
		var step writeStep
		err := raw.Write(func(fd uintptr) bool {
			step = c.writeSome(int(fd))
			for _, id := range step.expired {
				c.postWithdrawn(id)
			}
			return !step.full
		})
		if neterr.IsTransient(step.err) {
			time.Sleep(transientErrorPause)
			continue // nothing of it has been written: what to write is decided anew
		}
		if err = errors.Join(err, step.err); err != nil || step.empty {
			return err
		}
		if err := c.finishPartial(conn, step.remainder); err != nil {
			return err
		}
	}
}

// finishPartial writes the rest of a request that was written in part; there may be none.
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

// writeStep is the outcome of one write.
type writeStep struct {
	empty     bool     // nothing was queued
	full      bool     // the connection takes no more for now
	remainder []byte   // of a request that is written in part
	expired   []string // requests that must no longer be written
	err       error
}

// writeSome writes as much of the queue as the connection takes at once. Up to that moment a request can be
// withdrawn: what it says, and whether it is written, is decided here with the queue locked.
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
	written, err := c.pool.write.once(fd, encoded)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		step.full = true
	case err != nil:
		step.err = err
	default:
		step.remainder = c.dequeueLocked(encoded, ends, written)
	}
	return step
}

// dequeueLocked removes the items of which something was written. Where the last of them was written in part
// it returns the rest of it. The caller holds mu.
func (c *connection) dequeueLocked(encoded []byte, ends []int, written int) (remainder []byte) {
	complete := 0
	for complete < len(ends) && ends[complete] <= written {
		complete++
	}
	begin := 0 // of the first item that is not complete
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

// hasPeerClosed reports whether the endpoint has closed the connection, though that has not been read yet.
// What is not written for that reason is known not to have run; once written, it might have.
func hasPeerClosed(fd int) bool {
	n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n == 0
}
