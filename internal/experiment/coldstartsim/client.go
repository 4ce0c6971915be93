package coldstartsim

import (
	"fmt"

	"tealpath/internal/router"
)

// clientRequest is a client's request for an object, with all its attempts.
type clientRequest struct {
	object   uint64
	attempts int
	second   int   // second of the run in which the request began
	deadline int64 // ns; time after which the client makes no further attempt
}

// requestKey identifies an attempt at a router.
type requestKey struct {
	router int
	seq    int32
}

func (s *runState) beginRequest(object uint64) {
	request := &clientRequest{
		object:   object,
		second:   s.second(),
		deadline: s.now() + clientTimeout,
	}
	s.clientRequests++
	s.seconds[request.second].Wanted++
	s.attempt(request)
}

// attempt sends a client's request to a random router. If that router is not ready, the client retries after
// unreadyRetryDelay.
func (s *runState) attempt(request *clientRequest) {
	request.attempts++
	target := s.routers[s.random.IntN(len(s.routers))]
	if !target.hasEndpoints || !target.progress.Ready(s.now()) {
		s.retry(request, unreadyRetryDelay)
		return
	}
	s.nextSeq++
	s.requests[requestKey{target.index, s.nextSeq}] = request
	target.handle(router.RequestReceived{
		Client:  1,
		Seq:     s.nextSeq,
		Request: routerRequest(s.nextSeq, request.object),
	})
}

// routerRequest returns a client's request in the form in which a router decodes it.
func routerRequest(seq int32, object uint64) router.Request {
	return router.Request{
		ID:      fmt.Sprintf("%016x", uint64(seq)),
		Class:   requestClass,
		Object:  fmt.Sprintf("%016x", object),
		Part:    router.Part{Number: 0, Text: "0"},
		Group:   requestGroup,
		Timeout: requestTimeout,
	}
}

// retry makes another attempt after a delay, unless the client has used up its attempts or its deadline passes
// before.
func (s *runState) retry(request *clientRequest, delay int64) {
	if request.attempts < s.plan.MaxAttempts && s.now()+delay < request.deadline {
		s.scheduler.After(delay, func() { s.attempt(request) })
	}
}

// handleResponse counts a served request. For any other response the client retries after the response's RetryAfter,
// or sooner if clients ignore Retry-After.
func (s *runState) handleResponse(from *simulatedRouter, response router.Respond) {
	key := requestKey{from.index, response.Seq}
	request := s.requests[key]
	if request == nil {
		return
	}
	delete(s.requests, key)
	if response.Kind == router.Served {
		s.seconds[request.second].Served++
		return
	}
	delay := response.RetryAfter
	if s.plan.Fault == FaultAggressiveRetries {
		delay = min(delay, impatientRetryDelay)
	}
	s.retry(request, delay)
}

// dropRequests drops the requests at a router that was killed. Their clients see the connections reset and stop
// waiting for responses.
func (s *runState) dropRequests(killed *simulatedRouter) {
	for key := range s.requests {
		if key.router == killed.index {
			delete(s.requests, key)
		}
	}
}
