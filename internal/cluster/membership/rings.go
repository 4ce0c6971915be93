package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	ringCount = 4

	// MaxNeighbours is the largest number of neighbours of a member: the previous and the next member on each ring.
	MaxNeighbours = 2 * ringCount
)

// Rings orders names by their hashes on four rings, so that all instances that know the same names compute the same
// rings. Each member watches the previous and the next member on each ring and is watched by them, which are at most
// eight neighbours, however many members there are. The links between neighbours form an expander graph: if a third of
// the members fail, the others almost always stay connected.
type Rings struct {
	names  []string
	rings  [ringCount][]ringPoint
	hashes map[string][ringCount]uint64
}

// ringPoint is a name's place on one ring, which is ordered by hash.
type ringPoint struct {
	hash uint64
	name string
}

func (point ringPoint) compare(other ringPoint) int {
	return cmp.Or(cmp.Compare(point.hash, other.hash), cmp.Compare(point.name, other.name))
}

// NewRings returns the rings of the given names. It keeps the slice, which must be sorted and must not change any
// more.
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

// ringHashes returns the hash of a name on each ring.
func ringHashes(name string) (hashes [ringCount]uint64) {
	for i := range hashes {
		key := binary.LittleEndian.AppendUint32(nil, uint32(i))
		hashes[i] = xxhash.Sum64(append(key, name...))
	}
	return hashes
}

// Neighbours returns the sorted names of a member's neighbours, which watch it and are watched by it. If the name is
// not on the rings, they are those that it would have there.
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
