package downstream

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tealpath/internal/downstream/poller"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

// errorsOf is what Linux documents for the calls of resting connections, beside what proves an end.
var errorsOf = map[string][]unix.Errno{
	"fcntl":      {unix.EMFILE, unix.EINVAL},
	"epoll_ctl":  {unix.ENOMEM, unix.ENOSPC},
	"epoll_wait": {unix.EINTR, unix.ENOMEM, unix.EINVAL},
	"recvfrom":   {unix.EINTR, unix.ENOMEM, unix.ENOBUFS, unix.EIO},
	"poll":       {unix.EINTR, unix.ENOMEM, unix.EINVAL},
	"connect":    {unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS}, // net.FileConn
	"poller":     {unix.EMFILE, unix.ENOSPC},                            // and the runtime's poller does not take the file either
	"all":        {unix.ENOMEM},
}

// failingCalls has one call fail with an error as long as it is to; EINTR fails each other call only, as it would not end.
func failingCalls(call string, errno unix.Errno, now func() bool) *poller.SystemCalls {
	calls, interrupted := *poller.Kernel, atomic.Int64{}
	fails := func(name string) bool {
		return (name == call || call == "all") && now() && (errno != unix.EINTR || interrupted.Add(1)%2 == 1)
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

// Clients that rest, ask and rest again while one call fails, once or for two seconds: each is answered, none of the connections
// ends, and afterwards they rest as before.
func TestCallsThatFail(t *testing.T) {
	for call, errnos := range errorsOf {
		for _, errno := range errnos {
			for _, storm := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %v storm %v", call, errno, storm), func(t *testing.T) {
					t.Parallel()
					var left atomic.Int64
					var over atomic.Int64
					limits := keeping(100, time.Hour)
					limits.SystemCalls = failingCalls(call, errno, func() bool {
						return left.Add(-1) >= 0 || time.Now().UnixNano() < over.Load()
					})
					f, _ := serving(t, limits)
					var conns []net.Conn
					for range 8 {
						conns = append(conns, dial(t, f))
						health(t, conns[len(conns)-1])
					}
					until(t, "all rest", func() bool { return f.activeConnections() == 0 })
					if storm {
						over.Store(time.Now().Add(2 * time.Second).UnixNano())
					} else {
						left.Store(1)
					}
					var group sync.WaitGroup
					for i, c := range conns {
						group.Go(func() {
							for range 3 {
								if err := ask(c); err != nil {
									t.Errorf("not answered: %v", err)
								}
								time.Sleep(time.Duration(100+150*i) * time.Millisecond) // some rest in between, some don't
							}
						})
					}
					if err := ask(dial(t, f)); err != nil { // and one comes meanwhile
						t.Errorf("one that comes meanwhile: %v", err)
					}
					group.Wait()
					if n := f.idle.len(); n != 9 {
						t.Errorf("%d connections of 9", n)
					}
					for time.Now().UnixNano() < over.Load() {
						time.Sleep(10 * time.Millisecond)
					}
					if f.idle.canSuspend() { // an error that does not pass has them keep what they hold
						until(t, "all rest again", func() bool { return f.activeConnections() == 0 && f.Flushed() })
					} else if errno != unix.EINVAL {
						t.Error("they rest no more")
					}
					for _, c := range conns {
						health(t, c)
					}
				})
			}
		}
	}
}

// faultyListener fails accepts with an error for as long as it is to, and hands out connections that fail.
type faultyListener struct {
	*net.TCPListener
	accept func() error
	wrap   func(*net.TCPConn) net.Conn
}

func (l faultyListener) Accept() (net.Conn, error) {
	if err := l.accept(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// faultyConn fails reads and writes with an error, some bytes of a write having gone out. The connection is not embedded as what it
// is: net.Buffers would write to that itself.
type faultyConn struct {
	net.Conn
	read, write func() error
}

func (c faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (c faultyConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

func (c faultyConn) Read(p []byte) (int, error) {
	if err := c.read(); err != nil {
		return 0, os.NewSyscallError("read", err)
	}
	return c.Conn.Read(p)
}

func (c faultyConn) Write(p []byte) (int, error) {
	if err := c.write(); err != nil {
		n, _ := c.Conn.Write(p[:len(p)/2])
		return n, os.NewSyscallError("write", err)
	}
	return c.Conn.Write(p)
}

// fronting is a front on a listener of the test's. Nothing rests there: resumed, a connection would be the system's own again.
func fronting(t *testing.T, limits Config, accept, read, write func() error) (*Server, chan router.Event) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits.SystemCalls = failingCalls("fcntl", unix.EINVAL, func() bool { return true })
	events := make(chan router.Event, 1000)
	f := New(faultyListener{listener.(*net.TCPListener), accept, func(c *net.TCPConn) net.Conn { return faultyConn{c, read, write} }}, limits,
		func(e router.Event) { events <- e }, func(logevent.Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-over; err != nil {
			t.Error(err)
		}
	})
	return f, events
}

func never() error { return nil }

// Where connections can't be accepted they wait in the backlog with what they asked, and are answered then.
func TestAcceptFails(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			over := time.Now().Add(2 * time.Second)
			var tries atomic.Int64
			f, _ := fronting(t, keeping(100, time.Hour), func() error {
				if time.Now().Before(over) {
					tries.Add(1)
					return errno
				}
				return nil
			}, never, never)
			for range 20 {
				conn := dial(t, f)
				conn.Write(message(1, "health", 1, "\x00"))
				defer func() {
					if err := ask(conn); err != nil {
						t.Errorf("not answered: %v", err)
					}
				}()
			}
			if f.CloseIdle(); f.draining.Load() {
				t.Error("the listener was closed over those who wait")
			}
			time.Sleep(time.Until(over))
			if n := tries.Load(); n > 220 {
				t.Errorf("%d accepts in 2 s", n)
			}
			until(t, "all are taken in", func() bool { return f.idle.len() == 20 })
		})
	}
}

// A read or a write on a client's connection that fails for a moment goes on, in whatever state; bytes are neither lost nor doubled.
func TestClientsReadsAndWritesFail(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR, syscall.EAGAIN} {
		for _, storm := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v storm %v", errno, storm), func(t *testing.T) {
				t.Parallel()
				var calls atomic.Int64
				over := time.Now().Add(2 * time.Second)
				fault := func() error {
					if storm && time.Now().Before(over) || !storm && calls.Add(1)%2 == 1 {
						return errno
					}
					return nil
				}
				f, events := fronting(t, keeping(100, time.Hour), never, fault, fault)
				conn := dial(t, f)
				body := strings.Repeat("0123456789", 1000)
				for seq := range int32(3) {
					conn.Write(message(1, "call", uint32(seq), "\x00"))
					q, ok := (<-events).(router.RequestReceived)
					if !ok || q.Seq != seq {
						t.Fatalf("%+v", q)
					}
					f.Respond(router.Respond{Client: q.Client, Seq: seq, Body: []byte(body)})
					if got, err := answerOn(conn); err != nil || !strings.Contains(got, body) || strings.Count(got, "0123456789") != 1000 {
						t.Fatalf("%d bytes, %v", len(got), err)
					}
				}
				health(t, conn)
			})
		}
	}
}

// A read that fails in a way that proves nothing ends the reading; what is open is answered all the same.
func TestOddReadErrorLeavesAnswers(t *testing.T) {
	var odd atomic.Bool
	f, events := fronting(t, keeping(100, time.Hour), never, func() error {
		if odd.Load() {
			return syscall.EIO
		}
		return nil
	}, never)
	conn := dial(t, f)
	conn.Write(message(1, "call", 5, "\x00"))
	q := (<-events).(router.RequestReceived)
	odd.Store(true)
	conn.Write([]byte{0}) // wakes its reader
	time.Sleep(50 * time.Millisecond)
	f.Respond(router.Respond{Client: q.Client, Seq: 5, Body: []byte("whole")})
	if got, err := answerOn(conn); err != nil || !strings.Contains(got, "whole") {
		t.Errorf("%q, %v", got, err)
	}
}
