package event

// Events of membership, addresses and leases.
const (
	PeerJoined         Number = 601
	PeerSuspect        Number = 602
	PeerGone           Number = 603
	LeaseTaken         Number = 604
	LeaseLost          Number = 605
	AddressesHandedOut Number = 606
	RelayFailed        Number = 610
	SnapshotWritten    Number = 611
	SnapshotFailed     Number = 612
	StateRestored      Number = 613
	PeerReplaced       Number = 614
	DrainOrdered       Number = 615
	DrainAnnounced     Number = 616
	UpstreamLeaving    Number = 617
	InstancesDown      Number = 618
	ServingWithoutLog  Number = 619
	ProcessStalled     Number = 620
	RecordsFetched     Number = 621
	// OrderGiven is the first of the numbers for engine orders.
	OrderGiven Number = 640
)

var fleetKinds = map[Number]Kind{
	OrderGiven:         {"OrderGiven", "The holder of the lease gave an engine an order; code 0 means that it was taken."},
	RelayFailed:        {"RelayFailed", "The peer that log records come from was silent or behind; this node reads the log itself for a while."},
	SnapshotWritten:    {"SnapshotWritten", "The folded state is in the log again."},
	SnapshotFailed:     {"SnapshotFailed", "A snapshot was not completed; it is tried again."},
	StateRestored:      {"StateRestored", "The records needed had aged out; the state was taken from a snapshot or a peer."},
	PeerReplaced:       {"PeerReplaced", "A new incarnation holds the address of another node."},
	DrainOrdered:       {"DrainOrdered", "An operator's drain of this node took effect or was taken back."},
	DrainAnnounced:     {"DrainAnnounced", "The other nodes were told that this one leaves."},
	UpstreamLeaving:    {"UpstreamLeaving", "The platform's list shows an upstream as leaving; it gets no new work."},
	InstancesDown:      {"InstancesDown", "The platform's instance list does not answer; the last one known stays in use."},
	ServingWithoutLog:  {"ServingWithoutLog", "The log is out of reach; the node serves with the highest configuration its peers hold."},
	RecordsFetched:     {"RecordsFetched", "A node of the data centre gave this one records of the log; the store was asked at most where the log ends."},
	ProcessStalled:     {"ProcessStalled", "The process was stopped for a while; what it missed is not held against the other nodes."},
	PeerJoined:         {"PeerJoined", "Another node answers."},
	PeerSuspect:        {"PeerSuspect", "Another node stopped answering."},
	PeerGone:           {"PeerGone", "Another node is taken as gone for routing."},
	LeaseTaken:         {"LeaseTaken", "This node took a lease."},
	LeaseLost:          {"LeaseLost", "This node lost or gave up a lease."},
	AddressesHandedOut: {"AddressesHandedOut", "A caller was told which addresses to use."},
}
