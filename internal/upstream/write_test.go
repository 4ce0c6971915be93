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

// A cache closes an idle connection, and before that is read here a request is to be written: it is known not
// to have run.
func TestRequestIsNotWrittenOnceThePeerHasClosed(t *testing.T) {
	ours, theirs := connectedPair(t)
	closeTest(t, theirs)
	waitUntilPeerClosed(t, ours)
	c := newTestConnection(newTestPool(t, Config{}).Pool)
	request := requestWithin("a", time.Second)
	c.enqueue(queueItem{send: &request})
	c.enqueue(queueItem{abortID: "b"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := c.write(ctx, ours); !errors.Is(err, errPeerClosed) {
		t.Error(err)
	}
	if got := c.unsent(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("unsent %v", got)
	}
}

// waitUntilPeerClosed waits until the other side's end has come, which nobody reads.
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
	t.Fatalf("no end of the connection within %v", waitLimit)
}

func TestUnreadBytesAreNoEndOfTheConnection(t *testing.T) {
	ours, theirs := connectedPair(t)
	if !send(theirs, "*4") {
		t.Fatal("nothing could be written")
	}
	c := newTestConnection(newTestPool(t, Config{}).Pool)
	request := requestWithin("a", time.Second)
	c.enqueue(queueItem{send: &request})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.write(ctx, ours) }()
	if err := theirs.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	words, err := resp.Read(bufio.NewReader(theirs))
	if err != nil || string(words[0]) != "fetch" || string(words[1]) != "a" {
		t.Errorf("%q, %v", words, err)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

func TestWriteNeedsADescriptor(t *testing.T) {
	ours, theirs := net.Pipe()
	t.Cleanup(func() {
		closeTest(t, ours)
		closeTest(t, theirs)
	})
	c := newTestConnection(newTestPool(t, Config{}).Pool)
	if err := c.write(t.Context(), ours); !errors.Is(err, errNoDescriptor) {
		t.Error(err)
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
		t.Errorf("%d queued, unsent %v", len(c.queue), got)
	}
}

const (
	fillers     = 48       // requests that fill the way to a cache that reads nothing
	fillerBytes = 200_000  // of each
	smallBuffer = 16 << 10 // of the cache's socket
)

// fullConnection is a connection that takes no more: its cache reads nothing until it is let.
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
	defer closeTest(t, listener)
	full := &fullConnection{testPool: newTestPool(t, Config{})}
	full.dialEndpoint(listener.Addr().String())
	if full.cache, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeTest(t, full.cache) })
	full.connection = full.find(1)
	for n := range fillers {
		request := requestWithin(fmt.Sprint("filler", n), time.Minute)
		request.Request.Body = make([]byte, fillerBytes)
		full.Send(request)
	}
	full.waitUntilFull(t)
	return full
}

// queued returns how many items wait of which nothing has been written, and the request that is written in part.
func (f *fullConnection) queued() (items int, partial string) {
	f.connection.mu.Lock()
	defer f.connection.mu.Unlock()
	return len(f.connection.queue), f.connection.partial
}

// waitUntilFull waits until nothing more is written.
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
			t.Fatalf("something is still written after %v", waitLimit)
		}
	}
	if items, _ := f.queued(); items == 0 {
		t.Fatal("the connection is not full")
	}
}

// isWithdrawn reports whether a request is posted as withdrawn within a second.
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

// readUpTo reads what comes at the cache up to a request: budgets in ms by id, and what is to be aborted.
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
					t.Errorf("%s: budget %q", id, ms)
				}
			}
		}
		if id == last {
			return budgets, aborts
		}
	}
}

// What waits on a full connection is decided when it is written: what was withdrawn, or whose time has
// passed, does not come, and the budget is what is left then.
func TestQueuedRequestsAreDecidedWhenWritten(t *testing.T) {
	const waited = 300 * time.Millisecond
	f := newFullConnection(t)
	f.Send(requestWithin("withdrawn", time.Minute))
	f.Send(requestWithin("cancelled", time.Minute))
	f.Send(requestWithin("expires", waited/2))
	f.Send(requestWithin("waits", 10*time.Second))
	f.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: "withdrawn"})
	f.CancelAttempt(router.CancelAttempt{Connection: 1, ID: "cancelled"})
	if !f.isWithdrawn("withdrawn") {
		t.Error("not posted that it is withdrawn, while the connection is full")
	}
	time.Sleep(waited) // the budget shrinks, and one request expires
	f.Send(requestWithin("last", time.Minute))
	budgets, aborts := f.readUpTo(t, "last")
	for _, id := range []string{"withdrawn", "cancelled", "expires"} {
		if _, came := budgets[id]; came {
			t.Errorf("%s was written", id)
		}
	}
	if len(aborts) > 0 {
		t.Errorf("aborted at the cache, which never had them: %v", aborts)
	}
	if !f.isWithdrawn("expires") {
		t.Error("not posted that it was not written in time")
	}
	limit := int((10*time.Second - waited) / time.Millisecond)
	if got := budgets["waits"]; got > limit || got < limit/2 {
		t.Errorf("a budget of %d ms, with %d ms left at most", got, limit)
	}
}

// A request that is written in part can't be withdrawn; an abort follows it.
func TestPartlyWrittenRequestIsAborted(t *testing.T) {
	f := newFullConnection(t)
	_, partial := f.queued()
	if partial == "" {
		t.Fatal("nothing is written in part") // each is larger than what is written at once
	}
	f.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: partial})
	f.CancelAttempt(router.CancelAttempt{Connection: 1, ID: partial})
	f.Send(requestWithin("last", time.Minute))
	budgets, aborts := f.readUpTo(t, "last")
	if _, came := budgets[partial]; !came || !slices.Equal(aborts, []string{partial}) {
		t.Errorf("%s came: %v; aborted %v", partial, came, aborts)
	}
}

// A connection that ends lists all that was not completely written as unsent, also what is withdrawn and not
// posted yet.
func TestConnectionDownListsTheUnsent(t *testing.T) {
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
				t.Errorf("%d unsent, want %d: %v", len(event.Unsent), want, event.Unsent)
			}
			return
		}
	}
}

// Until it is posted that a request is withdrawn its connection may end: the request counts as unsent, not as
// one that may have run.
func TestWithdrawnCountsAsUnsentUntilPosted(t *testing.T) {
	var c *connection
	var meanwhile []string
	p := NewPool(context.Background(), Config{Post: func(router.Event) { meanwhile = c.unsent() }})
	c = newTestConnection(p)
	p.Send(requestWithin("a", time.Minute))
	p.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: "a"})
	p.Wait()
	if after := c.unsent(); !slices.Equal(meanwhile, []string{"a"}) || len(after) > 0 {
		t.Errorf("unsent %v, then %v", meanwhile, after)
	}
}

// A request that is sent after its connection has ended, and before that is handled, was not written.
func TestSentAfterTheConnectionEnded(t *testing.T) {
	p := newTestPool(t, Config{})
	p.dialEndpoint("127.0.0.1:1")
	down, ok := p.next(t).(router.ConnectionDown)
	if !ok {
		t.Fatal("its connection is established")
	}
	p.Wait()
	p.Send(requestWithin("late", time.Second))
	if got := p.RemoveConnection(down).Unsent; !slices.Equal(got, []string{"late"}) {
		t.Errorf("unsent %v", got)
	}
	if p.Send(requestWithin("later", time.Second)); len(p.connections) > 0 {
		t.Errorf("%d connections are kept", len(p.connections))
	}
	if again := p.RemoveConnection(down); len(again.Unsent) > 0 {
		t.Errorf("unsent %v of a connection that was removed", again.Unsent)
	}
}
