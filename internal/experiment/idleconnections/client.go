package idleconnections

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealpath/internal/experiment/testcluster"
)

// command is what a client process is told on its standard input.
type command string

const (
	open      command = "open"  // with a number: open so many connections more, each asks for health once
	wake      command = "wake"  // have all connections ask for health again, at once
	reconnect command = "renew" // close all connections and open as many
	ended     command = "ended" // wait until the router has closed all connections
	quit      command = "quit"
)

const (
	clientWorkers     = 64 // connections that are handled at the same time
	clientDialTimeout = 10 * time.Second
	clientTimeout     = 20 * time.Second // for an answer

	// A client whose connection is closed or rejected tries again for a while, as usual clients do.
	clientRetryDuration = time.Minute
	clientRetryInterval = 50 * time.Millisecond

	endTimeout = time.Minute
)

// answer is what a client process says of a command that it has carried out.
type answer struct {
	command command
	open    int // connections
	failed  int
	tookMS  int64
}

func (a answer) String() string { return fmt.Sprintln(a.command, a.open, a.failed, a.tookMS) }

func parseAnswer(line string) (answer, error) {
	var a answer
	_, err := fmt.Sscan(line, &a.command, &a.open, &a.failed, &a.tookMS)
	return a, err
}

// RunClients holds idle connections from one local address to a router, as commands on its input say: "open N",
// "wake", "renew", "ended" and "quit". Each but the last is answered by a line with the command, the open
// connections, how many failed and how long it took in milliseconds.
func RunClients(address, from string, in io.Reader, out io.Writer) error {
	clients := &holder{address: address, from: net.ParseIP(from)}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		if command(words[0]) == quit {
			return nil
		}
		startedAt := time.Now()
		failed := clients.carryOut(command(words[0]), words[1:])
		result := answer{
			command: command(words[0]),
			open:    len(clients.conns),
			failed:  failed,
			tookMS:  time.Since(startedAt).Milliseconds(),
		}
		if _, err := io.WriteString(out, result.String()); err != nil {
			return err
		}
	}
	return nil
}

// holder holds idle connections.
type holder struct {
	address string
	from    net.IP

	mu    sync.Mutex
	conns []net.Conn // guarded by mu while workers run
}

// carryOut carries out a command and returns how many connections failed.
func (h *holder) carryOut(command command, arguments []string) (failed int) {
	switch command {
	case open:
		return h.open(firstNumber(arguments))
	case wake:
		return h.forEach(func(conn net.Conn) error { return testcluster.CheckHealth(conn, clientTimeout) })
	case reconnect:
		return h.reconnect()
	case ended:
		return h.forEach(waitForEnd)
	}
	return 0
}

// firstNumber returns the first argument as a number; 0 if there is none.
func firstNumber(arguments []string) int {
	if len(arguments) == 0 {
		return 0
	}
	number, err := strconv.Atoi(arguments[0])
	if err != nil {
		return 0
	}
	return number
}

// waitForEnd waits until the router has closed a connection.
func waitForEnd(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(endTimeout)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errors.New("the router sent something")
	}
	return err
}

// forEach does something with every connection, clientWorkers at a time, and counts what failed.
func (h *holder) forEach(do func(net.Conn) error) (failed int) {
	return h.work(len(h.conns), func(i int) error { return do(h.conns[i]) })
}

// reconnect closes all connections and opens as many.
func (h *holder) reconnect() (failed int) {
	count := len(h.conns)
	for _, conn := range h.conns {
		_ = conn.Close() // it is gone either way
	}
	h.conns = nil
	return h.open(count)
}

func (h *holder) open(count int) (failed int) {
	return h.work(count, func(int) error {
		conn, err := h.dial()
		if err != nil {
			return err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.conns = append(h.conns, conn)
		return nil
	})
}

// work calls a function with each of 0 to count-1, clientWorkers at a time, and counts what failed.
func (h *holder) work(count int, do func(i int) error) (failed int) {
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(count, clientWorkers) {
		workers.Go(func() {
			for i := range next {
				if do(i) != nil {
					h.mu.Lock()
					failed++
					h.mu.Unlock()
				}
			}
		})
	}
	for i := range count {
		next <- i
	}
	close(next)
	workers.Wait()
	return failed
}

// dial connects and asks for health once. It tries again for a while.
func (h *holder) dial() (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: h.from}, Timeout: clientDialTimeout, KeepAlive: -1}
	for deadline := time.Now().Add(clientRetryDuration); ; time.Sleep(clientRetryInterval) {
		conn, err := dialer.Dial("tcp", h.address)
		if err == nil {
			if err = testcluster.CheckHealth(conn, clientTimeout); err == nil {
				return conn, nil
			}
			_ = conn.Close() // the error that counts is the answer's
		}
		if time.Now().After(deadline) {
			return nil, err
		}
	}
}
