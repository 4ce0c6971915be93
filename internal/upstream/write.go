package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/router"
)

// writeMost is about how many bytes are written at once: the queue stays locked for so long.
const writeMost = 64 << 10

// transientPause is how long a write waits after an error that passes, as a want of memory in the kernel.
const transientPause = 5 * time.Millisecond

// errEnded is the other side's end that was there before a request was written.
var errEnded = errors.New("upstream: the other side has ended")

// errNoDescriptor is a connection that is none of the system's.
var errNoDescriptor = errors.New("upstream: a connection without a descriptor")

// now is the time on the axis of the reducer's events.
func (p *Pool) now() int64 { return p.clock.Now() }

// item is what waits to be written to a link: a request, or that one is given up.
type item struct {
	request *router.Send
	abort   string // with no request: the id of the one that is given up
}

// id is a request's; of what is no request it is empty.
func (i item) id() string {
	if i.request == nil {
		return ""
	}
	return i.request.Request.ID
}

// encode gives an item's bytes as they are to be written now.
func (i item) encode(now int64) []byte {
	if i.request == nil {
		return encodeAbort(i.abort)
	}
	return encodeFetch(i.request.Request, i.request.Request.Deadline-now)
}

// mayBeWritten tells whether the time in which an item may be written has not passed.
func (i item) mayBeWritten(now int64) bool { return i.request == nil || now < i.request.SendDeadline }

// enter queues an item.
func (l *link) enter(i item) {
	l.mu.Lock()
	l.queue = append(l.queue, i)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// remove takes a request out of the queue and tells whether it was there; the link is locked.
func (l *link) remove(id string) bool {
	before := len(l.queue)
	l.queue = slices.DeleteFunc(l.queue, func(i item) bool { return i.id() == id })
	return len(l.queue) < before
}

// giveUp takes a request out of the queue, or tells the other side if some of it is written.
func (l *link) giveUp(id string) {
	l.mu.Lock()
	unwritten := l.remove(id)
	l.mu.Unlock()
	if !unwritten {
		l.enter(item{abort: id})
	}
}

// withdraw takes a request out of the queue and tells whether it was there.
func (l *link) withdraw(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.remove(id) {
		return false
	}
	l.withdrawn = append(l.withdrawn, id)
	return true
}

// tellWithdrawn tells that a request is not written. Until that is told it counts among the unsent: the link
// may end meanwhile.
func (l *link) tellWithdrawn(id string) {
	l.pool.post(router.AttemptWithdrawn{Connection: l.id, ID: id})
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := slices.Index(l.withdrawn, id); at >= 0 {
		l.withdrawn = slices.Delete(l.withdrawn, at, at+1)
	}
}

// unsent is the requests that were not wholly written.
func (l *link) unsent() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := slices.Clone(l.withdrawn)
	if l.partial != "" {
		ids = append(ids, l.partial)
	}
	for _, i := range l.queue {
		if i.request != nil {
			ids = append(ids, i.id())
		}
	}
	return ids
}

// write writes what is queued until the connection or the context ends.
func (l *link) write(ctx context.Context, conn net.Conn) error {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return errNoDescriptor
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := l.flush(conn, raw); err != nil {
			return err
		}
	}
}

// flush writes until nothing is queued.
func (l *link) flush(conn net.Conn, raw syscall.RawConn) error {
	for {
		var step writeStep
		err := raw.Write(func(fd uintptr) bool {
			step = l.writeSome(int(fd))
			for _, id := range step.expired {
				l.tellWithdrawn(id)
			}
			return !step.full
		})
		if neterr.IsTransient(step.err) {
			time.Sleep(transientPause)
			continue // nothing of it is written: it is decided on anew
		}
		if err = errors.Join(err, step.err); err != nil || step.empty {
			return err
		}
		if len(step.rest) == 0 {
			continue
		}
		if _, err := conn.Write(step.rest); err != nil {
			return err
		}
		l.mu.Lock()
		l.partial = ""
		l.mu.Unlock()
	}
}

// writeStep is what came of one write.
type writeStep struct {
	empty   bool     // nothing was queued
	full    bool     // the connection takes no more for now
	rest    []byte   // of a request that is written in part
	expired []string // requests that may no longer be written
	err     error
}

// writeSome writes some of what is queued as far as the connection takes it at once. Until then a request can
// be taken back: what it says, and whether it is written, is decided here, with the queue locked.
func (l *link) writeSome(fd int) (step writeStep) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.pool.now()
	step.expired = l.expire(now)
	out, ends := l.encode(now)
	if len(out) == 0 {
		step.empty = true
		return step
	}
	if hasEnded(fd) {
		step.err = errEnded
		return step
	}
	n, err := l.pool.write.once(fd, out)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		step.full = true
		return step
	case err != nil:
		step.err = err
		return step
	}
	whole := 0
	for whole < len(ends) && ends[whole] <= n {
		whole++
	}
	if whole < len(ends) && (whole == 0 && n > 0 || whole > 0 && ends[whole-1] < n) {
		l.partial, step.rest = l.queue[whole].id(), out[n:ends[whole]]
		whole++
	}
	l.queue = slices.Delete(l.queue, 0, whole)
	return step
}

// expire takes out of the queue what may no longer be written; the link is locked.
func (l *link) expire(now int64) (ids []string) {
	l.queue = slices.DeleteFunc(l.queue, func(i item) bool {
		if i.mayBeWritten(now) {
			return false
		}
		ids = append(ids, i.id())
		return true
	})
	l.withdrawn = append(l.withdrawn, ids...)
	return ids
}

// encode gives the bytes of what is first in the queue, and where each item's end; the link is locked.
func (l *link) encode(now int64) (out []byte, ends []int) {
	for _, i := range l.queue {
		if len(out) >= writeMost {
			break
		}
		out = append(out, i.encode(now)...)
		ends = append(ends, len(out))
	}
	return out, ends
}

// systemWrite is the system's call write(2); tests put its errors in its place.
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

// hasEnded tells whether the other side has closed, though its reader has not seen it yet: what is written
// now never runs, and it is known. Written all the same it went for what may have run, and one-shots were
// failed.
func hasEnded(fd int) bool {
	n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n == 0
}
