package control

import "fmt"

// After a purge nothing may be served from an older cache entry, however far this machine's clock is off (rule
// 5 in docs/design.md).
//
// A purge carries a timestamp by the clock of the discovery service, a cache entry the time of its issue by the
// origin's clock. Cache servers compare an entry's age with a span, so a purge's time has to be mapped to this
// router's clock, which may be ahead of the others or behind them by an unknown time. Two checks hold
// nevertheless, and each answer passes one:
//
//   - The accepted age reaches back no further than to the arrival of the purge here. A purge cannot arrive
//     before it took place, so an entry that young was issued after it. This check is used where the timestamp
//     may be wrong.
//   - The entry was not issued before the purge's timestamp. Neither of the two times is a reading of this clock.
//
// docs/time.md has the cases.

const (
	// purgeMargin is by how much the accepted age stays below the time since a purge, ns: timestamps are in
	// whole ms.
	purgeMargin = second / 1000

	// minPurgedMaxAge is the lowest accepted age after a purge, in ns: 0 would mean the fresh duration.
	minPurgedMaxAge = 1000

	// purgeExpiryMargin is for how long a purge is kept beyond the time in which caches drop older entries by
	// themselves; ns.
	purgeExpiryMargin = second / 2
)

// purgeState is the last purge of an object with all its parts, or of a group.
type purgeState struct {
	purgedAt   int64 // Unix ns by the clock of the discovery service; 0 if it is not known or cannot be right
	receivedAt int64 // when it arrived here, by this router's clock
}

// with returns the state after one more purge; the receiver is nil for the first. If that has an earlier
// timestamp than the last, either it came twice or one of the timestamps is wrong, and neither is used.
func (purge *purgeState) with(now, purgedAt int64) *purgeState {
	if purgedAt <= 0 || purge != nil && purgedAt < purge.purgedAt {
		purgedAt = 0
	}
	return &purgeState{purgedAt: purgedAt, receivedAt: now}
}

// purgeLog holds the recent purges, and what is known about this router's clock in comparison with others.
type purgeLog struct {
	last              map[string]*purgeState // by purgeName
	clockAhead        bool                   // an entry from before a purge came: this clock is ahead of others
	maxClockLead      int64                  // ns; by how much it can be ahead at most, by the entries that came
	clockLeadObserved bool
}

func newPurgeLog() purgeLog { return purgeLog{last: map[string]*purgeState{}} }

// purgeName returns the key of a purge of an object or, without an object, of a group. Snapshots store it.
func purgeName(object string, group int64) string {
	if object == "" {
		return groupName(group)
	}
	return objectName(object)
}

func objectName(object string) string { return "o" + object }

func groupName(group int64) string { return fmt.Sprint("g", group) }

// add registers a purge.
func (l *purgeLog) add(now int64, name string, purgedAt int64) {
	l.last[name] = l.last[name].with(now, purgedAt)
}

// removeExpired drops purges that are so old that all caches and parents have dropped older entries by
// themselves. duration is for how long a purge matters, ns.
func (l *purgeLog) removeExpired(now, duration int64) {
	for name, purge := range l.last {
		if now > purge.receivedAt+duration+purgeExpiryMargin {
			delete(l.last, name)
		}
	}
}

// of returns the last purges of a request's object and of its group; each is nil if there is none.
func (l *purgeLog) of(request *Request) (found [2]*purgeState) {
	if len(l.last) > 0 {
		found = [2]*purgeState{l.last[objectName(request.Object)], l.last[groupName(request.Group)]}
	}
	return found
}

// trustsTimestamp reports whether a purge's timestamp can be right by this router's clock: it is not after the
// arrival.
func (l *purgeLog) trustsTimestamp(purge *purgeState) bool {
	return !l.clockAhead && purge.purgedAt > 0 && purge.purgedAt <= purge.receivedAt
}

// observeIssue learns from the time at which an entry was issued, Unix ns by the origin's clock. No entry comes
// before its issue, so this clock is ahead by no more than the entry seems old.
func (l *purgeLog) observeIssue(now, issuedAt int64) {
	lead := max(0, now-issuedAt)
	if !l.clockLeadObserved || lead < l.maxClockLead {
		l.maxClockLead, l.clockLeadObserved = lead, true
	}
}

// Purge registers a purge of one object with all its parts or, without an object, of a group. purgedAt is its
// timestamp, Unix ns by the clock of the discovery service.
func (r *Router) Purge(now int64, object string, group, purgedAt int64) {
	r.purges.add(now, purgeName(object, group), purgedAt)
	r.rates.countPurge(now, object, group)
}

// limitAgeByPurges lowers an accepted age, in ns, to the time since the last purge of the request's object or
// group. It does not return 0 for an object that was purged, as that would mean the fresh duration.
func (r *Router) limitAgeByPurges(now int64, request *Request, age int64) int64 {
	for _, purge := range r.purges.of(request) {
		if purge == nil {
			continue
		}
		since := purge.receivedAt
		if r.purges.trustsTimestamp(purge) {
			since = purge.purgedAt
		}
		limit := max(now-since-purgeMargin, minPurgedMaxAge)
		if age == 0 || limit < age {
			age = limit
		}
	}
	return age
}

// minIssuedAt returns the time before which no entry may have been issued that answers a request, Unix ns by
// the origin's clock. It is 0, no bound, unless the accepted age follows from the timestamp of a purge.
func (r *Router) minIssuedAt(request *Request) (earliest int64) {
	if request.isUncacheable() {
		return 0
	}
	for _, purge := range r.purges.of(request) {
		if purge != nil && r.purges.trustsTimestamp(purge) {
			earliest = max(earliest, purge.purgedAt)
		}
	}
	return earliest
}

// AcceptsCopy reports whether the answer to an attempt may be served, by the last purge that was known when the
// attempt was sent. issuedAt is when its cache entry was issued, Unix ns by the origin's clock; 0 or less is no
// cache entry. An answer that may not be served ends its attempt with the result Stale.
func (r *Router) AcceptsCopy(now int64, request *Request, number int, issuedAt int64) bool {
	if issuedAt <= 0 || number < 0 || number >= len(request.attempts) {
		return true
	}
	r.purges.observeIssue(now, issuedAt)
	return issuedAt >= request.attempts[number].minIssuedAt
}

// distrustTimestamps is called when a cache has sent an older entry than a purge's timestamp allows, though it
// kept to the accepted age: this clock is ahead of others. From then on purges count from their arrival.
func (r *Router) distrustTimestamps() {
	if !r.purges.clockAhead {
		r.purges.clockAhead = true
		r.log(ClockAhead{})
	}
}
