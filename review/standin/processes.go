package main

import (
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
)

// processes are the processes that a case has started. All of them are killed when it ends, however it ends.
type processes struct {
	mu      sync.Mutex
	all     []*os.Process
	ended   bool
	waiting sync.WaitGroup
}

var started processes

// start starts a command, unless the case has ended.
func (p *processes) start(command *exec.Cmd) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return os.ErrProcessDone
	}
	if err := command.Start(); err != nil {
		return err
	}
	p.all = append(p.all, command.Process)
	p.waiting.Go(func() { command.Wait() })
	return nil
}

// end kills all processes and returns once they have ended.
func (p *processes) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, process := range p.all {
		process.Signal(syscall.SIGKILL)
	}
	p.waiting.Wait()
}

// endOnSignal ends all processes, and this one, if this one is asked to end.
func (p *processes) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		p.end()
		os.Exit(couldntRun)
	}()
}
