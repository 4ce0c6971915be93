package router

import (
	"testing"

	"tealpath/control"
)

func TestCancelledRequestsGetNoResponse(t *testing.T) {
	runScenarios(t, newDefaultHarness, []scenario{
		{"the client disconnects: the attempt is cancelled, and no response is sent", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(ClientDisconnected{Client: 1})
			h.respond(success)
		}, "dial, send 1, cancel 1"},
		{"the client cancels one of two requests: the other is served", func(h *harness) {
			h.request(1, nil)
			h.request(2, nil)
			h.connectNewest()
			h.handle(RequestCancelled{Client: 1, Seq: 1})
			h.respond(success)
		}, "dial, send 1, send 2, cancel 1, served 2:bytes"},
		{"a request is cancelled before its connection is established: not sent", func(h *harness) {
			h.request(1, nil)
			h.handle(RequestCancelled{Client: 1, Seq: 1})
			h.connectNewest()
		}, "dial"},
		{"a cancellation of an unknown request: ignored", func(h *harness) {
			h.handle(RequestCancelled{Client: 9, Seq: 1})
		}, ""},
		{"a request ID that was abandoned on a connection is not sent on it again", func(h *harness) {
			first := map[string]string{"txn": requestID(1)}
			h.request(1, nil)
			h.connectNewest()
			h.request(2, first)
			h.handle(RequestCancelled{Client: 1, Seq: 1})
			h.request(3, first)
		}, "dial, send 1, bad request 2, cancel 1, dial"},
	})
}

// A request that cannot be accepted must get its response at once, and must not replace or end one in flight that has
// the same sequence number or ID.
func TestInvalidRequestsAreAnsweredAtOnce(t *testing.T) {
	runScenarios(t, newDefaultHarness, []scenario{
		{"a sequence number in use", func(h *harness) {
			h.request(1, nil)
			h.request(1, nil)
			h.connectNewest()
			h.respond(success)
		}, "dial, bad request 1, send 1, served 1:bytes"},
		{"an unknown class", func(h *harness) {
			h.request(1, map[string]string{"verb": "odd"})
		}, "bad request 1"},
	})
}

// A client that closes its sending side may still read: its requests in flight are answered, but no further attempt
// is made for them.
func TestHalfClosedClientGetsNoFurtherAttempts(t *testing.T) {
	halfClosed := ClientHalfClosed{Client: 1}
	runScenarios(t, newTwoClassHarness, []scenario{
		{"while its request waits for a connection: rejected at once, and not sent", func(h *harness) {
			h.request(1, nil)
			h.handle(halfClosed)
			h.advance(100 * millisecond)
			h.connectNewest()
			h.advance(2 * second)
		}, "dial, rejected 1"},
		{"while its request is in flight: served", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(halfClosed)
			h.respond(success)
		}, "dial, send 1, served 1:bytes"},
		{"while its request is in flight, and the attempt fails: no retry", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(halfClosed)
			h.respond(ResponseReceived{Result: control.Overloaded})
			h.advance(2 * second)
		}, "dial, send 1, rejected 1"},
		{"while its request is in flight, and no response is received: no hedge", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(halfClosed)
			h.advance(3 * second)
		}, "dial, send 1, cancel 1, close 1, rejected 1"},
		{"while its non-idempotent request is in flight, and the connection is lost: it fails", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.handle(halfClosed)
			h.handle(ConnectionDown{Connection: h.dialled[0]})
		}, "dial, send 1, failed 1"},
		{"while its request waits for a ready endpoint: rejected at once", func(h *harness) {
			h.setCachePhases("draining")
			h.request(1, nil)
			h.advance(10 * millisecond)
			if len(h.observed) > 0 {
				h.t.Fatalf("the request does not wait for a ready endpoint: effects %v", h.observed)
			}
			h.handle(halfClosed)
			h.setCachePhases("ready")
			h.advance(2 * second)
		}, "rejected 1"},
		{"while one request is in flight and one waits for a connection: served, and rejected", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.request(2, map[string]string{"item": objectOnOtherCache(h.t)}) // its cache has no connection
			h.handle(halfClosed)
			h.respond(success)
		}, "dial, send 1, dial, rejected 2, served 1:bytes"},
	})
}

// A client that has half-closed its connection may repeat a request on another one, with the same ID. The repetition
// must not be refused because of that ID, nor executed a second time if it is not idempotent.
func TestRepeatedRequestIDOnAnotherConnection(t *testing.T) {
	halfClosed := ClientHalfClosed{Client: 1}
	runScenarios(t, newTwoClassHarness, []scenario{
		{"the first client has closed its sending side: the new request is served", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(halfClosed)
			h.requestElsewhere(1, nil)
			h.advance(500 * millisecond)
		}, "dial, send 1, failed 1, cancel 1, dial"},
		{"the same with a non-idempotent request: fails, since it may have been executed", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.handle(halfClosed)
			h.requestElsewhere(1, nonIdempotent)
		}, "dial, send 1, failed 1, cancel 1, failed 1"},
		{"the first client has disconnected: the new request is served", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(ClientDisconnected{Client: 1})
			h.requestElsewhere(1, nil)
		}, "dial, send 1, cancel 1, dial"},
		{"the same with a non-idempotent request: fails, since it may have been executed", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.handle(ClientDisconnected{Client: 1})
			h.requestElsewhere(1, nonIdempotent)
		}, "dial, send 1, cancel 1, failed 1"},
		{"a non-idempotent request that was cancelled, and comes again later", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.handle(RequestCancelled{Client: 1, Seq: 1})
			h.advance(second)
			h.requestElsewhere(1, nonIdempotent)
		}, "dial, send 1, cancel 1, failed 1"},
		{"a non-idempotent request that was served, and comes again", func(h *harness) {
			h.request(1, nonIdempotent)
			h.connectNewest()
			h.respond(success)
			h.handle(ClientDisconnected{Client: 1})
			h.requestElsewhere(1, nonIdempotent)
		}, "dial, send 1, served 1:bytes, failed 1"},
		{"a non-idempotent request that cannot have been executed", func(h *harness) {
			h.request(1, nonIdempotent)
			h.handle(ConnectionDown{Connection: h.dialled[0]})
			h.handle(ClientDisconnected{Client: 1})
			h.mark("again")
			h.requestElsewhere(1, nonIdempotent)
		}, "dial, dial, again, dial"},
		{"the first client has not closed its sending side: the ID is in use", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.requestElsewhere(1, nil)
			h.respond(success)
		}, "dial, send 1, bad request 1, served 1:bytes"},
	})
}
