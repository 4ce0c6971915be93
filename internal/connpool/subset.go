package connpool

import "math"

const (
	// subsetShare is the part of a cache's connections that subsets may take. The rest is for routers that need
	// a cache outside of their subset for a moment.
	subsetShare = 0.75

	// boundDeviations is by how many standard deviations a random number may exceed its mean within its bound.
	// One cache in 4,000 is over it.
	boundDeviations = 3.5
)

// SubsetSize returns how many of the caches each router has connections to, if each cache accepts
// maxConnections. That is all of them if there is a connection for each router. Else it is the largest size for
// which the number of routers at a cache, which is binomially distributed, stays within the subsets' share of
// its connections.
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

// outsideConnectRate returns how many connections a second all routers together may open to a cache that is not
// in their subset, so that the random number of those that are open at a time stays within the rest of what the
// cache accepts.
func outsideConnectRate(maxConnections int) float64 {
	rest := (1 - subsetShare) * float64(maxConnections)
	// The mean number of open ones solves mean + boundDeviations*sqrt(mean) = rest.
	root := (math.Sqrt(boundDeviations*boundDeviations+4*rest) - boundDeviations) / 2
	return root * root / (float64(maxOutsideDuration) / float64(second))
}
