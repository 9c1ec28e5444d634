package lease

// Lease is a lease held by this node.
type Lease struct {
	Name string
	// Epoch increases with each new holder; it is the fencing token.
	Epoch uint64
}

// Holder holds leases for this node. Held must be called right before each action under a
// lease: on a node that was paused past the end of the lease it returns false.
type Holder interface {
	// Held returns the lease if this node certainly holds it. It never blocks.
	Held(name string) (Lease, bool)
	// Campaign makes this node try to acquire and keep the lease from now on.
	Campaign(name string)
	// Release gives up the lease, for a graceful shutdown.
	Release(name string)
}
