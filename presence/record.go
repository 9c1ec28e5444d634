package presence

import "time"

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
	// PeerAddress is where other nodes connect.
	PeerAddress string `json:"p,omitempty"`
	// StoreWriteMs is the shortest time that the node's process saw a write to the store take, in
	// milliseconds; zero before it has seen one.
	StoreWriteMs int64 `json:"s,omitempty"`
	// IntervalMs is the interval of the node's records in milliseconds.
	IntervalMs int64 `json:"e,omitempty"`
	// Leaving: the node finishes what it has and ends.
	Leaving bool `json:"l,omitempty"`
}

// late returns how much longer than usual the node may be silent, for a number of its
// records left out.
func (r *Record) late(records int) time.Duration {
	return time.Duration(records) * max(0, time.Duration(r.IntervalMs)*time.Millisecond-leastEvery)
}
