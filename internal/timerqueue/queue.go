// Package timerqueue is a priority queue of timers, ordered by time. Timers with the same time are popped in the
// order in which they were pushed, so that the same input always gives the same sequence. The package reads no
// clock: the owner of a queue compares Next with its own time, and pops the timers that are due.
package timerqueue

import (
	"container/heap"
	"math"
)

// Never is a time that is never reached. Next returns it for an empty queue.
const Never = int64(math.MaxInt64)

// removed is the heap index of a timer that is no longer in a queue.
const removed = -1

// Queue holds timers, each with a value of type T. The zero Queue is empty and ready for use. A Queue is not safe for
// concurrent use.
type Queue[T any] struct {
	timers timerHeap[T]
	pushed int // number of timers pushed so far; Timer.sequence of the last one
}

// Timer is a handle for a pushed value, with which Remove takes the value out of the queue before its time.
type Timer[T any] struct {
	at       int64
	sequence int
	index    int // index of the timer in the heap, or the constant removed
	value    T
}

// Push adds a value that is due at the time at, in the unit of the caller's clock, and returns a handle for Remove.
func (queue *Queue[T]) Push(at int64, value T) *Timer[T] {
	queue.pushed++
	timer := &Timer[T]{at: at, sequence: queue.pushed, value: value}
	heap.Push(&queue.timers, timer)
	return timer
}

// Next returns the time of the earliest timer, or Never if the queue is empty.
func (queue *Queue[T]) Next() int64 {
	if len(queue.timers) == 0 {
		return Never
	}
	return queue.timers[0].at
}

// Pop removes the earliest timer and returns its time and value. It panics on an empty queue.
func (queue *Queue[T]) Pop() (int64, T) {
	first := heap.Pop(&queue.timers).(*Timer[T])
	return first.at, first.value
}

// Remove removes a timer. It ignores a nil timer and one that was popped or removed before.
func (queue *Queue[T]) Remove(timer *Timer[T]) {
	if timer != nil && timer.index != removed {
		heap.Remove(&queue.timers, timer.index)
	}
}

// Len returns the number of timers that were pushed and neither popped nor removed.
func (queue *Queue[T]) Len() int { return len(queue.timers) }

// timerHeap implements heap.Interface and keeps each timer's index up to date.
type timerHeap[T any] []*Timer[T]

func (timers timerHeap[T]) Len() int { return len(timers) }

func (timers timerHeap[T]) Less(i, j int) bool {
	if timers[i].at != timers[j].at {
		return timers[i].at < timers[j].at
	}
	return timers[i].sequence < timers[j].sequence
}

func (timers timerHeap[T]) Swap(i, j int) {
	timers[i], timers[j] = timers[j], timers[i]
	timers[i].index, timers[j].index = i, j
}

// Push appends a timer; heap.Push moves it to its place.
func (timers *timerHeap[T]) Push(x any) {
	timer := x.(*Timer[T])
	timer.index = len(*timers)
	*timers = append(*timers, timer)
}

// Pop removes the last timer; heap.Pop has moved the earliest there.
func (timers *timerHeap[T]) Pop() any {
	old := *timers
	last := old[len(old)-1]
	old[len(old)-1] = nil // otherwise the backing array would keep the timer in memory
	last.index = removed
	*timers = old[:len(old)-1]
	return last
}
