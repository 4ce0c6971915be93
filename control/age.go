package control

import (
	"cmp"
	"math"
)

const (
	// missedUpdatesPerKB is how many missed updates a second weigh as much as one KB filled a second: c in
	// docs/design.md.
	missedUpdatesPerKB = 2e-2

	// defaultSizeKB is the size of an object where clients do not tell it: b in docs/design.md.
	defaultSizeKB = 500.

	minMaxAge    = second / 1000 // ns; lower bound of an accepted age
	maxFiniteAge = 1e9           // s; an age above it counts as none

	// refreshThreshold is how many requests within the accepted age, λ·age, it takes for an entry to be
	// refreshed in the background before it expires.
	refreshThreshold = 1.

	// reuseThreshold is how many earlier requests of the location, decayed over rateWindow, make an object a
	// reused one.
	reuseThreshold = 0.2

	// The cache priorities keep objects that are requested once from evicting those that are reused. There is
	// no third one for popular objects: such an object would stay cached long after its last request.
	priorityOnce   = 1
	priorityReused = 2

	// originFillFactor multiplies an object's size while no parent is ready, as each fill is the origin's work
	// then.
	originFillFactor = 2
)

// optimalMaxAge returns the age, in ns, at which missed updates and fills together cost least:
// sqrt(2·c·b/(μ·λ)), with the size b in KB, the rate μ of updates and the rate λ of requests, both a second. It
// returns forever if a rate is 0. This is the optimal TTL of ECO-DNS (Chen, Matsumoto and Perrig, section II-E,
// equation 11) without the sum over descendants; see docs/design.md.
func optimalMaxAge(sizeKB, updateRate, requestRate float64) int64 {
	if !(updateRate > 0 && requestRate > 0) {
		return forever
	}
	root := math.Sqrt(2 * missedUpdatesPerKB * sizeKB / (updateRate * requestRate))
	if !(root < maxFiniteAge) {
		return forever
	}
	return max(int64(root*1e9), minMaxAge)
}

// maxAge returns the age up to which a cache may serve its entry for a request, in ns, where 0 stands for the
// class's fresh duration, and whether the cache is to refresh an ageing entry in the background.
func (r *Router) maxAge(now int64, request *Request) (age int64, refresh bool) {
	record := request.record
	if record.maxAge == 0 || now >= record.maxAgeUntil {
		r.updateMaxAge(now, request)
	}
	refresh = r.locationRate(now, record)*float64(record.maxAge)/1e9 >= refreshThreshold
	age = record.maxAge
	if age == forever {
		age = 0
	}
	return r.limitAgeByPurges(now, request, age), refresh
}

// updateMaxAge computes an object's accepted age. The result is valid until an entry that was filled now would
// reach that age.
func (r *Router) updateMaxAge(now int64, request *Request) {
	record, class := request.record, request.class
	sizeKB := cmp.Or(request.SizeKB, defaultSizeKB)
	if len(r.parents) == 0 {
		sizeKB *= originFillFactor
	}
	record.maxAge = optimalMaxAge(sizeKB, updateRate(now, record, class), r.locationRate(now, record))
	if class.FreshDuration > 0 {
		record.maxAge = min(record.maxAge, class.FreshDuration)
	}
	record.maxAgeUntil = now + record.maxAge
}

// updateRate returns an object's updates a second, estimated from its purges. An object of a class with a fresh
// duration counts as purged once over that time before its first request, so that the rate is never 0.
func updateRate(now int64, record *objectRecord, class *classState) float64 {
	span, purges := float64(now-record.firstSeenAt)/1e9, record.purgeCount
	if class.FreshDuration > 0 {
		return (purges + 1) / (span + float64(class.FreshDuration)/1e9)
	}
	return purges / max(span, float64(rateWindow)/1e9)
}

// locationRate estimates how often an object is requested in the location, in requests a second: this router's
// rate times the location's routers. It is λ in docs/design.md.
func (r *Router) locationRate(now int64, record *objectRecord) float64 {
	return r.rates.ofObject(now, record) * r.settings.cacheSharers()
}

// cachePriority returns the priority of an object's entry in a cache. Earlier requests at this router are
// scaled to the location: one router of many seldom sees an object twice, and a scan of objects would evict all
// reused ones.
func (r *Router) cachePriority(record *objectRecord) int64 {
	if (record.requestCount-1)*r.settings.cacheSharers() >= reuseThreshold {
		return priorityReused
	}
	return priorityOnce
}
