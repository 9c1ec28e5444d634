package recovery

import "time"

// GoneAfter is how long the platform's list must have shown nothing at an address
// before the process there counts as ended. The list lags; an instance that is only
// paused or cut off stays in it.
const GoneAfter = 10 * time.Minute

// AbsenceTracker notes since when the platform's list shows nothing at an address. Note must
// not run beside Gone.
type AbsenceTracker struct {
	self string
	// list returns the addresses that the last answer shows, and when that came.
	list  func() (addresses map[string]bool, at time.Time)
	last  time.Time
	since map[string]time.Time
}

// NewAbsenceTracker returns notes for the node at the peer address self.
func NewAbsenceTracker(self string, list func() (map[string]bool, time.Time)) *AbsenceTracker {
	return &AbsenceTracker{self: self, list: list, since: map[string]time.Time{}}
}

// Update looks at the last answer for each address. An answer that doesn't show this
// node itself doesn't show the fleet, or not yet: taken for the truth it would end
// nodes that live behind a cut.
func (a *AbsenceTracker) Update(addresses []string) {
	shown, at := a.list()
	if !shown[a.self] {
		clear(a.since)
		return
	}
	a.last = at
	since := make(map[string]time.Time, len(addresses))
	for _, address := range addresses {
		if shown[address] {
			continue
		}
		since[address] = at
		if began, known := a.since[address]; known {
			since[address] = began
		}
	}
	a.since = since
}

// Gone tells whether the list has shown nothing at an address for GoneAfter. While the
// list doesn't answer that doesn't change.
func (a *AbsenceTracker) Gone(address string) bool {
	began, absent := a.since[address]
	return absent && a.last.Sub(began) >= GoneAfter
}
