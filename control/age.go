package control

import (
	"cmp"
	"math"
)

const (
	// missedUpdatesPerKB is the number of missed updates that cost as much as filling one KB of an object. It is c in
	// docs/design.md.
	missedUpdatesPerKB = 2e-2

	// defaultSizeKB is the assumed size in KB of an object whose size is not known. The size is b in docs/design.md.
	defaultSizeKB = 500.

	minMaxAge    = second / 1000 // ns; lower bound of the accepted age that the request and update rates give
	maxFiniteAge = 1e9           // s; a greater accepted age counts as unlimited

	// refreshThreshold is how many requests for an object must be expected within the accepted age for its cache entry
	// to be refreshed in the background before it expires.
	refreshThreshold = 1.

	// reuseThreshold is how many earlier requests for an object, decayed over rateWindow, the location must have had
	// for the object to count as reused.
	reuseThreshold = 0.2

	// Cache priorities prevent objects that are requested only once from evicting reused objects. There is no
	// third priority for popular objects: these would stay cached long after their last request.
	priorityOnce   = 1
	priorityReused = 2

	// originFillFactor multiplies an object's size while no parent is ready, because every fill then loads the
	// origin.
	originFillFactor = 2
)

// optimalMaxAge returns the age in ns that minimizes the total cost of missed updates and fills:
// sqrt(2·c·b/(μ·λ)), with the size b in KB, the update rate μ and the request rate λ, both per second. It returns
// forever if a rate is 0. This is the optimal TTL of ECO-DNS (Chen, Matsumoto and Perrig, section II-E, equation 11)
// without the sum over descendants; see docs/design.md.
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

// maxAge returns the age in ns up to which a cache may serve its entry for a request, where 0 stands for the class's
// fresh duration, and whether the cache should refresh an ageing entry in the background.
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

// updateMaxAge computes the accepted age of a request's object. The result is valid until an entry that is filled now
// reaches that age.
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

// updateRate estimates an object's update rate per second from its purges. If the class has a fresh duration, the
// object counts as purged once within that duration before its first request, so that the rate is never 0.
func updateRate(now int64, record *objectRecord, class *classState) float64 {
	span, purges := float64(now-record.firstSeenAt)/1e9, record.purgeCount
	if class.FreshDuration > 0 {
		return (purges + 1) / (span + float64(class.FreshDuration)/1e9)
	}
	return purges / max(span, float64(rateWindow)/1e9)
}

// locationRate estimates how many requests per second the location gets for an object: this router's rate times the
// number of routers in the location. It is λ in docs/design.md.
func (r *Router) locationRate(now int64, record *objectRecord) float64 {
	return r.rates.ofObject(now, record) * r.settings.cacheRouters()
}

// cachePriority returns the cache priority of an object. It scales the earlier requests at this router up to the
// location. Otherwise one router of many would rarely see an object twice, no object would count as reused, and
// requests for many different objects would evict the reused ones.
func (r *Router) cachePriority(record *objectRecord) int64 {
	if (record.requestCount-1)*r.settings.cacheRouters() >= reuseThreshold {
		return priorityReused
	}
	return priorityOnce
}
