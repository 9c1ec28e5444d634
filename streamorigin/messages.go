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
	// Base is the base version of the service, as far as the node knows it.
	Base string `json:"base,omitempty"`
	// Incarnation is the process that replied. Complete reports that it knows all streams that began at it and may
	// still be taken up.
	Incarnation string `json:"incarnation,omitempty"`
	Complete    bool   `json:"complete,omitempty"`
}

// Transport asks another node.
type Transport interface {
	Ask(ctx context.Context, address string, request Request) (Reply, error)
}
