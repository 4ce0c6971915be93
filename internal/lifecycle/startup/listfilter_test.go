package startup

import (
	"fmt"
	"testing"
)

func TestListFilter(t *testing.T) {
	whole := func(position, generation int64, members, ready int) ListSummary {
		return ListSummary{
			Position: position, Generation: generation, Complete: true, Endpoints: members, ReadyEndpoints: ready,
			Digest: uint64(members)<<32 | uint64(ready),
		}
	}
	for _, test := range []struct {
		name string
		told []ListSummary
		at   []int64
		want string
	}{
		{"the first is used, whatever it says", []ListSummary{whole(1, 1, 0, 0)}, nil, "[accept]"},
		{"nobody", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 0, 0), whole(5, 2, 0, 0)}, nil, "[accept unconfirmed accept]"},
		{"nobody ready", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 8, 0)}, nil, "[accept unconfirmed]"},
		{"a third", []ListSummary{whole(1, 1, 9, 9), whole(5, 2, 3, 3), whole(5, 2, 9, 9)}, nil, "[accept unconfirmed accept]"},
		{"half", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 4, 4)}, nil, "[accept accept]"},
		{"few were there", []ListSummary{whole(1, 1, 3, 3), whole(5, 2, 1, 1)}, nil, "[accept accept]"},
		{"confirmed too late", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 2, 2), whole(5, 2, 2, 2)}, []int64{0, 1, 6 * second}, "[accept unconfirmed unconfirmed]"},
		{"doubted twice with another content", []ListSummary{whole(1, 1, 8, 8), whole(5, 2, 2, 2), whole(6, 2, 3, 3)}, nil, "[accept unconfirmed unconfirmed]"},
		{"older", []ListSummary{whole(7, 3, 8, 8), whole(5, 2, 8, 8)}, nil, "[accept stale]"},
		{"the same again", []ListSummary{whole(7, 3, 8, 8), whole(7, 3, 8, 8)}, nil, "[accept stale]"},
		{"changes behind it", []ListSummary{whole(7, 3, 8, 8), {Position: 8, Endpoints: 1}, {Position: 8, Endpoints: 1}}, nil, "[accept accept stale]"},
		{"a service that counts anew", []ListSummary{whole(7, 3, 8, 8), whole(1, 4, 8, 8), {Position: 2, Endpoints: 1}}, nil, "[accept accept accept]"},
		{"one that counts anew and is behind", []ListSummary{whole(7, 3, 8, 8), whole(1, 3, 8, 8)}, nil, "[accept stale]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l ListFilter
			var got []Verdict
			for i, list := range test.told {
				at := int64(i + 1)
				if test.at != nil {
					at = test.at[i] + 1
				}
				got = append(got, l.Evaluate(at, list))
			}
			if fmt.Sprint(got) != test.want {
				t.Errorf("%v, want %s", got, test.want)
			}
		})
	}
}
