package recovery

import "time"

// GoneAfter is how long an address must have been missing from the platform's list before
// the process there counts as ended. The list lags; an instance that is only paused or
// cut off stays listed.
const GoneAfter = 10 * time.Minute

// AbsenceTracker tracks since when addresses have been missing from the platform's list.
// Update and Gone must not be called concurrently.
type AbsenceTracker struct {
	self string
	// list returns the addresses in the last response and when it was received.
	list         func() (addresses map[string]bool, at time.Time)
	lastResponse time.Time
	absentSince  map[string]time.Time
}

// NewAbsenceTracker returns an AbsenceTracker for the node with peer address self.
func NewAbsenceTracker(self string, list func() (map[string]bool, time.Time)) *AbsenceTracker {
	return &AbsenceTracker{self: self, list: list, absentSince: map[string]time.Time{}}
}

// Update checks each address against the last response. A response without this node itself
// doesn't list the fleet, or not yet: if it counted, nodes that are alive behind a partition
// would be taken for ended.
func (a *AbsenceTracker) Update(addresses []string) {
	listed, at := a.list()
	if !listed[a.self] {
		clear(a.absentSince)
		return
	}
	a.lastResponse = at
	absentSince := make(map[string]time.Time, len(addresses))
	for _, address := range addresses {
		if listed[address] {
			continue
		}
		absentSince[address] = at
		if start, known := a.absentSince[address]; known {
			absentSince[address] = start
		}
	}
	a.absentSince = absentSince
}

// Gone reports whether an address has been missing from the list for GoneAfter. The result
// doesn't change while the list is unavailable.
func (a *AbsenceTracker) Gone(address string) bool {
	start, absent := a.absentSince[address]
	return absent && a.lastResponse.Sub(start) >= GoneAfter
}
