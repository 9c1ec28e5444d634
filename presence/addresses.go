package presence

import (
	"math/rand/v2"
	"slices"
)

const (
	// maxAddresses bounds the addresses in one response; enough to survive the loss of several.
	maxAddresses = 16
	// minLargeInstances is the number of ready large instances from which small ones are left
	// out: with fewer, the loss of two would leave callers too few until they ask again.
	minLargeInstances = 4
)

// Addresses returns the addresses that callers of a region should connect to: those of ready
// nodes in the region, or of all ready nodes if it has none.
//
// Small instances are listed only if there are few large ones. One caller may send a hundred
// requests a second to the address it picked, which an instance with a tenth of the link cannot
// carry: its callers would wait until their deadlines while large instances idle.
func Addresses(live []Record, region string) []string {
	candidates := readyRecords(live, func(r Record) bool { return r.Region == region })
	if len(candidates) == 0 {
		candidates = readyRecords(live, func(Record) bool { return true })
	}
	candidates = largeInstances(candidates)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var addresses []string
	for _, r := range candidates[:min(len(candidates), maxAddresses)] {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// largeInstances returns the records with at least half of the largest capacity, or all records
// if there are too few of these.
func largeInstances(records []Record) []Record {
	maxCapacity := 0
	for _, r := range records {
		maxCapacity = max(maxCapacity, r.Capacity)
	}
	selected := slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return 2*r.Capacity < maxCapacity })
	if len(selected) < minLargeInstances {
		return records
	}
	return selected
}

func readyRecords(live []Record, match func(Record) bool) []Record {
	var ready []Record
	for _, r := range live {
		if r.Ready && match(r) {
			ready = append(ready, r)
		}
	}
	return ready
}
