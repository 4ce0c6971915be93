package lease

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance that can hold slots. Its share of the slots is proportional to its weight, which must be
// above 0.
type Candidate struct {
	Name   string
	Weight float64
}

// pairing is a slot, one candidate for it as an index into the list of candidates, and the rendezvous score of the
// two.
type pairing struct {
	slot, candidate int
	score           float64
}

// Assign returns the candidate for each slot as an index into candidates, or nil if there are no candidates.
// Each candidate gets its share by weight, rounded up or down to a whole number of slots. Pairs of slot and
// candidate are assigned in descending order of their rendezvous score, so that few slots move when a candidate
// joins or leaves. All instances must pass the candidates in the same order, sorted by name.
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

// unassigned stands in place of a candidate's index for a slot that has no candidate yet.
const unassigned = -1

// rankedPairings returns all pairs of a slot and a candidate in descending order of score.
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

// quotas returns the number of slots of each candidate, split by weight with the largest remainder method.
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

// rank returns how many candidates have a higher score for a slot than the candidate with the given name.
func rank(slot int, candidates []Candidate, name string) int {
	ownScore := 0.
	for _, candidate := range candidates {
		if candidate.Name == name {
			ownScore = score(slot, candidate)
		}
	}
	higher := 0
	for _, candidate := range candidates {
		if candidate.Name != name && score(slot, candidate) > ownScore {
			higher++
		}
	}
	return higher
}

// score returns the weighted rendezvous hash -w/ln(u), where u is the hash mapped to the interval from 0 to 1
// (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
func score(slot int, candidate Candidate) float64 {
	key := binary.LittleEndian.AppendUint32(nil, uint32(slot))
	key = append(key, candidate.Name...)
	uniform := (float64(xxhash.Sum64(key)>>11) + 0.5) / (1 << 53) // a float64 has 53 bits; 0.5 keeps uniform above 0
	return -candidate.Weight / math.Log(uniform)
}

// SlotOf returns the slot to which the name of a periodic task hashes.
func SlotOf(name string, slots int) int { return int(xxhash.Sum64String(name) % uint64(slots)) }
