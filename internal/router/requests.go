package router

import (
	"slices"
	"tealpath/control"
)

// responseTransit is how long before a client's own time is up its response is given at the latest, ns: on a
// shared core, and on the network, some of that time passes before the client has it.
const responseTransit = 20 * millisecond

// inFlightRequest is a request that has no final response yet.
type inFlightRequest struct {
	control.Request // the policy's view of it
	received        Request
	client          ClientID
	seq             int32
	attempts        []*attempt
	finished        bool // it is answered, or its client has gone
	deadlineTimer   *timer
	recheckTimer    *timer // when the policy wants to be asked again; nil: it does not
}

// requestReceived starts a request, or answers at once what can't be accepted.
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
	if !r.hasCapacity(request) {
		answer(Respond{Kind: Rejected})
		return
	}
	r.startRequest(event)
}

// replaceAbandoned ends an earlier request of the same ID whose client has closed its sending side: that client
// has usually gone, and asks again on another connection. It reports whether the new request may be started,
// which it may not where the earlier one may have been executed and a second execution would do harm.
func (r *Router) replaceAbandoned(request *Request) bool {
	previous := r.requests.byID[request.ID]
	if previous == nil || !previous.NoNewAttempts {
		return true
	}
	mayHaveRun := len(previous.attempts) > 0
	r.respond(previous, Respond{Kind: Failed}) // the end of its connection waits for that
	r.clientGone(previous)
	return !mayHaveRun || r.config.isIdempotent(request.Class)
}

// validate checks what of a request depends on the settings and on the requests in flight.
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

// hasCapacity reports whether one more request can be held in memory.
func (r *Router) hasCapacity(request *Request) bool {
	return r.requests.count < r.limits.MaxInFlight && r.requests.bodyBytes+len(request.Body) <= r.limits.MaxBodyBytes
}

// startRequest puts a valid request in flight.
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

// decide asks the policy where a request goes now.
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

// respond gives a request its one final response.
func (r *Router) respond(request *inFlightRequest, response Respond) {
	if request.finished {
		return
	}
	response.Client, response.Seq = request.client, request.seq
	r.removeRequest(request)
	r.emit(response)
}

// removeRequest drops a finished request and its timers, which would keep it in memory until they fire. No
// further attempt is made for it.
func (r *Router) removeRequest(request *inFlightRequest) {
	if request.finished {
		return
	}
	request.finished = true
	if !r.config.CancelAttempts {
		r.withdrawAttempts(request) // the policy cancels nothing where endpoints can't be told
	}
	r.timers.Remove(request.deadlineTimer)
	r.timers.Remove(request.recheckTimer)
	r.requests.remove(request)
}

// requestCancelled ends a request that its client cancelled.
func (r *Router) requestCancelled(event RequestCancelled) {
	if request := r.requests.find(event.Client, event.Seq); request != nil {
		r.clientGone(request)
	}
}

// clientDisconnected ends all requests of a client.
func (r *Router) clientDisconnected(event ClientDisconnected) {
	for _, request := range r.requests.ofClient(event.Client) {
		r.clientGone(request)
	}
}

// clientGone ends a request that no client waits for any more.
func (r *Router) clientGone(request *inFlightRequest) {
	r.removeRequest(request)
	r.policy.ClientGone(r.now, &request.Request)
	all := make([]int, len(request.attempts))
	for i := range all {
		all[i] = i
	}
	r.cancelAttempts(request, all)
}

// clientHalfClosed handles a client that has closed its sending side. Requests without an attempt on an
// established connection are decided on at once, without a further attempt, because such a client has usually
// gone: forwarding them later would be work for nobody. A client that still reads is told at once that nothing
// was executed.
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
