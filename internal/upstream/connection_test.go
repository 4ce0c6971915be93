package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

const (
	notCachedResponse = "*4\r\n$16\r\n00000000000000aa\r\n$8\r\nnot_here\r\n$1\r\n-\r\n$0\r\n\r\n"
	healthResponse    = "*4\r\n$1\r\nx\r\n$5\r\ngreen\r\n$1\r\n-\r\n$0\r\n\r\n"
	halfResponse      = "*4\r\n$16\r\n00000000000000aa\r\n$6\r\nserved\r\n$1\r\n-\r\n$9\r\nhal"
	hugeResponse      = "*4\r\n$16\r\n00000000000000aa\r\n$6\r\nserved\r\n$1\r\n-\r\n$3221225472\r\n"
)

// connectionTest is a test case that sends a request to an endpoint and compares the posted events with want.
type connectionTest struct {
	name string
	// serve is called in the endpoint once the request has arrived; nil: the endpoint refuses the connection.
	serve func(conn net.Conn, in *bufio.Reader)
	do    func(*Pool) // called once the request is queued; nil: no call
	want  string      // text of the expected events, as run formats them
}

// respond returns a serve function that sends text and closes the connection.
func respond(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, _ *bufio.Reader) { send(conn, text) }
}

// respondAndWait returns a serve function that sends text and waits until the router closes the connection.
func respondAndWait(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		send(conn, text)
		waitForClose(in)
	}
}

var connectionTests = []connectionTest{
	{"refused", nil, nil, "down []"},
	{"a response", respond(notCachedResponse), nil, "up, response 2, down []"},
	{"malformed", respondAndWait("-ERR\r\n"), nil, "up, down []"},
	{"an incomplete response is not posted", respond(halfResponse), nil, "up, down []"},
	{"a stalled response closes its connection within seconds", respondAndWait(halfResponse), nil, "up, down []"},
	{"a response in small pieces is received", func(conn net.Conn, _ *bufio.Reader) {
		for piece := range strings.SplitAfterSeq(notCachedResponse, "\n") {
			send(conn, piece)
			time.Sleep(stallTimeout / 6)
		}
	}, nil, "up, response 2, down []"},
	{"the time between responses is not limited", func(conn net.Conn, _ *bufio.Reader) {
		send(conn, healthResponse)
		time.Sleep(stallTimeout + stallTimeout/2)
		send(conn, notCachedResponse)
	}, nil, "up, response 2, down []"},
	{"a response that announces 3 GB", func(conn net.Conn, _ *bufio.Reader) {
		send(conn, hugeResponse)
		for chunk := strings.Repeat("x", 1<<16); send(conn, chunk); {
		}
	}, nil, "up, down []"},
}

func TestConnectionEvents(t *testing.T) {
	for _, test := range connectionTests {
		t.Run(test.name, test.run)
	}
}

func TestCloseConnection(t *testing.T) {
	closing := make(chan struct{})
	connectionTest{
		serve: func(_ net.Conn, in *bufio.Reader) {
			close(closing)
			waitForClose(in)
		},
		do: func(p *Pool) {
			<-closing
			p.Close(router.Close{Connection: 1})
		},
		want: "up, down []",
	}.run(t)
}

func TestWrittenRequestIsAborted(t *testing.T) {
	written := make(chan struct{})
	connectionTest{
		serve: func(conn net.Conn, in *bufio.Reader) {
			close(written)
			abort := readCommand(in)
			if len(abort) == 2 {
				send(conn, fmt.Sprintf("*4\r\n$1\r\n0\r\n$%d\r\n%s\r\n$1\r\n-\r\n$0\r\n\r\n", len(abort[0]), abort[0]))
			}
		},
		do: func(p *Pool) {
			<-written
			p.CancelAttempt(router.CancelAttempt{Connection: 1, ID: "00000000000000aa"})
		},
		want: "up, response 6, down []",
	}.run(t)
}

// run sends a request as soon as the connection is up, and compares the text of the events with want. In that text,
// "response" is followed by the numeric value of its Result, and "down" by the IDs of the unsent requests.
func (c connectionTest) run(t *testing.T) {
	address := c.listen(t)
	begun := time.Now()
	p := newTestPool(t, Config{})
	p.dialEndpoint(address)
	var got []string
	for isDown := false; !isDown; {
		switch event := p.next(t).(type) {
		case router.ConnectionUp:
			got = append(got, "up")
			p.Send(requestWithin("00000000000000aa", waitLimit))
			if c.do != nil {
				c.do(p.Pool)
			}
		case router.ResponseReceived:
			got = append(got, fmt.Sprint("response ", int(event.Result)))
		case router.ConnectionDown:
			got = append(got, fmt.Sprint("down ", event.Unsent))
			isDown = true
		}
	}
	p.Wait()
	if got := strings.Join(got, ", "); got != c.want || time.Since(begun) > 3*time.Second {
		t.Errorf("events %q after %v, want %q within 3s", got, time.Since(begun), c.want)
	}
}

// listen starts the endpoint and returns its address. If the test has no serve function, connections to the address
// are refused.
func (c connectionTest) listen(t *testing.T) string {
	t.Helper()
	if c.serve == nil {
		listener := testkit.Listen(t)
		mustClose(t, listener)
		return listener.Addr().String()
	}
	return startEndpoint(t, func(conn net.Conn, in *bufio.Reader) {
		if readCommand(in) != nil {
			c.serve(conn, in)
		}
	})
}

// A response that arrives slowly but steadily never reaches stallTimeout. Its connection is closed at the timeout for
// the whole response, so that it does not block other requests for long.
func TestSlowResponseClosesItsConnection(t *testing.T) {
	address := startEndpoint(t, func(conn net.Conn, in *bufio.Reader) {
		readCommand(in)
		send(conn, "*4\r\n$1\r\na\r\n$6\r\nserved\r\n$1\r\n-\r\n$200000\r\n")
		for send(conn, "x") {
			time.Sleep(stallTimeout / 5)
		}
	})
	p := newTestPool(t, Config{
		MinResponseRate: responseTimeSlack * resp.MaxStringSize, // the response timeout becomes 1 s + stallTimeout
	})
	p.dialEndpoint(address)
	begun := time.Now()
	if event, ok := p.next(t).(router.ConnectionUp); !ok {
		t.Fatalf("first event is not %T", event)
	}
	p.Send(requestWithin("a", 10*time.Second))
	if event, ok := p.next(t).(router.ConnectionDown); !ok {
		t.Errorf("second event is not %T", event)
	}
	if took := time.Since(begun); took < time.Second || took > 3*time.Second {
		t.Errorf("connection closed after %v, want 1s to 3s", took)
	}
}

// localDialErrors are the errors of opening a connection that Linux documents as caused by the local machine.
var localDialErrors = []error{
	os.NewSyscallError("socket", syscall.EMFILE), os.NewSyscallError("socket", syscall.ENFILE),
	os.NewSyscallError("socket", syscall.ENOBUFS), os.NewSyscallError("socket", syscall.ENOMEM),
	os.NewSyscallError("connect", syscall.EADDRNOTAVAIL), os.NewSyscallError("connect", syscall.EAGAIN),
	os.NewSyscallError("connect", syscall.EPERM), os.NewSyscallError("epoll_ctl", syscall.ENOSPC),
}

// remoteDialErrors are errors of a dial that say something about the endpoint: it refuses connections or is
// unreachable.
var remoteDialErrors = []error{
	os.NewSyscallError("connect", syscall.ECONNREFUSED), os.NewSyscallError("connect", syscall.ETIMEDOUT),
	os.NewSyscallError("connect", syscall.EHOSTUNREACH), os.NewSyscallError("connect", syscall.ENETUNREACH),
	context.DeadlineExceeded,
}

// failingDial returns a dialFunc that always fails with err.
func failingDial(err error) dialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
}

func TestDialErrorsByCause(t *testing.T) {
	check := func(err error, want router.Cause) {
		p := newTestPool(t, Config{})
		p.dial = failingDial(err)
		p.Dial(router.Dial{Connection: 7, Timeout: int64(time.Second)})
		down, ok := p.next(t).(router.ConnectionDown)
		if !ok || down.Connection != 7 || down.Cause != want || down.Reason == "" {
			t.Errorf("dial error %v: event %+v, want connection 7 with cause %d and a reason", err, down, want)
		}
		_, err = checkHealth(t.Context(), p.dial, HealthCheck{ID: "1", MayWrite: mayWrite})
		if errors.Is(err, ErrNotSent) != (want == router.Local) {
			t.Errorf("health check error %v, want ErrNotSent: %t", err, want == router.Local)
		}
	}
	for _, err := range localDialErrors {
		check(err, router.Local)
	}
	for _, err := range remoteDialErrors {
		check(err, router.Remote)
	}
}

// faultyConn is a connection whose first reads and writes fail with the error fault. The fields reads and writes hold
// how many still fail. A read that fails first waits for a complete write. Calls of faultyWrite that do not fail write
// only the first half of the data.
type faultyConn struct {
	net.Conn
	fault         error
	reads, writes atomic.Int64 // number of further reads and writes that fail
	once          sync.Once
	written       chan struct{}
}

// Read fails with c.fault as long as c.reads is positive, each time after a write has completed.
func (c *faultyConn) Read(p []byte) (int, error) {
	if c.reads.Add(-1) >= 0 {
		<-c.written
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.fault)}
	}
	return c.Conn.Read(p)
}

// faultyWrite replaces syscall.Write: it fails, or writes only the first half of p.
func (c *faultyConn) faultyWrite(fd int, p []byte) (int, error) {
	if c.writes.Add(-1) >= 0 {
		return -1, c.fault
	}
	return syscall.Write(fd, p[:(len(p)+1)/2])
}

// SyscallConn gives access to the descriptor of the wrapped connection.
func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Write sends only half of p and fails with c.fault as long as c.writes is positive.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.writes.Add(-1) >= 0 { // writes half of p, then fails
		n, err := c.Conn.Write(p[:len(p)/2])
		if err != nil {
			return n, err
		}
		return n, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.fault)}
	}
	defer c.once.Do(func() { close(c.written) })
	return c.Conn.Write(p)
}

// After a transient local error, a read or write continues where it stopped. An error that means the connection has
// ended closes it; a request that was completely written by then is not reported as unsent, because it may have run.
func TestReadAndWriteErrors(t *testing.T) {
	const id = "00000000000000aa"
	for _, test := range []struct {
		fault         syscall.Errno
		reads, writes int64
		responds      bool // the endpoint's response is expected to be posted
		unsent        bool // ConnectionDown is expected to list the request as unsent
	}{
		{syscall.ENOMEM, 5, 0, true, false},
		{syscall.ENOBUFS, 5, 0, true, false},
		{syscall.EINTR, 5, 0, true, false},
		{syscall.ENOMEM, 0, 5, true, false},
		{syscall.ENOBUFS, 0, 5, true, false},
		{syscall.EINTR, 0, 5, true, false},
		{syscall.ENOBUFS, 5, 5, true, false},
		{syscall.ECONNRESET, 9, 0, false, false},
		{syscall.ETIMEDOUT, 9, 0, false, false},
		{syscall.EHOSTUNREACH, 9, 0, false, false},
		{syscall.ENETUNREACH, 9, 0, false, false},
		{syscall.EPIPE, 0, 9, false, true},
		{syscall.ETIMEDOUT, 0, 9, false, true},
	} {
		t.Run(fmt.Sprintf("%v read %d write %d", test.fault, test.reads, test.writes), func(t *testing.T) {
			p := newTestPool(t, Config{})
			dialled := make(chan *faultyConn, 1)
			p.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				faulty := &faultyConn{Conn: conn, fault: test.fault, written: make(chan struct{})}
				faulty.reads.Store(test.reads)
				faulty.writes.Store(test.writes)
				p.write = faulty.faultyWrite
				dialled <- faulty
				return faulty, err
			}
			p.dialEndpoint(startCache(t).Address())
			faulty := <-dialled
			for isDown := false; !isDown; {
				switch event := p.next(t).(type) {
				case router.ConnectionUp:
					p.Send(requestWithin(id, 5*time.Second))
				case router.ResponseReceived:
					if !test.responds || event.Result != control.Succeeded {
						t.Errorf("unexpected response %+v", event)
					}
					p.Close(router.Close{Connection: 1})
				case router.ConnectionDown:
					isDown = true
					if test.unsent != slices.Equal(event.Unsent, []string{id}) || event.Cause != router.Remote {
						t.Errorf("%+v, want %s unsent: %t, and cause Remote", event, id, test.unsent)
					}
				}
			}
			p.Wait()
			if allInjected := faulty.reads.Load() < 0 && faulty.writes.Load() < 0; test.responds && !allInjected {
				t.Errorf("faults not injected: %d reads, %d writes", faulty.reads.Load(), faulty.writes.Load())
			}
		})
	}
}
