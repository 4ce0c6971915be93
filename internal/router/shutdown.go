package router

// shutdownStarted starts the graceful shutdown: no request, in flight or received later, has a deadline after
// AnswerDeadline.
func (r *Router) shutdownStarted(event ShutdownStarted) {
	r.shutdownDeadline = event.AnswerDeadline
	for _, request := range r.requests.all() {
		if request.Deadline > event.AnswerDeadline {
			r.shortenDeadline(request, event.AnswerDeadline)
		}
	}
}

// shortenDeadline moves the deadline of a request and those of its attempts to an earlier time. This includes attempts
// that wait for a connection to be established, whose timers depend on their own deadlines.
func (r *Router) shortenDeadline(request *inFlightRequest, deadline int64) {
	request.Deadline = deadline
	r.setDeadlineTimer(request)
	for _, attempt := range request.attempts {
		if attempt.ended {
			continue
		}
		attempt.deadline = min(deadline, attempt.deadline)
		attempt.sendDeadline = min(deadline-minResponseTime, attempt.sendDeadline)
		attempt.upstream.Deadline = attempt.deadline
		r.setAttemptTimer(attempt)
	}
}

// effectiveDeadline limits the deadline that a client wants to the longest that the settings allow, so that no request
// stays in memory for longer, and to the deadline of a graceful shutdown.
func (r *Router) effectiveDeadline(wanted, arrivedAt int64) int64 {
	deadline := min(wanted, arrivedAt+r.config.LongestDeadline)
	if r.shutdownDeadline > 0 {
		deadline = min(deadline, r.shutdownDeadline)
	}
	return deadline
}
