package router

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns a map's keys in order. Whatever has effects goes over a map in this order, so that a run
// with the same events is repeated exactly.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// without removes an item from a list, in place.
func without[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}
