package event

// Events of membership, addresses and leases.
const (
	PeerJoined         Number = 601
	PeerSuspect        Number = 602
	PeerGone           Number = 603
	LeaseTaken         Number = 604
	LeaseLost          Number = 605
	AddressesHandedOut Number = 606
	// OrderGiven is the first of the numbers for engine orders.
	OrderGiven Number = 640
)

var fleetKinds = map[Number]Kind{
	OrderGiven:         {"OrderGiven", "The holder of the lease gave an engine an order; code 0 means that it was taken."},
	PeerJoined:         {"PeerJoined", "Another node answers."},
	PeerSuspect:        {"PeerSuspect", "Another node stopped answering."},
	PeerGone:           {"PeerGone", "Another node is taken as gone for routing."},
	LeaseTaken:         {"LeaseTaken", "This node took a lease."},
	LeaseLost:          {"LeaseLost", "This node lost or gave up a lease."},
	AddressesHandedOut: {"AddressesHandedOut", "A caller was told which addresses to use."},
}
