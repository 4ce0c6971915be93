package router

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of a map in ascending order. Loops over a map that emit effects use this order, so that
// the same events always have the same effects.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// without removes an item from a list, in place, and returns the shorter list.
func without[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}
