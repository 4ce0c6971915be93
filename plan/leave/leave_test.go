package leave

import (
	"testing"
	"time"
)

const ms = int64(time.Millisecond)

func TestOver(t *testing.T) {
	done := State{Flushed: true}
	for _, c := range []struct {
		name    string
		longest time.Duration
		at      int64 // ms after the start
		state   State
		want    bool
	}{
		{"requests may still come", time.Second, 700, done, false},
		{"all done", time.Second, 701, done, true},
		{"in hand", time.Second, 1300, State{Hands: 1, Flushed: true}, false},
		{"come and not seen to", time.Second, 1300, State{Queued: 1, Flushed: true}, false},
		{"not written", time.Second, 1599, State{}, false},
		{"not written in time", time.Second, 1600, State{}, true},
		{"in hand at the end", time.Second, 1600, State{Hands: 1}, true},
		{"a longer wait than the platform leaves", time.Minute, 3599, State{}, false},
		{"and its end", time.Minute, 3600, State{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := New(5*ms, c.longest).Over((5+c.at)*ms, c.state); got != c.want {
				t.Errorf("over: %v, want %v", got, c.want)
			}
		})
	}
}

// The last answers were given in the step that ended the process: whatever clients may wait, there is time to write them,
// and all is over before the platform kills.
func TestLastAnswersHaveTimeToBeWritten(t *testing.T) {
	for longest := time.Duration(0); longest < 10*time.Second; longest += 50 * time.Millisecond {
		p := New(0, longest)
		if p.Over(p.AnswerBy()+200*ms, State{}) {
			t.Fatalf("longest %v: over 200 ms after the last answer", longest)
		}
		if kill := int64(min(longest, 3*time.Second) + 700*time.Millisecond); !p.Over(kill-50*ms, State{Hands: 1}) {
			t.Fatalf("longest %v: not over 50 ms before it is killed", longest)
		}
	}
}
