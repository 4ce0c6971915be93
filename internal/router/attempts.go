package router

import (
	"cmp"
	"maps"
	"slices"

	"tealpath/control"
)

// minResponseTime is the shortest time in ns that an endpoint is given to respond. It is 1 ms because timeouts are
// sent to endpoints in whole milliseconds.
const minResponseTime = millisecond

// attempt is one try to get the response to a request from one endpoint.
type attempt struct {
	request      *inFlightRequest
	number       int       // index of the attempt in request.attempts
	cache        *endpoint // endpoint to send the request to; nil: it is unknown, so the attempt ends at once
	source       *endpoint // endpoint from which the cache fills a miss; nil: CacheOnly, or it is unknown
	connection   *connection
	upstream     UpstreamRequest
	startedAt    int64 // ns; when startAttempt was called
	deadline     int64 // ns; the attempt times out if its response is not received by then
	sendDeadline int64 // ns; the attempt is not sent if writing it has not begun by then
	timer        *timer
	ended        bool // the outcome of the attempt was reported to the policy
}

// startAttempt starts an attempt that the policy decided on. The attempt is sent at once if its connection is
// established, waits for the connection if not, and ends as NotSent if no connection can be used or opened.
func (r *Router) startAttempt(request *inFlightRequest, decided control.Attempt) {
	attempt := r.newAttempt(request, decided)
	request.attempts = append(request.attempts, attempt)
	if attempt.cache != nil {
		attempt.connection = r.pickConnection(attempt.cache, attempt.upstream.ID)
	}
	if attempt.connection == nil {
		// The attempt counts towards the request's limit of attempts, even while this machine can open no
		// connections. Otherwise the policy could choose the same endpoint, whose connections are all saturated, in an
		// endless loop.
		attempt.connection = &connection{}
		r.attemptEnded(attempt, control.Outcome{Result: control.NotSent})
		return
	}
	attempt.connection.inFlight[attempt.upstream.ID] = attempt
	attempt.connection.lastUsedAt = r.now
	if attempt.connection.established {
		r.send(attempt)
		return
	}
	attempt.timer = r.timers.Push(attempt.sendDeadline, timerTask{kind: attemptTimer, attempt: attempt})
}

// newAttempt returns an attempt that the policy decided on, without a connection and not yet among the request's
// attempts. Its deadline is the earlier one of the request's deadline and the policy's timeout.
func (r *Router) newAttempt(request *inFlightRequest, decided control.Attempt) *attempt {
	timeout := request.Deadline - r.now
	if decided.Timeout > 0 {
		timeout = min(timeout, decided.Timeout)
	}
	deadline := r.now + timeout
	received := &request.received
	created := &attempt{
		request:      request,
		number:       len(request.attempts),
		cache:        r.endpoints.byID[decided.Cache],
		startedAt:    r.now,
		deadline:     deadline,
		sendDeadline: min(deadline-minResponseTime, r.now+decided.SendTimeout),
		upstream: UpstreamRequest{
			ID:             received.ID,
			Class:          received.Class,
			Object:         received.Object,
			Part:           received.Part.Text,
			Body:           received.Body,
			ClientETag:     received.ClientETag,
			IdempotencyKey: received.IdempotencyKey,
			Deadline:       deadline,
			Attempt:        decided,
		},
	}
	if decided.CacheOnly {
		return created
	}
	if source := r.endpoints.byID[decided.Source]; source != nil {
		created.source = source
		created.upstream.Source = source.Instance
	}
	return created
}

// send emits the effect that sends an attempt on its connection, which must be established, and sets its timer.
func (r *Router) send(attempt *attempt) {
	r.setAttemptTimer(attempt)
	r.emit(Send{
		Connection:   attempt.connection.id,
		Request:      attempt.upstream,
		SendDeadline: attempt.sendDeadline,
	})
}

// onEstablishedConnection reports whether an attempt is in flight on an established connection, where it may have been
// written.
func (attempt *attempt) onEstablishedConnection() bool {
	return !attempt.ended && attempt.connection.established
}

// usesUnready reports whether the endpoint that an attempt is sent to, or its source, is not ready.
func (attempt *attempt) usesUnready() bool {
	return !attempt.cache.isReady() || attempt.source != nil && !attempt.source.isReady()
}

// attemptEnded ends an attempt, reports its outcome to the policy and carries out the policy's decision.
func (r *Router) attemptEnded(attempt *attempt, outcome control.Outcome) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.upstream.Body = nil
	r.timers.Remove(attempt.timer)
	request := attempt.request
	outcome.Attempt = attempt.number
	outcome.Elapsed = r.now - attempt.startedAt
	outcome.RequestEnded = request.finished
	decision := r.policy.AttemptEnded(r.now, &request.Request, outcome)
	if request.finished {
		r.cancelAttempts(request, decision.Cancel)
		return
	}
	r.applyDecision(request, decision)
}

// cancelAttempts cancels the attempts of a request that have the given numbers and have not ended.
func (r *Router) cancelAttempts(request *inFlightRequest, numbers []int) {
	for _, number := range numbers {
		attempt := request.attempts[number]
		if attempt.ended {
			continue
		}
		result := control.Cancelled
		if !attempt.connection.established {
			result = control.NotSent
		}
		r.abandonAttempt(attempt)
		r.attemptEnded(attempt, control.Outcome{Result: result})
	}
}

// abandonAttempt removes an attempt from its connection, without waiting for its response. If nothing has been
// received on the connection since the attempt began, the connection may be drained (drainIfUnresponsive): a
// connection to a machine that has crashed stays open, even after the machine has restarted.
func (r *Router) abandonAttempt(attempt *attempt) {
	connection, id := attempt.connection, attempt.upstream.ID
	if connection.closed || connection.inFlight[id] != attempt {
		return
	}
	delete(connection.inFlight, id)
	if !connection.established {
		return // nothing was sent, so there is nothing to cancel
	}
	r.expectResponse(connection, id)
	if r.config.CancelAttempts {
		r.emit(CancelAttempt{Connection: connection.id, ID: id})
	} else {
		r.emit(WithdrawAttempt{Connection: connection.id, ID: id}) // the attempt is not sent if it is not written yet
	}
	r.drainIfUnresponsive(attempt)
	r.closeIfDrained(connection)
}

// withdrawAttempt ends an attempt that is not written yet. On an established connection only the connection's writer
// knows whether it is written, so there the attempt stays in flight, usually until AttemptWithdrawn or a response is
// received.
func (r *Router) withdrawAttempt(attempt *attempt) {
	if attempt.connection.established {
		r.emit(WithdrawAttempt{Connection: attempt.connection.id, ID: attempt.upstream.ID})
		return
	}
	r.abandonAttempt(attempt)
	r.attemptEnded(attempt, control.Outcome{Result: control.NotSent})
}

// withdrawAttempts withdraws the attempts of a request that have not ended.
func (r *Router) withdrawAttempts(request *inFlightRequest) {
	for _, attempt := range slices.Clone(request.attempts) {
		if !attempt.ended {
			r.withdrawAttempt(attempt)
		}
	}
}

// withdrawMatching withdraws all attempts for which matches returns true. It is called when an endpoint drains or a
// purge is received: an attempt that was decided on earlier and is written later would be sent to a draining endpoint,
// or would accept a copy from before the purge.
func (r *Router) withdrawMatching(matches func(*attempt) bool) {
	for _, id := range sortedKeys(r.connections) {
		connection := r.connections[id]
		if connection == nil || !connection.carriesAny(matches) {
			continue
		}
		for _, attempt := range connection.attempts() {
			if matches(attempt) && !attempt.ended {
				r.withdrawAttempt(attempt)
			}
		}
	}
}

// attemptWithdrawn ends an attempt as NotSent after its connection's writer has confirmed that no byte was written.
func (r *Router) attemptWithdrawn(event AttemptWithdrawn) {
	connection := r.connections[event.Connection]
	if connection == nil || connection.inFlight[event.ID] == nil {
		return // the attempt was cancelled in the meantime
	}
	attempt := connection.inFlight[event.ID]
	delete(connection.inFlight, event.ID)
	r.drainIfUnresponsive(attempt)
	r.attemptEnded(attempt, control.Outcome{Result: control.NotSent})
	r.closeIfDrained(connection)
}

// attempts returns the attempts in flight on a connection, ordered by start time.
func (c *connection) attempts() []*attempt {
	return slices.SortedFunc(maps.Values(c.inFlight), func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.startedAt, b.startedAt), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
}

// carriesAny reports whether matches returns true for any attempt in flight on the connection.
func (c *connection) carriesAny(matches func(*attempt) bool) bool {
	for _, attempt := range c.inFlight {
		if matches(attempt) {
			return true
		}
	}
	return false
}
