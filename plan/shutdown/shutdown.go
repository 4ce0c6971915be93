// Package shutdown decides how a router ends that was told to: until when it answers, and when it may go. It does no input
// or output and reads no clock.
//
// Source: the platform's page on planned restarts. Requests go on coming for 0.7 s after SIGTERM, and SIGKILL comes no
// sooner than the longest time a client may wait (3 s at most) and 0.7 s more.
package shutdown

import "time"

const (
	stillComing = 700 * time.Millisecond
	longestMost = 3 * time.Second
	killAfter   = 700 * time.Millisecond // beyond the longest

	// answerAfter and writeAfter are beyond the longest, too. What is in hand is answered by the first, and has until the
	// second to be written. When both were one moment, the last answers were queued in the step that ended the process,
	// and their connections were closed before they were written: 7 of 69,000 in one day of 300 routers.
	answerAfter = 350 * time.Millisecond
	writeAfter  = killAfter - 100*time.Millisecond

	// diskAfter is beyond the longest as well: until then a slow disk is waited for. The rest is for the log's last lines, which
	// take up to 0.1 s, on a busy machine.
	diskAfter = killAfter - 300*time.Millisecond

	// shutMost is for how long clients that are told that their connections end are waited for.
	shutMost = 250 * time.Millisecond
)

// Plan is one leaving.
type Plan struct {
	since   int64 // ns on the caller's monotonic axis
	longest time.Duration
	done    int64 // since when nothing is owed; 0: something is
}

// New plans a leaving that began at a time, ns on the caller's monotonic axis, for clients that wait so long at most.
func New(since int64, longest time.Duration) *Plan {
	return &Plan{since: since, longest: min(longest, longestMost)}
}

// AnswerDeadline is when the last answer is to be given, on the same axis.
func (p *Plan) AnswerDeadline() int64 { return p.since + int64(p.longest+answerAfter) }

// DiskDeadline is until when a process that has nothing else to do waits for a slow disk, Unix ns.
func (p *Plan) DiskDeadline() int64 { return p.since + int64(p.longest+diskAfter) }

// State is what a router that leaves still has.
type State struct {
	InFlight        int  // retrievals in hand
	QueuedEvents    int  // events that have come and are not seen to
	Flushed         bool // every answer has been written, and nothing has come that is not read
	OpenConnections int  // connections that have not ended, the listener with them
}

// Step is what a router that leaves does now.
type Step int

// The steps, in order. Serve goes on as before; CloseIdle tells the connections that are owed nothing that they end, and goes on
// serving the others; Exit ends the process.
const (
	Serve Step = iota
	CloseIdle
	Exit
)

func (s Step) String() string { return []string{"serve", "close idle", "exit"}[s] }

// Next says what to do now. All is over when all is answered and written, nothing comes any more, and those connections have
// ended or had their moment; or when the time is up. Closed without that moment, a connection on which something had just come
// was reset, and what its client had not read by then was lost to it.
func (p *Plan) Next(now int64, s State) Step {
	spent := time.Duration(now - p.since)
	owed := s.InFlight > 0 || s.QueuedEvents > 0 || !s.Flushed
	switch {
	case spent >= p.longest+writeAfter:
		return Exit
	case spent <= stillComing:
		return Serve
	case owed:
		p.done = 0
		return CloseIdle
	case p.done == 0:
		p.done = now
	}
	if s.OpenConnections == 0 || now-p.done >= int64(shutMost) {
		return Exit
	}
	return CloseIdle
}
