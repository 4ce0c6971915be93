package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/protocol/thrift"
	"testing"
	"time"
)

var budgetField = regexp.MustCompile(`\bbudget=(\d+)\b`)

// A client's time runs from the first byte of its request: the cache is told of no more than is left of it.
func TestBudgetIsWhatIsLeft(t *testing.T) {
	const limit, apart, slack = 1200 * time.Millisecond, 500 * time.Millisecond, 150 * time.Millisecond
	caches := []*stand{newStand(t, "s-a"), newStand(t, "s-b")}
	journal, _ := newJournal(t)
	p := newProgram(t, caches, journal, 3)
	over := p.run(t)
	for _, c := range []struct {
		name  string
		quiet time.Duration // before the request, on a connection that has been answered
	}{{"on a new connection", 0}, {"on one that was used", 100 * time.Millisecond}, {"on one that rests", 1500 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			client := dial(t, p.address)
			if c.quiet > 0 {
				client.want(client.call(object(1), 1200), settled)
				<-asked(caches)
				time.Sleep(c.quiet)
			}
			frame, sent := frameOf(client, object(2)), time.Now()
			write(client.conn, frame[:9])
			time.Sleep(apart)
			write(client.conn, frame[9:])
			select {
			case fields := <-asked(caches):
				left := limit - time.Since(sent)
				found := budgetField.FindStringSubmatch(fields)
				if found == nil {
					t.Fatalf("no budget in %s", fields)
				}
				ms, _ := strconv.Atoi(found[1])
				if told := time.Duration(ms) * time.Millisecond; told > left+slack || told < left-slack {
					t.Errorf("told of %v, with %v left", told, left)
				}
			case <-time.After(patience):
				t.Fatal("not asked")
			}
			client.want(client.seq, settled)
		})
	}
	terminate()
	ends(t, over, 1500*time.Millisecond)
}

// asked gives what either cache is asked next.
func asked(caches []*stand) <-chan string {
	one := make(chan string, 1)
	go func() {
		select {
		case fields := <-caches[0].asked:
			one <- fields
		case fields := <-caches[1].asked:
			one <- fields
		}
	}()
	return one
}

// fetched is a request that a cache has read.
type fetched struct {
	id, fields string
}

// deafStand is a stand-in of a cache that takes connections and reads nothing until it is let; little goes onto the way to it.
func deafStand(t *testing.T, name string, let <-chan struct{}, read chan<- fetched) *stand {
	t.Helper()
	const segment, buffer, readBuffer = 1460, 4096, 4 << 20 // bytes: what the system keeps grows with the segments
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			setOption(t, fd, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			setOption(t, fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	t.Cleanup(func() { discard(listener); all.Wait() })
	all.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer discard(conn)
				<-let
				if err := conn.(*net.TCPConn).SetReadBuffer(readBuffer); err != nil {
					t.Error(err)
				}
				if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
					t.Error(err)
				}
				for in := bufio.NewReader(conn); ; {
					words, err := resp.Read(in)
					if err != nil {
						return
					}
					if string(words[0]) == "fetch" {
						read <- fetched{string(words[1]), string(words[2])}
					}
				}
			})
		}
	})
	return &stand{Listener: listener, name: name}
}

// large is a request with a body that fills the way to a deaf cache.
func (c *client) large(object string) {
	c.seq++
	fields := []string{
		"verb", "stills", "txn", fmt.Sprintf("%016x", time.Now().UnixNano()), "limit", "3000", "item", object,
		"nth", "0", "batch", "17",
	}
	args := binary.BigEndian.AppendUint32([]byte{13, 0, 1, 11, 11}, uint32(len(fields)/2))
	for _, f := range fields {
		args = text(args, f)
	}
	args = text(append(args, 11, 0, 2), strings.Repeat("x", 200_000))
	c.send(thrift.Call, "call", c.seq, append(args, 0))
}

// Caches that read nothing for a while: a request whose client goes meanwhile does not come to them, and one whose client stays
// comes with what is left of its time.
func TestNothingIsWrittenForAClientThatHasGone(t *testing.T) {
	const deaf, limit, slack = 600 * time.Millisecond, 3 * time.Second, 150 * time.Millisecond
	let, read := make(chan struct{}), make(chan fetched, 1000)
	caches := []*stand{deafStand(t, "s-a", let, read), deafStand(t, "s-b", let, read)}
	journal, _ := newJournal(t)
	p := newProgram(t, caches, journal, limit.Seconds())
	text := p.text
	p.text = func(name, journal string) []byte { // room for all that fills the ways, at either cache
		return bytes.ReplaceAll(text(name, journal), []byte(`"weight":4`), []byte(`"weight":40`))
	}
	p.configure = func(name, journal string) {
		if err := os.WriteFile(p.file, p.text(name, journal), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p.configure("n0", journal)
	over := p.run(t)
	// A cache has four links at the most, each opened once three requests are in flight on the one before, so all of them are
	// full then: what is asked next can't be written at once.
	for range 2 {
		fills := dial(t, p.address)
		for range 20 {
			fills.large(object(1))
			time.Sleep(5 * time.Millisecond) // links come up between
		}
	}
	time.Sleep(300 * time.Millisecond)
	goes, stays := dial(t, p.address), dial(t, p.address)
	sent := time.Now()
	goes.call(object(1), int(limit.Milliseconds()), "txn", "00000000000000aa")
	stays.call(object(1), int(limit.Milliseconds()), "txn", "00000000000000bb")
	time.Sleep(50 * time.Millisecond)
	discard(goes.conn)
	time.Sleep(deaf)
	close(let)
	left := limit - time.Since(sent)
	came := false
	for end := time.After(time.Second); !came; {
		select {
		case f := <-read:
			if f.id == "00000000000000aa" {
				t.Error("written for a client that had gone")
			}
			if came = f.id == "00000000000000bb"; came {
				ms, _ := strconv.Atoi(budgetField.FindStringSubmatch(f.fields)[1])
				if told := time.Duration(ms) * time.Millisecond; told > left+slack {
					t.Errorf("told of %v, with %v left", told, left)
				}
			}
		case <-end:
			t.Fatal("the request of the client that stays was not written")
		}
	}
	for end := time.After(200 * time.Millisecond); ; {
		select {
		case f := <-read:
			if f.id == "00000000000000aa" {
				t.Error("written for a client that had gone")
			}
			continue
		case <-end:
		}
		break
	}
	terminate()
	ends(t, over, limit+time.Second)
}
