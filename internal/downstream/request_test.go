package downstream

import (
	"bytes"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

func TestPostedEvents(t *testing.T) {
	request := string(emptyCall(5))
	cancel := func(seq byte) string { return string(cancelOf(seq)) }
	for _, test := range []struct {
		name, in string
		want     string // up to the end of the connection, which the client brings about
	}{
		{
			"a request and its cancel", request + cancel(5),
			"RequestReceived RequestCancelled ClientDisconnected",
		},
		{
			"cancels for nothing", request + cancel(6) + cancel(5) + cancel(5),
			"RequestReceived RequestCancelled ClientDisconnected",
		},
		{"the client leaves with a request in flight", request, "RequestReceived ClientDisconnected"},
		{"a request cut short", request[:len(request)-1], "ClientDisconnected"},
		{"health is not the router's", string(healthCall(5)), "ClientDisconnected"},
		{
			"responses and unknown one-way messages",
			string(frame(2, "call", 5, "\x00")) + string(frame(4, "odd", 5, "\x00")), "ClientDisconnected",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, events := startServer(t, smallConfig)
			conn := dial(t, server)
			send(t, conn, []byte(test.in))
			time.Sleep(30 * time.Millisecond)
			reset(t, conn)
			got := ""
			for e := ""; e != "ClientDisconnected"; got += " " + e {
				e = nextEvent(t, events)
			}
			if got[1:] != test.want {
				t.Errorf("events%s, want %s", got, test.want)
			}
		})
	}
}

// A client that has closed its sending side, in whatever state, still gets the response to its request.
func TestHalfClosedClientGetsItsResponse(t *testing.T) {
	request := string(emptyCall(5))
	for _, test := range []struct{ name, more string }{
		{"at the end of a request", ""},
		{"inside the next", request[:9]},
		{"behind what cannot be parsed", strings.Repeat("\xff", 200<<10)},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, events := startServer(t, smallConfig)
			conn := dial(t, server)
			send(t, conn, []byte(request+test.more))
			closeWrite(t, conn)
			expectEvents(t, events, "RequestReceived", "ClientHalfClosed")
			respondServed(server, 1, 5)
			expectFinalResponse(t, conn, "whole")
			expectEvents(t, events, "ClientDisconnected")
		})
	}
}

// The close of a client that has no request in flight is no half-close for the router.
func TestCloseWithoutRequestsPostsNoHalfClose(t *testing.T) {
	server, events := startServer(t, smallConfig)
	conn := dial(t, server)
	send(t, conn, emptyCall(5))
	nextEvent(t, events)
	server.Respond(router.Respond{Client: 1, Seq: 5})
	expectBytes(t, conn, 20, "the response")
	neterr.Close(conn)
	expectEvents(t, events, "ClientDisconnected")
}

// seenWithin is in what time a client's close has to be posted: no attempt may begin 0.1 s after it.
const seenWithin = 100 * time.Millisecond

// expectEventInTime checks that one of some events is posted in time, whatever comes before it. stalls is
// what this process, and with it the server, is held up from when the client closes: that does not count.
func expectEventInTime(t *testing.T, events chan string, stalls *testkit.ProcessStallWatch, names ...string) {
	t.Helper()
	begun := time.Now()
	for e := ""; !slices.Contains(names, e); {
		e = nextEvent(t, events)
	}
	took := time.Since(begun)
	if stalled := stalls.Total(); took > seenWithin+stalled {
		t.Fatalf("%s after %v, want it within %v; held up for %v", names, took, seenWithin, stalled)
	}
}

// peerCloses are the ways in which a client gives up, and the events of which one has to follow.
var peerCloses = []struct {
	name   string
	do     func(*testing.T, net.Conn)
	events []string
	isRead bool // it is a message: it is seen only where messages are read
}{
	{"closes its side", closeWrite, []string{"ClientHalfClosed"}, false},
	{
		// With a response unread, or one that comes yet, it becomes a reset.
		"closes", func(_ *testing.T, conn net.Conn) { neterr.Close(conn) },
		[]string{"ClientHalfClosed", "ClientDisconnected"},
		false,
	},
	{"resets", reset, []string{"ClientDisconnected"}, false},
	{
		"cancels", func(t *testing.T, conn net.Conn) { send(t, conn, cancelOf(1)) },
		[]string{"RequestCancelled"},
		true,
	},
}

// The close of a client is posted in time, whatever state its connection is in.
func TestPeerCloseIsPostedInTime(t *testing.T) {
	calls := func(count uint32) string {
		var all []byte
		for n := range count {
			all = append(all, call(1+n, 10)...)
		}
		return string(all)
	}
	one := calls(1)
	for _, before := range []struct {
		name, in string
		unparsed bool // messages behind it are not read any more
		noMemory bool // for large requests
		inFlight int
	}{
		{"one in flight", one, false, false, 1},
		{"32 in flight", calls(32), false, false, 32},
		{"32 in flight, and eight more rejected", calls(40), false, false, 32},
		{"behind half a request", one + string(call(2, 10)[:9]), true, false, 1},
		{"behind half a large one", one + string(call(2, 100_000)[:50_000]), true, false, 1},
		{"behind a large one for which there is no memory", one + string(call(2, 200_000)), false, true, 1},
		{"behind what cannot be parsed", one + "\x7f\xff\xff\xff", true, false, 1},
		{
			"behind much of that", one + "\x7f\xff\xff\xff" + strings.Repeat("x", 200_000),
			true, false, 1,
		},
	} {
		for _, end := range peerCloses {
			if end.isRead && before.unparsed {
				continue
			}
			t.Run(before.name+", and it "+end.name, func(t *testing.T) {
				config := smallConfig
				config.MaxBytes = thrift.MaxFrameSize
				server, events := startServer(t, config)
				if before.noMemory {
					server.memory.requests.TryAcquire(thrift.MaxFrameSize)
					defer server.memory.requests.Release(thrift.MaxFrameSize)
				}
				conn := dial(t, server)
				send(t, conn, []byte(before.in))
				for range before.inFlight {
					if e := nextEvent(t, events); e != "RequestReceived" {
						t.Fatal(e)
					}
				}
				if !before.noMemory {
					time.Sleep(30 * time.Millisecond)
				}
				stalls := testkit.WatchProcessStalls(os.Getpid())
				defer stalls.Stop()
				end.do(t, conn)
				expectEventInTime(t, events, stalls, end.events...)
				for seq := range int32(before.inFlight) {
					server.Respond(router.Respond{Client: 1, Seq: seq + 1})
				}
			})
		}
	}
}

// What the protocol does not allow is answered with an exception, or ends its connection, and soon. Other
// requests on that connection are not served, and another client keeps its idle connection.
func TestProtocolViolationsEndTheConnection(t *testing.T) {
	request := func(seq uint32) string { return string(emptyCall(seq)) }
	flood := ""
	for seq := range uint32(300) {
		flood += request(seq)
	}
	for _, test := range []struct {
		name, in string
		events   int // before that of the end
		response string
	}{
		{"silence", "", 0, ""},
		{"half a request", request(5)[:20], 0, ""},
		{"a frame that claims more than comes", "\x00\x03\x00\x00" + request(5)[4:], 0, ""},
		{"not the protocol", "GET / HTTP/1.1\r\n\r\n", 0, ""},
		{"a message without end", "\x7f\xff\xff\xff" + strings.Repeat("x", 60<<20), 0, ""},
		{"all cancelled", strings.Repeat(request(5)+string(cancelOf(5)), 40), 80, ""},
		{"two under one number", request(5) + request(5), 1, "sequence number in use"},
		{"hundreds at once", flood, 32, rejectedStruct},
		{
			"an unknown method again and again", strings.Repeat(string(frame(1, "odd", 5, "\x00")), 1000),
			0, "unknown method",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, events := startServer(t, smallConfig)
			usual := dial(t, server)
			send(t, usual, healthCall(1))
			conn, begun := dial(t, server), time.Now()
			go trySend(conn, []byte(test.in))
			got, err := io.ReadAll(conn)
			took := time.Since(begun)
			if err != nil || took > 2500*time.Millisecond || !strings.Contains(string(got), test.response) {
				t.Errorf("%v after %v: %.200q", err, took, got)
			}
			for range test.events {
				nextEvent(t, events)
			}
			expectEvents(t, events, "ClientDisconnected")
			respondServed(server, 2, 5) // nobody is there any more
			send(t, usual, healthCall(2))
			expectBytes(t, usual, 2*healthResponseBytes, "the other client")
		})
	}
}

// A client that sends requests without end and reads nothing would take all memory with small responses.
func TestClientThatNeverReadsIsClosed(t *testing.T) {
	server, events := startServer(t, smallConfig)
	conn := dial(t, server)
	requests := bytes.Repeat(frame(1, "odd", 1, "\x00"), 1000)
	for range 1000 {
		if _, err := conn.Write(requests); err != nil {
			break
		}
	}
	expectEvents(t, events, "ClientDisconnected")
}
