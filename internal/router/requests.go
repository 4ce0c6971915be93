package router

import (
	"slices"

	"tealpath/control"
)

// responseTransit is the time in ns that a response may take from this router to its client. It is subtracted from the
// client's timeout, so that the response arrives in time even over a slow network or with a busy core.
const responseTransit = 20 * millisecond

// inFlightRequest is a request that has no final response yet.
type inFlightRequest struct {
	control.Request // what the policy needs to know about the request, and the policy's own state
	received        Request
	client          ClientID
	seq             int32
	attempts        []*attempt
	finished        bool // the request has its final response, or its client no longer waits for it
	deadlineTimer   *timer
	recheckTimer    *timer // fires when the policy must decide on the request again; nil: never set
}

// requestReceived puts a request in flight, or responds at once if the request cannot be accepted.
func (r *Router) requestReceived(event RequestReceived) {
	answer := func(response Respond) {
		response.Client, response.Seq = event.Client, event.Seq
		r.emit(response)
	}
	if r.requests.find(event.Client, event.Seq) != nil {
		answer(Respond{Kind: BadRequest, Reason: ErrSequenceInUse})
		return
	}
	if event.DecodeError != nil {
		answer(Respond{Kind: BadRequest, Reason: event.DecodeError})
		return
	}
	request := &event.Request
	if !r.replaceAbandoned(request) {
		answer(Respond{Kind: Failed})
		return
	}
	if err := r.validate(request); err != nil {
		answer(Respond{Kind: BadRequest, Reason: err})
		return
	}
	if r.executed.known[request.ID] && !r.config.isIdempotent(request.Class) {
		answer(Respond{Kind: Failed})
		return
	}
	if !r.hasCapacity(request) {
		answer(Respond{Kind: Rejected})
		return
	}
	r.startRequest(event)
}

// replaceAbandoned ends an earlier request with the same ID if its client has closed its sending side: such a client
// has usually disconnected and retries on another connection. It reports whether the new request may be started, which
// is not the case if the earlier one may have been executed and the class is not idempotent.
func (r *Router) replaceAbandoned(request *Request) bool {
	previous := r.requests.byID[request.ID]
	if previous == nil || !previous.NoNewAttempts {
		return true
	}
	mayHaveRun := len(previous.attempts) > 0
	// The client's half-closed connection stays open until the client gets a response.
	r.respond(previous, Respond{Kind: Failed})
	r.abandonRequest(previous)
	return !mayHaveRun || r.config.isIdempotent(request.Class)
}

// validate checks what DecodeRequest cannot: whether a request is valid under the settings and does not conflict with
// one in flight, and how long its body is.
func (r *Router) validate(request *Request) error {
	if _, known := r.config.classes[request.Class]; !known {
		return &FieldError{Field: fieldClass, Value: request.Class, Reason: FieldUnknownClass}
	}
	if r.requests.byID[request.ID] != nil {
		return &FieldError{Field: fieldID, Value: request.ID, Reason: FieldIDInUse}
	}
	if len(request.Body) > maxBodyBytes {
		return ErrBodyTooLong
	}
	return nil
}

// hasCapacity reports whether one more request is within the limits on the number of requests in flight and on the
// total size of their bodies.
func (r *Router) hasCapacity(request *Request) bool {
	return r.requests.count < r.limits.MaxInFlight && r.requests.bodyBytes+len(request.Body) <= r.limits.MaxBodyBytes
}

// startRequest puts a valid request in flight, with its deadline timer, and asks the policy for the first decision.
func (r *Router) startRequest(event RequestReceived) {
	arrivedAt := r.eventAt
	if event.ArrivedAt > 0 {
		arrivedAt = min(event.ArrivedAt, r.eventAt)
	}
	request := &inFlightRequest{
		Request:  event.Request.policyRequest(arrivedAt),
		received: event.Request,
		client:   event.Client,
		seq:      event.Seq,
	}
	request.Deadline = r.effectiveDeadline(request.Deadline, arrivedAt)
	r.requests.add(request)
	r.setDeadlineTimer(request)
	r.decide(request)
}

// decide asks the policy what to do with a request now and carries out the decision.
func (r *Router) decide(request *inFlightRequest) {
	r.applyDecision(request, r.policy.Decide(r.now, &request.Request))
}

// applyDecision carries out the policy's decision on a request.
func (r *Router) applyDecision(request *inFlightRequest, decision control.Decision) {
	if request.finished {
		return
	}
	switch decision.Verdict {
	case control.Send:
		r.startAttempt(request, decision.Attempt)
	case control.Reject:
		r.respond(request, Respond{Kind: Rejected, RetryAfter: decision.RetryAfter})
	case control.Fail:
		r.respond(request, Respond{Kind: Failed})
	}
	r.cancelAttempts(request, decision.Cancel)
	r.setRecheckTimer(request)
}

// respond sends the final response to a request, unless the request is finished.
func (r *Router) respond(request *inFlightRequest, response Respond) {
	if request.finished {
		return
	}
	response.Client, response.Seq = request.client, request.seq
	r.removeRequest(request)
	r.rememberIfExecuted(request)
	r.emit(response)
}

// removeRequest marks a request as finished, so that no further attempt is made for it, and removes it and its timers,
// which would keep it in memory until they fire.
func (r *Router) removeRequest(request *inFlightRequest) {
	if request.finished {
		return
	}
	request.finished = true
	if !r.config.CancelAttempts {
		// Without cancellation the policy lets attempts run, but those that are not written yet need not be sent.
		r.withdrawAttempts(request)
	}
	r.timers.Remove(request.deadlineTimer)
	r.timers.Remove(request.recheckTimer)
	r.requests.remove(request)
}

// requestCancelled ends a request that its client cancelled. It ignores one that has already ended.
func (r *Router) requestCancelled(event RequestCancelled) {
	if request := r.requests.find(event.Client, event.Seq); request != nil {
		r.abandonRequest(request)
	}
}

// clientDisconnected ends all requests of a client whose connection has ended, and cancels their attempts.
func (r *Router) clientDisconnected(event ClientDisconnected) {
	for _, request := range r.requests.ofClient(event.Client) {
		r.abandonRequest(request)
	}
}

// abandonRequest ends a request whose client no longer waits for it, and cancels its attempts.
func (r *Router) abandonRequest(request *inFlightRequest) {
	r.removeRequest(request)
	r.policy.EndRequest(r.now, &request.Request)
	all := make([]int, len(request.attempts))
	for i := range all {
		all[i] = i
	}
	r.cancelAttempts(request, all)
	r.rememberIfExecuted(request)
}

// rememberIfExecuted remembers the ID of an ended request that may have been executed and must not be executed again.
func (r *Router) rememberIfExecuted(request *inFlightRequest) {
	if !r.config.isIdempotent(request.Class) && request.MayHaveRun() {
		r.executed.add(r.now, request.received.ID)
	}
}

// clientHalfClosed handles a client that has closed its sending side. Such a client has usually disconnected, so no
// further attempt is made for its requests, and attempts that are not written yet are withdrawn. Requests without an
// attempt on an established connection get their final response at once. They were not executed, so a client that
// still reads can retry them.
func (r *Router) clientHalfClosed(event ClientHalfClosed) {
	for _, request := range r.requests.ofClient(event.Client) {
		request.NoNewAttempts = true
		onConnection := slices.ContainsFunc(request.attempts, (*attempt).onEstablishedConnection)
		r.withdrawAttempts(request)
		if !onConnection && !request.finished {
			r.decide(request)
		}
	}
}
