package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	ringCount = 4

	// MaxNeighbours is how many observers a member has at most: the one before and the one after it on each ring.
	MaxNeighbours = 2 * ringCount
)

// Rings orders names on four rings by hash: all that know the same names compute the same. Each member
// watches the one before and the one after it on each, and so is watched by the same. That is an expander
// with eight links a member whatever their number is, and stays connected without a third of them.
type Rings struct {
	names  []string
	rings  [ringCount][]ringPoint
	hashes map[string][ringCount]uint64
}

// ringPoint is a name's place on one ring.
type ringPoint struct {
	hash uint64
	name string
}

func (point ringPoint) compare(other ringPoint) int {
	return cmp.Or(cmp.Compare(point.hash, other.hash), cmp.Compare(point.name, other.name))
}

// NewRings orders names.
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

// ringHashes is a name's place on each ring.
func ringHashes(name string) (hashes [ringCount]uint64) {
	for i := range hashes {
		key := binary.LittleEndian.AppendUint32(nil, uint32(i))
		hashes[i] = xxhash.Sum64(append(key, name...))
	}
	return hashes
}

// Neighbours is who watches a name, and is watched by it; the name itself need not be on the rings.
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
