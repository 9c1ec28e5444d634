package routing

import (
	"maps"
	"slices"
	"sort"
)

// jain returns Jain's index over the teams' served tokens, each in proportion to its
// max-min fair share of all that was served. 1 is fair; 1/n is one team having all.
func jain(asked, served map[string]float64) float64 {
	total := 0.0
	teams := slices.Sorted(maps.Keys(asked)) // sums in another order differ in the last digits
	for _, team := range teams {
		total += served[team]
	}
	shares := maxMin(asked, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for _, team := range teams {
		share := shares[team]
		if share <= 0 {
			continue
		}
		x := served[team] / share
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMin divides a total among demands: nobody gets more than asked for, and the rest
// is divided evenly.
func maxMin(asked map[string]float64, total float64) map[string]float64 {
	names := make([]string, 0, len(asked))
	for name := range asked {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return asked[names[i]] < asked[names[j]] })
	shares := map[string]float64{}
	for i, name := range names {
		even := total / float64(len(names)-i)
		shares[name] = min(asked[name], even)
		total -= shares[name]
	}
	return shares
}
