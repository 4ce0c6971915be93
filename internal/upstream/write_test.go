package upstream

import (
	"bufio"
	"context"
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

const (
	fillers     = 48       // requests that fill the way to a cache that reads nothing
	fillerBytes = 200_000  // of each
	smallBuffer = 16 << 10 // of the cache's socket
)

// fullLink is a link whose way is full: its cache reads nothing until it is let.
type fullLink struct {
	pool   *Pool
	link   *link
	cache  net.Conn
	events chan router.Event
}

func newFullLink(t *testing.T) *fullLink {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	full := &fullLink{events: make(chan router.Event, 4*fillers)}
	full.pool = NewPool(ctx, Config{Post: func(e router.Event) { full.events <- e }})
	full.pool.Dial(router.Dial{Connection: 1, Address: listener.Addr().String(), Timeout: int64(time.Second)})
	if full.cache, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	full.link = full.pool.find(1)
	t.Cleanup(func() { full.cache.Close(); cancel(); full.pool.Wait() })
	for n := range fillers {
		send := sending(fmt.Sprint("filler", n), time.Minute)
		send.Request.Body = make([]byte, fillerBytes)
		full.pool.Send(send)
	}
	full.settle(t)
	return full
}

// queued is how many items wait, of which nothing is written.
func (f *fullLink) queued() int {
	f.link.mu.Lock()
	defer f.link.mu.Unlock()
	return len(f.link.queue)
}

// settle waits until nothing more is written.
func (f *fullLink) settle(t *testing.T) {
	t.Helper()
	for before, same := -1, 0; same < 20; time.Sleep(5 * time.Millisecond) {
		if now := f.queued(); now == before {
			same++
		} else {
			before, same = now, 0
		}
	}
	if f.queued() == 0 {
		t.Fatal("the way is not full")
	}
}

// told is what was told of a request, within a second; nil is nothing.
func (f *fullLink) told(id string) router.Event {
	for end := time.After(time.Second); ; {
		select {
		case e := <-f.events:
			if w, ok := e.(router.AttemptWithdrawn); ok && w.ID == id {
				return e
			}
		case <-end:
			return nil
		}
	}
}

// arrived reads what comes at the cache up to a request: budgets by id, and what was given up.
func (f *fullLink) arrived(t *testing.T, last string) (budgets map[string]int, aborts []string) {
	t.Helper()
	f.cache.SetReadDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(f.cache)
	for budgets = map[string]int{}; ; {
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
				budgets[id], _ = strconv.Atoi(ms)
			}
		}
		if id == last {
			return budgets, aborts
		}
	}
}

// What waits on a link whose way is full is decided as it is written: what was taken back, or whose time has
// passed, does not come, and the budget is what is left then.
func TestFullLink(t *testing.T) {
	const waited = 300 * time.Millisecond
	f := newFullLink(t)
	f.pool.Send(sending("withdrawn", time.Minute))
	f.pool.Send(sending("given up", time.Minute))
	f.pool.Send(sending("expires", waited/2))
	f.pool.Send(sending("waits", 10*time.Second))
	f.pool.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: "withdrawn"})
	f.pool.CancelAttempt(router.CancelAttempt{Connection: 1, ID: "given up"})
	if f.told("withdrawn") == nil {
		t.Error("not told that it is withdrawn, while the way is full")
	}
	time.Sleep(waited)
	f.pool.Send(sending("last", time.Minute))
	budgets, aborts := f.arrived(t, "last")
	for _, id := range []string{"withdrawn", "given up", "expires"} {
		if _, came := budgets[id]; came {
			t.Errorf("%s was written", id)
		}
	}
	if len(aborts) > 0 {
		t.Errorf("given up at the cache: %v, which never had it", aborts)
	}
	if f.told("expires") == nil {
		t.Error("not told that it was not written in time")
	}
	if most := int((10*time.Second - waited) / time.Millisecond); budgets["waits"] > most || budgets["waits"] < most/2 {
		t.Errorf("a budget of %d ms, with %d ms left at most", budgets["waits"], most)
	}
}

// A request that is written in part can't be taken back; the other side is told, behind it.
func TestWrittenInPart(t *testing.T) {
	f := newFullLink(t)
	f.link.mu.Lock()
	begun := f.link.partial
	f.link.mu.Unlock()
	if begun == "" {
		t.Fatal("nothing is written in part") // each is larger than what is written at once
	}
	f.pool.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: begun})
	f.pool.CancelAttempt(router.CancelAttempt{Connection: 1, ID: begun})
	f.pool.Send(sending("last", time.Minute))
	budgets, aborts := f.arrived(t, "last")
	if _, came := budgets[begun]; !came || !slices.Equal(aborts, []string{begun}) {
		t.Errorf("%s came: %v; given up %v", begun, came, aborts)
	}
}

// A link that ends tells all of which not the whole was written, also what is withdrawn and not told yet.
func TestFullLinkEnds(t *testing.T) {
	f := newFullLink(t)
	f.pool.Send(sending("waits", time.Minute))
	f.link.mu.Lock()
	want := len(f.link.queue)
	if f.link.partial != "" {
		want++
	}
	f.link.mu.Unlock()
	f.pool.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: "waits"})
	f.pool.Close(router.Close{Connection: 1})
	withdrawn := false
	for e := range f.events {
		switch e := e.(type) {
		case router.AttemptWithdrawn:
			withdrawn = true
		case router.ConnectionDown:
			if withdrawn && !slices.Contains(e.Unsent, "waits") {
				want--
			}
			if len(e.Unsent) != want {
				t.Errorf("%d unsent, want %d: %v", len(e.Unsent), want, e.Unsent)
			}
			return
		}
	}
}

// While it is being told that a request is withdrawn its link may end: the request counts among the unsent,
// else it went for one that may have run.
func TestWithdrawnIsUnsentUntilTold(t *testing.T) {
	var l *link
	var meanwhile []string
	p := NewPool(context.Background(), Config{Post: func(router.Event) { meanwhile = l.unsent() }})
	l = &link{pool: p, id: 1, wake: make(chan struct{}, 1)}
	p.links[1] = l
	p.Send(sending("a", time.Minute))
	p.WithdrawAttempt(router.WithdrawAttempt{Connection: 1, ID: "a"})
	p.Wait()
	if after := l.unsent(); !slices.Equal(meanwhile, []string{"a"}) || len(after) > 0 {
		t.Errorf("unsent %v, then %v", meanwhile, after)
	}
}

// A request that is sent after its link has ended, and before that is taken, was not written.
func TestSentAfterTheLinkEnded(t *testing.T) {
	events := make(chan router.Event, 4)
	p := NewPool(context.Background(), Config{Post: func(e router.Event) { events <- e }})
	p.Dial(router.Dial{Connection: 1, Address: "127.0.0.1:1", Timeout: int64(time.Second)})
	down, ok := (<-events).(router.ConnectionDown)
	if !ok {
		t.Fatal("its link stands")
	}
	p.Wait()
	p.Send(sending("late", time.Second))
	if got := p.RemoveConnection(down).Unsent; !slices.Equal(got, []string{"late"}) {
		t.Errorf("unsent %v", got)
	}
	if p.Send(sending("later", time.Second)); len(p.links) > 0 {
		t.Errorf("%d links are kept", len(p.links))
	}
}
