package upstream

import (
	"slices"

	"tealpath/internal/router"
)

// queueItem waits to be written: a request, or the order to abort one.
type queueItem struct {
	send    *router.Send
	abortID string // where send is nil: the id of the request to abort
}

// requestID returns the id of a request; it is empty for an abort.
func (i queueItem) requestID() string {
	if i.send == nil {
		return ""
	}
	return i.send.Request.ID
}

// encode returns the bytes of an item that is written now.
func (i queueItem) encode(now int64) []byte {
	if i.send == nil {
		return encodeAbort(i.abortID)
	}
	return encodeFetch(i.send.Request, i.send.Request.Deadline-now)
}

// isExpired reports whether an item must no longer be written.
func (i queueItem) isExpired(now int64) bool { return i.send != nil && now >= i.send.SendDeadline }

// enqueue adds an item and wakes the writer.
func (c *connection) enqueue(item queueItem) {
	c.mu.Lock()
	c.queue = append(c.queue, item)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// removeLocked takes a request out of the queue and reports whether it was there. The caller holds mu.
func (c *connection) removeLocked(id string) bool {
	before := len(c.queue)
	c.queue = slices.DeleteFunc(c.queue, func(item queueItem) bool { return item.requestID() == id })
	return len(c.queue) < before
}

// cancelAttempt takes a request out of the queue, or has the endpoint abort it if some of it is written.
func (c *connection) cancelAttempt(id string) {
	c.mu.Lock()
	removed := c.removeLocked(id)
	c.mu.Unlock()
	if !removed {
		c.enqueue(queueItem{abortID: id})
	}
}

// withdraw takes a request out of the queue and reports whether it was there.
func (c *connection) withdraw(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.removeLocked(id) {
		return false
	}
	c.withdrawn = append(c.withdrawn, id)
	return true
}

// postWithdrawn posts that a request is not written. Until then it stays among the unsent, since the
// connection may end meanwhile.
func (c *connection) postWithdrawn(id string) {
	c.pool.post(router.AttemptWithdrawn{Connection: c.id, ID: id})
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.Index(c.withdrawn, id); at >= 0 {
		c.withdrawn = slices.Delete(c.withdrawn, at, at+1)
	}
}

// unsent returns the ids of the requests that have not been written completely.
func (c *connection) unsent() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := slices.Clone(c.withdrawn)
	if c.partial != "" {
		ids = append(ids, c.partial)
	}
	for _, item := range c.queue {
		if item.send != nil {
			ids = append(ids, item.requestID())
		}
	}
	return ids
}

// expireLocked takes the items out of the queue that must no longer be written, and returns their ids. The
// caller holds mu.
func (c *connection) expireLocked(now int64) (ids []string) {
	c.queue = slices.DeleteFunc(c.queue, func(item queueItem) bool {
		if !item.isExpired(now) {
			return false
		}
		ids = append(ids, item.requestID())
		return true
	})
	c.withdrawn = append(c.withdrawn, ids...)
	return ids
}

// encodeLocked returns the bytes of the first items of the queue, and where each of them ends. The caller
// holds mu.
func (c *connection) encodeLocked(now int64) (encoded []byte, ends []int) {
	for _, item := range c.queue {
		if len(encoded) >= writeSize {
			break
		}
		encoded = append(encoded, item.encode(now)...)
		ends = append(ends, len(encoded))
	}
	return encoded, ends
}
