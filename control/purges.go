package control

import "fmt"

// Rule 5: after a purge and its grace nothing is served from an older copy, whichever way a clock is off.
//
// A purge comes with its stamp, by the journal service's clock; a copy comes with the time of its issue, by the origin's. Cache
// servers compare a copy's age with a span, so the purge's time has to be put on our axis, and that may be ahead of the others'
// clocks or behind them. Two proofs hold without knowing by how much, and each answer has one of them:
//
//   - The accepted age reaches back to when the purge was told here at most. Nobody is told of a purge before it took place, so
//     a copy that young was issued after it. This is the span wherever the stamp can't be right on our axis.
//   - The copy's issue is not before the purge's stamp. Neither of the two is a reading of ours.
//
// docs/architecture.md, "Time", has the cases.

// purgeMargin is what the accepted age stays under the time since a purge: stamps are in whole ms.
const purgeMargin = second / 1000

// purgeState is the last told purge of an object with all its parts, or of a group.
type purgeState struct {
	stamp int64 // Unix ns by the clock of the journal service; 0: none that can be used
	told  int64 // when it was told here, on our axis
}

// with is what stands after one more purge was told; the receiver is nil before the first. One with an earlier stamp than the last is
// told again, or one of the two stamps is wrong: then neither counts.
func (purge *purgeState) with(now, stamp int64) *purgeState {
	if stamp <= 0 || purge != nil && stamp < purge.stamp {
		stamp = 0
	}
	return &purgeState{stamp: stamp, told: now}
}

// purgeLog is the told purges that still matter, and what is known of our axis beside others' clocks.
type purgeLog struct {
	last           map[string]*purgeState // by object, and by group under its number
	clockAhead     bool                   // an entry from before a purge came: our axis is ahead of others' clocks
	maxClockLead   int64                  // ns; by how much it can be ahead at most, by the youngest entry that came
	clockLeadObserved bool
}

func newPurgeLog() purgeLog { return purgeLog{last: map[string]*purgeState{}} }

// purgeName is under what a purge is kept.
func purgeName(object string, group int64) string {
	if object == "" {
		return groupName(group)
	}
	return "o" + object
}

func groupName(group int64) string { return fmt.Sprint("g", group) }

// told notes a purge under its name.
func (l *purgeLog) told(now int64, name string, stamp int64) {
	l.last[name] = l.last[name].with(now, stamp)
}

// removeExpired drops what took place so long ago that all caches and parents have dropped older entries by themselves.
func (l *purgeLog) removeExpired(now, duration int64) {
	for name, purge := range l.last {
		if now > purge.told+duration+second/2 {
			delete(l.last, name)
		}
	}
}

// of gives the told purges of a request's object and of its group, nil where there is none.
func (l *purgeLog) of(request *Request) (found [2]*purgeState) {
	if len(l.last) > 0 {
		found = [2]*purgeState{l.last["o"+request.Object], l.last[groupName(request.Group)]}
	}
	return found
}

// trustsTimestamp tells whether a purge's stamp can be right on our axis: what was told was over.
func (l *purgeLog) trustsTimestamp(purge *purgeState) bool {
	return !l.clockAhead && purge.stamp > 0 && purge.stamp <= purge.told
}

// observeIssue notes when an entry was issued, Unix ns by the origin's clock.
func (l *purgeLog) observeIssue(now, issued int64) {
	if ahead := max(0, now-issued); !l.clockLeadObserved || ahead < l.maxClockLead {
		l.maxClockLead, l.clockLeadObserved = ahead, true
	}
}

// Purge tells of a purge of one object with all its parts or, with no object, of a group. Its stamp is Unix ns by the clock of the
// journal service.
func (r *Router) Purge(now int64, object string, group, stamp int64) {
	r.purges.told(now, purgeName(object, group), stamp)
	r.rates.countPurge(now, object, group)
}

// limitAgeByPurges lowers an accepted age to what the told purges leave at the sending. It is never 0, which means the fresh time.
func (r *Router) limitAgeByPurges(now int64, request *Request, age int64) int64 {
	for _, purge := range r.purges.of(request) {
		if purge == nil {
			continue
		}
		since := purge.told
		if r.purges.trustsTimestamp(purge) {
			since = purge.stamp
		}
		if limit := max(now-since-purgeMargin, 1000); age == 0 || limit < age {
			age = limit
		}
	}
	return age
}

// minIssuedAt is from when on a copy must have been issued, by its own stamp, where the accepted age goes by a purge's stamp;
// 0 is no bound.
func (r *Router) minIssuedAt(request *Request) (from int64) {
	if request.isUncacheable() {
		return 0 // no copy
	}
	for _, purge := range r.purges.of(request) {
		if purge != nil && r.purges.trustsTimestamp(purge) {
			from = max(from, purge.stamp)
		}
	}
	return from
}

// AcceptsCopy tells whether a copy may be served that an attempt of a request has brought, issued at a Unix time in ns by the
// origin's clock; 0 or less is no copy. One that may not ends its attempt as Stale.
func (r *Router) AcceptsCopy(now int64, request *Request, number int, issued int64) bool {
	if issued <= 0 || number < 0 || number >= len(request.attempts) {
		return true
	}
	r.purges.observeIssue(now, issued)
	return issued >= request.attempts[number].minIssuedAt
}

// distrustTimestamps notes that a cache has sent an older copy than a purge's stamp allows, within the age that was asked for: our axis is
// ahead of the others' clocks. From then on purges count from when they are told.
func (r *Router) distrustTimestamps() {
	if !r.purges.clockAhead {
		r.purges.clockAhead = true
		r.log(ClockAhead{})
	}
}

// slowStartSince is when an endpoint started, on our axis. Its stamp is another machine's, and an axis that is ahead would have it
// warm too soon (rule 4). No copy can come before its issue, so the youngest that ever came shows how far ahead the axis can
// be at most; and nobody started after it was told that it had.
func (r *Router) slowStartSince(endpoint *endpointState) int64 {
	return min(endpoint.slowStartFrom, endpoint.slowStartReportedAt-r.purges.maxClockLead) + r.purges.maxClockLead
}
