package timerqueue

import (
	"slices"
	"testing"
)

// drain pops all timers and returns their values in order.
func drain(t *testing.T, queue *Queue[int]) (values []int) {
	t.Helper()
	for queue.Next() != Never {
		at := queue.Next()
		popped, value := queue.Pop()
		if popped != at {
			t.Errorf("Pop returned time %d, but Next returned %d", popped, at)
		}
		values = append(values, value)
	}
	return values
}

func TestPopOrder(t *testing.T) {
	for _, test := range []struct {
		name  string
		times []int64
		want  []int // values in the order of Pop; each is the timer's index in times
	}{
		{"empty", nil, nil},
		{"by time", []int64{5, 1, 3}, []int{1, 2, 0}},
		{"equal times in the order of Push", []int64{2, 1, 2, 1, 2}, []int{1, 3, 0, 2, 4}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var queue Queue[int]
			for i, at := range test.times {
				queue.Push(at, i)
			}
			if got := drain(t, &queue); !slices.Equal(got, test.want) {
				t.Errorf("popped %v, want %v", got, test.want)
			}
		})
	}
}

// Remove must take a timer out of the queue at once, not when it is due. The queue has timers at 1, 5, 3 and 7.
func TestRemove(t *testing.T) {
	for _, test := range []struct {
		name   string
		remove []int
		want   []int
	}{
		{"the first", []int{0}, []int{2, 1, 3}},
		{"the last", []int{3}, []int{0, 2, 1}},
		{"one in between, twice", []int{2, 2}, []int{0, 1, 3}},
		{"all", []int{1, 0, 3, 2}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var queue Queue[int]
			var timers []*Timer[int]
			for i, at := range []int64{1, 5, 3, 7} {
				timers = append(timers, queue.Push(at, i))
			}
			queue.Remove(nil)
			for _, i := range test.remove {
				queue.Remove(timers[i])
			}
			if queue.Len() != len(test.want) {
				t.Errorf("Len is %d after Remove, want %d", queue.Len(), len(test.want))
			}
			var got []int
			for queue.Next() != Never {
				_, i := queue.Pop()
				queue.Remove(timers[i]) // must be ignored, because the timer was popped before
				got = append(got, i)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("popped %v, want %v", got, test.want)
			}
		})
	}
}
