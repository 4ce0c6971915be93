package router

import (
	"strings"
	"testing"
)

func TestRequestsEndByTheirDeadline(t *testing.T) {
	runScenarios(t, newDefaultHarness, []scenario{
		{"no response: the attempt is cancelled, and the request rejected once, by its deadline", func(h *harness) {
			h.request(1, map[string]string{"limit": "300"})
			h.connectNewest()
			h.advance(279 * millisecond)
			h.mark("279 ms")
			h.advance(2 * millisecond)
			h.advance(2 * second)
		}, "dial, send 1, 279 ms, cancel 1, rejected 1"},
		{"no connection is established: rejected after half of its timeout", func(h *harness) {
			h.request(1, map[string]string{"limit": "600"})
			h.advance(289 * millisecond)
			h.mark("289 ms")
			h.advance(2 * millisecond)
		}, "dial, 289 ms, rejected 1"},
		{"a request that was sent late is served until its deadline", func(h *harness) {
			h.request(1, map[string]string{"limit": "600"})
			h.advance(250 * millisecond)
			h.connectNewest()
			h.advance(250 * millisecond)
			h.respond(success)
		}, "dial, send 1, served 1:bytes"},
		{"a timeout above LongestDeadline is shortened to it", func(h *harness) {
			h.request(1, map[string]string{"limit": "99999999"})
			if at := h.requests.find(1, 1).Deadline; at != h.now+25*second/10 {
				h.t.Errorf("deadline in %d ms, want 2500", (at-h.now)/millisecond)
			}
		}, "dial"},
		{"a valid size is used, an invalid one is ignored", func(h *harness) {
			h.request(1, map[string]string{"ram": "194.179"})
			h.request(2, map[string]string{"ram": "NaN"})
			if a, b := h.requests.find(1, 1).SizeKB, h.requests.find(1, 2).SizeKB; a != 194.179 || b != 0 {
				h.t.Errorf("sizes %v and %v, want 194.179 and 0", a, b)
			}
		}, "dial"},
		{"a shutdown shortens the deadlines of requests in flight and of later ones", func(h *harness) {
			h.request(1, nil)
			h.connectNewest()
			h.handle(ShutdownStarted{AnswerDeadline: h.now + 300*millisecond})
			h.request(2, nil)
			h.advance(301 * millisecond)
		}, "dial, send 1, send 2, cancel 2, rejected 2, cancel 1, rejected 1"},
	})
}

func TestEventsCloseToDeadlines(t *testing.T) {
	runScenarios(t, newTwoClassHarness, []scenario{
		{"a shutdown while a request waits for its connection: its deadline is shortened too", func(h *harness) {
			h.request(1, nil)
			h.handle(ShutdownStarted{AnswerDeadline: h.now + 300*millisecond})
			h.advance(100 * millisecond)
			h.connectNewest()
			if budget := h.sends[0].Request.Deadline - h.now; budget != 200*millisecond {
				h.t.Errorf("the endpoint must respond within %d ms, want 200", budget/millisecond)
			}
			h.advance(201 * millisecond)
		}, "dial, send 1, cancel 1, rejected 1"},
		// In the next two scenarios the timer of the send deadline fires late.
		{"the connection is established just before the send deadline: sent", func(h *harness) {
			h.request(1, map[string]string{"limit": "600"})
			h.now += 289 * millisecond
			h.connectNewest()
		}, "dial, send 1"},
		{"the connection is established after the send deadline: not sent", func(h *harness) {
			h.request(1, map[string]string{"limit": "600"})
			h.now += 300 * millisecond
			h.connectNewest()
		}, "dial, rejected 1"},
		{"a response at the deadline is served", func(h *harness) {
			h.request(1, map[string]string{"limit": "600"})
			h.connectNewest()
			h.now += 580 * millisecond
			h.respond(success)
		}, "dial, send 1, served 1:bytes"},
	})
}

// A request may wait before it is read. If its deadline were counted from then on, the response would come after the
// client has stopped waiting.
func TestDeadlineRunsFromArrival(t *testing.T) {
	const unknown = -1
	for _, c := range []struct {
		name     string
		waitedMS int64 // ms between the arrival of the request and its event; -1: arrival not known
		wantMS   int64 // ms from the event to the request's deadline; 0: it is rejected at once
	}{
		{"read at once", 0, 2480},
		{"unknown arrival", unknown, 2480},
		{"after a second", 1000, 1480},
		{"at its deadline", 2480, 0},
		{"after its deadline", 9000, 0},
		{"arrival after the event", -50, 2480},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTwoClassHarness(t)
			event := requestEvent(1, 1, requestFields(1, nil), nil)
			if c.waitedMS != unknown {
				event.ArrivedAt = h.now - c.waitedMS*millisecond
			}
			h.handle(event)
			if c.wantMS == 0 {
				h.expect("rejected 1")
				return
			}
			h.connectNewest()
			if got := (h.sends[0].Request.Deadline - h.now) / millisecond; got != c.wantMS {
				t.Errorf("%d ms left until the deadline, want %d", got, c.wantMS)
			}
		})
	}
}

// An attempt that waits for its connection keeps its deadlines. The send deadline is halfway to the request's
// deadline.
func TestSendDeadlineOfLateConnection(t *testing.T) {
	h := newTwoClassHarness(t)
	h.request(1, map[string]string{"limit": "600"})
	h.now += 100 * millisecond
	h.connectNewest()
	send := h.sends[0]
	if left := send.Request.Deadline - h.now; left != 480*millisecond {
		t.Errorf("the response is due in %d ms, want 480", left/millisecond)
	}
	if left := send.SendDeadline - h.now; left != 190*millisecond {
		t.Errorf("the send deadline is in %d ms, want 190", left/millisecond)
	}
}

// The timer may fire a little early, before anything is due. If it were not set again, no timer would fire any more.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newDefaultHarness(t)
	h.now = h.timerSetFor - 1
	set := false
	for _, effect := range h.Handle(h.now, TimerFired{}) {
		_, isTimer := effect.(SetTimer)
		set = set || isTimer
	}
	if !set {
		t.Error("the timer was not set again")
	}
}

// If the periodic work panics it is not retried at once: repeated panics would keep a core busy.
func TestPanickingTickIsDelayed(t *testing.T) {
	h := newDefaultHarness(t)
	h.policy = nil
	h.advance(second)
	if h.timerSetFor < h.now+100*millisecond {
		t.Errorf("the timer fires in %d ms, want at least 100", (h.timerSetFor-h.now)/millisecond)
	}
}

// A panic while an event is handled must neither end the process nor leave the request without a response.
func TestRequestIsAnsweredAfterPanic(t *testing.T) {
	h := newDefaultHarness(t)
	h.request(1, nil)
	h.connectNewest()
	h.connections[h.dialled[0]].endpoint = nil // makes the next event panic; no event leads to this state
	h.handle(ConnectionDown{Connection: h.dialled[0]})
	h.advance(3 * second)
	if last := h.observed[len(h.observed)-1]; !strings.HasSuffix(last, " 1") || h.InFlight() != 0 {
		t.Errorf("effects %v, want a response to request 1; %d requests in flight, want 0", h.observed, h.InFlight())
	}
}

// If the policy does not end a request, the client must still get a response when the deadline timer fires. The test
// removes the request's other timers, so that the policy is not asked again.
func TestDeadlineTimerEndsRequestsWithoutThePolicy(t *testing.T) {
	h := newDefaultHarness(t)
	h.request(1, nil)
	h.request(2, nil)
	request := h.requests.find(1, 1)
	h.timers.Remove(request.recheckTimer)
	for _, attempt := range request.attempts {
		h.timers.Remove(attempt.timer)
		attempt.ended = true
	}
	h.handle(RequestCancelled{Client: 1, Seq: 2})
	const grace = 8 * millisecond // ResponseGrace of testSettings
	h.advance(25*second/10 - responseTransit + grace - millisecond)
	if h.InFlight() != 1 {
		t.Fatalf("%d requests in flight within the grace after the deadline, want 1", h.InFlight())
	}
	h.advance(millisecond)
	if last := h.observed[len(h.observed)-1]; last != "failed 1" || h.InFlight() != 0 {
		t.Errorf("effects %v, want %q last; %d requests in flight, want 0", h.observed, "failed 1", h.InFlight())
	}
}
