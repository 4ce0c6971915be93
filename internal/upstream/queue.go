package upstream

import (
	"slices"

	"tealpath/internal/router"
)

// queueItem is a command that waits to be written to an endpoint: a fetch or an abort.
type queueItem struct {
	send    *router.Send // the request that a fetch sends; nil: the item is an abort
	abortID string       // ID of the request to abort; used only if send is nil
}

// requestID returns the ID of the request that the item fetches, or "" if the item is an abort.
func (i queueItem) requestID() string {
	if i.send == nil {
		return ""
	}
	return i.send.Request.ID
}

// encode returns the command as it is written to the endpoint. The budget of a request is the time left until its
// deadline.
func (i queueItem) encode(now int64) []byte {
	if i.send == nil {
		return encodeAbort(i.abortID)
	}
	return encodeFetch(i.send.Request, i.send.Request.Deadline-now)
}

// isExpired reports whether the item is a fetch that must not be sent any more, because its SendDeadline has passed.
func (i queueItem) isExpired(now int64) bool { return i.send != nil && now >= i.send.SendDeadline }

// enqueue appends an item to the queue and wakes the writer. A request that is sent again is no longer listed as
// withdrawn: its AttemptWithdrawn has been received, although postWithdrawn may not have noted that yet.
func (c *connection) enqueue(item queueItem) {
	c.mu.Lock()
	c.queue = append(c.queue, item)
	c.removeWithdrawnLocked(item.requestID())
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// removeLocked removes the request with the ID from the queue, and reports whether it was queued. The caller holds mu.
func (c *connection) removeLocked(id string) bool {
	before := len(c.queue)
	c.queue = slices.DeleteFunc(c.queue, func(item queueItem) bool { return item.requestID() == id })
	return len(c.queue) < before
}

// cancelAttempt removes a request from the queue. If the request is not queued, it queues an abort command for it.
func (c *connection) cancelAttempt(id string) {
	c.mu.Lock()
	removed := c.removeLocked(id)
	c.mu.Unlock()
	if !removed {
		c.enqueue(queueItem{abortID: id})
	}
}

// withdraw removes a request from the queue and reports whether it was queued. The caller must then call
// postWithdrawn.
func (c *connection) withdraw(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.removeLocked(id) {
		return false
	}
	c.withdrawn = append(c.withdrawn, id)
	return true
}

// postWithdrawn posts AttemptWithdrawn for a request that was removed from the queue. Until that is posted, unsent
// still lists the request, because the connection may end in the meantime.
func (c *connection) postWithdrawn(id string) {
	c.pool.post(router.AttemptWithdrawn{Connection: c.id, ID: id})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeWithdrawnLocked(id)
}

// removeWithdrawnLocked removes an ID from the list of withdrawn requests, if it is there. The caller holds mu.
func (c *connection) removeWithdrawnLocked(id string) {
	if at := slices.Index(c.withdrawn, id); at >= 0 {
		c.withdrawn = slices.Delete(c.withdrawn, at, at+1)
	}
}

// unsent returns the IDs of the requests that have not been written completely, including removed ones whose
// AttemptWithdrawn is not posted yet.
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

// expireLocked removes the requests whose SendDeadline has passed from the queue and returns their IDs. The caller,
// which holds mu, must then call postWithdrawn for each of them.
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

// encodeLocked encodes items from the head of the queue until the result has writeSize bytes or more. ends holds the
// position in encoded at which each item ends. The caller holds mu.
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
