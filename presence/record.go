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
	// Capacity is the capacity of the instance in hundredths of a standard one.
	Capacity int `json:"c,omitempty"`
	// Ready reports that the node accepts new callers.
	Ready bool `json:"re,omitempty"`
	// PeerAddress is where other nodes connect.
	PeerAddress string `json:"p,omitempty"`
	// StoreWriteMs is the shortest write to the store that the node's process has measured, in
	// milliseconds; zero before the first one.
	StoreWriteMs int64 `json:"s,omitempty"`
	// SentTimeMs is the instance's wall-clock time when the record was made, in Unix milliseconds.
	SentTimeMs int64 `json:"t,omitempty"`
	// IntervalMs is the interval between the node's records in milliseconds.
	IntervalMs int64 `json:"e,omitempty"`
	// PathsLost reports that the node reaches most upstreams only through other nodes.
	PathsLost bool `json:"x,omitempty"`
	// Crowded reports that callers ask more of the node than its link or processor carries.
	Crowded bool `json:"cr,omitempty"`
	// Leaving reports that the node is finishing its requests before it stops.
	Leaving bool `json:"l,omitempty"`
}

// extraSilence returns how much longer than a node with the minimum interval this node may be
// silent, for a number of missed records.
func (r *Record) extraSilence(missed int) time.Duration {
	return time.Duration(missed) * max(0, time.Duration(r.IntervalMs)*time.Millisecond-minInterval)
}
