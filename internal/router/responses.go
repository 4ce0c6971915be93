package router

import "tealpath/control"

// responseReceived ends the attempt that a response is for. The first usable response of a request is forwarded
// to its client unchanged.
func (r *Router) responseReceived(event ResponseReceived) {
	connection := r.connections[event.Connection]
	if connection == nil {
		return
	}
	connection.lastReceivedAt = r.now
	attempt := connection.inFlight[event.ID]
	if attempt == nil {
		return // it was cancelled, or never sent
	}
	delete(connection.inFlight, event.ID)
	if !r.config.isIdempotent(attempt.request.Class) {
		// Some endpoints respond twice, the second time some milliseconds later. On this connection that would
		// be taken for the response to the next attempt, which then counts as not executed though it may have
		// been.
		connection.abandonedAt[event.ID] = r.now
	}
	result := r.effectiveResult(attempt, event)
	if result == control.Succeeded {
		r.respond(attempt.request, Respond{Kind: Served, Body: event.Body, NotModified: event.NotModified})
	}
	r.attemptEnded(attempt, control.Outcome{
		Result:          result,
		Note:            event.Note,
		SendingTime:     r.sendingTime(event.Body),
		TimeToFirstByte: event.TimeToFirstByte,
		LoadReport:      event.LoadReport,
	})
	r.closeIfUnresponsive(connection)
}

// effectiveResult is what a response means for the request that it is for.
func (r *Router) effectiveResult(attempt *attempt, event ResponseReceived) control.Result {
	result := event.Result
	uncacheable := r.config.classes[attempt.request.Class].Uncacheable
	switch {
	case event.NotModified && attempt.upstream.ClientETag == "":
		result = control.ServerError // the client named no copy that could be valid
	case event.Unversioned && uncacheable:
		result = control.Succeeded // what no cache keeps needs no version
	}
	request := &attempt.request.Request
	if result == control.Succeeded && !r.policy.AcceptsCopy(r.now, request, attempt.number, event.IssuedAt) {
		return control.Stale
	}
	return result
}

// sendingTime is how long a response takes by its length, in seconds: a large one may take longer. 0: unknown.
func (r *Router) sendingTime(body []byte) float64 {
	if r.config.ResponseBytesPerSecond <= 0 {
		return 0
	}
	return float64(len(body)) / r.config.ResponseBytesPerSecond
}
