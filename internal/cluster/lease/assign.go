package lease

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance that can hold slots, with a weight above 0.
type Candidate struct {
	Name   string
	Weight float64
}

// pairing is a slot and a candidate for it.
type pairing struct {
	slot, candidate int
	score           float64
}

// Assign returns the candidate for each slot, as an index in candidates, or nil without candidates. Each
// candidate gets its part by weight to within one slot. Of all pairs of a slot and a candidate the one with
// the highest rendezvous score comes first, so that a candidate that comes or goes moves few slots.
// Candidates must be in the same order everywhere: sorted by name.
func Assign(slots int, candidates []Candidate) []int {
	if len(candidates) == 0 {
		return nil
	}
	quota := quotas(slots, candidates)
	assigned := make([]int, slots)
	for slot := range assigned {
		assigned[slot] = unassigned
	}
	for _, pair := range rankedPairings(slots, candidates) {
		if assigned[pair.slot] == unassigned && quota[pair.candidate] > 0 {
			assigned[pair.slot] = pair.candidate
			quota[pair.candidate]--
		}
	}
	return assigned
}

// unassigned is a slot without a candidate.
const unassigned = -1

// rankedPairings returns all pairs of a slot and a candidate, the highest score first.
func rankedPairings(slots int, candidates []Candidate) []pairing {
	pairs := make([]pairing, 0, slots*len(candidates))
	for slot := range slots {
		for i, candidate := range candidates {
			pairs = append(pairs, pairing{slot, i, score(slot, candidate)})
		}
	}
	slices.SortFunc(pairs, func(a, b pairing) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.slot, b.slot), cmp.Compare(a.candidate, b.candidate))
	})
	return pairs
}

// quotas splits slots by weight: the whole part of each fair share, and one more for the largest remainders.
func quotas(slots int, candidates []Candidate) []int {
	total := 0.
	for _, candidate := range candidates {
		total += candidate.Weight
	}
	quota, remainder := make([]int, len(candidates)), make([]float64, len(candidates))
	order := make([]int, len(candidates))
	left := slots
	for i, candidate := range candidates {
		fair := float64(slots) * candidate.Weight / total
		quota[i] = int(fair)
		remainder[i] = fair - math.Floor(fair)
		order[i] = i
		left -= quota[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(remainder[b], remainder[a]), cmp.Compare(candidates[a].Name, candidates[b].Name))
	})
	for _, i := range order[:left] {
		quota[i]++
	}
	return quota
}

// rank is how many candidates score higher for a slot than the one of a name.
func rank(slot int, candidates []Candidate, name string) int {
	own := 0.
	for _, candidate := range candidates {
		if candidate.Name == name {
			own = score(slot, candidate)
		}
	}
	higher := 0
	for _, candidate := range candidates {
		if candidate.Name != name && score(slot, candidate) > own {
			higher++
		}
	}
	return higher
}

// score is weighted rendezvous hashing: -w/ln(u), u drawn by the hash (Schindelhauer and Schomaker, "Weighted
// distributed hash tables", 2005).
func score(slot int, candidate Candidate) float64 {
	key := binary.LittleEndian.AppendUint32(nil, uint32(slot))
	key = append(key, candidate.Name...)
	uniform := (float64(xxhash.Sum64(key)>>11) + 0.5) / (1 << 53) // the 53 bits that a float64 holds, never 0 or 1
	return -candidate.Weight / math.Log(uniform)
}

// SlotOf is the slot that the name of a periodic task hashes to.
func SlotOf(name string, slots int) int { return int(xxhash.Sum64String(name) % uint64(slots)) }
