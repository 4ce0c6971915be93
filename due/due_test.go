package due

import (
	"slices"
	"testing"
)

func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []int64
		want []int // places in `in`
	}{{"empty", nil, nil}, {"by time", []int64{5, 1, 3}, []int{1, 2, 0}},
		{"within one time by entry", []int64{2, 1, 2, 1, 2}, []int{1, 3, 0, 2, 4}}} {
		t.Run(c.name, func(t *testing.T) {
			var o Order[int]
			for i, at := range c.in {
				o.Push(at, i)
			}
			var got []int
			for o.Next() != Never {
				_, i := o.Pop()
				got = append(got, i)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
