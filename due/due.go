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

// Entry is what was entered once; it can be taken out before its time.
type Entry[T any] struct {
	at    int64
	order int
	place int // in the heap; -1 once it is out
	what  T
}

// Push enters what is due at a time.
func (o *Order[T]) Push(at int64, what T) *Entry[T] {
	o.entered++
	e := &Entry[T]{at: at, order: o.entered, what: what}
	heap.Push(&o.entries, e)
	return e
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
	first := heap.Pop(&o.entries).(*Entry[T])
	return first.at, first.what
}

// Remove takes an entry out, unless it is out already or there is none.
func (o *Order[T]) Remove(e *Entry[T]) {
	if e != nil && e.place >= 0 {
		heap.Remove(&o.entries, e.place)
	}
}

// Len is how many are entered.
func (o *Order[T]) Len() int { return len(o.entries) }

type entries[T any] []*Entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e entries[T]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].place, e[j].place = i, j
}
func (e *entries[T]) Push(x any) {
	entry := x.(*Entry[T])
	entry.place = len(*e)
	*e = append(*e, entry)
}
func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1], last.place = nil, -1
	*e = old[:len(old)-1]
	return last
}
