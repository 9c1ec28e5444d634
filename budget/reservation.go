package budget

import "sync/atomic"

// Reservation is the worst case of one request, taken out of the node's share.
type Reservation struct {
	ID     RequestID
	Budget string
	// Tokens is the worst case reserved.
	Tokens uint64

	holder *Holder
	share  *localShare
	shard  *openShard
	ended  atomic.Bool
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
		r.holder.settled.add(r.ID, r.Budget, used)
	}
	r.shard.remove(r.ID.Counter)
	return true
}

// Cancel gives everything back; nothing is billed.
func (r *Reservation) Cancel() { r.Finish(0) }
