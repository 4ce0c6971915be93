package discovery

import (
	"net"
	"testing"
	"time"

	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/neterr"
	"tealpath/internal/testkit"
)

// notificationDeadline is the time after a change of the service's address by which a router counts as notified of all
// earlier changes.
const notificationDeadline = 4 * time.Second

// startAtOldService returns a watcher with a list, one of routers, that is connected to a service without news, and
// that service.
func startAtOldService(t *testing.T, routers int) *testWatcher {
	t.Helper()
	old := startFakeService(t, alwaysRespond(responseHead+": here\n\n"))
	schedule := startup.NewCallSchedule(1, routers, startup.ReadinessHold{})
	schedule.SetShortestGracePeriod(int64(grace))
	schedule.ListReceived()
	watcher := newTestWatcher(old.address, History{Position: 4}, schedule)
	watcher.start(t)
	testkit.Receive(t, old.calls, waitLimit, "a call of the old service")
	return watcher
}

// After a change of address, an event must be received before the notification deadline, from a service that answers
// each call late as well as from one that never answers the first call. The first call used to be given up after 1.7 s
// and its late answer was lost, so that the event was received after 5 s.
func TestEventIsReceivedBeforeTheNotificationDeadline(t *testing.T) {
	for _, test := range []struct {
		name    string
		respond func(n int, conn net.Conn)
	}{
		{"each answer comes after 2.5 s", func(_ int, conn net.Conn) {
			time.AfterFunc(2500*time.Millisecond, func() { send(conn, responseHead+purgeEvent(5)) })
		}},
		{"the headers come at once, the events after 2.5 s", func(_ int, conn net.Conn) {
			send(conn, responseHead)
			time.AfterFunc(2500*time.Millisecond, func() { send(conn, purgeEvent(5)) })
		}},
		{"the first call is never answered", func(n int, conn net.Conn) {
			if n > 0 {
				send(conn, responseHead+purgeEvent(5))
			}
		}},
		{"the first call is ended late", func(n int, conn net.Conn) {
			if n > 0 {
				send(conn, responseHead+purgeEvent(5))
				return
			}
			time.AfterFunc(2*time.Second, func() { neterr.Close(conn) })
		}},
	} {
		for _, routers := range []int{1, 300} {
			t.Run(test.name, func(t *testing.T) {
				t.Parallel()
				watcher := startAtOldService(t, routers)
				service := startFakeService(t, test.respond)
				begun := time.Now()
				watcher.SetAddress(service.address)
				testkit.Receive(t, watcher.events, waitLimit, "the event")
				if took := time.Since(begun); took > notificationDeadline {
					t.Errorf("received %v after the change of address, want within %v", took, notificationDeadline)
				}
			})
		}
	}
}

// Calls that are repeated because the service answers late must be closed once one of them is answered. A service would
// otherwise serve several watches of each router.
func TestOtherCallsAreClosedOnceOneIsAnswered(t *testing.T) {
	closed := make(chan int, 64)
	service := startFakeService(t, func(n int, conn net.Conn) {
		time.AfterFunc(2500*time.Millisecond, func() { send(conn, responseHead+purgeEvent(5)) })
		go func() {
			_, _ = conn.Read(make([]byte, 1)) // returns once the watcher has closed the connection
			closed <- n
		}()
	})
	schedule := startup.NewCallSchedule(1, 1, startup.ReadinessHold{})
	watcher := newTestWatcher(service.address, History{Position: 4}, schedule)
	stop := watcher.start(t)
	testkit.Receive(t, watcher.events, waitLimit, "the event")
	testkit.WaitUntil(t, waitLimit, "all connections but one are closed", func() bool {
		return len(closed) == len(service.calls)-1
	})
	stop()
	for range len(service.calls) {
		testkit.Receive(t, closed, waitLimit, "the end of a connection")
	}
}

// A change of address between two calls, in a delay or while a call is not answered must take effect at once: it is
// never lost, whatever the watcher does just then.
func TestAddressChangesInQuickSuccession(t *testing.T) {
	silent := startFakeService(t, func(int, net.Conn) {})
	last := startFakeService(t, alwaysRespond(responseHead+purgeEvent(5)))
	schedule := startup.NewCallSchedule(1, 1, startup.ReadinessHold{})
	schedule.ListReceived()
	watcher := newTestWatcher("127.0.0.1:1", History{Position: 4}, schedule)
	watcher.start(t)
	for i := range 200 {
		watcher.SetAddress([]string{silent.address, "127.0.0.1:1"}[i%2])
		time.Sleep(time.Duration(i%7) * time.Millisecond)
	}
	watcher.SetAddress(last.address)
	begun := time.Now()
	testkit.Receive(t, watcher.events, waitLimit, "the event")
	if took := time.Since(begun); took > time.Second {
		t.Errorf("received %v after the last change of address, want within 1s", took)
	}
}
