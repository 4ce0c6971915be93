package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/protocol/resp"
	"tealpath/internal/router"
)

// The endpoint has closed the connection, but the reader has not noticed yet. A request queued then must not be
// written, so that it is known not to have run.
func TestRequestIsNotWrittenOnceThePeerHasClosed(t *testing.T) {
	local, peer := connectedPair(t)
	mustClose(t, peer)
	waitUntilPeerClosed(t, local)
	c := newTestConnection(newTestPool(t, Config{}).Pool)
	request := requestWithin("a", time.Second)
	c.enqueue(queueItem{send: &request})
	c.enqueue(queueItem{abortID: "b"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := c.write(ctx, local); !errors.Is(err, errPeerClosed) {
		t.Errorf("write returned %v, want errPeerClosed", err)
	}
	if got := c.unsent(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("unsent %v, want [a]", got)
	}
}

// waitUntilPeerClosed waits until the end of the stream has arrived at conn, without reading it.
func waitUntilPeerClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		closed := false
		if err := raw.Control(func(fd uintptr) {
			n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			closed = n == 0 && err == nil
		}); err != nil {
			t.Fatal(err)
		}
		if closed {
			return
		}
	}
	t.Fatalf("the peer's close did not arrive within %v", waitLimit)
}

// Data that has arrived and not been read yet must not be mistaken for the peer's close: requests are still written.
func TestWriteWithUnreadInput(t *testing.T) {
	local, peer := connectedPair(t)
	if !send(peer, "*4") {
		t.Fatal("precondition: the peer could not write to its connection")
	}
	c := newTestConnection(newTestPool(t, Config{}).Pool)
	request := requestWithin("a", time.Second)
	c.enqueue(queueItem{send: &request})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.write(ctx, local) }()
	if err := peer.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	words, err := resp.Read(bufio.NewReader(peer))
	if err != nil || string(words[0]) != "fetch" || string(words[1]) != "a" {
		t.Errorf("received %q, error %v, want a fetch of request a", words, err)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("write returned %v, want context.Canceled", err)
	}
}

func TestWriteNeedsDescriptor(t *testing.T) {
	local, peer := net.Pipe()
	t.Cleanup(func() {
		mustClose(t, local)
		mustClose(t, peer)
	})
	c := newTestConnection(newTestPool(t, Config{}).Pool)
	if err := c.write(t.Context(), local); !errors.Is(err, errNoDescriptor) {
		t.Errorf("write returned %v, want errNoDescriptor", err)
	}
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	p := newTestPool(t, Config{})
	c := newTestConnection(p.Pool)
	for _, id := range []string{"a", "b"} {
		p.Send(router.Send{Connection: 1, Request: router.UpstreamRequest{ID: id}})
	}
	p.CancelAttempt(router.CancelAttempt{Connection: 1, ID: "a"})
	if got := c.unsent(); len(c.queue) != 1 || !slices.Equal(got, []string{"b"}) {
		t.Errorf("%d items queued, unsent %v, want 1 item, [b]", len(c.queue), got)
	}
}

const (
	fillers     = 48       // number of requests sent to fill the buffers between the pool and the cache
	fillerBytes = 200_000  // size of the body of each of these requests, bytes
	smallBuffer = 16 << 10 // size of the receive buffer of the cache's socket, bytes
)

// fullConnection is a connection to a cache that reads nothing until readUpTo is called. Enough requests have been
// sent on it to fill the buffers between the pool and the cache.
type fullConnection struct {
	*testPool
	connection *connection
	cache      net.Conn
}

func newFullConnection(t *testing.T) *fullConnection {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
		return errors.Join(err, controlErr)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, listener)
	full := &fullConnection{testPool: newTestPool(t, Config{})}
	full.dialEndpoint(listener.Addr().String())
	if full.cache, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, full.cache) })
	full.connection = full.find(1)
	for n := range fillers {
		request := requestWithin(fmt.Sprint("filler", n), time.Minute)
		request.Request.Body = make([]byte, fillerBytes)
		full.Send(request)
	}
	full.waitUntilFull(t)
	return full
}

// queued returns the number of unwritten items in the queue, and the ID of the partially written request.
func (f *fullConnection) queued() (items int, partial string) {
	f.connection.mu.Lock()
	defer f.connection.mu.Unlock()
	return len(f.connection.queue), f.connection.partial
}

// waitUntilFull waits until the buffers are full: no request has left the queue for 100 ms.
func (f *fullConnection) waitUntilFull(t *testing.T) {
	t.Helper()
	end := time.Now().Add(waitLimit)
	for before, unchanged := -1, 0; unchanged < 20; time.Sleep(5 * time.Millisecond) {
		now, _ := f.queued()
		if now == before {
			unchanged++
		} else {
			before, unchanged = now, 0
		}
		if time.Now().After(end) {
			t.Fatalf("the connection is not full after %v", waitLimit)
		}
	}
	if items, _ := f.queued(); items == 0 {
		t.Fatal("all requests were written, so the connection is not full")
	}
}

// isWithdrawn reports whether AttemptWithdrawn is posted within a second for the request with the given ID. It drops
// other events.
func (f *fullConnection) isWithdrawn(id string) bool {
	for end := time.After(time.Second); ; {
		select {
		case event := <-f.events:
			if withdrawn, ok := event.(router.AttemptWithdrawn); ok && withdrawn.ID == id {
				return true
			}
		case <-end:
			return false
		}
	}
}

// readUpTo reads commands at the cache up to the request last. It returns the budgets of the requests, in ms by
// request ID, and the IDs of the aborted requests.
func (f *fullConnection) readUpTo(t *testing.T, last string) (budgets map[string]int, aborts []string) {
	t.Helper()
	if err := f.cache.SetReadDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(f.cache)
	budgets = map[string]int{}
	for {
		words, err := resp.Read(in)
		if err != nil {
			t.Fatal(err)
		}
		id := string(words[1])
		if string(words[0]) == "abort" {
			aborts = append(aborts, id)
			continue
		}
		for field := range strings.SplitSeq(string(words[2]), ",") {
			if ms, ok := strings.CutPrefix(field, "budget="); ok {
				if budgets[id], err = strconv.Atoi(ms); err != nil {
					t.Errorf("request %s: budget %q is not a whole number", id, ms)
				}
			}
		}
		if id == last {
			return budgets, aborts
		}
	}
}

// Requests wait in the queue of a full connection. Those that are withdrawn, cancelled or expired in the meantime are
// not written, and the budget of the others is the time left when they are written.
func TestRequestsAreEncodedWhenWritten(t *testing.T) {
	const waited = 300 * time.Millisecond
	f := newFullConnection(t)
	f.Send(requestWithin("withdrawn", time.Minute))
	f.Send(requestWithin("cancelled", time.Minute))
	f.Send(requestWithin("expires", waited/2))
	f.Send(requestWithin("waits", 10*time.Second))
	f.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: "withdrawn"})
	f.CancelAttempt(router.CancelAttempt{Connection: 1, ID: "cancelled"})
	if !f.isWithdrawn("withdrawn") {
		t.Error("AttemptWithdrawn was not posted while the connection was full")
	}
	time.Sleep(waited) // in this time the budgets shrink, and one request expires
	f.Send(requestWithin("last", time.Minute))
	budgets, aborts := f.readUpTo(t, "last")
	for _, id := range []string{"withdrawn", "cancelled", "expires"} {
		if _, received := budgets[id]; received {
			t.Errorf("request %q was written", id)
		}
	}
	if len(aborts) > 0 {
		t.Errorf("aborts sent for requests that were not written: %v", aborts)
	}
	if !f.isWithdrawn("expires") {
		t.Error("AttemptWithdrawn was not posted for the expired request")
	}
	limit := int((10*time.Second - waited) / time.Millisecond)
	if got := budgets["waits"]; got > limit || got < limit/2 {
		t.Errorf("budget %d ms, want %d to %d ms", got, limit/2, limit)
	}
}

// Withdrawing a partially written request would corrupt the stream of commands, so it has no effect. If the request is
// cancelled, an abort follows it.
func TestPartiallyWrittenRequestIsAborted(t *testing.T) {
	f := newFullConnection(t)
	_, partial := f.queued()
	if partial == "" {
		// Each request is larger than the write that fills the buffer, so one of them is written in part.
		t.Fatal("precondition: no request is partially written")
	}
	f.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: partial})
	f.CancelAttempt(router.CancelAttempt{Connection: 1, ID: partial})
	f.Send(requestWithin("last", time.Minute))
	budgets, aborts := f.readUpTo(t, "last")
	if _, received := budgets[partial]; !received || !slices.Equal(aborts, []string{partial}) {
		t.Errorf("request %s received: %v; aborts %v, want it received and one abort of it", partial, received, aborts)
	}
}

// ConnectionDown lists as unsent all requests that were not completely written, including a withdrawn one whose
// AttemptWithdrawn is not posted yet.
func TestConnectionDownListsUnsent(t *testing.T) {
	f := newFullConnection(t)
	f.Send(requestWithin("waits", time.Minute))
	want, partial := f.queued()
	if partial != "" {
		want++
	}
	f.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: "waits"})
	f.Close(router.Close{Connection: 1})
	for withdrawn := false; ; {
		switch event := f.next(t).(type) {
		case router.AttemptWithdrawn:
			withdrawn = true
		case router.ConnectionDown:
			if withdrawn && !slices.Contains(event.Unsent, "waits") {
				want--
			}
			if len(event.Unsent) != want {
				t.Errorf("%d requests listed as unsent, want %d: %v", len(event.Unsent), want, event.Unsent)
			}
			return
		}
	}
}

// The connection may end between the withdrawal of a request and its AttemptWithdrawn. The request must then be listed
// as unsent, or it would count as one that may have run.
func TestWithdrawnCountsAsUnsentUntilPosted(t *testing.T) {
	var c *connection
	var meanwhile []string
	p := NewPool(context.Background(), Config{Post: func(router.Event) { meanwhile = c.unsent() }})
	c = newTestConnection(p)
	p.Send(requestWithin("a", time.Minute))
	p.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: "a"})
	p.Wait()
	if after := c.unsent(); !slices.Equal(meanwhile, []string{"a"}) || len(after) > 0 {
		t.Errorf("unsent %v while AttemptWithdrawn is posted, want [a]; then %v, want none", meanwhile, after)
	}
}

// A request may be sent again on the same connection once AttemptWithdrawn is received, before the connection has noted
// that it is posted. If the second attempt has been written when the connection ends, it must not be listed as unsent
// because of the first one: it may have run, and would be sent a third time.
func TestResentRequestIsNotUnsentByItsWithdrawal(t *testing.T) {
	var p *Pool
	var c *connection
	var unsent []string
	p = NewPool(context.Background(), Config{Post: func(router.Event) {
		p.Send(requestWithin("a", time.Minute))
		c.mu.Lock()
		c.queue = nil // as after the writer has written it
		c.mu.Unlock()
		unsent = c.unsent()
	}})
	c = newTestConnection(p)
	p.Send(requestWithin("a", time.Minute))
	p.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: "a"})
	p.Wait()
	if len(unsent) > 0 {
		t.Errorf("unsent %v after the second attempt was written, want none", unsent)
	}
}

// A request queued between the end of its connection and the handling of ConnectionDown must be listed as unsent, or
// it would count as one that may have run.
func TestSendAfterConnectionEnded(t *testing.T) {
	p := newTestPool(t, Config{})
	p.dialEndpoint("127.0.0.1:1")
	down, ok := p.next(t).(router.ConnectionDown)
	if !ok {
		t.Fatal("the connection was established, want ConnectionDown first")
	}
	p.Wait()
	p.Send(requestWithin("late", time.Second))
	if got := p.RemoveConnection(down).Unsent; !slices.Equal(got, []string{"late"}) {
		t.Errorf("unsent %v, want [late]", got)
	}
	if p.Send(requestWithin("later", time.Second)); len(p.connections) > 0 {
		t.Errorf("the pool has %d connections after the removal, want 0", len(p.connections))
	}
	if again := p.RemoveConnection(down); len(again.Unsent) > 0 {
		t.Errorf("removing the connection again lists %v as unsent, want none", again.Unsent)
	}
}
