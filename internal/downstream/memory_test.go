package downstream

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
)

// If clients do not read large responses, these must not use up all memory: responses that do not fit fail, and other
// clients are served.
func TestQueuedResponsesAreBounded(t *testing.T) {
	const size, limit, calls = 200 << 10, 8 << 20, 200
	server, events := startServer(t, Config{MaxConnections: 4, MaxRequestsPerConnection: calls, MaxBytes: limit})
	slow, quick := dial(t, server), dial(t, server)
	for seq := range uint32(calls) {
		send(t, slow, emptyCall(seq))
		nextEvent(t, events)
	}
	for seq := range int32(calls) {
		server.Respond(router.Respond{Client: 1, Seq: seq, Body: make([]byte, size)})
	}
	if got := server.memory.queuedResponses.Load(); got > limit+calls*100 {
		t.Errorf("%d bytes queued, want about %d at most", got, limit)
	}
	send(t, quick, healthCall(1))
	expectResponse(t, quick, "health")
	served, failed := 0, 0
	for range calls {
		var length [4]byte
		if _, err := io.ReadFull(slow, length[:]); err != nil {
			t.Fatal(err)
		}
		n := binary.BigEndian.Uint32(length[:])
		if _, err := io.CopyN(io.Discard, slow, int64(n)); err != nil {
			t.Fatal(err)
		}
		if n > size {
			served++
		} else {
			failed++
		}
	}
	if served == 0 || failed == 0 {
		t.Errorf("%d responses served, %d failed; want some of each", served, failed)
	}
}

// The rejection of one large request for lack of memory must affect no other request on its connection, whether sent
// before or after it.
func TestLargeRequestWithoutMemoryIsRejected(t *testing.T) {
	server, events := startServer(t, smallConfig)
	if !server.memory.requests.TryAcquire(smallConfig.MaxBytes) {
		t.Fatal("precondition: the memory for requests is already in use")
	}
	conn := dial(t, server)
	send(t, conn, emptyCall(5))
	nextEvent(t, events)
	send(t, conn, slices.Concat(largeCall(6), emptyCall(7)))
	expectResponse(t, conn, rejectionOf(6))
	expectEvents(t, events, "RequestReceived") // for the request after the rejected one
	for _, seq := range []int32{5, 7} {
		respondServed(server, 1, seq)
		expectResponse(t, conn, "whole")
	}
	server.memory.requests.Release(smallConfig.MaxBytes)
}

// After a large request for which no memory was available, the connection must not stay blocked: the rejection comes
// promptly, and later requests, even large ones, are read.
func TestReadingGoesOnAfterRejectedLargeRequest(t *testing.T) {
	config := smallConfig
	config.MaxBytes = thrift.MaxFrameSize
	server, events := startServer(t, config)
	server.memory.requests.TryAcquire(thrift.MaxFrameSize)
	conn, begun := dial(t, server), time.Now()
	send(t, conn, call(1, 200_000))
	response := make([]byte, 24)
	if _, err := io.ReadFull(conn, response); err != nil || !strings.Contains(string(response), rejectedStruct) {
		t.Fatalf("response %q, error %v; want a rejection", response, err)
	}
	if took := time.Since(begun); took > 2*requestMemoryTimeout+maxCloseEventDelay {
		t.Errorf("rejected after %v, want %v at most", took, 2*requestMemoryTimeout+maxCloseEventDelay)
	}
	send(t, conn, call(2, 10))
	expectEvents(t, events, "RequestReceived")
	server.memory.requests.Release(thrift.MaxFrameSize)
	send(t, conn, call(3, 200_000))
	expectEvents(t, events, "RequestReceived")
}

// A large request whose sequence number is in flight is a protocol violation, even if there is no memory to read it.
func TestLargeRequestWithDuplicateSequenceNumber(t *testing.T) {
	server, events := startServer(t, smallConfig)
	server.memory.requests.TryAcquire(smallConfig.MaxBytes)
	defer server.memory.requests.Release(smallConfig.MaxBytes)
	conn := dial(t, server)
	send(t, conn, slices.Concat(emptyCall(5), largeCall(5)))
	expectEvents(t, events, "RequestReceived", "ClientDisconnected")
	expectFinalResponse(t, conn, duplicateSequenceText)
}

// Large requests that wait for the router must stay within the memory limit: many clients that send at the same time
// used to take the process over its memory limit, because the reservation of a request ended as soon as it was read.
func TestLargeRequestsWaitingForTheRouterAreBounded(t *testing.T) {
	const connections, size = 20, 100 << 10
	config := smallConfig
	config.MaxConnections, config.MaxBytes = connections, 512<<10
	waiting := make(chan func(), connections)
	server := New(listen(t), config, func(event router.Event, handled func()) {
		if _, ok := event.(router.RequestReceived); ok {
			waiting <- handled
		}
	}, ignoreEvents)
	run(t, server)
	conns, rejected := make([]net.Conn, connections), make(chan error, connections)
	for i := range conns {
		conns[i] = dial(t, server)
		send(t, conns[i], call(1, size))
		go func() { rejected <- readRejection(conns[i]) }()
	}
	maxWaiting := int(config.MaxBytes) / size
	for range connections - maxWaiting {
		if err := <-rejected; err != nil {
			t.Fatalf("%v; want %d of %d requests rejected for want of memory", err, connections-maxWaiting, connections)
		}
	}
	if got := len(waiting); got != maxWaiting {
		t.Errorf("%d requests of %d bytes wait for the router, want %d within %d bytes",
			got, size, maxWaiting, config.MaxBytes)
	}
	for range maxWaiting {
		(<-waiting)()
	}
	if !server.memory.requests.TryAcquire(config.MaxBytes) {
		t.Error("memory is still reserved although all requests have been handled")
	}
}

// readRejection returns nil if the next response on a connection rejects request 1.
func readRejection(conn net.Conn) error {
	response, err := readResponse(conn)
	if err == nil && !strings.Contains(response, rejectionOf(1)) {
		err = fmt.Errorf("response %q, want a rejection", response)
	}
	return err
}

// A small body must not keep the rest of its request in memory: the router counts only the body against its limit.
func TestSmallBodyDoesNotKeepItsFrame(t *testing.T) {
	server, events, _ := startServerOn(t, listen(t), smallConfig)
	for _, test := range []struct{ bodyBytes, unknownBytes int }{{10, 0}, {10, 200_000}, {1000, 3000}, {100_000, 0}} {
		send(t, dial(t, server), appendUnknownArgument(timedCall(1, time.Second, test.bodyBytes), test.unknownBytes))
		body := (<-events).(router.RequestReceived).Request.Body
		if allowed := 2*test.bodyBytes + maxHeaderBytes; len(body) != test.bodyBytes || cap(body) > allowed {
			t.Errorf("body of %d bytes with an unknown argument of %d: body of %d bytes, %d kept, want at most %d",
				test.bodyBytes, test.unknownBytes, len(body), cap(body), allowed)
		}
	}
}

// appendUnknownArgument adds an argument of size bytes, which the server does not know, to the frame of a call.
func appendUnknownArgument(frame []byte, size int) []byte {
	frame = append(frame[:len(frame)-1], "\x0b\x00\x09"...) // without the stop byte of the arguments
	frame = binary.BigEndian.AppendUint32(frame, uint32(size))
	frame = append(frame, make([]byte, size+1)...)
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameLengthBytes))
	return frame
}
