package routing

import (
	"maps"
	"slices"
	"sort"
)

// jainIndex returns Jain's fairness index over the teams' served tokens, each relative to
// its max-min fair share of the total. 1 is perfectly fair; 1/n means that one of n teams
// got everything.
func jainIndex(requested, served map[string]float64) float64 {
	total := 0.0
	teams := slices.Sorted(maps.Keys(requested)) // a fixed order keeps floating-point sums reproducible
	for _, team := range teams {
		total += served[team]
	}
	shares := maxMinShares(requested, total)
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

// maxMinShares computes the max-min fair division of a total among demands: no share
// exceeds its demand, and the remainder is divided equally among the others.
func maxMinShares(requested map[string]float64, total float64) map[string]float64 {
	names := make([]string, 0, len(requested))
	for name := range requested {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return requested[names[i]] < requested[names[j]] })
	shares := map[string]float64{}
	for i, name := range names {
		equalShare := total / float64(len(names)-i)
		shares[name] = min(requested[name], equalShare)
		total -= shares[name]
	}
	return shares
}
