// Package shutdown plans the graceful shutdown of a router: until when it answers requests, and when its process may
// exit. It does no I/O and reads no clock.
//
// The platform's page on planned restarts states its times: new requests arrive for 0.7 s after SIGTERM, and SIGKILL
// follows SIGTERM no sooner than after the longest deadline of a client (3 s at most) plus 0.7 s.
//
// All times are ns of the caller's monotonic clock.
package shutdown

import (
	"fmt"
	"time"
)

// Times that the platform's page states.
const (
	arrivalWindow     = 700 * time.Millisecond // time after SIGTERM in which new requests still arrive
	maxClientDeadline = 3 * time.Second
	killAfterLimit    = 700 * time.Millisecond // time from the longest deadline to SIGKILL
)

// Durations after the longest deadline. Requests in flight are answered by the end of answerGrace, and the responses
// are written by the end of writeGrace. They differ because responses that are queued just before the process exits
// would not be written: the exit closes their connections.
const (
	answerGrace = 350 * time.Millisecond
	writeGrace  = killAfterLimit - 100*time.Millisecond

	// diskGrace is how long after the longest deadline the process waits for a slow disk. The rest of the time
	// until SIGKILL is for the last log lines, which take up to 0.1 s on a busy machine.
	diskGrace = killAfterLimit - 300*time.Millisecond
)

// maxCloseWait is the time that clients have to close their side of a connection that the router has half-closed.
const maxCloseWait = 250 * time.Millisecond

// Plan decides the steps and the deadlines of one shutdown. It is not safe for concurrent use.
type Plan struct {
	startedAt   int64
	maxDeadline time.Duration // longest deadline of a client
	finishedAt  int64         // when the last request was answered and the last response written; 0: not yet
}

// New plans a shutdown that began at startedAt. clientDeadline is the longest deadline of a client; one that is longer
// than the platform allows counts as maxClientDeadline.
func New(startedAt int64, clientDeadline time.Duration) *Plan {
	return &Plan{startedAt: startedAt, maxDeadline: min(clientDeadline, maxClientDeadline)}
}

// AnswerDeadline returns the time by which all requests are answered.
func (p *Plan) AnswerDeadline() int64 { return p.startedAt + int64(p.maxDeadline+answerGrace) }

// DiskDeadline returns the time until which a process that only waits for its disk may run.
func (p *Plan) DiskDeadline() int64 { return p.startedAt + int64(p.maxDeadline+diskGrace) }

// State is the work that remains for a router during its shutdown.
type State struct {
	InFlight        int  // number of requests without a final answer
	QueuedEvents    int  // number of events that the router has received and not handled yet
	Flushed         bool // every response has been written, and all received data has been read
	OpenConnections int  // number of connections that have not ended, plus 1 while the listener is open
}

// finished reports whether every request is answered and every response written.
func (s State) finished() bool { return s.InFlight == 0 && s.QueuedEvents == 0 && s.Flushed }

// Step is what a router does next during its shutdown.
type Step int

// Steps of a shutdown, in order.
const (
	Serve     Step = iota // serve all connections as before
	CloseIdle             // half-close the idle connections, and serve the others
	Exit                  // end the process
)

var stepNames = [...]string{Serve: "serve", CloseIdle: "close idle", Exit: "exit"}

func (s Step) String() string {
	if s < 0 || int(s) >= len(stepNames) {
		return fmt.Sprintf("step %d", int(s))
	}
	return stepNames[s]
}

// Next returns the step to take now. The process may exit when every request is answered, every response is written,
// no new request can arrive, and all connections have ended or had maxCloseWait to end; or when writeGrace is over.
// Without the wait, a connection that is closed just as data arrives would be reset, and its client would lose the
// part of the response that it has not read yet.
func (p *Plan) Next(now int64, state State) Step {
	elapsed := time.Duration(now - p.startedAt)
	switch {
	case elapsed >= p.maxDeadline+writeGrace:
		return Exit
	case elapsed <= arrivalWindow:
		return Serve
	case !state.finished():
		p.finishedAt = 0
		return CloseIdle
	}
	if p.finishedAt == 0 {
		p.finishedAt = now
	}
	waited := time.Duration(now - p.finishedAt)
	if state.OpenConnections == 0 || waited >= maxCloseWait {
		return Exit
	}
	return CloseIdle
}
