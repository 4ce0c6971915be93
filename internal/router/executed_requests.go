package router

// executedRequests remembers the IDs of ended requests that may have been executed and must not be executed again. A
// client never uses an ID twice, but one that has lost its connection may send the same bytes again on another.
type executedRequests struct {
	limit  int // largest number of IDs; the oldest are forgotten first
	known  map[RequestID]bool
	oldest []executedRequest // in the order in which they ended
}

// executedRequest is a request that may have been executed.
type executedRequest struct {
	id      RequestID
	endedAt int64 // ns
}

func newExecutedRequests(limit int) executedRequests {
	return executedRequests{limit: limit, known: map[RequestID]bool{}}
}

// add remembers the ID of a request that ends at the time now, in ns.
func (e *executedRequests) add(now int64, id RequestID) {
	if e.known[id] || e.limit <= 0 {
		return
	}
	if len(e.oldest) >= e.limit {
		e.forgetOldest()
	}
	e.known[id] = true
	e.oldest = append(e.oldest, executedRequest{id: id, endedAt: now})
}

// forgetBefore forgets the requests that ended before a time, in ns.
func (e *executedRequests) forgetBefore(at int64) {
	for len(e.oldest) > 0 && e.oldest[0].endedAt < at {
		e.forgetOldest()
	}
}

func (e *executedRequests) forgetOldest() {
	delete(e.known, e.oldest[0].id)
	e.oldest = e.oldest[1:]
}
