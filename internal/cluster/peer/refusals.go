package peer

import (
	"sync"
	"time"

	"tealpath/internal/logevent"
)

const (
	refusalInterval = 10 * time.Second // between two events of one kind
	maxRefusalKinds = 512              // kept apart
)

// refusals logs what was refused, each kind at most once in a while, with how often.
type refusals struct {
	emit func(logevent.Event)

	mu    sync.Mutex
	kinds map[string]*refusal
}

// refusal is one kind of it.
type refusal struct {
	loggedAt time.Time
	times    int // since the last event
}

func newRefusals(emit func(logevent.Event)) refusals {
	return refusals{emit: emit, kinds: map[string]*refusal{}}
}

// repeatedEvent makes an event that says how often it happened since it was logged last.
type repeatedEvent func(times int) logevent.Event

// log logs an event whose type is its kind.
func (refusals *refusals) log(event repeatedEvent) {
	refusals.logKind(event(0).Kind().Name, event)
}

// logOf logs an event of which there is one kind for each member.
func (refusals *refusals) logOf(member string, event repeatedEvent) {
	refusals.logKind(event(0).Kind().Name+" "+member, event)
}

func (refusals *refusals) logKind(kind string, event repeatedEvent) {
	if times := refusals.count(kind); times > 0 {
		refusals.emit(event(times))
	}
}

// count counts one more of a kind, and returns how many an event is to report now; 0 is none.
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
