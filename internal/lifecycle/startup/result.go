package startup

import "fmt"

// CallResult is how a call of the discovery service ended, or the connection that it made.
type CallResult int

// The results.
const (
	Refused      CallResult = iota // the connection was refused: no process listens there
	Unreachable                    // dialling timed out
	Unanswered                     // the call was accepted, and nothing came
	Disconnected                   // the connection ended after something had come
	Silent                         // nothing came any more after something had
	Truncated                      // it ended or stalled inside an event, or before anything complete had come
	LocalError                     // this machine could not make the call, which says nothing of the service
)

// resultNames are the words of the log line, which docs/oncall.md names.
var resultNames = [...]string{
	Refused: "refused", Unreachable: "unreached", Unanswered: "unanswered", Disconnected: "broke", Silent: "silent",
	Truncated: "cut", LocalError: "not called",
}

func (r CallResult) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return fmt.Sprintf("result %d", int(r))
	}
	return resultNames[r]
}
