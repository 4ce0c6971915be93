package testcluster

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Command describes how to start a router process.
type Command struct {
	Binary       string
	Config       string // path of its configuration file
	OperatorFile string // path of its operator's file; empty is none
	ShareCore    bool   // run on RouterCore only
}

// Process is a router process.
type Process struct {
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended and its log was read completely
}

// StartProcess starts a router and calls onLine with each event that the router logs, until the process ends.
func StartProcess(command Command, onLine func(LogLine)) (*Process, error) {
	process, output, err := command.start()
	if err != nil {
		return nil, err
	}
	go process.readLog(output, func(raw []byte) {
		if line, ok := parseLogLine(raw); ok {
			onLine(line)
		}
	})
	return process, nil
}

// start starts the process. The caller must pass the output to readLog.
func (c Command) start() (*Process, io.Reader, error) {
	arguments := []string{"serve"}
	if c.OperatorFile != "" {
		arguments = append(arguments, "--operator", c.OperatorFile)
	}
	command := exec.Command(c.Binary, arguments...)
	command.Env = append(os.Environ(), "LB_CONFIG="+c.Config)
	output, err := command.StderrPipe()
	if err != nil {
		return nil, nil, err
	}
	start := command.Start
	if c.ShareCore {
		start = func() error { return startOnCore(command, RouterCore) }
	}
	if err := start(); err != nil {
		return nil, nil, err
	}
	return &Process{command: command, ended: make(chan struct{})}, output, nil
}

// readLog calls onLine with each line that the process logs, until the process ends.
func (p *Process) readLog(output io.Reader, onLine func([]byte)) {
	defer close(p.ended)
	for lines := bufio.NewScanner(output); lines.Scan(); {
		onLine(lines.Bytes())
	}
	_ = p.command.Wait() // the error only says how the process ended
}

// PID returns the process ID, even if the process has ended.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process. It returns an error if the process has ended.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// KillAndWait kills the process, even while it is stopped by SIGSTOP, and waits until it has ended.
func (p *Process) KillAndWait() {
	p.kill()
	<-p.ended
}

// kill kills the process. It does nothing if the process has ended.
func (p *Process) kill() {
	_ = p.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
}

// LogLine is one event that a router logged.
type LogLine struct {
	At          time.Time // when this process read the line
	Instance    string
	Incarnation int    // which start of the instance logged the event, counted from 1
	Event       string // name of the event
	Text        string // the complete line
	Phase       string
	Slots       []int
	Ballot      uint64
	Member      string // name of the member that the event is about
}

// parseLogLine parses a line of a log. It returns false if the line is not a JSON object.
func parseLogLine(raw []byte) (LogLine, bool) {
	var fields struct {
		Event, Phase, Member string
		Slots                []int
		Ballot               uint64
	}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return LogLine{}, false
	}
	return LogLine{
		At:     time.Now(),
		Event:  fields.Event,
		Text:   string(raw),
		Phase:  fields.Phase,
		Slots:  fields.Slots,
		Ballot: fields.Ballot,
		Member: fields.Member,
	}, true
}
