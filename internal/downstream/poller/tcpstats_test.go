//go:build linux

package poller

import (
	"net"
	"testing"
	"time"

	"tealpath/internal/neterr"
)

func TestReadTCPStats(t *testing.T) {
	const step = 200 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer neterr.Close(listener)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer neterr.Close(client)
	time.Sleep(step)
	mustWrite(t, client, "one")
	time.Sleep(step)
	// The kernel established the connection when the client dialed, well before this accept.
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer neterr.Close(server)
	stats, ok := ReadTCPStats(server)
	if !ok || stats.Segments != 1 {
		t.Errorf("after one write: stats %+v, ok %v; want one segment", stats, ok)
	}
	expectSpan(t, "since the last data", stats.SinceLastData, step)
	expectSpan(t, "since the connection was established", stats.SinceEstablished, 2*step)
	mustWrite(t, client, "two")
	time.Sleep(step / 10)
	if stats, _ = ReadTCPStats(server); stats.Segments != 2 {
		t.Errorf("after two writes: stats %+v, want two segments", stats)
	}
	expectSpan(t, "since the last data", stats.SinceLastData, step/10)
}

// expectSpan checks a duration, in ns, that the kernel measured. It tolerates the kernel's steps of a few ms and a
// slow test run.
func expectSpan(t *testing.T, what string, nanoseconds int64, want time.Duration) {
	t.Helper()
	got := time.Duration(nanoseconds)
	if got < want-20*time.Millisecond || got > want+100*time.Millisecond {
		t.Errorf("time %s: got %v, want about %v", what, got, want)
	}
}

func TestReadTCPStatsWithoutSocket(t *testing.T) {
	pipe, other := net.Pipe()
	defer neterr.Close(pipe)
	defer neterr.Close(other)
	for name, conn := range map[string]net.Conn{"nil": nil, "pipe": pipe} {
		if _, ok := ReadTCPStats(conn); ok {
			t.Errorf("%s connection: ReadTCPStats returned ok, want no statistics", name)
		}
	}
}

func BenchmarkReadTCPStats(b *testing.B) {
	_, server := connect(b)
	b.ReportAllocs()
	for b.Loop() {
		ReadTCPStats(server)
	}
}
