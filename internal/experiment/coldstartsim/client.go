package coldstartsim

import (
	"fmt"

	"tealpath/internal/router"
)

// clientRequest is an object that a client wants, over all its attempts to get it.
type clientRequest struct {
	object   uint64
	attempts int
	second   int   // of the run in which it began
	deadline int64 // after which the client makes no further attempt
}

// requestKey names a request at a router.
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

// attempt sends a client's request to any router. One that is not ready is not asked: the client tries
// another one a moment later.
func (s *runState) attempt(request *clientRequest) {
	request.attempts++
	to := s.routers[s.random.IntN(len(s.routers))]
	if !to.hasEndpoints || !to.progress.Ready(s.now()) {
		s.retry(request, unreadyRetryDelay)
		return
	}
	s.nextSeq++
	s.requests[requestKey{to.index, s.nextSeq}] = request
	to.handle(router.RequestReceived{
		Client:  1,
		Seq:     s.nextSeq,
		Request: routerRequest(s.nextSeq, request.object),
	})
}

// routerRequest is a client's request as a router decodes it.
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

// retry makes a further attempt after a delay, if the client has one left.
func (s *runState) retry(request *clientRequest, delay int64) {
	if request.attempts < s.plan.MaxAttempts && s.now()+delay < request.deadline {
		s.scheduler.After(delay, func() { s.attempt(request) })
	}
}

// responded takes a router's response to a client.
func (s *runState) responded(from *simulatedRouter, response router.Respond) {
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
		delay = min(delay, maxIgnoredDelay)
	}
	s.retry(request, delay)
}

// connectionsReset drops the requests at a router that was killed: their clients know, and wait for nothing.
func (s *runState) connectionsReset(at *simulatedRouter) {
	for key := range s.requests {
		if key.router == at.index {
			delete(s.requests, key)
		}
	}
}
