package control

import (
	"cmp"
	"math"
)

const (
	exchangeRate     = 2e-2          // missed updates that one KB of filling is worth: the design's c
	defaultSizeKB    = 500.          // of an object where sizes are not told: the design's b
	minMaxAge        = second / 1000 // ns
	longestRoot      = 1e9           // s; a longer age is no bound
	refreshThreshold = 1.            // requests within the accepted age, λ·age, from which an entry is refreshed behind
	reuseThreshold   = 0.2           // earlier requests in the window from which an object counts as asked for again

	// The cache priorities shield objects asked for again from those asked for once; a third kept what had been hot for good.
	priorityOnce   = 1
	priorityReused = 2

	// originFillFactor is how many times its size an object counts for where no parent is ready: all fills are the origin's then.
	originFillFactor = 2
)

// optimalMaxAge is the age, ns, that costs least in missed updates and in filling: sqrt(2·c·b/(μ·λ)), with the size b in KB, the
// rate of updates μ and that of requests λ, each a second; forever where either is 0. It is the optimal TTL of ECO-DNS
// (Chen, Matsumoto and Perrig, section II-E, equation 11, without the sum over descendants): docs/design.md.
func optimalMaxAge(sizeKB, updateRate, requestRate float64) int64 {
	if !(updateRate > 0 && requestRate > 0) {
		return forever
	}
	root := math.Sqrt(2 * exchangeRate * sizeKB / (updateRate * requestRate))
	if !(root < longestRoot) {
		return forever
	}
	return max(int64(root*1e9), minMaxAge)
}

// maxAge gives the oldest entry that will do, ns, where 0 is the class's fresh time, and whether an ageing one is refreshed
// behind.
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

// updateMaxAge sets an object's accepted age, and holds it for as long.
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

// updateRate is an object's updates a second, by the purges told: one over the fresh time at start, as if one purge had been
// told over that time.
func updateRate(now int64, record *objectRecord, class *classState) float64 {
	span, purges := float64(now-record.firstSeenAt)/1e9, record.purgeCount
	if class.FreshDuration > 0 {
		return (purges + 1) / (span + float64(class.FreshDuration)/1e9)
	}
	return purges / max(span, float64(rateWindow)/1e9)
}

// locationRate is the design's λ: the own rate times the routers of the location, requests a second.
func (r *Router) locationRate(now int64, record *objectRecord) float64 {
	return r.rates.ofObject(now, record) * r.settings.cacheSharers()
}

// cachePriority is higher for an object that was asked for before. Requests before this one are scaled to the location: in a
// thin slice none came twice, and a scan swept the caches.
func (r *Router) cachePriority(record *objectRecord) int64 {
	if (record.requestCount-1)*r.settings.cacheSharers() >= reuseThreshold {
		return priorityReused
	}
	return priorityOnce
}
