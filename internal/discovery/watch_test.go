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

// The service closes the first connection after an event, rejects the second call and falls silent on the third. Each
// call must resume after the last processed event.
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
		t.Errorf("resumed after %v, %d events posted, want [4 5 5 5] and 1", resumed, len(watcher.events))
	}
	const want = "discovery_disconnected discovery_reconnected discovery_disconnected"
	logged := watcher.loggedNames() // may include a second Reconnected: the fourth call may have received data
	if logged != want && logged != want+" discovery_reconnected" {
		t.Errorf("logged %s, want %s, or discovery_reconnected in addition", logged, want)
	}
}

// countingConn adds the number of bytes read from the connection to the counter read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// After SetAddress, the watcher must call the new address at once, whatever the state of the old connection, and
// resume after the last processed event.
func TestAddressChangeResumesAtOnce(t *testing.T) {
	for _, test := range []struct {
		name, before string // before: response of the first service; empty: it refuses connections
		want         string // Last-Event-ID of the call at the new address
	}{
		{"the first service refuses", "", "4"},
		{"the first service is open and silent", responseHead, "4"},
		{"the first service stalls inside its second event", responseHead + purgeEvent(5) + "id: 6\nda", "5"},
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
					t.Fatalf("read %d bytes from the first service, want %d", read.Load(), len(test.before))
				}
			}
			begun := time.Now()
			watcher.SetAddress(next.address)
			call := testkit.Receive(t, next.calls, waitLimit, "a call at the new address")
			if took := call.at.Sub(begun); call.resumeAfter != test.want || took > time.Second {
				t.Errorf("resumed after event %s, %v after SetAddress, want event %s within 1s", call.resumeAfter, took, test.want)
			}
			for range 2 { // the purges 5 and 6, each posted once even if both services have sent it
				testkit.Receive(t, watcher.events, waitLimit, "an event")
			}
			stop()
			if len(watcher.events) > 0 {
				t.Errorf("%d repeated events posted, want 0", len(watcher.events))
			}
		})
	}
}

// A response that ends or stalls inside an event must be requested again within the drain grace, which is the time
// that the router has to act on an event. The service counts the router as notified of that event. If the event were
// requested later, the router would still send requests to an endpoint that is draining.
func TestTruncatedResponseIsRequestedAgainWithinDrainGrace(t *testing.T) {
	const grace = 250 * time.Millisecond
	event := purgeEvent(5)
	for _, test := range []struct {
		name, response string
		closes         bool // true: the service closes the connection; false: it keeps it open and sends nothing more
	}{
		{"inside a line, and closed", responseHead + event[:20], true},
		{"inside a line, and open", responseHead + event[:20], false},
		{"between the lines of an event, and open", responseHead + event[:6], false},
		{"before the first event, and closed", responseHead, true},
		{"before the headers, and closed", "", true},
		{"after a comment, and closed", responseHead + ": here\n\n" + event[:20], true},
		{"a complete event with invalid JSON", responseHead + "id: 5\ndata: {\"pos\":5,\"exp\n\n", false},
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
			schedule.SetShortestGracePeriod(int64(grace))
			schedule.ListReceived()
			watcher := newTestWatcher(service.address, History{Position: 4}, schedule)
			stop := watcher.start(t)
			first := testkit.Receive(t, service.calls, waitLimit, "a call")
			second := testkit.Receive(t, service.calls, waitLimit, "the second call")
			if took := second.at.Sub(first.at); took >= grace {
				t.Errorf("requested again after %v, want less than %v", took, grace)
			}
			testkit.Receive(t, watcher.events, waitLimit, "an event")
			stop()
		})
	}
}

// localErrors are the errors of socket(2) and connect(2) that Linux documents as caused by the local machine.
var localErrors = []syscall.Errno{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// dialError returns err in the form in which net.Dialer returns an error of socket(2).
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
		if result, got := watcher.call(t.Context(), "", 0); result != want || !errors.Is(got, err) {
			t.Errorf("dial error %v: result %v, error %v, want result %v", err, result, got, want)
		}
	}
}

// For two seconds every dial fails with a local error. The watcher must back off, and must reach the service soon
// after dialling works again.
func TestLocalErrorsAreRetriedWithBackoff(t *testing.T) {
	for _, errno := range localErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			service := startFakeService(t, alwaysRespond(responseHead+purgeEvent(5)))
			schedule := startup.NewCallSchedule(1, 1, startup.ReadinessHold{})
			schedule.ListReceived()
			watcher := newTestWatcher(service.address, History{Position: 4}, schedule)
			var failed atomic.Int64
			outageEnd := time.Now().Add(2 * time.Second)
			dial := watcher.dial
			watcher.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if time.Now().Before(outageEnd) {
					failed.Add(1)
					return nil, dialError(errno)
				}
				return dial(ctx, network, address)
			}
			watcher.start(t)
			testkit.Receive(t, watcher.events, waitLimit, "an event")
			if took := time.Since(outageEnd); took > time.Second/2 {
				t.Errorf("first event %v after the last error, want within 500ms", took)
			}
			if n, calls := failed.Load(), len(service.calls); n < 5 || n > 40 || calls != 1 {
				t.Errorf("%d dials failed, the service was called %d times, want 5 to 40 and once", n, calls)
			}
		})
	}
}

// faultyConn fails every second read or write with the error fault.
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

// If reads and writes fail with transient local errors, the watch must continue on the same connection: each new call
// would load the service.
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
				t.Errorf("event %+v, want a purge of group 1", event)
			}
			if calls := len(service.calls); calls != 1 {
				t.Errorf("the service was called %d times, want once", calls)
			}
		})
	}
}

func TestLogEventNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, event := range LogEvents() {
		kind := event.Kind()
		if kind.Name == "" || kind.Message == "" || seen[kind.Name] {
			t.Errorf("%s: kind %+v, want a unique name and a message", fmt.Sprintf("%T", event), kind)
		}
		seen[kind.Name] = true
	}
}
