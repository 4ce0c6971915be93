package control

import (
	"fmt"
	"testing"
)

func TestParentsAndSpread(t *testing.T) {
	t.Run("an object's fills meet at one parent from all locations", func(t *testing.T) {
		a, b := newRouter(t, nil), newRouter(t, func(s *Settings) { s.Location = "there" })
		for i := range 20 {
			name := fmt.Sprint(i)
			one, other := ask("harmless", name), ask("harmless", name)
			x, y := a.Decide(start, one), b.Decide(start, other)
			a.AttemptEnded(start, one, Outcome{Result: Succeeded, RequestEnded: true})
			b.AttemptEnded(start, other, Outcome{Result: Succeeded, RequestEnded: true})
			if x.Attempt.Source != y.Attempt.Source {
				t.Errorf("object %s: %d and %d", name, x.Attempt.Source, y.Attempt.Source)
			}
			if x.Attempt.Source != 3 && x.Attempt.Source != 4 {
				t.Errorf("object %s filled from %d", name, x.Attempt.Source)
			}
		}
	})
	t.Run("a hot object reaches both caches", func(t *testing.T) {
		r, seen := newRouter(t, nil), map[uint32]int{}
		for range 40 {
			seen[r.Decide(start, ask("harmless", "hot")).Attempt.Cache]++
		}
		if seen[1] == 0 || seen[2] == 0 {
			t.Errorf("dispatches by cache: %v", seen)
		}
	})
}
