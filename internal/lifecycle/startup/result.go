package startup

import "fmt"

// CallResult is how a call of the discovery service, or the connection that it opened, has ended.
type CallResult int

// Results of a call.
const (
	Refused      CallResult = iota // the connection was refused: no process listens there
	Unreachable                    // the attempt to connect timed out
	Unanswered                     // the connection was accepted, but nothing was received
	Disconnected                   // the connection ended after data was received
	Silent                         // data was received at first, and then none until the timeout
	Truncated                      // the connection ended or stalled before an event or the first comment was complete
	LocalError                     // this machine could not make the call; the service is not at fault
)

// resultNames are the names of results in log lines, which docs/oncall.md explains.
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
