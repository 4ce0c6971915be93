package peer

import (
	"sync"
	"time"

	"tealpath/internal/logevent"
)

const (
	refusalInterval = 10 * time.Second // between two events of one kind
	maxRefusalKinds = 512              // counted separately; beyond it all counters are reset
)

// refusals logs refused and failed connections: at most one event of each kind in refusalInterval, with the number
// of occurrences since the last one.
type refusals struct {
	emit func(logevent.Event)

	mu    sync.Mutex
	kinds map[string]*refusal
}

// refusal counts the occurrences of one kind since the last one that was logged.
type refusal struct {
	loggedAt time.Time
	times    int // since loggedAt
}

func newRefusals(emit func(logevent.Event)) refusals {
	return refusals{emit: emit, kinds: map[string]*refusal{}}
}

// repeatedEvent returns an event with the number of occurrences since it was last logged.
type repeatedEvent func(times int) logevent.Event

// log counts an occurrence under the event's name, and logs the event if it is due.
func (refusals *refusals) log(event repeatedEvent) {
	refusals.logKind(event(0).Kind().Name, event)
}

// logForMember is like log but counts the occurrences for each member separately.
func (refusals *refusals) logForMember(member string, event repeatedEvent) {
	refusals.logKind(event(0).Kind().Name+" "+member, event)
}

func (refusals *refusals) logKind(kind string, event repeatedEvent) {
	if times := refusals.count(kind); times > 0 {
		refusals.emit(event(times))
	}
}

// count counts an occurrence of a kind. It returns the number of occurrences to log now, or 0 to log nothing.
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
