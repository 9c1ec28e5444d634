package peerfetch

import (
	"context"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Request asks a peer for the records of a topic.
type Request struct {
	Topic string `json:"topic"`
	// From is the first offset that the asker hasn't read; negative asks for each key's
	// newest record.
	From int64 `json:"from"`
	// End is the offset up to which the peer must have read.
	End int64 `json:"end"`
	// WaitMs is how long the peer may wait until it has, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
}

// Reply is what a peer holds.
type Reply struct {
	// Behind tells that the peer hasn't read as far as was asked, Arriving that it is
	// receiving records at the moment.
	Behind    bool `json:"behind,omitempty"`
	Receiving bool `json:"arriving,omitempty"`
	// Incomplete tells that the peer doesn't hold all records since From.
	Incomplete bool              `json:"forgotten,omitempty"`
	Records    []keyedlog.Record `json:"records,omitempty"`
	// Next is the offset to read on from.
	Next int64 `json:"next"`
}

// Transport carries an ask to a peer. progress is called whenever a part of the reply arrives.
type Transport interface {
	Fetch(ctx context.Context, address string, ask Request, progress func()) (Reply, error)
}
