package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// ringNames returns count names in sorted order: n0000, n0001 and so on.
func ringNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("n%04d", i))
	}
	return names
}

// Each member must have at most eight neighbours, and they must watch each other, so that no member is unobserved. If
// a random third of the members fails, at most one of the others may be disconnected. A new member must change the
// neighbours of few others, because each change replaces links.
func TestRingsAreMutualAndConnected(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 10, 30, 300, 3000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			names := ringNames(count)
			neighbours := map[string][]string{}
			rings := NewRings(names)
			for _, name := range names {
				neighbours[name] = rings.Neighbours(name)
			}
			checkNeighbours(t, names, neighbours)
			for seed := range uint64(20) {
				apart := countApart(names, neighbours, rand.New(rand.NewPCG(seed, 1)))
				// The probability that all eight neighbours of a member are among the failed ones is 1 in 6,600. Such
				// a member gets new neighbours once the failures are detected.
				if count >= 30 && apart > 1 {
					t.Errorf("without a third of the members %d others are disconnected, want at most 1", apart)
				}
			}
			if count < 30 {
				return
			}
			withOneMore, moved := NewRings(append(slices.Clone(names), "x")), 0
			for _, name := range names {
				if !slices.Equal(withOneMore.Neighbours(name), neighbours[name]) {
					moved++
				}
			}
			if moved > MaxNeighbours {
				t.Errorf("a new member changed the neighbours of %d others, want at most %d", moved, MaxNeighbours)
			}
		})
	}
}

// checkNeighbours fails the test if a name has too few or too many neighbours, or a neighbour that does not list it
// among its own neighbours.
func checkNeighbours(t *testing.T, names []string, neighbours map[string][]string) {
	t.Helper()
	for _, name := range names {
		near := neighbours[name]
		if len(near) > MaxNeighbours || len(near) < min(len(names)-1, 4) || slices.Contains(near, name) {
			t.Fatalf("%s has the neighbours %v, want %d to %d others",
				name, near, min(len(names)-1, 4), MaxNeighbours)
		}
		for _, other := range near {
			if !slices.Contains(neighbours[other], name) {
				t.Fatalf("%s watches %s, but is not watched by it", name, other)
			}
		}
	}
}

// countApart removes about a third of the names at random. It returns how many of the remaining names cannot be
// reached from the first remaining one by going from neighbour to neighbour.
func countApart(names []string, neighbours map[string][]string, rng *rand.Rand) int {
	there := map[string]bool{}
	for _, name := range names {
		there[name] = rng.IntN(3) > 0
	}
	reached, from := map[string]bool{}, []string{}
	for _, name := range names {
		if there[name] {
			from, reached[name] = append(from, name), true
			break
		}
	}
	for len(from) > 0 {
		next := from[0]
		from = from[1:]
		for _, other := range neighbours[next] {
			if there[other] && !reached[other] {
				reached[other], from = true, append(from, other)
			}
		}
	}
	apart := 0
	for _, name := range names {
		if there[name] && !reached[name] {
			apart++
		}
	}
	return apart
}
