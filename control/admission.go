package control

import "math"

const (
	// The limits are in attempts in flight for the caches' capacity.
	maxAdmissionLimit = 4.
	minAdmissionLimit = 0.3

	// An answer in time raises its limit, more while that is tight: stalls outlasted themselves by 10 s. A late one takes a part off.
	limitIncrease      = 0.006
	tightLimitIncrease = 0.018
	limitDecrease      = 0.08

	// tightShare is the part of its initial value below which a limit is tight, until it has come back to that value.
	tightShare = 0.5

	lowValueShare = 0.7 // least part of a limit for classes that earn less for their sending time, and for clients' retries
	moreValuable  = 2.  // times as much for its sending time, from which another class goes first
	reserveFactor = 2.  // times the part that such classes ask for is kept for them
	minOffered    = 0.01

	maxToleranceFactor = 2.  // most part for a class whose answers stand more of a jam
	underservedFactor  = 1.5 // part for a class that was let in less than underservedShare of what others were
	underservedShare   = 0.7

	divertShare = 0.5 // of the limit for hits, under which a cache may fill what is another's
)

// initialAdmissionLimits are the limits by kind at the start.
var initialAdmissionLimits = [kinds]float64{2, 1.2, 0.4}

// admission keeps what is in flight to what comes in time, learned from how much does: additive increase, multiplicative
// decrease (Chiu and Jain, Analysis of the increase and decrease algorithms, 1989).
type admission struct {
	limits [kinds]float64
	tight  [kinds]bool
}

// answeredInTime raises a limit.
func (a *admission) answeredInTime(kind attemptKind) {
	increase := limitIncrease
	if a.tight[kind] {
		increase = tightLimitIncrease
	}
	a.limits[kind] = min(a.limits[kind]+increase, maxAdmissionLimit)
}

// answeredLate lowers a limit.
func (a *admission) answeredLate(kind attemptKind) {
	a.limits[kind] = max(a.limits[kind]*(1-limitDecrease), minAdmissionLimit)
}

// updateTight tells whether a limit has become tight, or is so no more.
func (a *admission) updateTight(kind attemptKind) (changed bool) {
	limit, initial := a.limits[kind], initialAdmissionLimits[kind]
	changed = a.tight[kind] && limit > initial || !a.tight[kind] && limit < initial*tightShare
	if !changed {
		return false
	}
	a.tight[kind] = !a.tight[kind]
	if kind == fills {
		a.limits[fetches] = initialAdmissionLimits[fetches]
	}
	return true
}

// adjustLimit lets a limit follow from how an attempt of its kind ended.
func (r *Router) adjustLimit(attempt *attemptState, found finding) {
	kind := attempt.kind
	switch {
	case found.succeededInTime():
		r.admission.answeredInTime(kind)
	case (found.result == Succeeded || found.timedOut) && !attempt.cache.ejected && (attempt.source == nil || !attempt.source.ejected):
		r.admission.answeredLate(kind)
	}
	limit := r.admission.limits[kind]
	if !r.admission.updateTight(kind) {
		return
	}
	limit = rounded(limit, limitDecimals)
	if r.admission.tight[kind] {
		r.log(AdmissionLimitReduced{RequestKind: kind.String(), Limit: limit})
	} else {
		r.log(AdmissionLimitRestored{RequestKind: kind.String(), Limit: limit})
	}
}

// admits tells whether an attempt may go to a cache now: likely hits by the load of the cache's link, likely fills by that of all
// caches' together. Beyond the limit all get late together, and the jam outlives its cause. What earns least for its sending time
// goes first, and clients' retries: most are late already. It covers jumps in traffic, crowding, empty caches, a slow source; it
// hurts where answers are late for a moment only.
func (r *Router) admits(now int64, request *Request, cache *endpointState) bool {
	load, kind := r.load(now, cache), request.nextKind(now)
	limit := r.admission.limits[kind]
	switch {
	case kind == fills && request.isUncacheable():
		limit = r.admission.limits[hits] // runs at the origin, and takes next to nothing of the links for fills
	case kind != hits:
		load = float64(r.inFlight.withinObjective(now, r.endpoints)[kind]) * r.effectiveSharers() / r.locationCapacity(now)
	}
	if request.ClientRetry {
		limit *= lowValueShare
	}
	return load < limit*r.admissionShare(now, request)
}

// admissionShare is the part of a limit that is open to a request, by its class. Kept free of it is what classes worth twice as
// much for their sending time ask for, twice over. A class whose answers stand more of a jam than others' may go beyond the
// limit, as it comes and goes fast; so may one that was let in far less than others: else the best alone could fill the limit,
// and one class was hardly served.
func (r *Router) admissionShare(now int64, request *Request) float64 {
	class := request.class
	value := class.PriorityWeight / r.sendingTime(request)
	leastTolerance := math.Inf(1)
	var offered, admitted, betterOffered float64
	for _, other := range r.classes {
		work := other.offered.at(now)
		offered += work
		admitted += other.admitted.at(now)
		if other.PriorityWeight/other.sendingTime > moreValuable*value {
			betterOffered += work
		}
		if other.samples > initialSamples {
			leastTolerance = min(leastTolerance, other.delayTolerance())
		}
	}
	share := 1 - min(1-lowValueShare, reserveFactor*betterOffered/max(offered, minOffered))
	if class.delayTolerance() > leastTolerance {
		share *= min(maxToleranceFactor, class.delayTolerance()/leastTolerance)
	}
	if class.admitted.at(now)*offered < underservedShare*admitted*class.offered.at(now) {
		share *= underservedFactor
	}
	return share
}

// mayAskCacheOnly tells whether a request that is not admitted as a fill is to ask its first cache for what that holds. In a thin
// slice what is kept is unknown: half of what was taken for fills were hits, and a jam of the sources turned all away. Only where
// any entry that the cache may serve will do, and nothing was asked yet.
func (r *Router) mayAskCacheOnly(now int64, request *Request, cache *endpointState) bool {
	age, _ := r.maxAge(now, request)
	fresh := request.class.FreshDuration
	anyEntryWillDo := age == 0 || fresh > 0 && age >= fresh
	return request.nextKind(now) == fills && len(request.attempts) == 0 && !request.isUncacheable() && anyEntryWillDo &&
		r.load(now, cache) < r.admission.limits[hits]*lowValueShare
}

// asksOnlyIfCached tells whether a parent is first asked for what it holds: while fills are tight, and fetches come in time no
// better.
func (r *Router) asksOnlyIfCached(attempt *attemptState) bool {
	return attempt.kind == fills && r.admission.tight[fills] && r.admission.limits[fetches] < r.admission.limits[fills] &&
		attempt.source != r.origin
}
