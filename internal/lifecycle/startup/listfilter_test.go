package startup

import (
	"fmt"
	"testing"
)

// completeList is the summary of a complete endpoint list. Lists with equal endpoints and ready have the same digest,
// so they count as having the same content.
func completeList(position, generation int64, endpoints, ready int) ListSummary {
	return ListSummary{
		Position:       position,
		Generation:     generation,
		Complete:       true,
		Endpoints:      endpoints,
		ReadyEndpoints: ready,
		Digest:         uint64(endpoints)<<32 | uint64(ready),
	}
}

func TestListFilter(t *testing.T) {
	list := completeList
	change := ListSummary{Position: 8, Endpoints: 1}
	for _, test := range []struct {
		name  string
		lists []ListSummary
		at    []int64 // when each list is received, ns; nil: 1 ns apart
		want  string
	}{
		{"a first list without endpoints", []ListSummary{list(1, 1, 0, 0)}, nil, "[accept]"},
		{
			"a list without endpoints, sent twice",
			[]ListSummary{list(1, 1, 8, 8), list(5, 2, 0, 0), list(5, 2, 0, 0)},
			nil,
			"[accept unconfirmed accept]",
		},
		{"no endpoint is ready", []ListSummary{list(1, 1, 8, 8), list(5, 2, 8, 0)}, nil, "[accept unconfirmed]"},
		{
			"a third of the endpoints, then all",
			[]ListSummary{list(1, 1, 9, 9), list(5, 2, 3, 3), list(5, 2, 9, 9)},
			nil,
			"[accept unconfirmed accept]",
		},
		{"half of the endpoints", []ListSummary{list(1, 1, 8, 8), list(5, 2, 4, 4)}, nil, "[accept accept]"},
		{"a third of 3 endpoints", []ListSummary{list(1, 1, 3, 3), list(5, 2, 1, 1)}, nil, "[accept accept]"},
		{
			"a repetition after confirmationWindow",
			[]ListSummary{list(1, 1, 8, 8), list(5, 2, 2, 2), list(5, 2, 2, 2)},
			[]int64{0, 1, 6 * second},
			"[accept unconfirmed unconfirmed]",
		},
		{
			"two unconfirmed lists with different content",
			[]ListSummary{list(1, 1, 8, 8), list(5, 2, 2, 2), list(6, 2, 3, 3)},
			nil,
			"[accept unconfirmed unconfirmed]",
		},
		{"an older list", []ListSummary{list(7, 3, 8, 8), list(5, 2, 8, 8)}, nil, "[accept stale]"},
		{"the same list again", []ListSummary{list(7, 3, 8, 8), list(7, 3, 8, 8)}, nil, "[accept stale]"},
		{
			"a change of the list, sent twice",
			[]ListSummary{list(7, 3, 8, 8), change, change},
			nil,
			"[accept accept stale]",
		},
		{
			"a restarted service with a newer list",
			[]ListSummary{list(7, 3, 8, 8), list(1, 4, 8, 8), {Position: 2, Endpoints: 1}},
			nil,
			"[accept accept accept]",
		},
		{
			"a restarted service with the same generation",
			[]ListSummary{list(7, 3, 8, 8), list(1, 3, 8, 8)},
			nil,
			"[accept stale]",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var filter ListFilter
			var got []Verdict
			for i, list := range test.lists {
				at := int64(i + 1)
				if test.at != nil {
					at = test.at[i] + 1
				}
				got = append(got, filter.Evaluate(at, list))
			}
			if fmt.Sprint(got) != test.want {
				t.Errorf("verdicts %v, want %s", got, test.want)
			}
		})
	}
}
