package control

import "math"

const (
	// Bounds of every admission limit, in attempts in flight as a multiple of the caches' capacity.
	maxAdmissionLimit = 4.
	minAdmissionLimit = 0.3

	// An answer in time raises the limit of its kind by a fixed amount, and by more while that limit is
	// reduced: otherwise traffic would be rejected long after an overload is over. A late answer lowers the
	// limit by a part of it.
	limitIncrease        = 0.006
	reducedLimitIncrease = 0.018
	limitDecrease        = 0.08

	// reducedShare is the part of its initial value below which a limit counts as reduced, until it is back at
	// that value.
	reducedShare = 0.5

	// lowValueShare is the part of a limit that is open to clients' retries, and the least part that is open to
	// a class of low value.
	lowValueShare = 0.7

	// higherValueRatio is how many times the value of another (priority weight by sending time) a class has to
	// have for a part of the limit to be reserved for it, which is reserveFactor times its part of the offered
	// work.
	higherValueRatio = 2.
	reserveFactor    = 2.

	// minOffered is the least offered work that is divided by, s. It avoids a division by 0.
	minOffered = 0.01

	// maxToleranceFactor bounds by how much a class that tolerates longer delays may exceed the limit.
	maxToleranceFactor = 2.

	// underservedFactor is by how much a class may exceed its part of the limit if the admitted part of its
	// requests is less than underservedShare of that of all classes.
	underservedFactor = 1.5
	underservedShare  = 0.7

	// divertShare is the part of the limit for hits below which the load of a cache has to be for it to fill an
	// object whose home cache is at its limit.
	divertShare = 0.5
)

// initialAdmissionLimits are the limits by kind at the start.
var initialAdmissionLimits = [kinds]float64{2, 1.2, 0.4}

// admission holds the admission limits, one for each kind of attempts. They follow from how many answers come
// in time: additive increase, multiplicative decrease (Chiu and Jain, Analysis of the increase and decrease
// algorithms, 1989).
type admission struct {
	limits  [kinds]float64 // attempts in flight, as a multiple of the caches' capacity
	reduced [kinds]bool    // the limit fell below reducedShare of its initial value and is not back at it yet
}

// answeredInTime raises a limit.
func (a *admission) answeredInTime(kind attemptKind) {
	increase := limitIncrease
	if a.reduced[kind] {
		increase = reducedLimitIncrease
	}
	a.limits[kind] = min(a.limits[kind]+increase, maxAdmissionLimit)
}

// answeredLate lowers a limit.
func (a *admission) answeredLate(kind attemptKind) {
	a.limits[kind] = max(a.limits[kind]*(1-limitDecrease), minAdmissionLimit)
}

// updateReduced updates whether a limit counts as reduced, and reports whether that has changed. With a change
// for fills the limit for fetches starts anew, since parents fetch less for themselves while fills are reduced
// (usesOnlyIfCached).
func (a *admission) updateReduced(kind attemptKind) (changed bool) {
	limit, initial := a.limits[kind], initialAdmissionLimits[kind]
	if a.reduced[kind] {
		changed = limit > initial
	} else {
		changed = limit < initial*reducedShare
	}
	if !changed {
		return false
	}
	a.reduced[kind] = !a.reduced[kind]
	if kind == fills {
		a.limits[fetches] = initialAdmissionLimits[fetches]
	}
	return true
}

// adjustLimit raises or lowers the limit for an attempt's kind by how the attempt ended. Late answers of
// ejected endpoints do not count: they tell of one endpoint's fault, not of an overload.
func (r *Router) adjustLimit(attempt *attemptState, found finding) {
	kind := attempt.kind
	ejected := attempt.cache.ejected || attempt.source != nil && attempt.source.ejected
	late := found.result == Succeeded || found.timedOut
	switch {
	case found.succeededInTime():
		r.admission.answeredInTime(kind)
	case late && !ejected:
		r.admission.answeredLate(kind)
	}
	if r.admission.updateReduced(kind) {
		r.logLimitChange(kind)
	}
}

func (r *Router) logLimitChange(kind attemptKind) {
	limit := rounded(r.admission.limits[kind], limitDecimals)
	if r.admission.reduced[kind] {
		r.log(AdmissionLimitReduced{RequestKind: kind.String(), Limit: limit})
	} else {
		r.log(AdmissionLimitRestored{RequestKind: kind.String(), Limit: limit})
	}
}

// admits reports whether a request may be sent to a cache now. A likely hit is admitted by the load of that
// cache, a likely fill or fetch by the number of its kind in flight at all caches of the location, as they
// share the link to the parents. Beyond the limit every answer would be late, and the overload would outlast
// its cause. Requests of low value are rejected first, and so are clients' retries, most of which come too late
// for their client anyway.
func (r *Router) admits(now int64, request *Request, cache *endpointState) bool {
	load, kind := r.load(now, cache), request.nextKind(now)
	limit := r.admission.limits[kind]
	switch {
	case kind == fills && request.isUncacheable():
		limit = r.admission.limits[hits] // the origin answers it, and it uses next to nothing of the links for fills
	case kind != hits:
		inFlight := r.inFlight.withinObjective(now, r.endpoints)[kind]
		load = float64(inFlight) * r.activeSharers() / r.locationCapacity(now)
	}
	if request.ClientRetry {
		limit *= lowValueShare
	}
	return load < limit*r.admissionShare(now, request)
}

// admissionShare returns the part of a limit that is open to a request, by its class. It may be above 1.
//
//   - Classes whose value (priority weight by sending time) is more than higherValueRatio times the request's
//     have a part reserved, in proportion to the work that they offer.
//   - A class that tolerates longer delays than others may exceed the limit: its answers are still in time when
//     others are late, and leave the links soon.
//   - So may a class that was admitted far less than the others: the most valuable one alone could use up the
//     limit.
func (r *Router) admissionShare(now int64, request *Request) float64 {
	class := request.class
	value := class.PriorityWeight / r.sendingTime(request)
	minTolerance := math.Inf(1)
	var offered, admitted, higherOffered float64
	for _, other := range r.classes {
		work := other.offered.at(now)
		offered += work
		admitted += other.admitted.at(now)
		if other.PriorityWeight/other.sendingTime > higherValueRatio*value {
			higherOffered += work
		}
		if other.samples > initialSamples {
			minTolerance = min(minTolerance, other.delayTolerance())
		}
	}
	share := 1 - min(1-lowValueShare, reserveFactor*higherOffered/max(offered, minOffered))
	if class.delayTolerance() > minTolerance {
		share *= min(maxToleranceFactor, class.delayTolerance()/minTolerance)
	}
	if class.admitted.at(now)*offered < underservedShare*admitted*class.offered.at(now) {
		share *= underservedFactor
	}
	return share
}

// mayTryCacheOnly reports whether a request that is not admitted as a fill may be sent to its first cache for
// what that has cached, without a fill on a miss. A router that gets a small part of the traffic often takes a
// hit for a fill, and would reject it with the fills. It is done only for a first attempt, and where any entry
// that the cache may serve will do.
func (r *Router) mayTryCacheOnly(now int64, request *Request, cache *endpointState) bool {
	age, _ := r.maxAge(now, request) // first of all: it may set the object's accepted age anew
	if request.nextKind(now) != fills || len(request.attempts) > 0 || request.isUncacheable() {
		return false
	}
	fresh := request.class.FreshDuration
	anyEntryWillDo := age == 0 || fresh > 0 && age >= fresh
	return anyEntryWillDo && r.load(now, cache) < r.admission.limits[hits]*lowValueShare
}

// usesOnlyIfCached reports whether the parent of an attempt is asked only for what it has cached. That is done
// while the limit for fills is reduced, unless fetches from the origin come in time at least as well.
func (r *Router) usesOnlyIfCached(attempt *attemptState) bool {
	if attempt.kind != fills || attempt.source == r.origin {
		return false
	}
	return r.admission.reduced[fills] && r.admission.limits[fetches] < r.admission.limits[fills]
}
