package event

// Membership, address and lease events.
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
	RecordsRead        Number = 622
	// OrderGiven is the first number reserved for engine orders.
	OrderGiven Number = 640
)

var fleetKinds = map[Number]Kind{
	OrderGiven:         {"OrderGiven", "The holder of the lease sent an order to an engine; code 0 means that it was accepted."},
	RelayFailed:        {"RelayFailed", "The peer that relays log records was unresponsive or behind; this node reads the log itself for a while."},
	SnapshotWritten:    {"SnapshotWritten", "A snapshot of the folded state was written to the log."},
	SnapshotFailed:     {"SnapshotFailed", "A snapshot was not completed; it is retried."},
	StateRestored:      {"StateRestored", "The records needed were past their retention; the state was restored from a snapshot or a peer."},
	PeerReplaced:       {"PeerReplaced", "A new incarnation took over the address of another node."},
	DrainOrdered:       {"DrainOrdered", "An operator's drain of this node took effect or was cancelled."},
	DrainAnnounced:     {"DrainAnnounced", "The other nodes were told that this one is leaving."},
	UpstreamLeaving:    {"UpstreamLeaving", "The platform's list shows an upstream as leaving, or an answer of its own says so; it gets no new requests."},
	InstancesDown:      {"InstancesDown", "The platform's instance list is unavailable; the last known list stays in use."},
	ServingWithoutLog:  {"ServingWithoutLog", "The log is unreachable; the node serves with the latest configuration that its peers hold."},
	RecordsFetched:     {"RecordsFetched", "A node of the data centre sent this one records of the log; the store was asked at most for the end of the log."},
	RecordsRead:        {"RecordsRead", "This node read records of the log from the store itself."},
	ProcessStalled:     {"ProcessStalled", "The process was paused for a while; what it missed does not count against the other nodes."},
	PeerJoined:         {"PeerJoined", "Another node responds."},
	PeerSuspect:        {"PeerSuspect", "Another node stopped responding."},
	PeerGone:           {"PeerGone", "Another node is treated as gone for routing."},
	LeaseTaken:         {"LeaseTaken", "This node acquired a lease."},
	LeaseLost:          {"LeaseLost", "This node lost or released a lease."},
	AddressesHandedOut: {"AddressesHandedOut", "A caller was told which addresses to use."},
}
