// Package leave decides how a router ends that was told to: until when it answers, and when it may go. It does no input
// or output and reads no clock.
//
// Source: the platform's page on planned restarts. Requests go on coming for 0.7 s after SIGTERM, and SIGKILL comes no
// sooner than the longest time a client may wait (3 s at most) and 0.7 s more.
package leave

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
)

// Plan is one leaving.
type Plan struct {
	since   int64 // Unix ns
	longest time.Duration
}

// New plans a leaving that began at a time, Unix ns, for clients that wait so long at most.
func New(since int64, longest time.Duration) *Plan {
	return &Plan{since: since, longest: min(longest, longestMost)}
}

// AnswerBy is when the last answer is to be given, Unix ns.
func (p *Plan) AnswerBy() int64 { return p.since + int64(p.longest+answerAfter) }

// State is what a router that leaves still has.
type State struct {
	Hands   int  // retrievals in hand
	Queued  int  // events that have come and are not seen to
	Flushed bool // every answer has been written, and nothing has come that is not read
}

// Over tells whether the router may go: when all is answered and written and nothing comes any more, or when its time is up.
func (p *Plan) Over(now int64, s State) bool {
	spent := time.Duration(now - p.since)
	if spent >= p.longest+writeAfter {
		return true
	}
	return spent > stillComing && s.Hands == 0 && s.Queued == 0 && s.Flushed
}
