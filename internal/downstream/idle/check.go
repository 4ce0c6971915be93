package idle

import "fmt"

// Resources are what a process has.
type Resources struct {
	Descriptors         int   // in all
	UpstreamConnections int   // of them for links to caches
	MemoryBytes         int64 // bytes
}

const (
	reserve     = 64   // descriptors for the listener, the journal service, files and links to instances
	restBytes   = 256  // of user memory that an idle connection may be reckoned with (docs/idle.md)
	restShare   = 0.25 // of the memory that idle connections may be reckoned with
	idleLongest = int64(7 * 24 * 3600e9)
)

// MaxConnections is how many connections a process may hold.
func (b Resources) MaxConnections() int { return max(0, b.Descriptors-b.UpstreamConnections-reserve) }

// Check tells what policies connections from being kept as asked: all of them, and networks as in a Table's. The error
// starts with the place in policies, -1 for all.
func (b Resources) Check(maxConnections int, policies []Policy) (at int, err error) {
	if maxConnections > b.MaxConnections() {
		return -1, fmt.Errorf("%d connections: %d descriptors less %d for links and %d for the rest leave %d", maxConnections, b.Descriptors,
			b.UpstreamConnections, reserve, b.MaxConnections())
	}
	if need := int64(maxConnections) * restBytes; need > int64(restShare*float64(b.MemoryBytes)) {
		return -1, fmt.Errorf("%d connections of %d bytes each take %d KB: %d KB of the memory are for them", maxConnections, restBytes,
			need>>10, int64(restShare*float64(b.MemoryBytes))>>10)
	}
	for i, k := range policies {
		switch {
		case k.MaxConnections > maxConnections:
			return i, fmt.Errorf("%d connections of a network are more than the %d in all", k.MaxConnections, maxConnections)
		case k.MaxPerClient > maxConnections:
			return i, fmt.Errorf("%d connections of a client are more than the %d in all", k.MaxPerClient, maxConnections)
		case k.IdleTimeout > idleLongest:
			return i, fmt.Errorf("idle for more than a week")
		}
	}
	return 0, nil
}
