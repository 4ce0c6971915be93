package control

import "math"

const (
	// Upper and lower bound of each admission limit. Limits are numbers of attempts in flight, as multiples of the
	// caches' capacity.
	maxAdmissionLimit = 4.
	minAdmissionLimit = 0.3

	// A response in time raises the limit of its kind by limitIncrease, or by reducedLimitIncrease while that limit
	// is reduced: otherwise requests would be rejected long after the end of an overload. A late response lowers
	// the limit by the fraction limitDecrease.
	limitIncrease        = 0.006
	reducedLimitIncrease = 0.018
	limitDecrease        = 0.08

	// reducedShare is the fraction of its initial value below which a limit counts as reduced. It counts as reduced
	// until it has grown back to the initial value.
	reducedShare = 0.5

	// lowValueShare is the fraction of a limit up to which clients' retries and cache-only attempts are admitted. At
	// least this fraction of a limit is open to each class, however much is reserved for classes of higher value.
	lowValueShare = 0.7

	// A part of a limit is closed to a request and reserved for classes of higher value: those whose priority weight
	// divided by sending time is more than higherValueRatio times that of the request. The reserved fraction is
	// reserveFactor times the fraction of the offered work that is of these classes.
	higherValueRatio = 2.
	reserveFactor    = 2.

	// minOffered is the lower bound, in s of sending time, of the offered work that other work is divided by.
	minOffered = 0.01

	// maxToleranceFactor is the maximum factor by which a class that tolerates longer delays may exceed a limit.
	maxToleranceFactor = 2.

	// A class may exceed its share of a limit by underservedFactor while the admitted fraction of its work is less
	// than underservedShare times the admitted fraction of all classes' work.
	underservedFactor = 1.5
	underservedShare  = 0.7

	// divertShare is the fraction of the limit for hits below which the load of a cache must be for the cache to fill
	// an object whose home cache is at that limit.
	divertShare = 0.5
)

// initialAdmissionLimits are the limits of a new router, by attemptKind, as multiples of the caches' capacity.
var initialAdmissionLimits = [attemptKinds]float64{2, 1.2, 0.4}

// admission holds the admission limits, one for each kind of attempts. Responses in time raise them and late
// responses lower them: additive increase, multiplicative decrease (Chiu and Jain, Analysis of the increase and
// decrease algorithms, 1989).
type admission struct {
	limits  [attemptKinds]float64 // attempts in flight, as a multiple of the caches' capacity
	reduced [attemptKinds]bool    // the limit fell below reducedShare of its initial value and has not grown back to it
}

// raiseLimit raises the limit of a kind of attempts after a response in time, up to maxAdmissionLimit.
func (a *admission) raiseLimit(kind attemptKind) {
	increase := limitIncrease
	if a.reduced[kind] {
		increase = reducedLimitIncrease
	}
	a.limits[kind] = min(a.limits[kind]+increase, maxAdmissionLimit)
}

// lowerLimit lowers the limit of a kind of attempts after a late response, but not below minAdmissionLimit.
func (a *admission) lowerLimit(kind attemptKind) {
	a.limits[kind] = max(a.limits[kind]*(1-limitDecrease), minAdmissionLimit)
}

// updateReduced updates whether a limit counts as reduced, and reports whether that has changed. A change for fills
// resets the limit for fetches, because parents do fewer fetches of their own while fills are reduced (see
// usesOnlyIfCached).
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

// adjustLimit raises or lowers the limit for an attempt's kind, depending on how the attempt ended. Late responses
// of ejected endpoints do not count: they are due to a fault of one endpoint, not to an overload.
func (r *Router) adjustLimit(attempt *attemptState, assessed assessment) {
	kind := attempt.kind
	ejected := attempt.cache.ejected || attempt.source != nil && attempt.source.ejected
	late := assessed.result == Succeeded || assessed.timedOut
	switch {
	case assessed.succeededInTime():
		r.admission.raiseLimit(kind)
	case late && !ejected:
		r.admission.lowerLimit(kind)
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

// admits reports whether a request may be sent to a cache now. Admission of a likely hit depends on the load of that
// cache. Admission of a likely fill or fetch depends on how many attempts of that kind are in flight at all caches of
// the location, because these share the link to the parents. Above the limit every response would be late, and the
// overload would outlast its cause. Requests of low value are rejected first. So are clients' retries, because most
// of their responses would be too late for the client.
func (r *Router) admits(now int64, request *Request, cache *endpointState) bool {
	load, kind := r.load(now, cache), request.nextKind(now)
	limit := r.admission.limits[kind]
	switch {
	case kind == fills && request.isUncacheable():
		limit = r.admission.limits[hits] // it goes to the origin and hardly uses the links that fills use
	case kind != hits:
		inFlight := r.inFlight.withinObjective(now, r.endpoints)[kind]
		load = float64(inFlight) * r.activeRouters() / r.locationCapacity(now)
	}
	if request.ClientRetry {
		limit *= lowValueShare
	}
	return load < limit*r.admissionShare(now, request)
}

// admissionShare returns the fraction of an admission limit up to which a request of its class is admitted. It may be
// above 1.
//
//   - A part of the limit is reserved for classes whose value (priority weight divided by sending time) is more than
//     higherValueRatio times that of the request. It is proportional to the work that these classes offer.
//   - A class that tolerates longer delays than others may exceed the limit: its responses are still in time when
//     those of other classes are late, and they occupy the links only for a short time.
//   - A class that was admitted far less than the others may exceed its share, because the class of the highest
//     value could use up the limit alone.
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

// mayTryCacheOnly reports whether a request that is not admitted as a fill may be sent to a cache that serves it only
// if the object is cached, without a fill on a miss. A router that gets a small part of the traffic often mistakes a
// hit for a fill, and would otherwise reject it. This is allowed only for the first attempt of a request, and only if
// the accepted age is not below the class's fresh duration, so that any cached entry can be served.
func (r *Router) mayTryCacheOnly(now int64, request *Request, cache *endpointState) bool {
	age, _ := r.maxAge(now, request) // must come first: it may update the object's accepted age
	if request.nextKind(now) != fills || len(request.attempts) > 0 || request.isUncacheable() {
		return false
	}
	fresh := request.class.FreshDuration
	anyEntryWillDo := age == 0 || fresh > 0 && age >= fresh
	return anyEntryWillDo && r.load(now, cache) < r.admission.limits[hits]*lowValueShare
}

// usesOnlyIfCached reports whether the parent of an attempt may serve only an object that it has cached. This is so
// while the limit for fills is reduced, unless the limit for fetches from the origin is at least as high.
func (r *Router) usesOnlyIfCached(attempt *attemptState) bool {
	if attempt.kind != fills || attempt.source == r.origin {
		return false
	}
	return r.admission.reduced[fills] && r.admission.limits[fetches] < r.admission.limits[fills]
}
