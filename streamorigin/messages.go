package streamorigin

import "context"

// Request asks a node where a stream began.
type Request struct {
	Service string `json:"service"`
	// Attempt is the attempt that brought the first event; empty if the caller doesn't name it.
	Attempt string `json:"attempt,omitempty"`
}

// Reply is a node's reply to a Request.
type Reply struct {
	// Found reports that the node knows the origin.
	Found  bool   `json:"found,omitempty"`
	Origin Origin `json:"origin"`
	// Versions are the versions of the service that the node knows of. FromStore reports that the store answered
	// the node just now, so that no other was declared before.
	Versions  []string `json:"versions,omitempty"`
	FromStore bool     `json:"from_store,omitempty"`
}

// Transport asks another node.
type Transport interface {
	Ask(ctx context.Context, address string, request Request) (Reply, error)
}
