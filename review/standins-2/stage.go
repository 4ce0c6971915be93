// Command standins2 plays the cases of the second review: cache servers, a journal service and clients on loopback,
// and routers as processes of their own.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	root    = os.Getenv("ROOT")           // the project's root
	trouble = os.Getenv("TROUBLE") != "0" // whether the disruption takes place
	begun   = time.Now()
	record  *os.File
	recMu   sync.Mutex
	temp    string
	started []*routerProcess
)

func say(format string, values ...any) {
	recMu.Lock()
	defer recMu.Unlock()
	line := fmt.Sprintf("%9.3f ", time.Since(begun).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	if record != nil {
		_, _ = record.WriteString(line)
	}
}

func finish(code int) {
	for _, router := range started {
		router.kill()
	}
	if temp != "" {
		_ = os.RemoveAll(temp)
	}
	os.Exit(code)
}

func cannotRun(format string, values ...any) {
	say("CAN'T RUN: "+format, values...)
	fmt.Printf("can't run: "+format+"\n", values...)
	finish(2)
}

func broken(format string, values ...any) {
	say("BROKEN: "+format, values...)
	fmt.Printf("broken: "+format+"\n", values...)
	finish(1)
}

func held(format string, values ...any) {
	say("HELD: "+format, values...)
	fmt.Printf("held: "+format+"\n", values...)
	finish(0)
}

// onSignals ends the case, and with it the routers, when it is told to end.
func onSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("the case was ended from outside")
	}()
}

// routerProcess is one router, started with the command of the deploy file.
type routerProcess struct {
	name    string
	listen  string
	config  string // path of LB_CONFIG
	command *exec.Cmd
	log     string
	ended   chan struct{}
	mu      sync.Mutex
	downAt  time.Time
}

// deployCommand reads a command from the deploy file.
func deployCommand(key string) string {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		cannotRun("deploy file: %v", err)
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		name, rest, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(name) == key {
			rest = strings.TrimSpace(rest)
			if end := strings.Index(rest[1:], `"`); end > 0 {
				return rest[1 : end+1]
			}
		}
	}
	cannotRun("the deploy file has no %s", key)
	return ""
}

// freePort returns a loopback address that was free a moment ago.
func freePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startRouter starts a router; more is appended to the deploy file's command.
func startRouter(name, listen, config, more string) *routerProcess {
	r := &routerProcess{name: name, listen: listen, config: filepath.Join(temp, name+".json"), ended: make(chan struct{})}
	if err := os.WriteFile(r.config, []byte(config), 0o600); err != nil {
		cannotRun("%v", err)
	}
	r.log = filepath.Join(temp, name+".log")
	r.start(more)
	return r
}

func (r *routerProcess) start(more string) {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	r.command = exec.Command("/bin/sh", "-c", strings.TrimSpace(deployCommand("run")+" "+more))
	r.command.Dir = root
	r.command.Env = append(os.Environ(), "LB_NAME="+r.name, "LB_LISTEN="+r.listen, "LB_CONFIG="+r.config)
	r.command.Stdout, r.command.Stderr = log, log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	say("router %s started, process %d", r.name, r.command.Process.Pid)
	ended := make(chan struct{})
	r.ended = ended
	command := r.command
	go func() {
		err := command.Wait()
		_ = log.Close()
		say("router %s ended: %v", r.name, err)
		close(ended)
	}()
	started = append(started, r)
}

func (r *routerProcess) pid() int { return r.command.Process.Pid }

func (r *routerProcess) signal(signal syscall.Signal) {
	say("%v to router %s", signal, r.name)
	_ = r.command.Process.Signal(signal)
}

func (r *routerProcess) kill() {
	_ = r.command.Process.Kill()
	<-r.ended
}

func (r *routerProcess) running() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// awaitHealthy waits until the router answers health with good true.
func (r *routerProcess) awaitHealthy(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", r.listen, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write(encodeHealth(1))
		got, err := readAnswer(bufio.NewReader(conn))
		_ = conn.Close()
		if err == nil && got.good {
			say("router %s is healthy", r.name)
			return
		}
	}
	log, _ := os.ReadFile(r.log)
	cannotRun("router %s isn't healthy; its log: %.2000s", r.name, log)
}

// logLines returns the lines of the router's log that contain a text.
func (r *routerProcess) logLines(text string) (lines []string) {
	raw, _ := os.ReadFile(r.log)
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// statusKB returns a figure of /proc/PID/status in KB.
func (r *routerProcess) statusKB(name string) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid()))
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			value, _ := strconv.Atoi(strings.Fields(rest)[0])
			return value
		}
	}
	return 0
}

// descriptors returns how many descriptors the router holds.
func (r *routerProcess) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid()))
	return len(entries)
}

// client is one connection of a client.
type client struct {
	net.Conn
	mu      sync.Mutex
	seq     int32
	waiting map[int32]chan answer
	pause   time.Duration // before each answer is read
	born    time.Time
	err     error
	extra   []answer // answers to no open request
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{Conn: conn, waiting: map[int32]chan answer{}, born: time.Now()}
	go c.read()
	return c, nil
}

func (c *client) read() {
	in := bufio.NewReader(c.Conn)
	for {
		if c.pause > 0 {
			time.Sleep(c.pause)
		}
		got, err := readAnswer(in)
		c.mu.Lock()
		if err != nil {
			c.err = err
			for seq, waiting := range c.waiting {
				close(waiting)
				delete(c.waiting, seq)
			}
			c.mu.Unlock()
			return
		}
		waiting := c.waiting[got.seq]
		delete(c.waiting, got.seq)
		if waiting == nil {
			c.extra = append(c.extra, got)
		}
		c.mu.Unlock()
		if waiting != nil {
			waiting <- got
		}
	}
}

// call sends a request and returns a channel with its answer, closed without one if the connection ends.
func (c *client) call(fields [][2]string, body []byte) (int32, <-chan answer, error) {
	c.mu.Lock()
	c.seq++
	seq := c.seq
	waiting := make(chan answer, 1)
	if c.err != nil {
		c.mu.Unlock()
		return seq, nil, c.err
	}
	c.waiting[seq] = waiting
	c.mu.Unlock()
	_, err := c.Write(encodeCall(seq, fields, body))
	return seq, waiting, err
}

var (
	idMu   sync.Mutex
	lastID = rand.Uint64()
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID += 0x9e3779b97f4a7c15
	return fmt.Sprintf("%016x", lastID)
}

// request returns the fields of a request.
func request(class, object string, part, group int, limit time.Duration) [][2]string {
	return [][2]string{
		{"verb", class}, {"txn", newID()}, {"limit", strconv.Itoa(int(limit.Milliseconds()))},
		{"item", object}, {"nth", strconv.Itoa(part)}, {"batch", strconv.Itoa(group)},
	}
}
