package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/result"
)

// ErrNotSent wraps errors after which the upstream has seen nothing of the request.
var ErrNotSent = errors.New("nothing was sent")

// Dispatch is what is sent to an upstream.
type Dispatch struct {
	*Request
	Account string
	// Remaining is the time after which the upstream may stop.
	Remaining time.Duration
	// LastEventID is the last event that the caller has, if HasAfter.
	LastEventID    int64
	HasLastEventID bool
	// Urgency ranks the request at engines, 0 first.
	Urgency int
}

// Response is the start of an upstream's answer. Close must be called; before the body's
// end it stops the upstream's work.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; negative if unsaid.
	Length int64
	// NotRun: the upstream says that it didn't run the request.
	NotRun bool
	// AddressReassigned: another upstream has the address by now.
	AddressReassigned bool
	// Signed: the answer bears the upstream's signature.
	Signed bool
	// IsEventStream: the body is a stream of events.
	IsEventStream bool
	Body          io.Reader
	Close         func()
}

// Upstreams sends requests. It never sends one twice.
type Upstreams interface {
	// Send returns the start of the answer. Ending ctx closes the connection. An error
	// that doesn't wrap ErrNotSent leaves open whether the request ran.
	Send(ctx context.Context, u *directory.Upstream, d *Dispatch) (*Response, error)
}

// Sink takes the answer to the caller.
type Sink interface {
	// Refuse answers for the fleet itself.
	Refuse(*result.Error)
	// Start passes an upstream's status and headers on; a negative length leaves the
	// body's end to be marked by the framing.
	Start(status int, header http.Header, length int64)
	Write([]byte) error
	Flush() error
	// Abort closes the connection so that the answer can't be taken for whole.
	Abort()
}
