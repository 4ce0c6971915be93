package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/neterr"
	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

// The service closes, rejects and falls silent in turn: each call resumes after the last event.
func TestWatchResumesAfterEachDisconnect(t *testing.T) {
	service := startFakeService(t, func(n int, conn net.Conn) {
		if n == 1 {
			send(conn, "HTTP/1.1 503 Busy\r\n\r\n")
		} else {
			send(conn, responseHead+": here\n\n"+purgeEvent(5))
		}
		if n < 2 {
			neterr.Close(conn)
		}
	})
	watcher := newTestWatcher(service.address, History{Position: 4}, nil)
	watcher.maxReadTimeout = time.Second / 5
	stop := watcher.start(t)
	var resumed []string
	for range 4 { // the third connection falls silent, so there is a fourth
		resumed = append(resumed, testkit.Receive(t, service.calls, waitLimit, "a call").resumeAfter)
	}
	stop()
	if strings.Join(resumed, " ") != "4 5 5 5" || len(watcher.events) != 1 {
		t.Errorf("resumed after %v, %d events", resumed, len(watcher.events))
	}
	const want = "discovery_disconnected discovery_reconnected discovery_disconnected"
	logged := watcher.loggedNames() // the fourth call may have been answered, too
	if logged != want && logged != want+" discovery_reconnected" {
		t.Errorf("logged %s, want %s", logged, want)
	}
}

// countingConn counts the bytes that are read from it.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// A new address is called at once, whatever became of the one before, and the watch resumes after the last
// event.
func TestAddressChangeResumesAtOnce(t *testing.T) {
	for _, test := range []struct {
		name, before string // what the first service responds; empty: it refuses
		want         string // the event after which the new one is asked to resume
	}{
		{"refuses", "", "4"},
		{"is open and silent", responseHead, "4"},
		{"has broken off inside its second event", responseHead + purgeEvent(5) + "id: 6\nda", "5"},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := "127.0.0.1:1"
			if test.before != "" {
				first = startFakeService(t, alwaysRespond(test.before)).address
			}
			next := startFakeService(t, alwaysRespond(responseHead+purgeEvent(5)+purgeEvent(6)))
			watcher := newTestWatcher(first, History{Position: 4}, nil)
			var read atomic.Int64
			dial := watcher.dial
			watcher.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				return countingConn{conn, &read}, err
			}
			stop := watcher.start(t)
			if test.before == "" {
				testkit.Receive(t, watcher.logged, waitLimit, "the failed call")
			}
			for end := time.Now().Add(waitLimit); read.Load() < int64(len(test.before)); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes read of the first service's", read.Load())
				}
			}
			begun := time.Now()
			watcher.SetAddress(next.address)
			call := testkit.Receive(t, next.calls, waitLimit, "the call of the new address")
			if took := call.at.Sub(begun); call.resumeAfter != test.want || took > time.Second {
				t.Errorf("resumed after %s, %v later, want %s", call.resumeAfter, took, test.want)
			}
			for range 2 { // the second event comes behind a repetition of the first, if that was sent before
				testkit.Receive(t, watcher.events, waitLimit, "an event")
			}
			stop()
			if len(watcher.events) > 0 {
				t.Errorf("%d events posted twice", len(watcher.events))
			}
		})
	}
}

// A response that is cut off, or stands still inside an event, is requested again within the drain grace:
// what was asked for counts as notified, and a later call would have requests sent to an endpoint that
// drains.
func TestTruncatedResponseIsRequestedAgainWithinTheDrainGrace(t *testing.T) {
	const grace = 250 * time.Millisecond
	event := purgeEvent(5)
	for _, test := range []struct {
		name, response string
		closes         bool // the service closes; else it stays open and silent
	}{
		{"inside a line, and closed", responseHead + event[:20], true},
		{"inside a line, and open", responseHead + event[:20], false},
		{"between the lines of an event, and open", responseHead + event[:6], false},
		{"before anything complete, and closed", responseHead, true},
		{"before its head, and closed", "", true},
		{"after a comment, and closed", responseHead + ": here\n\n" + event[:20], true},
		{"complete, and not to be decoded", responseHead + "id: 5\ndata: {\"pos\":5,\"exp\n\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			service := startFakeService(t, func(n int, conn net.Conn) {
				if n > 0 {
					send(conn, responseHead+event)
					return
				}
				send(conn, test.response)
				if test.closes {
					neterr.Close(conn)
				}
			})
			schedule := startup.NewCallSchedule(1, 300, startup.ReadinessHold{})
			schedule.SetDrainGrace(int64(grace))
			schedule.ListReceived()
			watcher := newTestWatcher(service.address, History{Position: 4}, schedule)
			stop := watcher.start(t)
			first, second := testkit.Receive(t, service.calls, waitLimit, "a call"), testkit.Receive(t, service.calls, waitLimit, "the second call")
			if took := second.at.Sub(first.at); took >= grace {
				t.Errorf("requested again after %v", took)
			}
			testkit.Receive(t, watcher.events, waitLimit, "an event")
			stop()
		})
	}
}

// localErrors are what Linux documents for socket(2) and connect(2) as errors of this machine's own.
var localErrors = []syscall.Errno{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// dialError is an error as net.Dialer returns it.
func dialError(err error) error {
	return &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}
}

func TestDialErrorsByKind(t *testing.T) {
	results := map[error]startup.CallResult{
		syscall.ECONNREFUSED:     startup.Refused,
		syscall.ETIMEDOUT:        startup.Unreachable,
		syscall.EHOSTUNREACH:     startup.Unreachable,
		syscall.ENETUNREACH:      startup.Unreachable,
		context.DeadlineExceeded: startup.Unreachable,
	}
	for _, errno := range localErrors {
		results[errno] = startup.LocalError
	}
	for err, want := range results {
		watcher := newTestWatcher("", History{}, nil)
		watcher.dial = func(context.Context, string, string) (net.Conn, error) { return nil, dialError(err) }
		if result, got := watcher.call(t.Context(), ""); result != want || !errors.Is(got, err) {
			t.Errorf("%v: %v, %v", err, result, got)
		}
	}
}

// For two seconds each dial fails with an error of this machine's own: the calls are few, and the service is
// called as soon as it can be.
func TestLocalErrorsAreRetriedWithBackoff(t *testing.T) {
	for _, errno := range localErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			service := startFakeService(t, alwaysRespond(responseHead+purgeEvent(5)))
			schedule := startup.NewCallSchedule(1, 1, startup.ReadinessHold{})
			schedule.ListReceived()
			watcher := newTestWatcher(service.address, History{Position: 4}, schedule)
			var failed atomic.Int64
			over := time.Now().Add(2 * time.Second)
			dial := watcher.dial
			watcher.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if time.Now().Before(over) {
					failed.Add(1)
					return nil, dialError(errno)
				}
				return dial(ctx, network, address)
			}
			watcher.start(t)
			testkit.Receive(t, watcher.events, waitLimit, "an event")
			if took := time.Since(over); took > time.Second/2 {
				t.Errorf("an event %v after the last error", took)
			}
			if n, calls := failed.Load(), len(service.calls); n < 5 || n > 40 || calls != 1 {
				t.Errorf("%d dials failed, the service was called %d times", n, calls)
			}
		})
	}
}

// faultyConn fails each other read and write with an error.
type faultyConn struct {
	net.Conn
	fault error
	calls atomic.Int64
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.calls.Add(1)%2 == 1 {
		return 0, os.NewSyscallError("read", c.fault)
	}
	return c.Conn.Read(p)
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.calls.Add(1)%2 == 1 {
		n, err := c.Conn.Write(p[:len(p)/2])
		return n, errors.Join(os.NewSyscallError("write", c.fault), err)
	}
	return c.Conn.Write(p)
}

// A watch goes on through transient errors of this machine's own: what follows comes on the same connection.
func TestWatchSurvivesTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR} {
		t.Run(errno.Error(), func(t *testing.T) {
			service := startFakeService(t, alwaysRespond(responseHead+purgeEvent(5)))
			watcher := newTestWatcher(service.address, History{Position: 4}, nil)
			dial := watcher.dial
			watcher.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				return &faultyConn{Conn: conn, fault: errno}, err
			}
			watcher.start(t)
			event := testkit.Receive(t, watcher.events, waitLimit, "an event")
			if purge, ok := event.(router.PurgeReceived); !ok || purge.Group != 1 {
				t.Errorf("%+v", event)
			}
			if calls := len(service.calls); calls != 1 {
				t.Errorf("called %d times", calls)
			}
		})
	}
}

func TestLogEventsHaveNamesOfTheirOwn(t *testing.T) {
	seen := map[string]bool{}
	for _, event := range LogEvents() {
		kind := event.Kind()
		if kind.Name == "" || kind.Message == "" || seen[kind.Name] {
			t.Errorf("%s: %+v", fmt.Sprintf("%T", event), kind)
		}
		seen[kind.Name] = true
	}
}
