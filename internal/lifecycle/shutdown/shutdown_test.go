package shutdown

import (
	"fmt"
	"testing"
	"time"
)

const ms = int64(time.Millisecond)

func TestNext(t *testing.T) {
	done, open := State{Flushed: true}, State{Flushed: true, OpenConnections: 2}
	for _, test := range []struct {
		name        string
		maxDeadline time.Duration // longest deadline of a request
		at          int64         // time since the start of the shutdown, ms
		state       State
		want        Step
	}{
		{"requests may still come", time.Second, 700, done, Serve},
		{"everything is done", time.Second, 701, done, Exit},
		{"idle connections are open", time.Second, 701, open, CloseIdle},
		{"a request in flight", time.Second, 1300, State{InFlight: 1, Flushed: true}, CloseIdle},
		{"an event that is not handled", time.Second, 1300, State{QueuedEvents: 1, Flushed: true}, CloseIdle},
		{"a response that is not written", time.Second, 1599, State{}, CloseIdle},
		{"a response that is not written at the end", time.Second, 1600, State{}, Exit},
		{"a request in flight at the end", time.Second, 1600, State{InFlight: 1}, Exit},
		{"an open connection at the end", time.Second, 1600, open, Exit},
		{"a deadline longer than the platform allows", time.Minute, 3599, State{}, CloseIdle},
		{"the end of a deadline longer than the platform allows", time.Minute, 3600, State{}, Exit},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := New(5*ms, test.maxDeadline).Next((5+test.at)*ms, test.state); got != test.want {
				t.Errorf("step %v, want %v", got, test.want)
			}
		})
	}
}

// Clients have maxCloseWait to close their half-closed connections, starting when all requests are answered. The
// process does not wait longer for a client that never closes its connection.
func TestClientsHaveTimeToCloseConnections(t *testing.T) {
	plan := New(0, 5*time.Second)
	open, unanswered := State{Flushed: true, OpenConnections: 1}, State{InFlight: 1, OpenConnections: 2}
	for _, test := range []struct {
		at    int64
		state State
		want  Step
	}{
		{600, open, Serve},
		{800, open, CloseIdle},
		{900, unanswered, CloseIdle},
		{2000, open, CloseIdle},
		{2249, open, CloseIdle},
		{2250, open, Exit},
		{2100, State{Flushed: true}, Exit},
	} {
		if got := plan.Next(test.at*ms, test.state); got != test.want {
			t.Errorf("after %d ms with %+v: step %v, want %v", test.at, test.state, got, test.want)
		}
	}
}

// For any longest deadline, there is time to write the last responses, and the process exits before the platform kills
// it.
func TestLastResponsesHaveTimeToBeWritten(t *testing.T) {
	for deadline := time.Duration(0); deadline < 10*time.Second; deadline += 50 * time.Millisecond {
		plan := New(0, deadline)
		if plan.Next(plan.AnswerDeadline()+200*ms, State{}) == Exit {
			t.Fatalf("deadline %v: the process exits 200 ms after the last answer, too soon to write it", deadline)
		}
		killedAt := int64(min(deadline, 3*time.Second) + 700*time.Millisecond)
		if plan.Next(killedAt-50*ms, State{InFlight: 1}) != Exit {
			t.Fatalf("deadline %v: the process has not exited 50 ms before it is killed", deadline)
		}
	}
}

// The process waits for a slow disk at least until the last answer is due, and exits before it is killed.
func TestDiskDeadline(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		plan := New(5*ms, deadline)
		latest := 5*ms + int64(min(deadline, 3*time.Second)+500*time.Millisecond)
		if got := plan.DiskDeadline(); got < plan.AnswerDeadline() || got > latest {
			t.Errorf("deadline %v: waits for the disk until %d ms after the start, want %d to %d ms",
				deadline, (got-5*ms)/ms, (plan.AnswerDeadline()-5*ms)/ms, (latest-5*ms)/ms)
		}
	}
}

func TestStepString(t *testing.T) {
	if got := fmt.Sprint(Serve, CloseIdle, Exit, Step(9)); got != "serve close idle exit step 9" {
		t.Errorf("names %q", got)
	}
}
