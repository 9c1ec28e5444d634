package main

import (
	"maps"
	"slices"
)

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
