package downstream

import (
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
)

// seenWithin is in what time a client's end is told: no attempt begins 0.1 s after it.
const seenWithin = 100 * time.Millisecond

// cancelOf is a message that takes a request back.
func cancelOf(seq byte) []byte {
	return message(4, "cancel", 9, "\x08\x00\x01\x00\x00\x00"+string([]byte{seq})+"\x00")
}

// tells checks that one of some events comes in time, whatever comes before it.
func tells(t *testing.T, events chan string, want string) {
	t.Helper()
	for end := time.After(seenWithin); ; {
		select {
		case e := <-events:
			if slices.Contains(strings.Fields(want), e) {
				return
			}
		case <-end:
			t.Fatalf("no %s within %v", want, seenWithin)
		}
	}
}

// A client's end is told at once whatever its connection is at.
func TestEndIsSeen(t *testing.T) {
	closes := func(conn net.Conn) { conn.(*net.TCPConn).CloseWrite() }
	goes := func(conn net.Conn) { conn.Close() } // with an answer unread, or one that comes yet, it becomes a reset
	resets := func(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0); conn.Close() }
	cancels := func(conn net.Conn) { conn.Write(cancelOf(1)) }
	calls := func(from, count uint32) string {
		var all []byte
		for n := range count {
			all = append(all, call(from+n, 10)...)
		}
		return string(all)
	}
	one := calls(1, 1)
	for _, before := range []struct {
		name, in string
		unread   bool // what comes behind it is not understood any more
		full     bool // no memory for large requests
		open     int
	}{
		{"one is open", one, false, false, 1},
		{"32 are open", calls(1, 32), false, false, 32},
		{"32 are open, and eight more were refused", calls(1, 40), false, false, 32},
		{"behind half a request", one + string(call(2, 10)[:9]), true, false, 1},
		{"behind half a large one", one + string(call(2, 100_000)[:50_000]), true, false, 1},
		{"behind a large one for which there is no memory", one + string(call(2, 200_000)), false, true, 1},
		{"behind what cannot be understood", one + "\x7f\xff\xff\xff", true, false, 1},
		{"behind much of that", one + "\x7f\xff\xff\xff" + strings.Repeat("x", 200_000), true, false, 1},
	} {
		for _, end := range []struct {
			name string
			do   func(net.Conn)
			want string
		}{{"closes its side", closes, "ClientHalfClosed"}, {"closes", goes, "ClientHalfClosed ClientDisconnected"}, {"resets", resets, "ClientDisconnected"}, {"cancels", cancels, "RequestCancelled"}} {
			if end.want == "RequestCancelled" && before.unread {
				continue // it is not understood
			}
			t.Run(before.name+", and it "+end.name, func(t *testing.T) {
				f, events := serving(t, Config{MaxConnections: 4, MaxRequestsPerConnection: 32, MaxBytes: thrift.FrameMost})
				if before.full {
					f.memory.requests.TryAcquire(thrift.FrameMost)
					defer f.memory.requests.Release(thrift.FrameMost)
				}
				conn := dial(t, f)
				io.WriteString(conn, before.in)
				for range before.open {
					if e := next(t, events); e != "RequestReceived" {
						t.Fatal(e)
					}
				}
				if !before.full {
					time.Sleep(30 * time.Millisecond)
				}
				end.do(conn)
				tells(t, events, end.want)
				for seq := range int32(before.open) {
					f.Respond(router.Respond{Client: 1, Seq: seq + 1})
				}
			})
		}
	}
}

// A large request for which there is no memory is refused soon, and what comes behind it is read.
func TestNoMemoryForALargeRequest(t *testing.T) {
	f, events := serving(t, Config{MaxConnections: 4, MaxRequestsPerConnection: 32, MaxBytes: thrift.FrameMost})
	f.memory.requests.TryAcquire(thrift.FrameMost)
	conn, begun := dial(t, f), time.Now()
	conn.Write(call(1, 200_000))
	answer := make([]byte, 24)
	if _, err := io.ReadFull(conn, answer); err != nil || !strings.Contains(string(answer), "\x0c\x00\x01") {
		t.Fatalf("%q, %v", answer, err)
	}
	if took := time.Since(begun); took > 2*memoryTimeout+seenWithin {
		t.Errorf("refused after %v", took)
	}
	conn.Write(call(2, 10))
	if e := next(t, events); e != "RequestReceived" {
		t.Error(e)
	}
	f.memory.requests.Release(thrift.FrameMost)
	conn.Write(call(3, 200_000))
	if e := next(t, events); e != "RequestReceived" {
		t.Error(e)
	}
}
