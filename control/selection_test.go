package control

import (
	"fmt"
	"testing"
)

func TestSelection(t *testing.T) {
	t.Run("fills of an object go to the same parent from all locations", func(t *testing.T) {
		here, there := newRouter(t, nil), newRouter(t, func(s *Settings) { s.Location = "there" })
		for i := range 20 {
			object := fmt.Sprint(i)
			source, sourceThere := sourceOf(here, object), sourceOf(there, object)
			if source != sourceThere {
				t.Errorf("object %s is filled from %d here and from %d in another location", object, source, sourceThere)
			}
			if source != 3 && source != 4 {
				t.Errorf("object %s is filled from %d, want parent 3 or 4", object, source)
			}
		}
	})
	t.Run("a hot object goes to both caches", func(t *testing.T) {
		router, seen := newRouter(t, nil), map[uint32]int{}
		for range 40 {
			seen[router.Decide(start, newRequest("harmless", "hot")).Attempt.Cache]++
		}
		if seen[1] == 0 || seen[2] == 0 {
			t.Errorf("attempts by cache: %v, want some at both caches, 1 and 2", seen)
		}
	})
}

// sourceOf returns the source of the first attempt of a request for an object. The attempt succeeds immediately.
func sourceOf(router *Router, object string) uint32 {
	request := newRequest("harmless", object)
	decision := router.Decide(start, request)
	router.AttemptEnded(start, request, Outcome{Result: Succeeded, RequestEnded: true})
	return decision.Attempt.Source
}
