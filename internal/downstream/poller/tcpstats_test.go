//go:build linux

package poller

import (
	"net"
	"testing"
	"time"
)

// What the system counts of a connection is what arrivals are reckoned by.
func TestReceivedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	theirs, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer theirs.Close()
	const step = 200 * time.Millisecond
	time.Sleep(step)
	theirs.Write([]byte("one"))
	time.Sleep(step)
	ours, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer ours.Close()
	near := func(what string, got int64, want time.Duration) {
		if d := time.Duration(got); d < want-20*time.Millisecond || d > want+step/2 {
			t.Errorf("%s %v, want %v", what, d, want)
		}
	}
	got, ok := ReadTCPStats(ours)
	if !ok || got.Segments != 1 {
		t.Errorf("%+v, %v: one segment has come", got, ok)
	}
	near("since the last", got.SinceLastData, step)
	near("since it stood", got.SinceEstablished, 2*step)
	theirs.Write([]byte("two"))
	time.Sleep(step / 10)
	if got, _ = ReadTCPStats(ours); got.Segments != 2 {
		t.Errorf("%+v: two have come", got)
	}
	near("since the last", got.SinceLastData, step/10)
	if _, ok := ReadTCPStats(nil); ok {
		t.Error("told of what is no connection")
	}
}
