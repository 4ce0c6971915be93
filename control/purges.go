package control

import "fmt"

// After a purge, no older cache entry may be served, even if this machine's clock is wrong (rule 5 in
// docs/design.md).
//
// The timestamp of a purge comes from the clock of the discovery service, the issue time of a cache entry from the
// clock of the origin. Cache servers compare the age of an entry with an accepted age, so the router has to convert
// the timestamp of a purge to its own clock, which may be ahead of the other clocks or behind them by an unknown
// amount. Two checks are valid nevertheless, and each response must pass one of them:
//
//   - The accepted age reaches back no further than the arrival of the purge at this router. A purge cannot arrive
//     before it took place, so an entry that is no older than this was issued after the purge. This check is used
//     if the timestamp may be wrong.
//   - The entry was not issued before the purge's timestamp. Neither of these times is read from this router's clock.
//
// docs/time.md has the details.

const (
	// purgeMargin is subtracted, in ns, from the time since a purge to get the accepted age, because timestamps are
	// in whole ms.
	purgeMargin = second / 1000

	// minPurgedMaxAge is the lowest value, in ns, to which a purge limits Attempt.MaxAge, the age of the oldest cache
	// entry that may be served. It is not 0, because a MaxAge of 0 stands for the class's fresh duration, so it could
	// allow entries from before the purge.
	minPurgedMaxAge = 1000

	// purgeExpiryMargin is how long, in ns, a purge is kept beyond Settings.PurgeDuration, after which no cache has
	// an entry from before the purge any more.
	purgeExpiryMargin = second / 2
)

// purgeState is the last purge of an object with all its parts, or of a group.
type purgeState struct {
	purgedAt   int64 // Unix ns by the clock of the discovery service; 0: not known, or invalid
	receivedAt int64 // ns by this router's clock; when the purge arrived here
}

// followedBy returns the state after another purge. The receiver is nil for the first purge. If the new timestamp is
// earlier than the last one, the purge is a duplicate or one of the two timestamps is wrong, so neither timestamp is
// used.
func (purge *purgeState) followedBy(now, purgedAt int64) *purgeState {
	if purgedAt <= 0 || purge != nil && purgedAt < purge.purgedAt {
		purgedAt = 0
	}
	return &purgeState{purgedAt: purgedAt, receivedAt: now}
}

// purgeLog holds the recent purges, and what is known about the offset of this router's clock from other clocks.
type purgeLog struct {
	last              map[string]*purgeState // last purge of each object and group, by purgeKey
	clockAhead        bool                   // a Stale response has shown that this router's clock is ahead of others
	maxClockLead      int64                  // ns; this clock is ahead by at most this; set if clockLeadObserved
	clockLeadObserved bool
}

func newPurgeLog() purgeLog { return purgeLog{last: map[string]*purgeState{}} }

// purgeKey returns the key in purgeLog of an object or, if object is empty, of a group. Snapshots store the key.
func purgeKey(object string, group int64) string {
	if object == "" {
		return groupPurgeKey(group)
	}
	return objectPurgeKey(object)
}

func objectPurgeKey(object string) string { return "o" + object }

func groupPurgeKey(group int64) string { return fmt.Sprint("g", group) }

// add registers a purge of the object or group with a key; see purgeKey.
func (l *purgeLog) add(now int64, key string, purgedAt int64) {
	l.last[key] = l.last[key].followedBy(now, purgedAt)
}

// removeExpired removes the purges that are no longer needed, because caches and parents drop any entry from before a
// purge by themselves within duration, in ns.
func (l *purgeLog) removeExpired(now, duration int64) {
	for key, purge := range l.last {
		if now > purge.receivedAt+duration+purgeExpiryMargin {
			delete(l.last, key)
		}
	}
}

// forRequest returns the last purges of a request's object and of its group. Each is nil if there is none.
func (l *purgeLog) forRequest(request *Request) (found [2]*purgeState) {
	if len(l.last) > 0 {
		found = [2]*purgeState{l.last[objectPurgeKey(request.Object)], l.last[groupPurgeKey(request.Group)]}
	}
	return found
}

// trustsTimestamp reports whether a purge's timestamp can be compared with this router's clock: this clock is not
// known to be ahead of others, and the timestamp is not after the arrival of the purge.
func (l *purgeLog) trustsTimestamp(purge *purgeState) bool {
	return !l.clockAhead && purge.purgedAt > 0 && purge.purgedAt <= purge.receivedAt
}

// observeIssue updates maxClockLead from the issue time of a received entry, in Unix ns by the origin's clock. An
// entry cannot arrive before its issue, so this clock is ahead by no more than the apparent age of the entry.
func (l *purgeLog) observeIssue(now, issuedAt int64) {
	lead := max(0, now-issuedAt)
	if !l.clockLeadObserved || lead < l.maxClockLead {
		l.maxClockLead, l.clockLeadObserved = lead, true
	}
}

// Purge registers a purge of one object with all its parts or, if object is empty, of a group. purgedAt is the
// timestamp of the purge in Unix ns, by the clock of the discovery service.
func (r *Router) Purge(now int64, object string, group, purgedAt int64) {
	r.purges.add(now, purgeKey(object, group), purgedAt)
	r.rates.countPurge(now, object, group)
}

// limitAgeByPurges limits an accepted age, in ns, to the time since the last purge of the request's object or group.
// It does not return 0 for an object that was purged, because 0 would mean the fresh duration.
func (r *Router) limitAgeByPurges(now int64, request *Request, age int64) int64 {
	for _, purge := range r.purges.forRequest(request) {
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

// minIssuedAt returns the earliest issue time of an entry that may be served for a request, in Unix ns by the
// origin's clock. It returns 0, which is no limit, unless the timestamp of a purge determines the accepted age.
func (r *Router) minIssuedAt(request *Request) (earliest int64) {
	if request.isUncacheable() {
		return 0
	}
	for _, purge := range r.purges.forRequest(request) {
		if purge != nil && r.purges.trustsTimestamp(purge) {
			earliest = max(earliest, purge.purgedAt)
		}
	}
	return earliest
}

// AcceptsEntry reports whether the response to an attempt may be served, given the last purge that was known when
// the attempt was sent. issuedAt is the issue time of the cache entry in Unix ns, by the origin's clock; 0 or less
// means that the response is not from a cache entry. If the response may not be served, the caller must end the
// attempt with the result Stale.
func (r *Router) AcceptsEntry(now int64, request *Request, number int, issuedAt int64) bool {
	if issuedAt <= 0 || number < 0 || number >= len(request.attempts) {
		return true
	}
	r.purges.observeIssue(now, issuedAt)
	return issuedAt >= request.attempts[number].minIssuedAt
}

// distrustTimestamps makes purges count from their arrival instead of their timestamps. It is called when a cache has
// sent an entry that was issued before a purge's timestamp although it observed the accepted age, which shows that
// this clock is ahead of others.
func (r *Router) distrustTimestamps() {
	if !r.purges.clockAhead {
		r.purges.clockAhead = true
		r.log(ClockAhead{})
	}
}
