package experiment

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Hold is a client process that holds idle connections to one address, as told on its input: `open N` opens so many
// more, each of which asks for health once; `wake` has all ask again at once; `renew` closes all and opens as many
// again; `quit`. Each is answered with a line: what, how many hold, how many failed, and how long it took in ms.
func Hold(address, from string, in io.Reader, out io.Writer) error {
	h := &holder{address: address, from: net.ParseIP(from)}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		began, failed := time.Now(), 0
		switch words[0] {
		case "open":
			n := 0
			fmt.Sscan(strings.Join(words[1:], " "), &n)
			failed = h.open(n)
		case "wake":
			failed = h.each(func(c net.Conn) bool { return h.ask(c) == nil })
		case "renew":
			n := len(h.conns)
			for _, c := range h.conns {
				c.Close()
			}
			h.conns = nil
			failed = h.open(n)
		case "ended":
			failed = h.each(func(c net.Conn) bool {
				c.SetReadDeadline(time.Now().Add(time.Minute))
				_, err := c.Read(make([]byte, 1))
				return err == io.EOF
			})
		case "quit":
			return nil
		}
		fmt.Fprintln(out, words[0], len(h.conns), failed, time.Since(began).Milliseconds())
	}
	return nil
}

type holder struct {
	address string
	from    net.IP
	mu      sync.Mutex
	conns   []net.Conn
}

const holdWorkers = 64

// each does something with every connection, many at a time, and counts what failed.
func (h *holder) each(do func(net.Conn) bool) (failed int) {
	next := make(chan net.Conn)
	var group sync.WaitGroup
	for range holdWorkers {
		group.Go(func() {
			for c := range next {
				if !do(c) {
					h.mu.Lock()
					failed++
					h.mu.Unlock()
				}
			}
		})
	}
	for _, c := range h.conns {
		next <- c
	}
	close(next)
	group.Wait()
	return failed
}

func (h *holder) open(n int) (failed int) {
	var group sync.WaitGroup
	work := make(chan struct{})
	for range min(n, holdWorkers) {
		group.Go(func() {
			for range work {
				c, err := h.dial()
				h.mu.Lock()
				if err != nil {
					failed++
				} else {
					h.conns = append(h.conns, c)
				}
				h.mu.Unlock()
			}
		})
	}
	for range n {
		work <- struct{}{}
	}
	close(work)
	group.Wait()
	return failed
}

// dial connects and asks once; one that is turned away in the wave tries again for a while, as clients do.
func (h *holder) dial() (net.Conn, error) {
	for end := time.Now().Add(time.Minute); ; time.Sleep(50 * time.Millisecond) {
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: h.from}, Timeout: 10 * time.Second, KeepAlive: -1}).Dial("tcp", h.address)
		if err == nil {
			if err = h.ask(c); err == nil {
				return c, nil
			}
			c.Close()
		}
		if time.Now().After(end) {
			return nil, err
		}
	}
}

func (h *holder) ask(c net.Conn) error {
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Write(call("health", 1, []byte{0})); err != nil {
		return err
	}
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, c, int64(head[2])<<8|int64(head[3]))
	return err
}
