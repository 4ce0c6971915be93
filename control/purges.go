package control

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

// purge is the last told purge of an object with all its parts, or of a group.
type purgeState struct {
	stamp int64 // Unix ns by the clock of the journal service; 0: none that can be used
	told  int64 // when it was told here, on our axis
}

// with is what stands after one more purge was told; p is nil before the first. One with an earlier stamp than the last is told again, or one of the two
// stamps is wrong: then neither counts.
func (purge *purgeState) with(now, stamp int64) *purgeState {
	if stamp <= 0 || purge != nil && stamp < purge.stamp {
		stamp = 0
	}
	return &purgeState{stamp: stamp, told: now}
}

// byStamp tells whether the stamp can be right on our axis: what was told was over.
func (purge *purgeState) byStamp(trusted bool) bool {
	return trusted && purge.stamp > 0 && purge.stamp <= purge.told
}

// purgesOf are the told purges of a retrieval's object and of its group, nil where there is none.
func (r *Router) purgesOf(request *Request) (of [2]*purgeState) {
	if len(r.purges) > 0 {
		of = [2]*purgeState{r.purges["o"+request.Object], r.purges[groupName(request.Group)]}
	}
	return of
}

// youngEnough lowers an accepted age to what the told purges leave at the sending. It is never 0, which means the fresh time.
func (r *Router) limitAgeByPurges(now int64, request *Request, age int64) int64 {
	for _, purge := range r.purgesOf(request) {
		if purge == nil {
			continue
		}
		since := purge.told
		if purge.byStamp(!r.clockAhead) {
			since = purge.stamp
		}
		if limit := max(now-since-purgeMargin, 1000); age == 0 || limit < age {
			age = limit
		}
	}
	return age
}

// issuedFrom is from when on a copy must have been issued, by its own stamp, where the accepted age goes by a purge's stamp;
// 0 is no bound.
func (r *Router) minIssuedAt(request *Request) (from int64) {
	if request.isUncacheable() {
		return 0 // no copy
	}
	for _, purge := range r.purgesOf(request) {
		if purge != nil && purge.byStamp(!r.clockAhead) {
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
	if ahead := max(0, now-issued); !r.clockLeadKnown || ahead < r.maxClockLead {
		r.maxClockLead, r.clockLeadKnown = ahead, true
	}
	return issued >= request.attempts[number].minIssuedAt
}

// distrust notes that a cache has sent an older copy than a purge's stamp allows, within the age that was asked for: our axis is
// ahead of the others' clocks. From then on purges count from when they are told.
func (r *Router) distrustStamps() {
	if !r.clockAhead {
		r.clockAhead = true
		r.log("a copy from before a purge came: this clock is ahead of others, purges count from when they are told")
	}
}

// coldSince is when a member started, on our axis. Its stamp is another machine's, and an axis that is ahead would have it
// warm too soon (rule 4). No copy can come before its issue, so the youngest that ever came shows how far ahead the axis can
// be at most; and nobody started after it was told that it had.
func (r *Router) slowStartSince(endpoint *endpointState) int64 {
	return min(endpoint.slowStartFrom, endpoint.slowStartToldAt-r.maxClockLead) + r.maxClockLead
}
