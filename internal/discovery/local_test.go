package discovery

import (
	"bufio"
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
	"tealpath/internal/router"
)

// localErrors are what Linux documents of this machine's own for socket(2) and connect(2).
var localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// telling is a journal service that tells one event, and counts who asks.
func telling(t *testing.T) (address string, asked *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	asked = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(conn)
			for line := "x"; strings.TrimSpace(line) != "" && err == nil; {
				line, err = in.ReadString('\n')
			}
			asked.Add(1)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nid: 5\ndata: {\"pos\":5,\"expire\":{\"set\":1,\"stamp\":1}}\n\n")
		}
	}()
	return listener.Addr().String(), asked
}

func TestHowADialFails(t *testing.T) {
	ends := map[error]startup.CallResult{
		syscall.ECONNREFUSED: startup.Refused, syscall.ETIMEDOUT: startup.Unreachable,
		syscall.EHOSTUNREACH: startup.Unreachable, syscall.ENETUNREACH: startup.Unreachable, context.DeadlineExceeded: startup.Unreachable,
	}
	for _, errno := range localErrors {
		ends[errno] = startup.LocalError
	}
	for err, want := range ends {
		f := NewWatcher(Config{Address: "", History: History{}, Schedule: startup.NewCallSchedule(1, 1, startup.ReadinessHold{}), Post: func(router.Event) {}, Log: func(string) {}})
		f.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}
		}
		if how, got := f.follow(t.Context(), "", func() {}); how != want || !errors.Is(got, err) {
			t.Errorf("%v: %v, %v", err, how, got)
		}
	}
}

// Two seconds without what a call takes, of each error: the calls are few, and the service is asked as soon as it can be.
func TestStormOfLocalErrors(t *testing.T) {
	for _, errno := range localErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			address, asked := telling(t)
			calls := startup.NewCallSchedule(1, 1, startup.ReadinessHold{})
			calls.ListReceived()
			told := make(chan router.Event, 16)
			f := NewWatcher(Config{Address: address, History: History{Position: 4}, Schedule: calls, Post: noting(told), Log: func(string) {}})
			var dials atomic.Int64
			over, dial := time.Now().Add(2*time.Second), f.dial
			f.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if time.Now().Before(over) {
					dials.Add(1)
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)}
				}
				return dial(ctx, network, address)
			}
			go f.Run(t.Context())
			<-told
			if took := time.Since(over); took > time.Second/2 {
				t.Errorf("told %v after the storm", took)
			}
			if n := dials.Load(); n < 5 || n > 40 || asked.Load() != 1 {
				t.Errorf("%d dials failed, the service was asked %d times", n, asked.Load())
			}
		})
	}
}

// faulty fails each other read and write with an error.
type faulty struct {
	net.Conn
	fault error
	calls atomic.Int64
}

func (f *faulty) Read(p []byte) (int, error) {
	if f.calls.Add(1)%2 == 1 {
		return 0, os.NewSyscallError("read", f.fault)
	}
	return f.Conn.Read(p)
}

func (f *faulty) Write(p []byte) (int, error) {
	if f.calls.Add(1)%2 == 1 {
		n, _ := f.Conn.Write(p[:len(p)/2])
		return n, os.NewSyscallError("write", f.fault)
	}
	return f.Conn.Write(p)
}

// A watch goes on through errors of this machine's own: what follows is told on the same connection.
func TestFaultsOfAWatch(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR} {
		t.Run(errno.Error(), func(t *testing.T) {
			address, asked := telling(t)
			told := make(chan router.Event, 16)
			f := NewWatcher(Config{Address: address, History: History{Position: 4}, Schedule: startup.NewCallSchedule(1, 1, startup.ReadinessHold{}), Post: noting(told), Log: func(string) {}})
			dial := f.dial
			f.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				return &faulty{Conn: conn, fault: errno}, err
			}
			go f.Run(t.Context())
			select {
			case <-told:
			case <-time.After(5 * time.Second):
				t.Fatal("nothing is told")
			}
			if asked.Load() != 1 {
				t.Errorf("asked %d times", asked.Load())
			}
		})
	}
}
