package peerfetch

import (
	"context"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Request asks a peer for the records of a topic.
type Request struct {
	Topic string `json:"topic"`
	// From is the first offset that the requester has not read; a negative one requests the
	// newest record of each key.
	From int64 `json:"from"`
	// End is the offset up to which the peer must have read.
	End int64 `json:"end"`
	// WaitMs is how long the peer may wait to reach End, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
	// StatusOnly asks whether the peer has read up to End; the reply holds no records.
	StatusOnly bool `json:"status_only,omitempty"`
}

// Reply is a peer's reply to a Request.
type Reply struct {
	// Behind reports that the peer has not read up to End, Receiving that it is currently
	// receiving records from the store.
	Behind    bool `json:"behind,omitempty"`
	Receiving bool `json:"arriving,omitempty"`
	// Incomplete reports that the peer does not hold all records since From.
	Incomplete bool              `json:"forgotten,omitempty"`
	Records    []keyedlog.Record `json:"records,omitempty"`
	// Next is the offset to continue reading from.
	Next int64 `json:"next"`
}

// Transport sends a request to a peer. progress is called whenever a part of the reply arrives.
type Transport interface {
	Fetch(ctx context.Context, address string, req Request, progress func()) (Reply, error)
}
