package lease

// Lease is a lease as its holder sees it.
type Lease struct {
	Name string
	// Epoch rises with each new holder: the fencing number.
	Epoch uint64
}

// Holder tells whether this node holds a lease now. It must be asked right before
// each act under the lease: a node that was paused past the lease's end is told no.
type Holder interface {
	// Held returns the lease while this node surely holds it. It never blocks.
	Held(name string) (Lease, bool)
	// Campaign makes this node try to hold the lease from now on.
	Campaign(name string)
	// Release gives the lease up, for a graceful stop.
	Release(name string)
}
