package node

import (
	"sync"
	"time"
)

const (
	// endReserve is the time kept before the deadline of a drain to end requests that are still
	// open: an engine gets up to 2 s to confirm that it stopped.
	endReserve = 5 * time.Second
	// closeReserve is the time kept before the deadline to settle and close the incarnation.
	closeReserve = 2 * time.Second
	// A short drain keeps these fractions of its time instead.
	endReserveDivisor   = 4
	closeReserveDivisor = 8
)

// drainSchedule holds the times of a graceful shutdown. It is safe for concurrent use.
type drainSchedule struct {
	mu sync.Mutex
	// addressesExpire is when callers no longer hold the node's address.
	addressesExpire time.Time
	// The other times are zero if the drain has no deadline: end is when open requests are
	// ended, closing when the incarnation is closed whatever is still open.
	deadline, end, closing time.Time
}

// bound sets the deadline and reports whether that changed anything: the earliest one counts.
func (s *drainSchedule) bound(now, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.deadline.IsZero() && !deadline.Before(s.deadline) {
		return false
	}
	left := deadline.Sub(now)
	s.deadline = deadline
	s.end = deadline.Add(-min(endReserve, left/endReserveDivisor))
	s.closing = deadline.Add(-min(closeReserve, left/closeReserveDivisor))
	return true
}

func (s *drainSchedule) setAddressesExpire(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addressesExpire = at
}

// endDue reports whether requests that are still open are to be ended.
func (s *drainSchedule) endDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.deadline.IsZero() && !now.Before(s.end)
}

// closingDue reports whether the incarnation is to be closed, whatever is still open.
func (s *drainSchedule) closingDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.deadline.IsZero() && !now.Before(s.closing)
}

// window returns when callers no longer hold the address and when open requests are ended; false
// if the drain has no deadline.
func (s *drainSchedule) window() (addressesExpire, end time.Time, bounded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addressesExpire, s.end, !s.deadline.IsZero()
}
