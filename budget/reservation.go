package budget

import "sync/atomic"

// Reservation is the worst case of one request, taken out of the node's share.
type Reservation struct {
	ID     RequestID
	Budget string
	// Tokens is the worst case reserved.
	Tokens uint64

	holder *ShareHolder
	share  *localShare
	// slot holds the counter while the reservation is open; nil when a map does.
	slot  *atomic.Uint64
	ended atomic.Bool
	// used and next belong to the queue of settlements.
	used uint64
	next *Reservation
}

// Finish bills the tokens used, at most those reserved, and gives the rest back.
// Only the first call of Finish or Cancel counts.
func (r *Reservation) Finish(used uint64) { r.finish(used) }

// finish tells whether this call ended the reservation.
func (r *Reservation) finish(used uint64) bool {
	if !r.ended.CompareAndSwap(false, true) {
		return false
	}
	used = min(used, r.Tokens)
	r.share.available.Add(int64(r.Tokens - used))
	r.share.used.Add(int64(used))
	if used > 0 {
		r.used = used
		r.holder.settled.add(r)
	}
	r.holder.open.remove(r)
	return true
}

// Cancel gives everything back; nothing is billed.
func (r *Reservation) Cancel() { r.Finish(0) }
