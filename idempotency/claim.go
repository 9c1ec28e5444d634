package idempotency

import recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"

// ID identifies a call by the client account and the key that it chose.
type ID struct {
	Account string
	Key     string
}

// Claim is the state of one claimed call, as folded from the log.
type Claim struct {
	// Owner is the only incarnation that may run the call.
	Owner string
	// Digest is the request's hash; it detects a key reused for another request.
	Digest string
	Offset uint64
	// End is the outcome of the call, or unspecified while it is unknown.
	End recordv1.CallEnd
	// Status is the HTTP status of the response, if the call ran.
	Status uint32
}
