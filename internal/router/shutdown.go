package router

// shutdownStarted begins the graceful shutdown: no request, in flight or received later, has a deadline after
// the shutdown's.
func (r *Router) shutdownStarted(event ShutdownStarted) {
	r.shutdownDeadline = event.AnswerDeadline
	for _, request := range r.requests.all() {
		if request.Deadline > event.AnswerDeadline {
			r.shortenDeadline(request, event.AnswerDeadline)
		}
	}
}

// shortenDeadline brings forward the deadline of a request and those of its attempts. Attempts that wait for a
// connection to be established need it too, since their timers are set by their own deadlines.
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

// effectiveDeadline bounds the deadline that a client requests by the longest that the settings allow, which
// bounds how long a request is in memory, and by the deadline of a graceful shutdown.
func (r *Router) effectiveDeadline(wanted, arrivedAt int64) int64 {
	deadline := min(wanted, arrivedAt+r.config.LongestDeadline)
	if r.shutdownDeadline > 0 {
		deadline = min(deadline, r.shutdownDeadline)
	}
	return deadline
}
