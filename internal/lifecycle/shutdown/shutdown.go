// Package shutdown decides how a router ends gracefully: until when it answers requests, and when its process
// may exit. It does no input or output and reads no clock.
//
// Source of the platform's times: its page on planned restarts. Requests go on coming for 0.7 s after SIGTERM,
// and SIGKILL comes no sooner than the longest deadline of a client (3 s at most) and 0.7 s more.
//
// All instants are ns on the caller's monotonic axis.
package shutdown

import (
	"fmt"
	"time"
)

// What the platform's page states.
const (
	arrivalWindow     = 700 * time.Millisecond // after SIGTERM, in which new requests still come
	maxClientDeadline = 3 * time.Second
	killAfterLimit    = 700 * time.Millisecond // from the longest deadline to SIGKILL
)

// Durations after the longest deadline. Requests in flight are answered by the end of the first, and responses
// are written by the end of the second. They differ so that the last responses are not queued in the step that
// ends the process, which would close their connections before they are written.
const (
	answerGrace = 350 * time.Millisecond
	writeGrace  = killAfterLimit - 100*time.Millisecond

	// diskGrace is for how long the process waits for a slow disk. The rest of the time until SIGKILL is for
	// the last lines of the log, which take up to 0.1 s on a busy machine.
	diskGrace = killAfterLimit - 300*time.Millisecond
)

// maxCloseWait is how long clients have to close their side of a connection that was half-closed by the router.
const maxCloseWait = 250 * time.Millisecond

// Plan is the plan of one shutdown. It is not safe for use by two goroutines at once.
type Plan struct {
	startedAt   int64
	maxDeadline time.Duration // of the clients that are served
	finishedAt  int64         // since when every request is answered and every response written; 0: not yet
}

// New plans a shutdown that started at an instant, for clients whose deadline is at most clientDeadline. Of
// that no more counts than the platform allows.
func New(startedAt int64, clientDeadline time.Duration) *Plan {
	return &Plan{startedAt: startedAt, maxDeadline: min(clientDeadline, maxClientDeadline)}
}

// AnswerDeadline returns the instant by which the last answer is given.
func (p *Plan) AnswerDeadline() int64 { return p.startedAt + int64(p.maxDeadline+answerGrace) }

// DiskDeadline returns the instant until which a process that has nothing else to do waits for a slow disk.
func (p *Plan) DiskDeadline() int64 { return p.startedAt + int64(p.maxDeadline+diskGrace) }

// State is what a router that shuts down still has to do.
type State struct {
	InFlight        int  // requests without a final answer
	QueuedEvents    int  // events that have come and are not handled
	Flushed         bool // every answer has been written, and nothing has come that is not read
	OpenConnections int  // connections that have not ended, with the listener if it is open
}

// finished reports whether every request is answered and every response written.
func (s State) finished() bool { return s.InFlight == 0 && s.QueuedEvents == 0 && s.Flushed }

// Step is what a router that shuts down does now.
type Step int

// The steps, in order.
const (
	Serve     Step = iota // go on as before
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

// Next returns the step to take now. The process may exit when every request is answered, every response is
// written, no new request can come, and the idle connections have ended or had maxCloseWait to do so; or when
// its time is up. The wait matters because a connection that is closed just as something comes on it is reset,
// and its client loses what it has not read by then.
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
