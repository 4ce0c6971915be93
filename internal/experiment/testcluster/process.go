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

// Command holds the options with which a router process is started.
type Command struct {
	Binary       string
	Config       string // path of the configuration file
	OperatorFile string // path of the operator's file; empty: there is none
	ShareCore    bool   // the process runs on RouterCore only
}

// Process is a router process.
type Process struct {
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended and its whole log was read
}

// StartProcess starts a router and calls onLine with each line of its log, until the process ends.
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

// start starts the process and returns its log output. The caller must call readLog with the output.
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

// readLog reads the log until the process ends, and calls onLine with each line.
func (p *Process) readLog(output io.Reader, onLine func([]byte)) {
	defer close(p.ended)
	for lines := bufio.NewScanner(output); lines.Scan(); {
		onLine(lines.Bytes())
	}
	_ = p.command.Wait() // errors are ignored: Wait returns one for each process that was killed
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// KillAndWait kills the process, even if it is stopped, and waits until it has ended.
func (p *Process) KillAndWait() {
	p.kill()
	<-p.ended
}

// kill kills the process. It has no effect if the process has ended already.
func (p *Process) kill() {
	_ = p.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
}

// LogLine is one event that an instance logged.
type LogLine struct {
	At          time.Time // when the line was read
	Instance    string
	Incarnation int    // incarnation of the instance that logged it
	Event       string // name of the event
	Text        string // the complete line
	Phase       string
	Slots       []int
	Ballot      uint64
	Member      string // the instance that the event is about
}

// parseLogLine parses a line of JSON. It returns false if the line is not valid.
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
