package idle

import "fmt"

// Bounds are what a process has.
type Bounds struct {
	Descriptors int   // in all
	Links       int   // of them for links to caches
	Memory      int64 // bytes
}

const (
	reserve     = 64   // descriptors for the listener, the journal service, files and links to instances
	restBytes   = 256  // of user memory that an idle connection may be reckoned with (docs/idle.md)
	restShare   = 0.25 // of the memory that idle connections may be reckoned with
	idleLongest = int64(7 * 24 * 3600e9)
)

// Connections is how many connections a process may hold.
func (b Bounds) Connections() int { return max(0, b.Descriptors-b.Links-reserve) }

// Check tells what keeps connections from being kept as asked: all of them, and networks as in a Table's. The error
// starts with the place in keeps, -1 for all.
func (b Bounds) Check(most int, keeps []Keep) (at int, err error) {
	if most > b.Connections() {
		return -1, fmt.Errorf("%d connections: %d descriptors less %d for links and %d for the rest leave %d", most, b.Descriptors,
			b.Links, reserve, b.Connections())
	}
	if need := int64(most) * restBytes; need > int64(restShare*float64(b.Memory)) {
		return -1, fmt.Errorf("%d connections of %d bytes each take %d KB: %d KB of the memory are for them", most, restBytes,
			need>>10, int64(restShare*float64(b.Memory))>>10)
	}
	for i, k := range keeps {
		switch {
		case k.Most > most:
			return i, fmt.Errorf("%d connections of a network are more than the %d in all", k.Most, most)
		case k.PerClient > most:
			return i, fmt.Errorf("%d connections of a client are more than the %d in all", k.PerClient, most)
		case k.Idle > idleLongest:
			return i, fmt.Errorf("idle for more than a week")
		}
	}
	return 0, nil
}
