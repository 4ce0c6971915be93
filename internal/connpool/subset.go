package connpool

import "math"

const (
	// subsetShare is the fraction of the connections a cache accepts that is for routers with the cache in their
	// subset. The rest is for short-lived connections from other routers.
	subsetShare = 0.75

	// boundDeviations is the margin between the mean number of open connections to a cache from routers without it in
	// their subset and the limit on that number, in standard deviations. The number is random, and exceeds the limit
	// at about one cache in 4,000.
	boundDeviations = 3.5
)

// SubsetSize returns the number of caches in each router's subset if each cache accepts maxConnections connections. If
// each cache accepts one connection from every router, the subset is all caches. Otherwise it is the largest size for
// which the number of routers that have a cache in their subset, which is binomially distributed, stays within
// subsetShare of the cache's connections.
func SubsetSize(routers, caches, maxConnections int) int {
	if routers <= maxConnections {
		return caches
	}
	limit := subsetShare * float64(maxConnections)
	for size := caches; size > 0; size-- {
		share := float64(size) / float64(caches)
		mean := float64(routers) * share
		deviation := math.Sqrt(mean * (1 - share))
		if mean+boundDeviations*deviation <= limit {
			return size
		}
	}
	return 0
}

// outsideConnectRate returns how many connections per second the routers that do not have a cache in their subset may
// open to it together. At this rate the number of their open connections, which is random, stays within the fraction
// 1-subsetShare of the connections that the cache accepts.
func outsideConnectRate(maxConnections int) float64 {
	rest := (1 - subsetShare) * float64(maxConnections)
	// The mean number of open connections solves mean + boundDeviations*sqrt(mean) = rest, and root is sqrt(mean).
	root := (math.Sqrt(boundDeviations*boundDeviations+4*rest) - boundDeviations) / 2
	return root * root / (float64(maxOutsideDuration) / float64(second))
}
