package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// ringNames are names such as those of a large fleet.
func ringNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("n%04d", i))
	}
	return names
}

// Eight observers at most, each watched by those that it watches, alike at all; connected without any third
// of them that was drawn; few places change when one comes.
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
				// One in 6,600 has all eight in the third that is gone; it links anew once that is seen.
				if count >= 30 && apart > 1 {
					t.Errorf("a third gone: %d are apart", apart)
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
				t.Errorf("%d have other neighbours for one that came", moved)
			}
		})
	}
}

// checkNeighbours checks that nobody has too many or too few neighbours, and that each is one both ways.
func checkNeighbours(t *testing.T, names []string, neighbours map[string][]string) {
	t.Helper()
	for _, name := range names {
		near := neighbours[name]
		if len(near) > MaxNeighbours || len(near) < min(len(names)-1, 4) || slices.Contains(near, name) {
			t.Fatalf("%s is near %v", name, near)
		}
		for _, other := range near {
			if !slices.Contains(neighbours[other], name) {
				t.Fatalf("%s watches %s alone", name, other)
			}
		}
	}
}

// countApart counts those that can't be reached from the first, once a drawn third is gone.
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
