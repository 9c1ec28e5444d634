package presence

import (
	"math"
	"math/rand/v2"
	"slices"
)

// mostNamed is how many addresses an answer names: few enough for weights to tell, since
// callers choose among the named ones evenly, and enough to outlive several losses.
const mostNamed = 8

// Addresses returns where callers of a place should connect: ready nodes of their
// region, or of all. Where there are more than an answer names, each node is drawn in
// proportion to its capacity; a small one would otherwise get as many callers as a large
// one and choke on its link.
func Addresses(live []Record, region string) []string {
	near := readyOf(live, func(r Record) bool { return r.Region == region })
	if len(near) == 0 {
		near = readyOf(live, func(Record) bool { return true })
	}
	var addresses []string
	for _, r := range drawn(near) {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

func readyOf(live []Record, in func(Record) bool) []Record {
	var ready []Record
	for _, r := range live {
		if r.Ready && in(r) {
			ready = append(ready, r)
		}
	}
	return ready
}

// drawn returns at most mostNamed records, drawn without replacement by weight: each
// gets the exponential variable of its weight's rate, and the smallest win.
func drawn(records []Record) []Record {
	if len(records) <= mostNamed {
		return records
	}
	type draw struct {
		record Record
		key    float64
	}
	draws := make([]draw, len(records))
	for i, r := range records {
		draws[i] = draw{r, -math.Log(1-rand.Float64()) / float64(max(1, r.Capacity))}
	}
	slices.SortFunc(draws, func(x, y draw) int {
		if x.key < y.key {
			return -1
		}
		return 1
	})
	chosen := make([]Record, mostNamed)
	for i := range chosen {
		chosen[i] = draws[i].record
	}
	return chosen
}
