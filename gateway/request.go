package gateway

import (
	"net/http"
	"time"

	"lavenderpin.dev/lavenderpin/placement"
)

// Request is a caller's request, fully read.
type Request struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	// Target is the request target as sent, Path only its path.
	Target, Path string
	Host         string
	// Header holds the headers that are forwarded unchanged.
	Header http.Header
	Body   []byte
	Key    string
	// TimeLeft is how long the caller waits, counted from Arrived; zero if not given.
	TimeLeft time.Duration
	// Arrived is the boot clock reading at which the request had arrived, as the system knows; Unread is how
	// long it then waited until this process had read it, for want of processor time. Where that can't be
	// told, Unread is 0 and Arrived the time at which it had been read.
	Arrived, Unread time.Duration
	// Turn is how long the request then waited until its handler had its turn, BodyRead how long the rest of it took to be read.
	Turn, BodyRead time.Duration
	// PromptTokens and MaxOutput are the request's declared sizes in tokens.
	PromptTokens, MaxOutput int64
	Prefix                  []placement.PromptPart
	// Model is the model that the request asks for; empty if it names none.
	Model string
	// CallerClosed reports whether the caller has closed its connection, also if the process hasn't read
	// the close yet; nil if that can't be told.
	CallerClosed func() bool
	// ResumeAfter is the last event that the caller received in an earlier attempt.
	ResumeAfter    int64
	HasResumeAfter bool
	// Resumes is the ID of the caller's attempt that brought the first event of the stream; empty if not given.
	Resumes string
}

// maxTokens returns the most tokens that the request can use.
func (r *Request) maxTokens() int64 { return r.PromptTokens + r.MaxOutput }
