package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	ringCount = 4

	// MaxNeighbours is the largest number of neighbours of a member: the previous and the next one on each ring.
	MaxNeighbours = 2 * ringCount
)

// Rings orders names by hash on four rings. All instances that know the same names compute the same rings. Each
// member watches the previous and the next member on each ring and is watched by them. The links form an expander
// graph with at most eight links per member, however many members there are. If a third of the members fail, the
// others almost always stay connected.
type Rings struct {
	names  []string
	rings  [ringCount][]ringPoint
	hashes map[string][ringCount]uint64
}

// ringPoint is a name's position on one ring.
type ringPoint struct {
	hash uint64
	name string
}

func (point ringPoint) compare(other ringPoint) int {
	return cmp.Or(cmp.Compare(point.hash, other.hash), cmp.Compare(point.name, other.name))
}

// NewRings returns rings on which each name is placed by its hashes.
func NewRings(names []string) *Rings {
	rings := &Rings{names: names, hashes: make(map[string][ringCount]uint64, len(names))}
	for _, name := range names {
		hashes := ringHashes(name)
		rings.hashes[name] = hashes
		for i, hash := range hashes {
			rings.rings[i] = append(rings.rings[i], ringPoint{hash, name})
		}
	}
	for i := range rings.rings {
		slices.SortFunc(rings.rings[i], ringPoint.compare)
	}
	return rings
}

// ringHashes returns a name's position on each ring.
func ringHashes(name string) (hashes [ringCount]uint64) {
	for i := range hashes {
		key := binary.LittleEndian.AppendUint32(nil, uint32(i))
		hashes[i] = xxhash.Sum64(append(key, name...))
	}
	return hashes
}

// Neighbours returns the sorted names that watch a name and are watched by it. The name itself need not be on the
// rings.
func (rings *Rings) Neighbours(name string) []string {
	if len(rings.names) <= MaxNeighbours+1 {
		return slices.DeleteFunc(slices.Clone(rings.names), func(other string) bool { return other == name })
	}
	hashes, onRings := rings.hashes[name]
	if !onRings {
		hashes = ringHashes(name)
	}
	var neighbours []string
	for i, ring := range rings.rings {
		place, found := slices.BinarySearchFunc(ring, ringPoint{hashes[i], name}, ringPoint.compare)
		before, after := (place+len(ring)-1)%len(ring), place%len(ring)
		if found {
			after = (place + 1) % len(ring)
		}
		for _, point := range []ringPoint{ring[before], ring[after]} {
			if point.name != name && !slices.Contains(neighbours, point.name) {
				neighbours = append(neighbours, point.name)
			}
		}
	}
	slices.Sort(neighbours)
	return neighbours
}
