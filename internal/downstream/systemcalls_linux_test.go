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

// documentedErrors are the errors that Linux documents for the calls of suspended connections, but for
// those that prove that a connection is over. "connect" is net.FileConn; with "poller" the runtime's poller
// does not take the file either.
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

// failingSystemCalls returns calls of which one fails with an error while a function says so. EINTR fails
// every other call only: a call is repeated after it, and would not end.
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

// faultWindow makes calls fail: a number of them, or all until a time.
type faultWindow struct {
	calls atomic.Int64 // that still fail
	until atomic.Int64 // Unix ns
}

func (w *faultWindow) open() bool {
	return w.calls.Add(-1) >= 0 || time.Now().UnixNano() < w.until.Load()
}

// Clients send requests while a system call fails, once or for two seconds, and their connections are
// suspended in between: each is answered, no connection ends, and afterwards they are suspended as before.
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
					t.Errorf("not answered: %v", err)
				}
				time.Sleep(time.Duration(100+150*i) * time.Millisecond) // some are suspended in between, some are not
			}
		})
	}
	if err := requestHealth(dial(t, server)); err != nil {
		t.Errorf("one that comes meanwhile: %v", err)
	}
	group.Wait()
	if n := server.idle.len(); n != 9 {
		t.Errorf("%d connections of 9", n)
	}
	for time.Now().UnixNano() < fault.until.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	if server.idle.canSuspend() { // not after an error that does not pass
		testkit.WaitUntil(t, 2*testTimeout, "all are suspended again", func() bool {
			return server.activeConnections() == 0 && server.Flushed()
		})
	} else if errno != unix.EINVAL {
		t.Error("they are suspended no more")
	}
	for _, conn := range conns {
		checkHealth(t, conn)
	}
}

// A request on a suspended connection that can't be resumed for want of a descriptor is answered before its
// connection is closed, also where the connections are at their limit and the process is ending.
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
	testkit.WaitUntil(t, 2*testTimeout, "none can be resumed", func() bool { return server.idle.hasPostponed() })
	testkit.WaitUntil(t, 2*testTimeout, "the poller has told all", func() bool { return !server.idle.poller.HasEvents() })
	if server.Flushed() {
		t.Error("flushed with requests unread")
	}
	dial(t, server) // one that needs capacity
	for id := range 4 {
		if server.evict(idle.ID(id)) {
			t.Error("evicted with its request unread")
		}
	}
	server.CloseIdle()
	if server.Flushed() || server.OpenConnections() < 4 {
		t.Error("ended with requests unread")
	}
	exhausted.Store(false)
	for _, conn := range conns {
		expectResponse(t, conn, "health")
	}
	testkit.WaitUntil(t, 2*testTimeout, "all is flushed", server.Flushed)
}

// A suspended connection is not evicted where it can't be told whether data waits on it.
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
		t.Error("evicted")
	}
	unknown.Store(false)
	checkHealth(t, conn)
}

// A request on a suspended connection whose client has closed its side, and that has waited to be read, is
// rejected and not posted: the client may still read.
func TestHalfClosedWhileSuspendedIsRejected(t *testing.T) {
	var exhausted atomic.Bool
	config := configWithIdleTimeout(4, time.Hour)
	config.SystemCalls = failingSystemCalls("poller", syscall.EMFILE, exhausted.Load)
	server, events := startServer(t, config)
	conn, gone := idleConnection(t, server, true), idleConnection(t, server, true)
	exhausted.Store(true)
	for _, client := range []net.Conn{conn, gone} {
		send(t, client, emptyCall(7))
		closeWrite(t, client)
	}
	neterr.Close(gone)
	testkit.WaitUntil(t, 2*testTimeout, "they can't be resumed", server.idle.hasPostponed)
	time.Sleep(100 * time.Millisecond) // longer than after which a client that has closed is taken to have gone
	exhausted.Store(false)
	expectResponse(t, conn, rejectionOf(7))
	expectEnd(t, conn)
	testkit.WaitUntil(t, 2*testTimeout, "their slots are free", func() bool { return server.idle.len() == 0 && server.rejecting.Load() == 0 })
	if len(events) > 0 {
		t.Errorf("%s: posted", <-events)
	}
}
