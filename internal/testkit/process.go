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

// Termination is a router that was told to end, and what it was held up since.
type Termination struct {
	At      time.Time // when it was told
	process *RouterProcess
	stalls  *ProcessStallWatch
}

// Terminate tells the router to end.
func (p *RouterProcess) Terminate() Termination {
	p.t.Helper()
	stalls := WatchProcessStalls(p.PID())
	p.t.Cleanup(stalls.Stop)
	at := time.Now()
	p.Signal(syscall.SIGTERM)
	return Termination{At: at, process: p, stalls: stalls}
}

// Stalled returns for how long the router has been held up since it was told to end, or 0 where that is not worth mentioning.
func (e Termination) Stalled() time.Duration { return e.stalls.Total() }

// ExpectEndWithin waits for the end of the router, and kills it when the platform does, so long after it was
// told. An end by that kill is an error. The time in which the router was held up does not count, so that its
// own time is judged on any machine.
func (e Termination) ExpectEndWithin(killedAfter time.Duration) {
	p := e.process
	p.t.Helper()
	allowed := killedAfter + e.stalls.Total()
	for !p.endsWithin(time.Until(e.At.Add(allowed))) {
		stalled := e.stalls.Total()
		if killedAfter+stalled <= allowed || stalled > Timeout {
			break // it was not held up again, and is there still
		}
		allowed = killedAfter + stalled
	}
	p.kill()
	<-p.ended
	stalled := e.stalls.Total()
	if took := p.endedAt.Sub(e.At); p.err != nil || took > killedAfter+stalled {
		p.t.Errorf("ended after %v: %v; killed after %v, and it was held up for %v", took, p.err, killedAfter, stalled)
	}
}

// endsWithin waits for the end of the router, and tells whether it has come.
func (p *RouterProcess) endsWithin(wait time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(wait):
		return false
	}
}
