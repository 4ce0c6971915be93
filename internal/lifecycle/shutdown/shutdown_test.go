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
		name    string
		longest time.Duration
		at      int64 // ms after the start
		state   State
		want    Step
	}{
		{"requests may still come", time.Second, 700, done, Serve},
		{"all done", time.Second, 701, done, Exit},
		{"connections rest", time.Second, 701, open, CloseIdle},
		{"in hand", time.Second, 1300, State{InFlight: 1, Flushed: true}, CloseIdle},
		{"come and not seen to", time.Second, 1300, State{QueuedEvents: 1, Flushed: true}, CloseIdle},
		{"not written", time.Second, 1599, State{}, CloseIdle},
		{"not written in time", time.Second, 1600, State{}, Exit},
		{"in hand at the end", time.Second, 1600, State{InFlight: 1}, Exit},
		{"a connection that never ends, at the end", time.Second, 1600, open, Exit},
		{"a longer wait than the platform leaves", time.Minute, 3599, State{}, CloseIdle},
		{"and its end", time.Minute, 3600, State{}, Exit},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := New(5*ms, test.longest).Next((5+test.at)*ms, test.state); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// Who is told that its connection ends has a moment to see it, counted from when nothing is owed to anybody;
// who never does holds nobody up.
func TestClientsHaveAMomentToSeeTheEnd(t *testing.T) {
	plan := New(0, 5*time.Second)
	open, owed := State{Flushed: true, OpenConnections: 1}, State{InFlight: 1, OpenConnections: 2}
	for _, test := range []struct {
		at    int64
		state State
		want  Step
	}{
		{600, open, Serve},
		{800, open, CloseIdle},
		{900, owed, CloseIdle},
		{2000, open, CloseIdle},
		{2249, open, CloseIdle},
		{2250, open, Exit},
		{2100, State{Flushed: true}, Exit},
	} {
		if got := plan.Next(test.at*ms, test.state); got != test.want {
			t.Errorf("after %d ms with %+v: %v, want %v", test.at, test.state, got, test.want)
		}
	}
}

// The last answers were given in the step that ended the process: whatever clients may wait, there is time to
// write them, and all is over before the platform kills.
func TestLastAnswersHaveTimeToBeWritten(t *testing.T) {
	for longest := time.Duration(0); longest < 10*time.Second; longest += 50 * time.Millisecond {
		plan := New(0, longest)
		if plan.Next(plan.AnswerDeadline()+200*ms, State{}) == Exit {
			t.Fatalf("longest %v: over 200 ms after the last answer", longest)
		}
		if kill := int64(min(longest, 3*time.Second) + 700*time.Millisecond); plan.Next(kill-50*ms, State{InFlight: 1}) != Exit {
			t.Fatalf("longest %v: not over 50 ms before it is killed", longest)
		}
	}
}

// A slow disk is waited for until the last answers could be written, and the process is gone before it is
// killed.
func TestDiskDeadline(t *testing.T) {
	for _, longest := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		plan := New(5*ms, longest)
		if by := plan.DiskDeadline(); by < plan.AnswerDeadline() || by > 5*ms+int64(min(longest, 3*time.Second)+500*time.Millisecond) {
			t.Errorf("%v: %d ms after the start", longest, (by-5*ms)/ms)
		}
	}
}

func TestStepString(t *testing.T) {
	if got := fmt.Sprint(Serve, CloseIdle, Exit, Step(9)); got != "serve close idle exit step 9" {
		t.Error(got)
	}
}
