package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tealpath/internal/testkit"
)

// The tests of this file send requests of usual clients to a router in a separate process, beside clients that do what
// no usual client does.

const (
	// badClientsDuration is how long the bad clients of a test go on.
	badClientsDuration = 2 * time.Second

	// badClientsMemoryMB is the router's memory limit, the lowest that the platform sets.
	badClientsMemoryMB = 32

	// memorySampleInterval is the time between two readings of a router's memory.
	memorySampleInterval = 5 * time.Millisecond
)

// badClient uses one connection after another until it is told to stop. It is called with a new connection, whose
// responses are read and dropped, and returns when it is done with it.
type badClient func(conn net.Conn, running func() bool)

// runBadClients runs count clients side by side for badClientsDuration.
func runBadClients(address string, count int, behave badClient) {
	end := time.Now().Add(badClientsDuration)
	running := func() bool { return time.Now().Before(end) }
	var clients sync.WaitGroup
	for range count {
		clients.Go(func() {
			for running() {
				runBadConnection(address, behave, running)
			}
		})
	}
	clients.Wait()
}

// runBadConnection opens one connection of a bad client and closes it once the client is done with it.
func runBadConnection(address string, behave badClient, running func() bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(memorySampleInterval)
		return
	}
	defer testkit.Close(conn)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	behave(conn, running)
}

// sequenceOffset is the position of the sequence number in the frame of a call.
const sequenceOffset = 16

// repeatCall returns a bad client that writes one call after another at full speed. All have the given body and
// additional fields, and an ID of their own.
func repeatCall(body string, additional ...string) badClient {
	template := testkit.NewClient(nil, nil).CallFrame(testkit.ObjectID(1), clientTimeout, body, additional...)
	idOffset := bytes.Index(template, []byte("txn")) + len("txn") + 4
	return func(conn net.Conn, running func() bool) {
		frame := bytes.Clone(template)
		for sequence := uint32(1); running(); sequence++ {
			binary.BigEndian.PutUint32(frame[sequenceOffset:], sequence)
			copy(frame[idOffset:], fmt.Sprintf("%016x", rand.Uint64()))
			if _, err := conn.Write(frame); err != nil {
				return
			}
			runtime.Gosched() // the usual client and the caches are in this process, too
		}
	}
}

// fillConnection returns a bad client that puts as many calls in flight as one connection may have, and keeps them
// there. Each call has a body of one byte and an unknown argument of the given size. No cache responds to it.
func fillConnection(unknownBytes int) badClient {
	return func(conn net.Conn, running func() bool) {
		client := testkit.NewClient(nil, conn)
		for range 32 {
			frame := client.CallFrame(unanswered, clientTimeout, "x", "txn", fmt.Sprintf("%016x", rand.Uint64()))
			testkit.Write(conn, appendUnknownArgument(frame, unknownBytes))
		}
		for waited := time.Duration(0); running() && waited < clientTimeout; waited += memorySampleInterval {
			time.Sleep(memorySampleInterval)
		}
	}
}

// appendUnknownArgument adds an argument of size bytes, which the router does not know, to the frame of a call.
func appendUnknownArgument(frame []byte, size int) []byte {
	const stopByte, unknownArgument = 1, "\x0b\x00\x09"
	frame = append(frame[:len(frame)-stopByte], unknownArgument...)
	frame = binary.BigEndian.AppendUint32(frame, uint32(size))
	frame = append(frame, make([]byte, size+stopByte)...)
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	return frame
}

// memoryWatch records the largest amount of memory that counts against a process's limit.
type memoryWatch struct {
	stopped chan struct{}
	peakKB  chan int
}

// watchMemory starts to watch the memory of a process.
func watchMemory(pid int) memoryWatch {
	watch := memoryWatch{stopped: make(chan struct{}), peakKB: make(chan int, 1)}
	go func() {
		peak := 0
		for {
			peak = max(peak, limitedMemoryKB(pid))
			select {
			case <-watch.stopped:
				watch.peakKB <- peak
				return
			case <-time.After(memorySampleInterval):
			}
		}
	}()
	return watch
}

// stop ends the watch and returns the peak in KB.
func (w memoryWatch) stop() int {
	close(w.stopped)
	return <-w.peakKB
}

// limitedMemoryKB returns the anonymous and shared memory of a process in KB. The program's file does not count against
// the limit.
func limitedMemoryKB(pid int) (total int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if name != "RssAnon" && name != "RssShmem" {
			continue
		}
		if kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB")); err == nil {
			total += kilobytes
		}
	}
	return total
}

// usualClientResult is how the requests of a usual client ended.
type usualClientResult struct {
	answered   int
	unanswered int
	worst      time.Duration // longest time from a request to its response
}

// runUsualClient sends one request after another until stopped is closed. It keeps its connection until the router ends
// it. A request that crosses that end is sent again once, on a new connection, as the platform's clients do.
func runUsualClient(t *testing.T, address string, stopped <-chan struct{}) (result usualClientResult) {
	client := usualClient{testkit.Dial(t, address)}
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return result
		case <-time.After(10 * time.Millisecond):
		}
		begun := time.Now()
		answered := client.isAnswered(n)
		if !answered {
			client = usualClient{testkit.Dial(t, address)}
			answered = client.isAnswered(n)
		}
		result.worst = max(result.worst, time.Since(begun))
		if !answered {
			result.unanswered++
			return result
		}
		result.answered++
	}
}

// usualClient is a connection of a usual client.
type usualClient struct{ *testkit.Client }

// isAnswered sends a request and reports whether the client gets a response to it.
func (c usualClient) isAnswered(n int) bool {
	sequence := c.Call(testkit.ObjectID(n%20), clientTimeout)
	got, _ := c.Next()
	return got == sequence
}

// Requests of usual clients must be answered in time, and the router must stay within its memory, whatever other
// clients do.
func TestUsualClientsBesideBadClients(t *testing.T) {
	largeBody := strings.Repeat("x", 240_000)
	for _, test := range []struct {
		name    string
		clients int
		behave  badClient
	}{
		// A reader that always has data used to run for a whole time slice of the scheduler, at each of its turns.
		{"large requests at full speed", 300, repeatCall(largeBody)},
		// Decoded, the fields took over ten times the size of their request.
		{"requests with very many short fields", 300, repeatCall("", shortFields(20_000)...)},
		// A body of one byte used to keep its whole request in memory, and only the byte was counted.
		{"small bodies in large requests", 100, fillConnection(240_000)},
	} {
		t.Run(test.name, func(t *testing.T) { testBadClients(t, test.clients, test.behave) })
	}
}

// shortFields returns names and values of count fields whose values are empty.
func shortFields(count int) (fields []string) {
	for n := range count {
		fields = append(fields, strconv.FormatInt(int64(n), 36), "")
	}
	return fields
}

// testBadClients checks the responses to a usual client, and the router's memory, beside some bad clients.
func testBadClients(t *testing.T, clients int, behave badClient) {
	memory := fmt.Sprintf(`"memory_mb":%d`, badClientsMemoryMB)
	router, _, _ := newTestCell(t, clientTimeout.Seconds(), `"memory_mb":192`, memory)
	process := router.spawnHealthy(t)
	stalls := testkit.WatchProcessStalls(process.PID())
	watch := watchMemory(process.PID())
	stopped, results := make(chan struct{}), make(chan usualClientResult, 1)
	go func() { results <- runUsualClient(t, router.address, stopped) }()
	runBadClients(router.address, clients, behave)
	close(stopped)
	result, peak := <-results, watch.stop()
	allowed := clientTimeout + maxLateness + stalls.Total()
	stalls.Stop()
	if result.unanswered > 0 || result.answered == 0 || result.worst > allowed {
		t.Errorf("%d requests answered, %d not; the slowest after %v, want all within %v",
			result.answered, result.unanswered, result.worst, allowed)
	}
	if peak > badClientsMemoryMB<<10 {
		t.Errorf("memory of %d KB, want at most %d KB", peak, badClientsMemoryMB<<10)
	}
	t.Logf("%d requests answered, the slowest after %v; peak memory %d KB", result.answered, result.worst, peak)
}

// idleClient is a bad client that sends nothing, and closes its side some time after the router has ended the
// connection.
func idleClient(conn net.Conn, running func() bool) {
	const untilClose = 300 * time.Millisecond
	for running() && conn.SetReadDeadline(time.Now().Add(memorySampleInterval)) == nil {
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			time.Sleep(untilClose)
			return
		}
	}
}

// A crowd of idle clients must not take the router over its limit of descriptors: an evicted connection counts until
// its descriptor is closed. Usual clients are served meanwhile.
func TestIdleCrowdStaysWithinDescriptors(t *testing.T) {
	const sockets, crowd = 256, 800
	router, _, _ := newTestCell(t, clientTimeout.Seconds(), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets))
	process := router.spawnHealthy(t)
	stopped, results, peak := make(chan struct{}), make(chan usualClientResult, 1), make(chan int, 1)
	go func() { results <- runUsualClient(t, router.address, stopped) }()
	// The client is answered first: a new connection may be evicted before its first request.
	time.Sleep(maxLateness)
	go func() {
		largest := 0
		for {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.PID()))
			largest = max(largest, len(entries))
			select {
			case <-stopped:
				peak <- largest
				return
			case <-time.After(memorySampleInterval):
			}
		}
	}()
	runBadClients(router.address, crowd, idleClient)
	close(stopped)
	if result := <-results; result.unanswered > 0 || result.answered == 0 {
		t.Errorf("%d requests answered, %d not; want all answered", result.answered, result.unanswered)
	}
	largest := <-peak
	if largest > sockets {
		t.Errorf("%d descriptors, want at most %d", largest, sockets)
	}
	t.Logf("%d descriptors at most", largest)
}
