package idempotency

import recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"

// ID names a call: a client account and the key it chose.
type ID struct {
	Account string
	Key     string
}

// Claim is the folded state of one claimed call.
type Claim struct {
	// Owner is the incarnation that alone may run the call.
	Owner string
	// Digest of the call, so that a key isn't used for two calls.
	Digest string
	Offset uint64
	// End tells what became of the call; unspecified while it isn't known.
	End recordv1.CallEnd
	// Status is the HTTP status of the answer, when the call ran.
	Status uint32
}
