package lease

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is one who can hold slots, with a weight above 0.
type Candidate struct {
	Name   string
	Weight float64
}

// Assign assigns slots to members: the place in members for each slot, or nil with no members. Each member gets its
// part by weight to within one slot (largest remainders), and of all pairs of slot and member that fit the one
// with the highest rendezvous score first, so that a member that comes or goes moves few slots. Members must be in
// the same order everywhere, by name.
func Assign(slots int, members []Candidate) []int {
	if len(members) == 0 {
		return nil
	}
	quota := quotas(slots, members)
	type pair struct {
		slot, member int
		score        float64
	}
	pairs := make([]pair, 0, slots*len(members))
	for s := range slots {
		for i, m := range members {
			pairs = append(pairs, pair{s, i, score(s, m)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.slot, b.slot), cmp.Compare(a.member, b.member))
	})
	out := make([]int, slots)
	for s := range out {
		out[s] = -1
	}
	for _, p := range pairs {
		if out[p.slot] < 0 && quota[p.member] > 0 {
			out[p.slot] = p.member
			quota[p.member]--
		}
	}
	return out
}

// quotas splits slots by weight: the whole part of each fair share, and one more for the largest remainders.
func quotas(slots int, members []Candidate) []int {
	total := 0.
	for _, m := range members {
		total += m.Weight
	}
	out, rest, order := make([]int, len(members)), make([]float64, len(members)), make([]int, len(members))
	left := slots
	for i, m := range members {
		fair := float64(slots) * m.Weight / total
		out[i] = int(fair)
		rest[i], order[i] = fair-math.Floor(fair), i
		left -= out[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(rest[b], rest[a]), cmp.Compare(members[a].Name, members[b].Name))
	})
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}

// place is how many members come before one in a slot's ranking.
func place(slot int, members []Candidate, name string) int {
	own, before := 0., 0
	for _, m := range members {
		if m.Name == name {
			own = score(slot, m)
		}
	}
	for _, m := range members {
		if m.Name != name && score(slot, m) > own {
			before++
		}
	}
	return before
}

// score is weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): -w/ln(u), u drawn by the hash.
func score(slot int, m Candidate) float64 {
	h := xxhash.Sum64(append(binary.LittleEndian.AppendUint32(nil, uint32(slot)), m.Name...))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -m.Weight / math.Log(u)
}

// SlotOf is the slot of a duty's name.
func SlotOf(name string, slots int) int { return int(xxhash.Sum64String(name) % uint64(slots)) }
