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

// command is a command that a client process reads from its standard input.
type command string

// Commands of client processes.
const (
	openCommand       command = "open"  // followed by a number: open that many more connections, check health on each
	wakeCommand       command = "wake"  // check health on all connections again
	reconnectCommand  command = "renew" // close all connections and open as many new ones
	waitForEndCommand command = "ended" // wait until the router has closed all connections
	quitCommand       command = "quit"  // exit
)

const (
	clientWorkers     = 64 // connections that are handled concurrently
	clientDialTimeout = 10 * time.Second
	clientTimeout     = 20 * time.Second // longest wait for the response to a health check

	// If a new connection fails, the client retries every clientRetryInterval for clientRetryDuration, as real
	// clients do.
	clientRetryDuration = time.Minute
	clientRetryInterval = 50 * time.Millisecond

	endTimeout = time.Minute // longest wait for the router to close a connection
)

// answer is the answer of a client process to a command.
type answer struct {
	command command
	open    int   // open connections after the command
	failed  int   // connections for which the command failed
	tookMS  int64 // duration of the command
}

func (a answer) String() string { return fmt.Sprintln(a.command, a.open, a.failed, a.tookMS) }

func parseAnswer(line string) (answer, error) {
	var a answer
	if _, err := fmt.Sscan(line, &a.command, &a.open, &a.failed, &a.tookMS); err != nil {
		return a, fmt.Errorf("answer %q of a client process: want a command, two counts and a duration in ms: %w",
			line, err)
	}
	return a, nil
}

// RunClients holds idle connections from one local address to a router. It reads the commands "open N", "wake",
// "renew", "ended" and "quit" from in. It answers each command except "quit" with a line on out: the command, the
// number of open connections, the number of connections that failed, and the duration in ms.
func RunClients(address, from string, in io.Reader, out io.Writer) error {
	clients := &connectionHolder{address: address, from: net.ParseIP(from)}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		if command(words[0]) == quitCommand {
			return nil
		}
		startedAt := time.Now()
		failed := clients.execute(command(words[0]), words[1:])
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

// connectionHolder opens idle connections to a router and executes commands on them.
type connectionHolder struct {
	address string // address of the router
	from    net.IP // local address of the connections

	mu    sync.Mutex
	conns []net.Conn // the open connections; guarded by mu while workers run
}

// execute executes a command and returns the number of connections that failed. Unknown commands have no effect.
func (h *connectionHolder) execute(command command, arguments []string) (failed int) {
	switch command {
	case openCommand:
		return h.open(firstNumber(arguments))
	case wakeCommand:
		return h.forEach(func(conn net.Conn) error { return testcluster.CheckHealth(conn, clientTimeout) })
	case reconnectCommand:
		return h.reconnect()
	case waitForEndCommand:
		return h.forEach(waitForEnd)
	}
	return 0
}

// firstNumber returns the first argument as a number, or 0 if it is missing or not a number.
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

// waitForEnd waits until the router has closed a connection, for endTimeout at most.
func waitForEnd(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(endTimeout)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errors.New("router sent data instead of closing the connection")
	}
	return err
}

// forEach calls do with each connection, clientWorkers at a time, and returns the number of calls that failed.
func (h *connectionHolder) forEach(do func(net.Conn) error) (failed int) {
	return h.work(len(h.conns), func(i int) error { return do(h.conns[i]) })
}

// reconnect closes all connections and opens as many new ones. It returns how many of these could not be opened.
func (h *connectionHolder) reconnect() (failed int) {
	count := len(h.conns)
	for _, conn := range h.conns {
		_ = conn.Close() // the connection is not used again, even if Close fails
	}
	h.conns = nil
	return h.open(count)
}

func (h *connectionHolder) open(count int) (failed int) {
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

// work calls do with each number from 0 to count-1, clientWorkers at a time, and returns the number of calls that
// failed.
func (h *connectionHolder) work(count int, do func(i int) error) (failed int) {
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

// dial opens a connection and checks health on it once. If that fails, it retries for clientRetryDuration.
func (h *connectionHolder) dial() (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: h.from}, Timeout: clientDialTimeout, KeepAlive: -1}
	for deadline := time.Now().Add(clientRetryDuration); ; time.Sleep(clientRetryInterval) {
		conn, err := dialer.Dial("tcp", h.address)
		if err == nil {
			if err = testcluster.CheckHealth(conn, clientTimeout); err == nil {
				return conn, nil
			}
			_ = conn.Close() // the error to return is that of the health check
		}
		if time.Now().After(deadline) {
			return nil, err
		}
	}
}
