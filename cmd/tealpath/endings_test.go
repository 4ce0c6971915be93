package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"tealpath/internal/protocol/thrift"
	"testing"
	"time"
)

// ends waits for the end of the program, and checks that it ended as asked.
func ends(t *testing.T, over chan error, within time.Duration) {
	t.Helper()
	select {
	case err := <-over:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(within):
		t.Fatalf("it does not end within %v", within)
	}
}

func terminate() { signalSelf(syscall.SIGTERM) }

// What is owed when the router is told to end, in each state that a request can be in, over real connections.
func TestLeaving(t *testing.T) {
	caches := []*stand{newStand(t, "s-a"), newStand(t, "s-b")}
	journal, _ := newJournal(t)
	asked := func() {
		t.Helper()
		select {
		case <-caches[0].asked:
		case <-caches[1].asked:
		case <-time.After(patience):
			t.Fatal("no cache was asked")
		}
	}
	const dead = "dead000000000001" // what caches leave without an answer
	for _, c := range []struct {
		name     string
		deadline float64
		do       func(t *testing.T, p program) // from when it serves; it sends the signal
		within   time.Duration
	}{
		{"clients that rest read their end, and nothing is reset", 1.2, func(t *testing.T, p program) {
			rested, never := dial(t, p.address), dial(t, p.address)
			rested.want(rested.call(object(1), 1200), settled)
			terminate()
			for _, c := range []*client{rested, never} {
				if seq, end := c.next(); seq != -1 || end != "EOF" {
					t.Errorf("answer %d %q", seq, end)
				}
				for range 5 { // in the moment of the end: closed over it, the connection was reset
					if _, err := c.conn.Write([]byte{0}); err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Millisecond)
				}
				discard(c.conn)
			}
		}, 1500 * time.Millisecond},
		{"a cache hangs: by the client's own deadline, not the end of what there is", 5, func(t *testing.T, p program) {
			c := dial(t, p.address)
			seq := c.call(dead, 400)
			asked()
			begun := time.Now()
			terminate()
			c.want(seq, dismissed)
			if took := time.Since(begun); took > 500*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
		}, 1500 * time.Millisecond},
		{"a deadline beyond what the platform leaves", 7, func(t *testing.T, p program) {
			c := dial(t, p.address)
			seq := c.call(dead, 7000)
			asked()
			begun := time.Now()
			terminate()
			c.want(seq, dismissed)
			if took := time.Since(begun); took > 3500*time.Millisecond {
				t.Errorf("answered after %v, killed after 3.7 s", took)
			}
		}, 4 * time.Second},
		{"half a request has come", 1.2, func(t *testing.T, p program) {
			c := dial(t, p.address)
			whole := frameOf(c, object(2))
			write(c.conn, whole[:20])
			time.Sleep(50 * time.Millisecond)
			terminate()
			time.Sleep(300 * time.Millisecond)
			write(c.conn, whole[20:])
			c.want(c.seq, settled)
		}, 1500 * time.Millisecond},
		{"told twice, and a new configuration after that", 1.2, func(t *testing.T, p program) {
			c := dial(t, p.address)
			seq := c.call(dead, 1000)
			asked()
			terminate()
			time.Sleep(20 * time.Millisecond)
			terminate()
			signalSelf(syscall.SIGHUP)
			c.want(seq, dismissed)
		}, 2 * time.Second},
		{"a client closes its side as the router ends", 5, func(t *testing.T, p program) {
			c := dial(t, p.address)
			c.call(dead, 3000)
			asked()
			terminate()
			discard(c.conn) // nobody is left: nothing of it keeps the router
		}, 3600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, s := range caches { // what the case before has left behind
				for len(s.asked) > 0 {
					<-s.asked
				}
			}
			p := newProgram(t, caches, journal, c.deadline)
			over := p.run(t)
			begun := time.Now()
			c.do(t, p)
			ends(t, over, c.within)
			if took := time.Since(begun); took < 700*time.Millisecond {
				t.Errorf("ended after %v, while clients come still", took)
			}
			if _, err := net.Dial("tcp", p.address); err == nil {
				t.Error("it listens still")
			}
		})
	}
}

// frameOf is a request as it is sent.
func frameOf(c *client, object string) []byte {
	there, here := net.Pipe()
	defer discard(here)
	whole := make(chan []byte, 1)
	go func() {
		b := make([]byte, 4096)
		n, _ := here.Read(b)
		whole <- b[:n]
	}()
	copied := *c
	copied.conn = there
	c.seq = copied.call(object, 1200)
	return <-whole
}

// SIGTERM before there is a listener: the router ends as asked, and does not wait or fail.
func TestLeavingDuringTheStart(t *testing.T) {
	caches := []*stand{newStand(t, "s-a"), newStand(t, "s-b")}
	journal, _ := newJournal(t)
	t.Run("as it reads its configuration", func(t *testing.T) {
		p := newProgram(t, caches, journal, 1.2)
		pipe := filepath.Join(t.TempDir(), "config")
		if err := syscall.Mkfifo(pipe, 0o600); err != nil {
			t.Skip("no pipes here")
		}
		t.Setenv("LB_CONFIG", pipe)
		over := p.start()
		file, err := os.OpenFile(pipe, os.O_WRONLY, 0) // opens once it reads
		if err != nil {
			t.Fatal(err)
		}
		terminate()
		time.Sleep(20 * time.Millisecond) // a signal that nobody waits for has ended the process by now
		if _, err := file.Write(p.text("n0", journal)); err != nil {
			t.Error(err)
		}
		if err := file.Close(); err != nil {
			t.Error(err)
		}
		ends(t, over, 1500*time.Millisecond)
	})
	t.Run("as it waits for its address", func(t *testing.T) {
		p := newProgram(t, caches, journal, 1.2)
		before, err := net.Listen("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer discard(before)
		over := p.start()
		time.Sleep(100 * time.Millisecond)
		terminate()
		ends(t, over, 500*time.Millisecond)
	})
}

// A client that has closed its side with a request in flight has its answer, and nothing more is sent for it.
func TestClientClosesItsSide(t *testing.T) {
	caches := []*stand{newStand(t, "s-a"), newStand(t, "s-b")}
	journal, _ := newJournal(t)
	p := newProgram(t, caches, journal, 5)
	over := p.run(t)
	c := dial(t, p.address)
	seq := c.call("dead000000000001", 3000)
	select {
	case <-caches[0].asked:
	case <-caches[1].asked:
	case <-time.After(patience):
		t.Fatal("not asked")
	}
	// In flight as its client half-closes: it has its answer, and no further attempt is made when the caches die.
	if err := c.conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Error(err)
	}
	time.Sleep(50 * time.Millisecond)
	caches[0].die()
	caches[1].die()
	c.want(seq, dismissed)
	if got, end := c.next(); got != -1 || end != "EOF" {
		t.Errorf("after its answer: %d %q", got, end)
	}
	h := dial(t, p.address)
	h.send(thrift.Call, "health", 9, []byte{0})
	h.want(9, "\x02\x00\x03")
	terminate()
	ends(t, over, 1500*time.Millisecond)
}

// A start while the list service is down: a router that knows a list serves from it at once, one that knows none says so by
// health and refuses what comes, at once, and neither is ready before it can answer.
func TestStartWithoutTheListService(t *testing.T) {
	caches := []*stand{newStand(t, "s-a"), newStand(t, "s-b")}
	for _, c := range []struct {
		name, known, good, says string
	}{{"a list is known", "", "\x01", settled}, {"none is", `"known":null,`, "\x00", dismissed}} {
		t.Run(c.name, func(t *testing.T) {
			p := newProgram(t, caches, "127.0.0.1:1", 1.2)
			if c.known != "" {
				text := string(p.text("n0", "127.0.0.1:1"))
				from, to := strings.Index(text, `"known"`), strings.Index(text, `"settings"`)
				writeFile(t, p.file, []byte(text[:from]+c.known+text[to:]))
			}
			over := p.run(t)
			first := dial(t, p.address)
			begun := time.Now()
			first.want(first.call(object(1), 1200), c.says)
			if took := time.Since(begun); took > 600*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
			first.send(thrift.Call, "health", 9, []byte{0})
			first.want(9, "\x02\x00\x03"+c.good)
			terminate()
			ends(t, over, 1500*time.Millisecond)
		})
	}
}
