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

// What is over before its time must not be kept until then.
func TestRemove(t *testing.T) {
	for _, c := range []struct {
		name string
		out  []int
		want []int
	}{{"the first", []int{0}, []int{2, 1, 3}}, {"the last", []int{3}, []int{0, 2, 1}},
		{"one in between, twice", []int{2, 2}, []int{0, 1, 3}}, {"all", []int{1, 0, 3, 2}, nil}} {
		t.Run(c.name, func(t *testing.T) {
			var o Order[int]
			var in []*Entry[int]
			for i, at := range []int64{1, 5, 3, 7} {
				in = append(in, o.Push(at, i))
			}
			o.Remove(nil)
			for _, i := range c.out {
				o.Remove(in[i])
			}
			if o.Len() != len(c.want) {
				t.Errorf("%d left", o.Len())
			}
			var got []int
			for o.Next() != Never {
				_, i := o.Pop()
				o.Remove(in[i])
				got = append(got, i)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
