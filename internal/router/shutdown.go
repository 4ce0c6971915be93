package router

// shutdownStarted begins the graceful shutdown: it shortens the time of all requests in flight to what is left,
// and that of all that come later.
func (r *Router) shutdownStarted(event ShutdownStarted) {
	r.shutdownDeadline = event.AnswerDeadline
	for _, request := range r.requests.all() {
		if request.Deadline > event.AnswerDeadline {
			r.shortenDeadline(request, event.AnswerDeadline)
		}
	}
}

// shortenDeadline brings a request's deadline forward, and with it those of its attempts: one that waits for
// its connection would get all of its former time back once that is established.
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

// effectiveDeadline bounds the deadline that a client wants: by the longest of any class, since a longer one
// would keep the request in memory for as long, and by the end of a graceful shutdown.
func (r *Router) effectiveDeadline(wanted, arrivedAt int64) int64 {
	deadline := min(wanted, arrivedAt+r.config.LongestDeadline)
	if r.shutdownDeadline > 0 {
		deadline = min(deadline, r.shutdownDeadline)
	}
	return deadline
}
