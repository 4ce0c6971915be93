package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/clock"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/router"
)

// pair is two ends of a connection over loopback.
func pair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if ours, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if theirs, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}

// sending is a request for link 1 that may be written and answered within a time.
func sending(id string, within time.Duration) router.Send {
	until := clock.System().Now() + int64(within)
	return router.Send{Connection: 1, Request: router.UpstreamRequest{ID: id, Deadline: until}, SendDeadline: until}
}

// asking is a request as it waits to be written.
func asking(id string, within time.Duration) item {
	send := sending(id, within)
	return item{request: &send}
}

// A cache closes an idle connection, and before its end is read here a request is to be written: it is known
// not to have run.
func TestClosedBeforeTheRequestIsWritten(t *testing.T) {
	ours, theirs := pair(t)
	theirs.Close()
	raw, _ := ours.(syscall.Conn).SyscallConn()
	for come := false; !come; time.Sleep(time.Millisecond) { // its end has come, and nobody reads
		raw.Control(func(fd uintptr) {
			n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			come = n == 0 && err == nil
		})
	}
	l := &link{pool: &Pool{clock: clock.System(), write: syscall.Write}, wake: make(chan struct{}, 1)}
	l.enter(asking("a", time.Second))
	l.enter(item{abort: "b"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.write(ctx, ours); !errors.Is(err, errEnded) {
		t.Error(err)
	}
	if got := l.unsent(); !reflect.DeepEqual(got, []string{"a"}) {
		t.Errorf("unsent %v", got)
	}
}

// Bytes that are there to be read are no end.
func TestAnswerBeforeTheRequestIsWritten(t *testing.T) {
	ours, theirs := pair(t)
	theirs.Write([]byte("*4"))
	l := &link{pool: &Pool{clock: clock.System(), write: syscall.Write}, wake: make(chan struct{}, 1)}
	l.enter(asking("a", time.Second))
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- l.write(ctx, ours) }()
	theirs.SetReadDeadline(time.Now().Add(5 * time.Second))
	if words, err := resp.Read(bufio.NewReader(theirs)); err != nil || string(words[0]) != "fetch" || string(words[1]) != "a" {
		t.Errorf("%q, %v", words, err)
	}
	cancel()
	<-over
}

// An answer that trickles without end ends its link by when it must have come; what else was asked there is
// sent elsewhere.
func TestAnswerWithoutEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		resp.Read(bufio.NewReader(conn))
		fmt.Fprint(conn, "*4\r\n$1\r\na\r\n$6\r\nserved\r\n$1\r\n-\r\n$200000\r\n")
		for {
			if _, err := conn.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(stallMost / 5)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	events := make(chan router.Event, 16)
	p := NewPool(ctx, Config{
		MinResponseRate: 4 * resp.BytesMost, // a second, with all others on the way
		Post:            func(e router.Event) { events <- e },
	})
	p.Dial(router.Dial{Connection: 1, Address: listener.Addr().String(), Timeout: int64(time.Second)})
	begun := time.Now()
	for e := range events {
		if _, up := e.(router.ConnectionUp); up {
			p.Send(sending("a", 10*time.Second))
			continue
		}
		if _, down := e.(router.ConnectionDown); !down {
			t.Errorf("%T", e)
		}
		break
	}
	if took := time.Since(begun); took < time.Second || took > 3*time.Second {
		t.Errorf("its link ended after %v", took)
	}
	p.Wait()
}
