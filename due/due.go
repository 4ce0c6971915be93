// Package due keeps what is to be done later, ordered by time and, within one time, by when it was entered.
package due

import (
	"container/heap"
	"math"
)

// Never is the time of what does not come.
const Never = int64(math.MaxInt64)

// Order is an ordered structure of due times; its zero value is empty.
type Order[T any] struct {
	entries entries[T]
	entered int
}

// Push enters what is due at a time.
func (o *Order[T]) Push(at int64, what T) {
	o.entered++
	heap.Push(&o.entries, entry[T]{at, o.entered, what})
}

// Next is the earliest time, or Never.
func (o *Order[T]) Next() int64 {
	if len(o.entries) == 0 {
		return Never
	}
	return o.entries[0].at
}

// Pop takes out the earliest; there must be one.
func (o *Order[T]) Pop() (int64, T) {
	first := heap.Pop(&o.entries).(entry[T])
	return first.at, first.what
}

type entry[T any] struct {
	at    int64
	order int
	what  T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*e = old[:len(old)-1]
	return last
}
