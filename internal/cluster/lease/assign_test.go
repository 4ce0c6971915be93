package lease

import (
	"fmt"
	"testing"
)

func TestAssignIsFairAndMovesFewSlots(t *testing.T) {
	for _, test := range []struct{ slots, candidates int }{{64, 1}, {64, 3}, {64, 5}, {64, 16}, {3, 16}, {1, 2}} {
		t.Run(fmt.Sprintf("%d slots, %d candidates", test.slots, test.candidates), func(t *testing.T) {
			var all []Candidate
			total := 0.
			for i := range test.candidates {
				all = append(all, Candidate{fmt.Sprintf("m%02d", i), float64(1 + i%3)})
				total += all[i].Weight
			}
			assigned := Assign(test.slots, all)
			load := make([]int, test.candidates)
			for _, candidate := range assigned {
				load[candidate]++
			}
			for i, candidate := range all {
				fair := float64(test.slots) * candidate.Weight / total
				if float64(load[i]) <= fair-1 || float64(load[i]) >= fair+1 {
					t.Errorf("%s has %d slots, want within 1 of its share of %.2f", candidate.Name, load[i], fair)
				}
			}
			if test.candidates < 3 {
				return
			}
			fewer, moved := Assign(test.slots, all[1:]), 0
			for slot, candidate := range assigned {
				if candidate != 0 && all[candidate] != all[1:][fewer[slot]] {
					moved++
				}
			}
			if moved > test.slots/4 {
				t.Errorf("%d of %d slots moved between the remaining candidates, want at most a quarter",
					moved, test.slots)
			}
		})
	}
}
