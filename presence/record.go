package presence

// Record is what a node writes about itself.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"`

	Node        string
	Incarnation string
	// Address is where callers connect.
	Address    string
	DataCentre string
	Region     string
	// Capacity is what the instance can carry, in hundredths of a usual one.
	Capacity int
	// Ready: the node takes new callers.
	Ready bool
	// Peer is where other nodes connect.
	Peer string
	// Leaving: the node finishes what it has and ends.
	Leaving bool
}
