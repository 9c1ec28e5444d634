package presence

// Record is what a node writes about itself.
type Record struct {
	Node        string `json:"n,omitempty"`
	Incarnation string `json:"i,omitempty"`
	// Address is where callers connect.
	Address    string `json:"a,omitempty"`
	DataCentre string `json:"dc,omitempty"`
	Region     string `json:"r,omitempty"`
	// Capacity is what the instance can carry, in hundredths of a usual one.
	Capacity int `json:"c,omitempty"`
	// Ready: the node takes new callers.
	Ready bool `json:"re,omitempty"`
	// Peer is where other nodes connect.
	Peer string `json:"p,omitempty"`
	// Leaving: the node finishes what it has and ends.
	Leaving bool `json:"l,omitempty"`
}
