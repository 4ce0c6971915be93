package discovery

import (
	"net"
	"testing"
	"time"

	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

// sendInPieces sends a watch event in pieces, with a pause before each but the first.
func sendInPieces(conn net.Conn, event string, pieces int, pause time.Duration) {
	size := (len(event) + pieces - 1) / pieces
	for len(event) > size {
		send(conn, event[:size])
		event = event[size:]
		time.Sleep(pause)
	}
	send(conn, event)
}

// grace is the time within which the routers of these tests have to act on a watch event.
const grace = 250 * time.Millisecond

// newPiecesSchedule returns the schedule of one of 300 routers.
func newPiecesSchedule(hasList bool) *startup.CallSchedule {
	schedule := startup.NewCallSchedule(1, 300, startup.ReadinessHold{})
	schedule.SetShortestGracePeriod(int64(grace))
	if hasList {
		schedule.ListReceived()
	}
	return schedule
}

// An event that the service writes in pieces on an open watch must be received, on the same connection. The router
// counts as notified of it at once if it calls again, and a service that always writes so would be called without end
// and no event would ever be received.
func TestNewsInPiecesIsReceivedOnItsConnection(t *testing.T) {
	for _, test := range []struct {
		name   string
		pieces int
		pause  time.Duration
	}{
		{"two pieces 120 ms apart", 2, 120 * time.Millisecond},
		{"many pieces", 12, 120 * time.Millisecond},
		{"a pause longer than the grace", 2, 600 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			written := make(chan time.Time, 1)
			service := startFakeService(t, func(n int, conn net.Conn) {
				send(conn, responseHead+": here\n\n")
				time.Sleep(1100 * time.Millisecond) // longer than the answer to the call lasts
				send(conn, ":\n\n")
				sendInPieces(conn, purgeEvent(5), test.pieces, test.pause)
				written <- time.Now()
			})
			watcher := newTestWatcher(service.address, History{Position: 4}, newPiecesSchedule(true))
			watcher.start(t)
			event := testkit.Receive(t, watcher.events, waitLimit, "the event in pieces")
			if purge, ok := event.(router.PurgeReceived); !ok || purge.Group != 1 {
				t.Errorf("event %+v, want a purge of group 1", event)
			}
			if took := time.Since(<-written); took > grace {
				t.Errorf("received %v after it was written, want within %v", took, grace)
			}
			if calls := len(service.calls); calls != 1 {
				t.Errorf("the service was called %d times, want once", calls)
			}
		})
	}
}

// An answer whose events come in pieces must be received after few calls, with and without an endpoint list. The
// service answers each call in the same way, so a timeout that does not grow ends each call inside the first event.
func TestAnswerInPiecesIsReceivedAfterFewCalls(t *testing.T) {
	for _, test := range []struct {
		name    string
		pause   time.Duration
		hasList bool
		calls   int
		within  time.Duration // time from the first call until the event must have been received
	}{
		{"pauses of 120 ms", 120 * time.Millisecond, true, 2, time.Second},
		{"pauses of 500 ms", 500 * time.Millisecond, true, 3, 3 * time.Second},
		{"pauses of 120 ms, without a list", 120 * time.Millisecond, false, 2, 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			service := startFakeService(t, func(_ int, conn net.Conn) {
				// In the background, as the service accepts the next call meanwhile.
				go func() {
					send(conn, responseHead+":\n\n")
					sendInPieces(conn, purgeEvent(5), 2, test.pause)
				}()
			})
			watcher := newTestWatcher(service.address, History{Position: 4}, newPiecesSchedule(test.hasList))
			watcher.start(t)
			first := testkit.Receive(t, service.calls, waitLimit, "a call")
			testkit.Receive(t, watcher.events, waitLimit, "the event in pieces")
			if took := time.Since(first.at); took > test.within {
				t.Errorf("received %v after the first call, want within %v", took, test.within)
			}
			if calls := 1 + len(service.calls); calls > test.calls {
				t.Errorf("the service was called %d times, want %d at most", calls, test.calls)
			}
		})
	}
}
