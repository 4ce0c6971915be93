package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/logevent"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/router"
)

// localDialErrors are what Linux documents of this machine's own for socket(2) and connect(2).
var localDialErrors = []error{
	os.NewSyscallError("socket", syscall.EMFILE), os.NewSyscallError("socket", syscall.ENFILE),
	os.NewSyscallError("socket", syscall.ENOBUFS), os.NewSyscallError("socket", syscall.ENOMEM),
	os.NewSyscallError("connect", syscall.EADDRNOTAVAIL), os.NewSyscallError("connect", syscall.EAGAIN),
	os.NewSyscallError("connect", syscall.EPERM), os.NewSyscallError("epoll_ctl", syscall.ENOSPC),
}

// remoteDialErrors are those by which a member can't be reached.
var remoteDialErrors = []error{
	os.NewSyscallError("connect", syscall.ECONNREFUSED), os.NewSyscallError("connect", syscall.ETIMEDOUT),
	os.NewSyscallError("connect", syscall.EHOSTUNREACH), os.NewSyscallError("connect", syscall.ENETUNREACH),
	context.DeadlineExceeded,
}

func failing(err error) dialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
}

func TestCauseOfADialThatFails(t *testing.T) {
	check := func(err error, want router.Cause) {
		events := make(chan router.Event, 1)
		p := New(t.Context(), nil, func(e router.Event) { events <- e })
		p.dial = failing(err)
		p.Dial(router.Dial{Connection: 7, Timeout: int64(time.Second)})
		if down, ok := (<-events).(router.ConnectionDown); !ok || down.Connection != 7 || down.Cause != want || down.Reason == "" {
			t.Errorf("%v: %+v, want cause %d", err, down, want)
		}
		_, err = alive(t.Context(), p.dial, "", "1", nil, func() bool { return true })
		if errors.Is(err, ErrWithdrawn) != (want == router.Local) {
			t.Errorf("a probe: %v", err)
		}
	}
	for _, err := range localDialErrors {
		check(err, router.Local)
	}
	for _, err := range remoteDialErrors {
		check(err, router.Remote)
	}
}

// faultyConn fails reads with an error so many times, once something has been written whole, and writes, which it breaks up.
type faultyConn struct {
	net.Conn
	fault        error
	reads, tries atomic.Int64 // faults left
	once         sync.Once
	written      chan struct{}
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.reads.Add(-1) >= 0 {
		<-c.written
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.fault)}
	}
	return c.Conn.Read(p)
}

// write is the system's, with the faults: it takes half of what it is given, or nothing.
func (c *faultyConn) write(fd int, p []byte) (int, error) {
	if c.tries.Add(-1) >= 0 {
		return -1, c.fault
	}
	return syscall.Write(fd, p[:(len(p)+1)/2])
}

// SyscallConn implements syscall.Conn.
func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.tries.Add(-1) >= 0 {
		n, _ := c.Conn.Write(p[:len(p)/2]) // a short write
		return n, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.fault)}
	}
	defer c.once.Do(func() { close(c.written) })
	return c.Conn.Write(p)
}

// answering is a cache that answers all it is asked, with what its answers hold.
func answering(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					words, err := resp.Read(in)
					if err != nil {
						return
					}
					if string(words[0]) == "fetch" {
						out := resp.Text(resp.Text(resp.Head(nil, 4), string(words[1])), "served")
						out = resp.Text(out, "entity=4be0c1927d55a6f3,issued=1764576000123")
						conn.Write(resp.Text(out, "body"))
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A read or a write that this machine fails for a moment goes on where it was; what says that the connection has ended ends it,
// and what was wholly written may have run.
func TestFaultsOfALinkThatStands(t *testing.T) {
	for _, c := range []struct {
		fault         syscall.Errno
		reads, writes int64
		answered      bool
		unsent        bool
	}{
		{syscall.ENOMEM, 5, 0, true, false}, {syscall.ENOBUFS, 5, 0, true, false}, {syscall.EINTR, 5, 0, true, false},
		{syscall.ENOMEM, 0, 5, true, false}, {syscall.ENOBUFS, 0, 5, true, false}, {syscall.EINTR, 0, 5, true, false},
		{syscall.ENOBUFS, 5, 5, true, false},
		{syscall.ECONNRESET, 9, 0, false, false}, {syscall.ETIMEDOUT, 9, 0, false, false},
		{syscall.EHOSTUNREACH, 9, 0, false, false}, {syscall.ENETUNREACH, 9, 0, false, false},
		{syscall.EPIPE, 0, 9, false, true}, {syscall.ETIMEDOUT, 0, 9, false, true},
	} {
		t.Run(fmt.Sprintf("%v read %d write %d", c.fault, c.reads, c.writes), func(t *testing.T) {
			address := answering(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			events := make(chan router.Event, 16)
			p := New(ctx, nil, func(e router.Event) { events <- e })
			faulty := make(chan *faultyConn, 1)
			p.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				f := &faultyConn{Conn: conn, fault: c.fault, written: make(chan struct{})}
				f.tries.Store(c.writes)
				p.write = f.write
				f.reads.Store(c.reads)
				faulty <- f
				return f, err
			}
			p.Dial(router.Dial{Connection: 1, Address: address, Timeout: int64(time.Second)})
			f := <-faulty
			for e := range events {
				switch e := e.(type) {
				case router.ConnectionUp:
					p.Send(sending("00000000000000aa", 5*time.Second))
				case router.ResponseReceived:
					if !c.answered || e.Result != control.Succeeded {
						t.Errorf("answered %+v", e)
					}
					p.Close(router.Close{Connection: 1})
				case router.ConnectionDown:
					if c.unsent != slices.Equal(e.Unsent, []string{"00000000000000aa"}) || e.Cause != router.Remote {
						t.Errorf("%+v", e) // what was written whole may have run
					}
					p.Wait()
					if c.answered != (f.reads.Load() < 0 && f.tries.Load() < 0) && c.answered {
						t.Error("not all faults were met")
					}
					return
				}
			}
		})
	}
}

// site is a reducer with its links, as the process runs them, and what it has answered.
type site struct {
	pool    *Pool
	events  chan router.Event
	mu      sync.Mutex
	answers map[router.ResponseKind]int
	logged  []logevent.Event
	dials   atomic.Int64
}

func newSite(t *testing.T, caches int) *site {
	t.Helper()
	s := &site{events: make(chan router.Event, 1000), answers: map[router.ResponseKind]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	s.pool = New(ctx, nil, func(e router.Event) {
		select {
		case s.events <- e:
		case <-ctx.Done():
		}
	})
	t.Cleanup(func() { cancel(); s.pool.Wait() })
	second := int64(time.Second)
	parent, origin := "parent", "origin"
	settings := control.DefaultSettings()
	settings.Location = "here"
	settings.LocationRouters = 1
	settings.ParentKind, settings.OriginKind = &parent, &origin
	settings.MaxAttempts = 3
	settings.CancelAttempts = true
	settings.ConnectTimeout = 4 * second / 10
	settings.IdleTimeout = 30 * second
	settings.MaxStreamsPerConnection = 100
	settings.LongestDeadline = 25 * second / 10
	settings.Classes = []control.ClassSettings{{
		Name:             "stills",
		LatencyObjective: second,
		FreshDuration:    8 * second,
		PriorityWeight:   1,
		Idempotency:      control.Idempotent,
		KeyScope:         control.ScopeAll,
	}}
	r := router.New(time.Now().UnixNano(), 7, settings,
		router.Limits{MaxConnections: 50, MaxInFlight: 1000, MaxBodyBytes: 1 << 20})
	list := router.EndpointListUpdated{Complete: true, Entries: []router.EndpointEntry{{Instance: "o", Address: answering(t),
		Endpoint: control.Endpoint{Location: "here", Kind: "origin", Phase: "ready", Capacity: 200}}}}
	for i := range caches {
		list.Entries = append(list.Entries, router.EndpointEntry{Instance: fmt.Sprint("s-", i), Address: answering(t),
			Endpoint: control.Endpoint{Location: "here", Kind: "cache", Phase: "ready", Capacity: 100}})
	}
	go func() {
		timer := time.NewTimer(time.Hour)
		s.handle(r, timer, list)
		for {
			select {
			case e := <-s.events:
				s.handle(r, timer, e)
			case <-timer.C:
				s.handle(r, timer, router.TimerFired{})
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

func (s *site) handle(r *router.Router, timer *time.Timer, e router.Event) {
	for _, effect := range r.Handle(time.Now().UnixNano(), e) {
		switch e := effect.(type) {
		case router.Dial:
			s.dials.Add(1)
			s.pool.Dial(e)
		case router.Send:
			s.pool.Send(e)
		case router.CancelAttempt:
			s.pool.GiveUp(e)
		case router.Close:
			s.pool.Close(e)
		case router.SetTimer:
			timer.Reset(time.Duration(e.At - time.Now().UnixNano()))
		case router.Respond:
			s.mu.Lock()
			s.answers[e.Kind]++
			s.mu.Unlock()
		case router.Log:
			s.mu.Lock()
			s.logged = append(s.logged, e.Event)
			s.mu.Unlock()
		}
	}
}

// ask asks for an object of its own each time, spread over all caches.
func (s *site) ask(seq int32, ms int) {
	s.events <- router.RequestReceived{Client: 1, Seq: seq, Body: []byte("q"), Fields: map[string]string{"verb": "stills",
		"txn": fmt.Sprintf("%016x", seq), "limit": fmt.Sprint(ms), "item": fmt.Sprintf("%016x", uint64(seq)*0x9e3779b97f4a7c15), "nth": "0",
		"batch": "17"}}
}

func (s *site) answered() (settled, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, n := range s.answers {
		if kind == router.Served {
			settled += n
		} else {
			others += n
		}
	}
	return settled, others
}

// Two seconds in which no connection can be opened, of each error and of all in turn: every request is answered, the caches are
// dialled a few times and not in a loop, none is suspected, and afterwards all is served.
func TestStormOfLocalErrors(t *testing.T) {
	storms := [][]error{localDialErrors}
	for _, err := range localDialErrors[:5] {
		storms = append(storms, []error{err})
	}
	for _, storm := range storms {
		t.Run(fmt.Sprint(len(storm), " ", storm[0]), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			real := s.pool.dial
			var n atomic.Int64
			over := time.Now().Add(2 * time.Second)
			s.pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if time.Now().After(over) {
					return real(ctx, network, address)
				}
				return failing(storm[int(n.Add(1))%len(storm)])(ctx, network, address)
			}
			asked, early := int32(0), int32(0)
			for ; time.Now().Before(over); time.Sleep(10 * time.Millisecond) {
				asked++
				s.ask(asked, 2500)
				if time.Now().Before(over.Add(-800 * time.Millisecond)) {
					early = asked // half of its time is over before the last wait of the storm
				}
			}
			if dials := s.dials.Load(); dials < 4 || dials > 200 {
				t.Errorf("%d dials in two seconds", dials)
			}
			for range 40 {
				asked++
				s.ask(asked, 2500)
				time.Sleep(5 * time.Millisecond)
			}
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if settled, others := s.answered(); settled+others == int(asked) {
					break
				}
			}
			settled, others := s.answered()
			if settled+others != int(asked) || settled < int(asked-early) {
				t.Errorf("of %d requests %d were served and %d refused; %d that came late in the storm or after it should be served", asked, settled, others, asked-early)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, event := range s.logged {
				if event != (router.ConnectAvailable{}) && !slices.ContainsFunc(storm, func(err error) bool {
					return event == router.ConnectUnavailable{Cause: "dial tcp: " + err.Error()}
				}) {
					t.Errorf("logged %#v", event)
				}
			}
			if len(s.logged) != 2 {
				t.Errorf("%d events: %#v", len(s.logged), s.logged)
			}
		})
	}
}
