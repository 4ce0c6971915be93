package peer

import (
	"fmt"
	"sync"
	"time"
)

const (
	refusalInterval = 10 * time.Second // between two lines of one kind
	maxRefusalKinds = 512              // kept apart
)

// refusals logs what was refused, each kind at most once in a while, with how often.
type refusals struct {
	write func(line, peer, reason string)

	mu    sync.Mutex
	kinds map[string]*refusal
}

// refusal is one kind of it.
type refusal struct {
	loggedAt time.Time
	times    int // since the last line
}

func newRefusals(write func(line, peer, reason string)) refusals {
	return refusals{write: write, kinds: map[string]*refusal{}}
}

func (refusals *refusals) log(kind, peer string, err error) {
	times := refusals.count(kind)
	if times == 0 {
		return
	}
	line := kind
	if times > 1 {
		line = fmt.Sprintf("%s (%d times)", kind, times)
	}
	refusals.write(line, peer, err.Error())
}

// count counts one more of a kind, and returns how many a line is to tell of now; 0 is none.
func (refusals *refusals) count(kind string) (times int) {
	refusals.mu.Lock()
	defer refusals.mu.Unlock()
	counted := refusals.kinds[kind]
	if counted == nil {
		if len(refusals.kinds) > maxRefusalKinds {
			clear(refusals.kinds)
		}
		counted = &refusal{}
		refusals.kinds[kind] = counted
	}
	counted.times++
	if time.Since(counted.loggedAt) < refusalInterval {
		return 0
	}
	times = counted.times
	counted.times, counted.loggedAt = 0, time.Now()
	return times
}
