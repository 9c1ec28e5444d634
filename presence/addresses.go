package presence

import (
	"math/rand/v2"
	"slices"

	"lavenderpin.dev/lavenderpin/reach"
)

const (
	// maxAddresses bounds the addresses in one response; enough to survive the loss of several.
	maxAddresses = 16
	// minAddresses is the number of addresses up to which small instances are named beside large
	// ones: with fewer, the loss of two would leave callers too few until they ask again.
	minAddresses = 4
)

// Addresses returns the addresses that callers of a region should connect to: those of ready
// nodes in the region, or of all ready nodes if it has none.
//
// Small instances are named only if there are few large ones, and only as many as are missing. One
// caller may send a hundred requests a second to the address it picked, which an instance with a
// tenth of the link cannot carry: its callers would wait until their deadlines while large
// instances idle. Crowded instances are named last, and left out first.
func Addresses(live []Record, region string) []string {
	candidates := readyRecords(live, func(r Record) bool { return r.Region == region })
	if len(candidates) == 0 {
		candidates = readyRecords(live, func(Record) bool { return true })
	}
	candidates = preferDirect(candidates)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	crowdedLast(candidates)
	large, small := splitBySize(candidates)
	named := append(large[:min(len(large), maxAddresses)], small[:min(len(small), max(0, minAddresses-len(large)))]...)
	crowdedLast(named)
	var addresses []string
	for _, r := range named {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// crowdedLast moves crowded nodes behind the others.
func crowdedLast(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int {
		switch {
		case a.Crowded == b.Crowded:
			return 0
		case b.Crowded:
			return -1
		default:
			return 1
		}
	})
}

// preferDirect leaves out the nodes that have lost their paths to upstreams if the others suffice.
func preferDirect(records []Record) []Record {
	var direct []Record
	capacity, directCapacity := 0, 0
	for _, r := range records {
		capacity += r.Capacity
		if !r.PathsLost {
			directCapacity += r.Capacity
			direct = append(direct, r)
		}
	}
	if !reach.DirectSuffices(directCapacity, capacity) {
		return records
	}
	return direct
}

// splitBySize returns the records with at least half of the largest capacity, and the others.
func splitBySize(records []Record) (large, small []Record) {
	maxCapacity := 0
	for _, r := range records {
		maxCapacity = max(maxCapacity, r.Capacity)
	}
	for _, r := range records {
		if 2*r.Capacity >= maxCapacity {
			large = append(large, r)
		} else {
			small = append(small, r)
		}
	}
	return large, small
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
