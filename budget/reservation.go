package budget

import "sync/atomic"

// Reservation holds the worst case of one request, taken from the node's share.
type Reservation struct {
	ID     RequestID
	Budget string
	// Tokens is the worst case reserved.
	Tokens uint64

	holder *ShareHolder
	share  *localShare
	// slot holds the counter while the reservation is open; nil if it is in the overflow map.
	slot  *atomic.Uint64
	ended atomic.Bool
	// used and next belong to the settlement queue.
	used uint64
	next *Reservation
}

// Finish bills the tokens used, at most those reserved, and releases the rest. Only the first
// call of Finish or Cancel has an effect.
func (r *Reservation) Finish(used uint64) { r.finish(used) }

// finish reports whether this call ended the reservation.
func (r *Reservation) finish(used uint64) bool {
	if !r.ended.CompareAndSwap(false, true) {
		return false
	}
	used = min(used, r.Tokens)
	r.share.available.Add(int64(r.Tokens - used))
	r.share.used.Add(int64(used))
	if used > 0 {
		r.used = used
		r.holder.settlements.add(r)
	}
	r.holder.open.remove(r)
	return true
}

// Cancel releases all tokens and bills nothing.
func (r *Reservation) Cancel() { r.Finish(0) }
