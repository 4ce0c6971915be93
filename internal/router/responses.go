package router

import "tealpath/control"

// responseReceived ends the attempt that a response belongs to. The first usable response to a request is forwarded to
// its client unchanged.
func (r *Router) responseReceived(event ResponseReceived) {
	connection := r.connections[event.Connection]
	if connection == nil {
		return
	}
	connection.lastReceivedAt = r.now
	attempt := connection.inFlight[event.ID]
	if attempt == nil {
		return // the attempt was cancelled or timed out, or it never existed
	}
	delete(connection.inFlight, event.ID)
	if !r.config.isIdempotent(attempt.request.Class) {
		// Some endpoints respond twice, the second time some milliseconds later. If a retry of this request were
		// sent on this connection, the second response could be mistaken for the response to the retry, which
		// could then count as not executed although it was.
		r.expectResponse(connection, event.ID)
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
	r.closeIfDrained(connection)
}

// effectiveResult returns the result of an attempt, which depends on the response, the request's class and the age of
// the copy.
func (r *Router) effectiveResult(attempt *attempt, event ResponseReceived) control.Result {
	result := event.Result
	uncacheable := r.config.classes[attempt.request.Class].Uncacheable
	switch {
	case event.NotModified && attempt.upstream.ClientETag == "":
		result = control.ServerError // the client has no copy, so "not modified" is no answer to it
	case event.Unversioned && uncacheable:
		result = control.Succeeded // an object that no cache stores needs no version
	}
	request := &attempt.request.Request
	if result == control.Succeeded && !r.policy.AcceptsEntry(r.now, request, attempt.number, event.IssuedAt) {
		return control.Stale
	}
	return result
}

// sendingTime returns how long the transfer of a response takes according to its length, in seconds, or 0 if that is
// unknown. The policy allows long responses that much more time.
func (r *Router) sendingTime(body []byte) float64 {
	if r.config.ResponseBytesPerSecond <= 0 {
		return 0
	}
	return float64(len(body)) / r.config.ResponseBytesPerSecond
}
