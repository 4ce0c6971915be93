package connpool

import "math"

const (
	// subsetShare is the part of a cache's connections that subsets may take. The rest is for routers that need a cache outside of
	// their subset for a moment.
	subsetShare = 0.75

	// boundDeviations is how many standard deviations above the mean a bound on a number drawn by chance has room for: one cache in
	// 4,000 is over it.
	boundDeviations = 3.5
)

// SubsetSize returns how many of so many caches each of so many routers keeps connections to, when each cache holds so many: all, if
// there is a connection for each router; else as many as keep the number of routers at a cache, which is binomial, within the
// subsets' share of its connections.
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

// outsideConnectRate returns how many connections a second all routers may open to a cache from outside of its subset: so many that
// those which stand at a time, by chance, stay within the rest of what it holds.
func outsideConnectRate(maxConnections int) float64 {
	rest := (1 - subsetShare) * float64(maxConnections)
	// The mean number that stands solves mean + boundDeviations*sqrt(mean) = rest.
	root := (math.Sqrt(boundDeviations*boundDeviations+4*rest) - boundDeviations) / 2
	return root * root / (float64(maxOutsideDuration) / float64(second))
}
