package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/streamorigin"
)

// ErrNotSent wraps errors that occurred before any of the request reached the upstream.
var ErrNotSent = errors.New("nothing was sent")

// ErrCallerClosed is returned by Send, wrapped in ErrNotSent, if the caller closed its connection before
// anything was written.
var ErrCallerClosed = errors.New("the caller closed its connection")

// ErrPermitNeeded is returned by Send, wrapped in ErrNotSent, if an upstream crashed under the request while the connection was opened.
var ErrPermitNeeded = errors.New("an upstream crashed under the request meanwhile")

// Dispatch is a request as sent to an upstream.
type Dispatch struct {
	*Request
	Account string
	// Remaining is the time after which the upstream may stop.
	Remaining time.Duration
	// LastEventID is the last event that the caller has received; valid if HasLastEventID.
	LastEventID    int64
	HasLastEventID bool
	// Identity is how certain it must be that the upstream is the incarnation of its entry.
	Identity Identity
	// Weights is the version of the weights that the upstream must have; zero for any.
	Weights int64
	// Urgency is the request's priority at engines; 0 is the most urgent.
	Urgency int
	// Regions are those whose nodes the request may pass through.
	Regions catalog.Regions
	// Begin is called once there is a connection, before anything of the request is written to it. Its error, which Send returns wrapped in
	// ErrNotSent, ends the send.
	Begin func() error
}

// Identity is how certain it must be that the process which takes a request is the incarnation of the upstream
// of its entry. An upstream may come back at its address and under its ID, as another version of its
// software, some time before its new entry can be read.
type Identity int

const (
	// IdentityAssumed sends the request to whatever is there.
	IdentityAssumed Identity = iota
	// IdentityUndenied sends the request unless another incarnation says that it is there.
	IdentityUndenied
	// IdentityReported asks for the incarnation first, and sends the request in any case.
	IdentityReported
	// IdentityRequired sends the request only to the incarnation of the entry.
	IdentityRequired
)

// ErrOtherIncarnation is returned by Send, wrapped in ErrNotSent, if another incarnation than that of the entry is
// there and IdentityRequired or IdentityUndenied is set.
var ErrOtherIncarnation = errors.New("another incarnation of the upstream is there")

// Response is the start of an upstream's response. Close must be called; called before the end
// of the body, it stops the upstream's work.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; negative if unknown.
	Length int64
	// NotRun reports that the upstream declared that it did not run the request.
	NotRun bool
	// AddressReassigned reports that the address now belongs to another upstream.
	AddressReassigned bool
	// Weights is the version of the upstream's weights; zero if it isn't reported. OtherWeights reports that the
	// upstream did not run the request since it has others than the dispatch asked for.
	Weights      int64
	OtherWeights bool
	// OtherIncarnation reports that another incarnation than that of the entry answered, or that it is
	// unknown, although the dispatch asked for it.
	OtherIncarnation bool
	// StartedAt is the start of that incarnation in Unix milliseconds; negative if it is unknown.
	StartedAt int64
	// Pause is how long the upstream, which refused the request, wants no others; zero if it
	// didn't say.
	Pause time.Duration
	// Brittle reports that the upstream said that it falls over if it has to reject more than BrittleLimit
	// requests a second.
	Brittle      bool
	BrittleLimit int
	// Limited reports that the upstream named how many requests a second it takes from all nodes together,
	// in RequestsPerSecond.
	Limited           bool
	RequestsPerSecond float64
	// Leaving reports that the upstream, or the one at the reassigned address, said that it leaves.
	Leaving bool
	// Signed reports that the response carries the upstream's signature.
	Signed bool
	// IsEventStream reports that the body is a stream of events.
	IsEventStream bool
	// NumericEventFields are the names of the fields that events may have beside those of server-sent events; their values are
	// decimal numbers.
	NumericEventFields []string
	Body               io.Reader
	// Abort closes the connection, also at the end of the body. Close may follow.
	Abort func()
	Close func()
}

// Upstreams sends requests. It never retries.
type Upstreams interface {
	// Send returns the start of the response. Canceling ctx closes the connection. After an
	// error that does not wrap ErrNotSent, the request may have run.
	Send(ctx context.Context, u *directory.Upstream, d *Dispatch) (*Response, error)
}

// Origins knows where streams began, those of other nodes included.
type Origins interface {
	// Record records where the stream that an attempt began has its origin, for as long as its caller may take
	// it up.
	Record(attempt string, o streamorigin.Origin, life time.Duration)
	// Finish records that the stream was delivered to its end.
	Finish(attempt string)
	// HasSeveralVersions reports whether streams of a service may have begun at several versions.
	HasSeveralVersions(service string) bool
	// MayBegin reports whether a stream may begin at a version of a service, AwaitBegin waits, no longer than ctx,
	// until one may at any of the versions, and reports whether that is so.
	MayBegin(service, version string) bool
	AwaitBegin(ctx context.Context, service string, versions []string) bool
	// Resolve returns where a stream of a service began; attempt, if known, is the one that brought its first
	// event.
	Resolve(ctx context.Context, service, attempt string) (streamorigin.Resolution, error)
}

// Sink receives the response for the caller.
type Sink interface {
	// Refuse sends an error produced by the gateway itself.
	Refuse(*result.Error)
	// Start forwards an upstream's status and headers. If length is negative, the framing marks
	// the end of the body.
	Start(status int, header http.Header, length int64)
	Write([]byte) error
	Flush() error
	// Abort closes the connection so that the caller cannot take the response for complete.
	Abort()
}
