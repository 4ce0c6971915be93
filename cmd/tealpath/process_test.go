package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/protocol/thrift"
	"testing"
	"time"
)

// asProgram is the variable of the environment by which this test binary runs as the program itself: a process of its own
// can be signalled and killed, beside others.
const asProgram = "TEALPATH_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Args = []string{"tealpath", "serve"}
		main()
		return
	}
	os.Exit(m.Run())
}

// child is a router in a process of its own.
type child struct {
	*exec.Cmd
	t     *testing.T
	log   string
	ended chan struct{}
	err   error // how it ended
	at    time.Time
}

// spawn starts a router in a process of its own, and does not wait for it.
func (p program) spawn(t *testing.T) *child {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := &child{Cmd: exec.Command(self), t: t, log: filepath.Join(t.TempDir(), "log"), ended: make(chan struct{})}
	log, err := os.Create(c.log)
	if err != nil {
		t.Fatal(err)
	}
	defer discard(log)
	c.Stderr = log
	// Under the race detector a process sleeps for a second before it exits, unless told otherwise: it was killed meanwhile.
	c.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+p.file, "LB_LISTEN="+p.address, "GORACE=atexit_sleep_ms=0")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		c.err, c.at = c.Wait(), time.Now()
		close(c.ended)
	}()
	t.Cleanup(func() {
		kill(c.Process)
		<-c.ended
		if text, err := os.ReadFile(c.log); err == nil && t.Failed() {
			t.Logf("log of %d:\n%s", c.Process.Pid, text)
		}
	})
	return c
}

// serving starts a router in a process of its own and waits until its health is good.
func (p program) serving(t *testing.T) *child {
	t.Helper()
	c := p.spawn(t)
	c.waitUntil("it serves", func() bool { return p.healthy() })
	return c
}

// healthy asks for the router's health.
func (p program) healthy() bool {
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return false
	}
	defer discard(conn)
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return false
	}
	c := &client{conn: conn, in: bufio.NewReader(conn)}
	c.send(thrift.Call, "health", 9, []byte{0})
	size, err := thrift.FrameSize(c.in)
	if err != nil {
		return false
	}
	frame := make([]byte, size)
	for n := 0; n < size; {
		more, err := c.in.Read(frame[n:])
		if err != nil {
			return false
		}
		n += more
	}
	return strings.Contains(string(frame), "\x02\x00\x03\x01")
}

// waitUntil polls for something that comes about by itself.
func (c *child) waitUntil(what string, is func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

// signal sends a signal to the router.
func (c *child) signal(s syscall.Signal) {
	c.t.Helper()
	if err := c.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// pulse measures by how much the machine holds this process up: what other work takes from it, it takes from routers too.
type pulse struct {
	mu    sync.Mutex
	worst time.Duration
	over  chan struct{}
}

func newPulse() *pulse {
	const beat = 5 * time.Millisecond
	p := &pulse{over: make(chan struct{})}
	go func() {
		for last := time.Now(); ; {
			select {
			case <-p.over:
				return
			case <-time.After(beat):
			}
			now := time.Now()
			p.mu.Lock()
			p.worst = max(p.worst, now.Sub(last)-beat)
			p.mu.Unlock()
			last = now
		}
	}()
	return p
}

// stop ends the measurement and gives the longest delay.
func (p *pulse) stop() time.Duration {
	close(p.over)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.worst
}

// stallMost is the delay of the machine from which the time of an end is not judged: the platform leaves 0.1 s.
const stallMost = 30 * time.Millisecond

// endsBy waits for the end of a router that was told to, and kills it when the platform does, so long after it was told.
func (c *child) endsBy(told time.Time, killed time.Duration) {
	c.t.Helper()
	machine := newPulse()
	kill := time.AfterFunc(time.Until(told.Add(killed)), func() { kill(c.Process) })
	defer kill.Stop()
	<-c.ended
	switch stall := machine.stop(); {
	case c.err != nil && stall > stallMost:
		c.t.Logf("ended after %v: %v; not judged, the machine stood still for %v", c.at.Sub(told), c.err, stall)
	case c.err != nil:
		c.t.Errorf("ended after %v: %v; the machine stood still for %v at most", c.at.Sub(told), c.err, stall)
	}
}

// manner is how a scripted cache treats requests.
type manner int

const (
	answers manner = iota
	hangs          // it reads and says nothing
	resets         // it resets the connection by which a request comes
	forgets        // connections made before are reset by the next request; new ones are served
)

// attempt is one request that came to a scripted cache.
type attempt struct {
	object string
	at     time.Time
}

// scripted is a stand-in of a cache that behaves as a test says.
type scripted struct {
	net.Listener
	mu       sync.Mutex
	manner   manner
	after    time.Duration // until it answers
	conns    map[net.Conn]bool
	old      map[net.Conn]bool // made before it forgot
	attempts []attempt
}

func newScripted(t *testing.T) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{Listener: listener, conns: map[net.Conn]bool{}, old: map[net.Conn]bool{}}
	t.Cleanup(func() { discard(listener); s.resetAll() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

// behave has it treat requests so from now on.
func (s *scripted) behave(m manner, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.manner, s.after = m, after; m == forgets {
		for conn := range s.conns {
			s.old[conn] = true
		}
	}
}

// resetAll resets all connections.
func (s *scripted) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		s.reset(conn)
	}
}

// reset resets one connection; the mutex is held.
func (s *scripted) reset(conn net.Conn) {
	delete(s.conns, conn)
	delete(s.old, conn)
	resetOnClose(conn)
	discard(conn)
}

// asked is what came for an object so far, or all that came.
func (s *scripted) asked(object string) (came []attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if object == "" || a.object == object {
			came = append(came, a)
		}
	}
	return came
}

// open is how many connections there are.
func (s *scripted) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *scripted) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	defer func() {
		discard(conn)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
		delete(s.old, conn)
	}()
	for {
		words, err := resp.Read(in)
		if err != nil {
			return
		}
		if string(words[0]) != "fetch" {
			continue
		}
		object := ""
		for field := range strings.SplitSeq(string(words[2]), ",") {
			if path, ok := strings.CutPrefix(field, "path="); ok {
				object = path
			}
		}
		s.mu.Lock()
		s.attempts = append(s.attempts, attempt{object, time.Now()})
		m, after := s.manner, s.after
		if m == resets || s.old[conn] {
			s.reset(conn)
		}
		s.mu.Unlock()
		if m == hangs {
			continue
		}
		time.AfterFunc(after, func() {
			out := resp.Text(resp.Text(resp.Head(nil, 4), words[1]), "served")
			out = resp.Text(out, fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=TCP_MISS", time.Now().UnixMilli()))
			write(conn, resp.Text(out, append([]byte("whole:"), words[3]...))) // whole in one write
		})
	}
}

// newPair is two scripted caches, and a configuration of a router among them with changes to its text, old and new by turns.
func newPair(t *testing.T, journal string, deadline float64, changes ...string) ([2]*scripted, program) {
	t.Helper()
	caches := [2]*scripted{newScripted(t), newScripted(t)}
	p := newConfiguration(t, []string{caches[0].Addr().String(), caches[1].Addr().String()}, journal, deadline)
	usual := p.text
	p.text = func(name, journal string) []byte {
		return []byte(strings.NewReplacer(changes...).Replace(string(usual(name, journal))))
	}
	p.configure = func(name, journal string) {
		aside := p.file + ".new" // as a careful operator does: never half of it
		if err := os.WriteFile(aside, p.text(name, journal), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(aside, p.file); err != nil {
			t.Fatal(err)
		}
	}
	p.configure("n0", journal)
	return caches, p
}
