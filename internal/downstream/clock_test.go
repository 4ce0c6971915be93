package downstream

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"tealpath/internal/clock/clocktest"
)

// A connection rests as long as it may, whatever becomes of the wall clock meanwhile: set forward by an hour it ended at once, set
// back it never did.
func TestStepWhileConnectionsRest(t *testing.T) {
	const kept = 2500 * time.Millisecond
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		for _, fresh := range []bool{false, true} {
			name := step.String()
			if fresh {
				name += ", one that has not asked yet"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				limits, c := keeping(1000, kept), clocktest.Running(0)
				limits.Clock = c
				limits.Policies.Policies[0].FirstRequestTimeout = int64(kept)
				f, _ := serving(t, limits)
				parks(t, f)
				rests, asks := dial(t, f), dial(t, f)
				if !fresh {
					health(t, rests)
				}
				health(t, asks)
				begun := time.Now()
				if !fresh {
					until(t, "it rests", func() bool { return f.activeConnections() == 0 })
				}
				c.Step(step)
				health(t, asks)
				rests.SetReadDeadline(begun.Add(kept - time.Second))
				if _, err := rests.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatalf("%v after its last answer: %v", time.Since(begun), err)
				}
				rests.SetReadDeadline(begun.Add(kept + 2*time.Second))
				if _, err := rests.Read(make([]byte, 1)); err != io.EOF {
					t.Errorf("%v after its last answer: %v", time.Since(begun), err)
				}
				health(t, asks)
			})
		}
	}
}
