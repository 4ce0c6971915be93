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
		want     string // type names of the posted events, up to ClientDisconnected
	}{
		{
			"a request and its cancel", request + cancel(5),
			"RequestReceived RequestCancelled ClientDisconnected",
		},
		{
			"cancels of requests not in flight", request + cancel(6) + cancel(5) + cancel(5),
			"RequestReceived RequestCancelled ClientDisconnected",
		},
		{"the client disconnects with a request in flight", request, "RequestReceived ClientDisconnected"},
		{"an incomplete request", request[:len(request)-1], "ClientDisconnected"},
		{"a health request is not posted to the router", string(healthCall(5)), "ClientDisconnected"},
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

// A client that has closed its sending side may still be reading. It must not be treated as disconnected before its
// request is answered, even if an incomplete request or invalid data precedes the end of the stream.
func TestHalfClosedClientGetsItsResponse(t *testing.T) {
	request := string(emptyCall(5))
	for _, test := range []struct{ name, more string }{
		{"after a complete request", ""},
		{"within the next request", request[:9]},
		{"after data that cannot be parsed", strings.Repeat("\xff", 200<<10)},
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

// If no request is in flight, a client's close must be posted only as ClientDisconnected: there is nothing to stop for
// a ClientHalfClosed.
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

// maxCloseEventDelay is the time within which the event for a client's close or cancel has to be posted, because no
// attempt may begin more than 100 ms after it.
const maxCloseEventDelay = 100 * time.Millisecond

// expectEventInTime checks that one of the named events is posted within maxCloseEventDelay; other events may
// precede it. Stalls of this process, which also runs the server, are added to the allowed time.
func expectEventInTime(t *testing.T, events chan string, stalls *testkit.ProcessStallWatch, names ...string) {
	t.Helper()
	begun := time.Now()
	for e := ""; !slices.Contains(names, e); {
		e = nextEvent(t, events)
	}
	took := time.Since(begun)
	if stalled := stalls.Total(); took > maxCloseEventDelay+stalled {
		t.Fatalf("one of the events %s after %v, want within %v plus stalls of %v",
			names, took, maxCloseEventDelay, stalled)
	}
}

// peerCloses are the ways in which a client can end its requests. After each, one of its events must be posted.
var peerCloses = []struct {
	name      string
	perform   func(*testing.T, net.Conn)
	events    []string
	isMessage bool // the client sends a message, which is noticed only while messages are parsed
}{
	{"closes its side", closeWrite, []string{"ClientHalfClosed"}, false},
	{
		// If a response is unread or still arrives, the close results in a reset, so either event may be posted.
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

// If a client's close or cancel were noticed late, for example because nothing more is read from the client, the
// router could begin attempts for a request whose response nobody waits for.
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
		unparsed bool // the server parses no messages that are sent after those of the field in
		noMemory bool // the memory for large requests is used up while in is sent
		inFlight int
	}{
		{"one request in flight", one, false, false, 1},
		{"32 requests in flight", calls(32), false, false, 32},
		{"32 requests in flight, and eight more rejected", calls(40), false, false, 32},
		{"after half a request", one + string(call(2, 10)[:9]), true, false, 1},
		{"after half a large request", one + string(call(2, 100_000)[:50_000]), true, false, 1},
		{"after a large request without memory", one + string(call(2, 200_000)), false, true, 1},
		{"after data that cannot be parsed", one + "\x7f\xff\xff\xff", true, false, 1},
		{
			"after much data that cannot be parsed", one + "\x7f\xff\xff\xff" + strings.Repeat("x", 200_000),
			true, false, 1,
		},
	} {
		for _, end := range peerCloses {
			if end.isMessage && before.unparsed {
				continue
			}
			t.Run(before.name+", client "+end.name, func(t *testing.T) {
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
						t.Fatalf("event %s, want RequestReceived", e)
					}
				}
				if !before.noMemory {
					time.Sleep(30 * time.Millisecond)
				}
				stalls := testkit.WatchProcessStalls(os.Getpid())
				defer stalls.Stop()
				end.perform(t, conn)
				expectEventInTime(t, events, stalls, end.events...)
				for seq := range int32(before.inFlight) {
					server.Respond(router.Respond{Client: 1, Seq: seq + 1})
				}
			})
		}
	}
}

// A protocol violation is answered with an exception or ends its connection, in either case promptly. Other
// requests on that connection are not served, and another client keeps its idle connection.
func TestProtocolViolationsEndTheConnection(t *testing.T) {
	request := func(seq uint32) string { return string(emptyCall(seq)) }
	flood := ""
	for seq := range uint32(300) {
		flood += request(seq)
	}
	for _, test := range []struct {
		name, in string
		events   int // number of events posted before ClientDisconnected
		response string
	}{
		{"silence", "", 0, ""},
		{"half a request", request(5)[:20], 0, ""},
		{"a frame shorter than its length field", "\x00\x03\x00\x00" + request(5)[4:], 0, ""},
		{"another protocol", "GET / HTTP/1.1\r\n\r\n", 0, ""},
		{"a message without end", "\x7f\xff\xff\xff" + strings.Repeat("x", 60<<20), 0, ""},
		{"every request cancelled", strings.Repeat(request(5)+string(cancelOf(5)), 40), 80, ""},
		{"two requests with the same sequence number", request(5) + request(5), 1, "sequence number in use"},
		{"hundreds of requests at once", flood, 32, rejectedStruct},
		{
			"an unknown method many times", strings.Repeat(string(frame(1, "odd", 5, "\x00")), 1000),
			0, "unknown method",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, events := startServer(t, smallConfig)
			other := dial(t, server)
			send(t, other, healthCall(1))
			conn, begun := dial(t, server), time.Now()
			go trySend(conn, []byte(test.in))
			got, err := io.ReadAll(conn)
			took := time.Since(begun)
			if err != nil || took > 2500*time.Millisecond || !strings.Contains(string(got), test.response) {
				t.Errorf("read %.200q, error %v, after %v; want %q and the end of the stream within 2.5s",
					got, err, took, test.response)
			}
			for range test.events {
				nextEvent(t, events)
			}
			expectEvents(t, events, "ClientDisconnected")
			respondServed(server, 2, 5) // has no effect, as the client is disconnected
			send(t, other, healthCall(2))
			expectBytes(t, other, 2*healthResponseBytes, "the other client")
		})
	}
}

// A client that keeps sending requests and reads nothing is disconnected. Otherwise small responses to it
// could use up all memory.
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
