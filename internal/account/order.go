package account

import (
	"cmp"
	"maps"
	"slices"
)

// byCount returns the causes, most frequent first.
func byCount(counts map[Cause]int) []Cause {
	return slices.SortedFunc(maps.Keys(counts), func(a, b Cause) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
}

// nthLargest returns the n-th largest of more than n numbers.
func nthLargest(all []int, n int) int {
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(b, a) })
	return all[n-1]
}
