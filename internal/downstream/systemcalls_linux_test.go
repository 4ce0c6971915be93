package downstream

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/neterr"
	"tealpath/internal/testkit"

	"golang.org/x/sys/unix"
)

// documentedErrors are the errors that Linux documents for the system calls on suspended connections, except
// those that prove the end of a connection. Three keys are not plain call names: "connect" makes net.FileConn
// fail, "poller" also makes the Go runtime's poller unable to wait for the file, and "all" makes all system calls
// of SystemCalls fail.
var documentedErrors = map[string][]unix.Errno{
	"fcntl":      {unix.EMFILE, unix.EINVAL},
	"epoll_ctl":  {unix.ENOMEM, unix.ENOSPC},
	"epoll_wait": {unix.EINTR, unix.ENOMEM, unix.EINVAL},
	"recvfrom":   {unix.EINTR, unix.ENOMEM, unix.ENOBUFS, unix.EIO},
	"poll":       {unix.EINTR, unix.ENOMEM, unix.EINVAL},
	"connect":    {unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS},
	"poller":     {unix.EMFILE, unix.ENOSPC},
	"all":        {unix.ENOMEM},
}

// failingSystemCalls returns system calls in which call, a key of documentedErrors, fails with errno while failing
// returns true. EINTR is returned only by every second call, because interrupted calls are repeated and would
// otherwise never succeed.
func failingSystemCalls(call string, errno unix.Errno, failing func() bool) *poller.SystemCalls {
	calls, interrupted := *poller.Kernel, atomic.Int64{}
	fails := func(name string) bool {
		return (name == call || call == "all") && failing() && (errno != unix.EINTR || interrupted.Add(1)%2 == 1)
	}
	calls.Duplicate = func(fd int) (int, error) {
		if fails("fcntl") {
			return -1, errno
		}
		return poller.Kernel.Duplicate(fd)
	}
	calls.EpollCtl = func(set, operation, fd int, event *unix.EpollEvent) error {
		if fails("epoll_ctl") {
			return errno
		}
		return poller.Kernel.EpollCtl(set, operation, fd, event)
	}
	calls.EpollWait = func(set int, events []unix.EpollEvent, milliseconds int) (int, error) {
		if fails("epoll_wait") {
			return -1, errno
		}
		return poller.Kernel.EpollWait(set, events, milliseconds)
	}
	calls.Receive = func(fd int, p []byte, flags int) (int, error) {
		if fails("recvfrom") {
			return -1, errno
		}
		return poller.Kernel.Receive(fd, p, flags)
	}
	calls.Poll = func(fds []unix.PollFd, milliseconds int) (int, error) {
		if fails("poll") {
			return 0, errno
		}
		return poller.Kernel.Poll(fds, milliseconds)
	}
	calls.FileConn = func(file *os.File) (net.Conn, error) {
		if fails("connect") || fails("poller") {
			return nil, errno
		}
		return poller.Kernel.FileConn(file)
	}
	calls.Pollable = func(file *os.File) bool { return !fails("poller") && poller.Kernel.Pollable(file) }
	return &calls
}

// faultWindow decides which system calls fail: the next ones, whose number is the field calls, and all that are made
// before the time in the field until.
type faultWindow struct {
	calls atomic.Int64 // number of further calls that fail
	until atomic.Int64 // Unix time until which all calls fail, ns; 0: none fail because of the time
}

// open reports whether the current system call has to fail, and counts it.
func (w *faultWindow) open() bool {
	return w.calls.Add(-1) >= 0 || time.Now().UnixNano() < w.until.Load()
}

// Clients send requests while a system call fails, once or for two seconds, and their connections are
// suspended in between. Each request is answered, no connection ends, and afterwards the connections are
// suspended as before.
func TestFailingSystemCalls(t *testing.T) {
	for call, errnos := range documentedErrors {
		for _, errno := range errnos {
			for _, lasting := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %v lasting %v", call, errno, lasting), func(t *testing.T) {
					t.Parallel()
					checkFailingSystemCall(t, call, errno, lasting)
				})
			}
		}
	}
}

func checkFailingSystemCall(t *testing.T, call string, errno unix.Errno, lasting bool) {
	t.Helper()
	var fault faultWindow
	config := configWithIdleTimeout(100, time.Hour)
	config.SystemCalls = failingSystemCalls(call, errno, fault.open)
	server, _ := startServer(t, config)
	conns := dialIdle(t, server, 8)
	waitForSuspension(t, server)
	if lasting {
		fault.until.Store(time.Now().Add(2 * time.Second).UnixNano())
	} else {
		fault.calls.Store(1)
	}
	var group sync.WaitGroup
	for i, conn := range conns {
		group.Go(func() {
			for range 3 {
				if err := requestHealth(conn); err != nil {
					t.Errorf("request during the fault: %v", err)
				}
				time.Sleep(time.Duration(100+150*i) * time.Millisecond) // long enough to suspend some connections
			}
		})
	}
	if err := requestHealth(dial(t, server)); err != nil {
		t.Errorf("request on a new connection during the fault: %v", err)
	}
	group.Wait()
	if n := server.idle.len(); n != 9 {
		t.Errorf("%d connections after the fault, want 9", n)
	}
	for time.Now().UnixNano() < fault.until.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	if server.idle.canSuspend() { // false after an error that does not pass, such as EINVAL
		testkit.WaitUntil(t, 2*testTimeout, "all connections are suspended again", func() bool {
			return server.activeConnections() == 0 && server.Flushed()
		})
	} else if errno != unix.EINVAL {
		t.Errorf("suspension is disabled after %v, want that only after EINVAL", errno)
	}
	for _, conn := range conns {
		checkHealth(t, conn)
	}
}

// A suspended connection that cannot be resumed because no descriptor is left keeps its request, which is
// answered later. This holds also if the connection limit is reached and the process is shutting down.
func TestUnreadRequestsSurviveResourceExhaustion(t *testing.T) {
	var exhausted atomic.Bool
	exhausted.Store(true)
	config := configWithIdleTimeout(4, time.Hour)
	config.SystemCalls = failingSystemCalls("poller", syscall.EMFILE, exhausted.Load)
	server, _ := startServer(t, config)
	conns := dialIdle(t, server, 4)
	waitForSuspension(t, server)
	for _, conn := range conns {
		send(t, conn, healthCall(1))
	}
	testkit.WaitUntil(t, 2*testTimeout, "a failed resume has been postponed", func() bool {
		return server.idle.hasPostponed()
	})
	testkit.WaitUntil(t, 2*testTimeout, "the poller has reported all events", func() bool {
		return !server.idle.poller.HasEvents()
	})
	if server.Flushed() {
		t.Error("Flushed() = true with unread requests")
	}
	dial(t, server) // a new connection, for which another one would be evicted
	for id := range 4 {
		if server.evict(idle.ID(id)) {
			t.Errorf("connection %d was evicted with an unread request", id)
		}
	}
	server.CloseIdle()
	if server.Flushed() || server.OpenConnections() < 4 {
		t.Error("after CloseIdle the server is flushed or has fewer than 4 open connections with unread requests")
	}
	exhausted.Store(false)
	for _, conn := range conns {
		expectResponse(t, conn, "health")
	}
	testkit.WaitUntil(t, 2*testTimeout, "the server is flushed", server.Flushed)
}

// If the kernel cannot tell whether a suspended connection has unread data, evicting the connection could lose a
// request.
func TestUndeterminedPeekDoesNotEvict(t *testing.T) {
	var unknown atomic.Bool
	config := configWithIdleTimeout(4, time.Hour)
	calls := *poller.Kernel
	calls.Receive = func(fd int, p []byte, flags int) (int, error) {
		if unknown.Load() {
			return -1, syscall.ENOMEM
		}
		return poller.Kernel.Receive(fd, p, flags)
	}
	config.SystemCalls = &calls
	server, _ := startServer(t, config)
	conn := idleConnection(t, server, true)
	unknown.Store(true)
	if server.evict(0) {
		t.Error("the connection was evicted although it is unknown whether it has unread data")
	}
	unknown.Store(false)
	checkHealth(t, conn)
}

// If a client sends a request on a suspended connection and closes its side, and the request waits too long to
// be read, the request is rejected and not posted. The client may still be reading.
func TestHalfClosedWhileSuspendedIsRejected(t *testing.T) {
	var exhausted atomic.Bool
	config := configWithIdleTimeout(4, time.Hour)
	config.SystemCalls = failingSystemCalls("poller", syscall.EMFILE, exhausted.Load)
	server, events := startServer(t, config)
	conn, closed := idleConnection(t, server, true), idleConnection(t, server, true)
	exhausted.Store(true)
	for _, client := range []net.Conn{conn, closed} {
		send(t, client, emptyCall(7))
		closeWrite(t, client)
	}
	neterr.Close(closed)
	testkit.WaitUntil(t, 2*testTimeout, "a failed resume has been postponed", server.idle.hasPostponed)
	time.Sleep(100 * time.Millisecond) // longer than a half-closed client's request may wait to be read
	exhausted.Store(false)
	expectResponse(t, conn, rejectionOf(7))
	expectEnd(t, conn)
	testkit.WaitUntil(t, 2*testTimeout, "the slots are free and no request is being rejected", func() bool {
		return server.idle.len() == 0 && server.rejecting.Load() == 0
	})
	if len(events) > 0 {
		t.Errorf("event %s was posted, want none", <-events)
	}
}

// A call of the poller that takes long although its events have been pending, as on a busy processor, must not pass
// for one that waited: the requests would seem to arrive only when they are read, and get more time than their clients
// wait.
func TestArrivalTimeWithSlowPoller(t *testing.T) {
	slow := *poller.Kernel
	slow.EpollWait = func(set int, events []unix.EpollEvent, milliseconds int) (int, error) {
		time.Sleep(2 * time.Duration(minBlockedRead))
		return poller.Kernel.EpollWait(set, events, milliseconds)
	}
	checkArrivalOnSuspendedConnections(t, &slow)
}
