package quarantine

import "time"

// Attempt is one send of a request to an upstream.
type Attempt struct {
	// ID is the attempt's ID in the logs.
	ID string
	// Request is the request's content; zero if it can't be told.
	Request ID
	// Upstream names the upstream in the logs, Incarnation is what runs there.
	Upstream    string
	Incarnation ID
	// Life tells incarnations of the upstream apart where Incarnation is the same for all.
	Life ID
	// Account is the client account.
	Account string
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part
	// SentAt is when the attempt was sent, on the guard's clock.
	SentAt time.Duration
	// Opened reports whether the headers of an answer had come, Begun whether its first event had.
	Opened, Begun bool
	// Silent reports that the upstream sent nothing for too long: a cut path or a frozen upstream looks like that, and says
	// nothing of the parts.
	Silent bool
}
