package testkit

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// ProcessConfig says how a router is started.
type ProcessConfig struct {
	Command     []string // the program and its arguments
	Environment []string // NAME=VALUE, beside the environment of the test
	Address     string   // where it will listen
}

// RouterProcess is a router in a process of its own, which can be signalled and killed.
type RouterProcess struct {
	t       *testing.T
	command *exec.Cmd
	address string
	logPath string

	ended   chan struct{} // closed at the end of the process; what follows is set before
	endedAt time.Time
	err     error
}

// StartProcess starts a router and does not wait for it. It is killed with the test, and its log is shown where
// the test has failed.
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
	// Under the race detector a process sleeps for a second before it exits, unless told otherwise.
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
		p.t.Logf("log of %d:\n%s", p.PID(), text)
	}
}

// kill ends a process that may have ended already.
func (p *RouterProcess) kill() { _ = p.command.Process.Kill() }

// PID returns the process's identifier.
func (p *RouterProcess) PID() int { return p.command.Process.Pid }

// WaitHealthy waits until the router says that it can serve.
func (p *RouterProcess) WaitHealthy(bound time.Duration) {
	p.t.Helper()
	WaitUntil(p.t, bound, "the router can serve", func() bool { return IsHealthy(p.t, p.address, Timeout) })
}

// Signal sends a signal to the router.
func (p *RouterProcess) Signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// Wait waits for the end of the router, and returns when it ended, what it used, and its error.
func (p *RouterProcess) Wait() (endedAt time.Time, usage *os.ProcessState, err error) {
	<-p.ended
	return p.endedAt, p.command.ProcessState, p.err
}

// maxStall is the longest stall of the machine with which the time of an end is judged: the platform leaves 0.1
// s.
const maxStall = 30 * time.Millisecond

// ExpectEndBefore waits for the end of a router that was told to end, and kills it when the platform does, so
// long after it was told. An end by that kill is an error.
func (p *RouterProcess) ExpectEndBefore(told time.Time, killedAfter time.Duration) {
	p.t.Helper()
	machine := WatchStalls()
	kill := time.AfterFunc(time.Until(told.Add(killedAfter)), p.kill)
	defer kill.Stop()
	<-p.ended
	stall := machine.Stop()
	took := p.endedAt.Sub(told)
	switch {
	case p.err != nil && stall > maxStall:
		p.t.Logf("ended after %v: %v; not judged, the machine stood still for %v", took, p.err, stall)
	case p.err != nil:
		p.t.Errorf("ended after %v: %v; the machine stood still for %v at most", took, p.err, stall)
	}
}
