package peer

import (
	"sync"
	"time"

	"tealpath/internal/logevent"
)

const (
	refusalInterval = 10 * time.Second // shortest time between two events of one kind
	maxRefusalKinds = 512              // number of kinds that are counted separately; beyond it all counters are reset
)

// refusals logs refused and failed connections. Of each kind it logs at most one event in refusalInterval, with the
// number of occurrences since the previous event.
type refusals struct {
	emit func(logevent.Event)

	mu    sync.Mutex
	kinds map[string]*refusal
}

// refusal counts the occurrences of one kind since the last event of that kind was logged.
type refusal struct {
	loggedAt time.Time
	times    int // occurrences since loggedAt
}

func newRefusals(emit func(logevent.Event)) refusals {
	return refusals{emit: emit, kinds: map[string]*refusal{}}
}

// repeatedEvent returns the event to log for the given number of occurrences.
type repeatedEvent func(times int) logevent.Event

// log counts an occurrence under the name of the event's kind, and logs the event unless one was logged within the
// last refusalInterval.
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

// count counts an occurrence of a kind. It returns the number of occurrences for the event that is due now, or 0 if
// none is due.
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
