package presence

import (
	"math/rand/v2"
	"slices"
)

const (
	// mostNamed bounds the addresses of one answer: enough to outlive several losses.
	mostNamed = 16
	// fewestLarge is how many large instances must be ready for the small ones to be
	// left out: with fewer, the loss of two would leave callers too few until they ask
	// again.
	fewestLarge = 4
)

// Addresses returns where callers of a place should connect: ready nodes of their
// region, or of all.
//
// Small instances are named only where large ones are few. One caller may send a hundred
// requests a second to the address that it has drawn, which an instance with a tenth of
// the link can't carry: its callers wait until their deadlines while the large ones idle.
func Addresses(live []Record, region string) []string {
	near := readyOf(live, func(r Record) bool { return r.Region == region })
	if len(near) == 0 {
		near = readyOf(live, func(Record) bool { return true })
	}
	near = large(near)
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	var addresses []string
	for _, r := range near[:min(len(near), mostNamed)] {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// large returns the records with at least half of the largest capacity, or all if these
// are too few.
func large(records []Record) []Record {
	most := 0
	for _, r := range records {
		most = max(most, r.Capacity)
	}
	big := slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return 2*r.Capacity < most })
	if len(big) < fewestLarge {
		return records
	}
	return big
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
