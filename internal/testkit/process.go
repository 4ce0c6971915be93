package testkit

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// ProcessConfig describes how to start a router process.
type ProcessConfig struct {
	Command     []string // the program and its arguments
	Environment []string // NAME=VALUE; added to the environment of the test
	Address     string   // the address on which the router will listen
}

// RouterProcess is a router in a separate process, which a test can signal and wait for.
type RouterProcess struct {
	t       *testing.T
	command *exec.Cmd
	address string
	logPath string

	ended   chan struct{} // closed after the process has exited and endedAt and err are set
	endedAt time.Time
	err     error
}

// StartProcess starts a router process and returns without waiting until it is ready. At the end of the test the
// process is killed and, if the test has failed, its log is printed.
func StartProcess(t *testing.T, config ProcessConfig) *RouterProcess {
	t.Helper()
	p := &RouterProcess{
		t:       t,
		command: exec.Command(config.Command[0], config.Command[1:]...),
		address: config.Address,
		logPath: filepath.Join(t.TempDir(), "log"),
		ended:   make(chan struct{}),
	}
	log, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer Close(log)
	p.command.Stderr = log
	// A program built with the race detector sleeps for one second before it exits, unless atexit_sleep_ms is 0.
	p.command.Env = append(append(os.Environ(), config.Environment...), "GORACE=atexit_sleep_ms=0")
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err, p.endedAt = p.command.Wait(), time.Now()
		close(p.ended)
	}()
	t.Cleanup(p.cleanUp)
	return p
}

func (p *RouterProcess) cleanUp() {
	p.kill()
	<-p.ended
	if text, err := os.ReadFile(p.logPath); err == nil && p.t.Failed() {
		p.t.Logf("log of router process %d:\n%s", p.PID(), text)
	}
}

// kill kills the process. It ignores the error, because the process may have exited already.
func (p *RouterProcess) kill() { _ = p.command.Process.Kill() }

// PID returns the process ID of the router, even if the router has exited.
func (p *RouterProcess) PID() int { return p.command.Process.Pid }

// WaitHealthy waits until the router responds to a health check that it can serve clients.
func (p *RouterProcess) WaitHealthy(timeout time.Duration) {
	p.t.Helper()
	WaitUntil(p.t, timeout, "a healthy router at "+p.address, func() bool {
		return IsHealthy(p.t, p.address, Timeout)
	})
}

// Signal sends a signal to the router, and fails the test if the process has already exited.
func (p *RouterProcess) Signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatalf("send %v to router process %d: %v", signal, p.PID(), err)
	}
}

// Wait waits until the router has exited. It returns the time of the exit, the state of the process with its
// resource usage, and the error of the process.
func (p *RouterProcess) Wait() (endedAt time.Time, usage *os.ProcessState, err error) {
	<-p.ended
	return p.endedAt, p.command.ProcessState, p.err
}

// Termination is the graceful shutdown of a router process. It measures how long the process is stalled meanwhile.
type Termination struct {
	At      time.Time // when SIGTERM was sent
	process *RouterProcess
	stalls  *ProcessStallWatch
}

// Terminate sends SIGTERM to the router and measures its stalls from then until the end of the test.
func (p *RouterProcess) Terminate() Termination {
	p.t.Helper()
	stalls := WatchProcessStalls(p.PID())
	p.t.Cleanup(stalls.Stop)
	at := time.Now()
	p.Signal(syscall.SIGTERM)
	return Termination{At: at, process: p, stalls: stalls}
}

// Stalled returns how long the router has been stalled since SIGTERM was sent, see ProcessStallWatch.Total.
func (e Termination) Stalled() time.Duration { return e.stalls.Total() }

// ExpectEndWithin checks that the router exits without an error within killedAfter of SIGTERM, which is when the
// platform would kill it. A router that is still running then is killed, which fails the test. The time
// in which the router was stalled is added to killedAfter, so that a loaded machine does not make the test fail.
func (e Termination) ExpectEndWithin(killedAfter time.Duration) {
	p := e.process
	p.t.Helper()
	allowed := killedAfter + e.stalls.Total()
	for !p.endsWithin(time.Until(e.At.Add(allowed))) {
		stalled := e.stalls.Total()
		if killedAfter+stalled <= allowed || stalled > Timeout {
			break // no further stalls, or too many, and the router is still running
		}
		allowed = killedAfter + stalled
	}
	p.kill()
	<-p.ended
	stalled := e.stalls.Total()
	if took := p.endedAt.Sub(e.At); p.err != nil || took > killedAfter+stalled {
		p.t.Errorf("router exited %v after SIGTERM with error %v, want no error within %v plus %v of stalls",
			took, p.err, killedAfter, stalled)
	}
}

// endsWithin waits until the router has exited, and reports whether it has within the timeout.
func (p *RouterProcess) endsWithin(timeout time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
