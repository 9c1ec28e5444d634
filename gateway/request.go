package gateway

import (
	"net/http"
	"time"

	"lavenderpin.dev/lavenderpin/placement"
)

// Request is a caller's request, read whole.
type Request struct {
	// ID names this attempt of the caller.
	ID     string
	Method string
	// Target is the request target as sent, Path its path alone.
	Target, Path string
	Host         string
	// Header holds the headers that are passed on unchanged.
	Header http.Header
	Body   []byte
	Key    string
	// TimeLeft is how long the caller waits, from Arrived on; zero if unsaid.
	TimeLeft time.Duration
	// Arrived is the boot clock when the request had been read.
	Arrived time.Duration
	// PromptTokens and MaxOutput are the request's declared sizes in tokens.
	PromptTokens, MaxOutput int64
	Prefix                  []placement.PromptPart
	// ResumeAfter is the last event that the caller has of an earlier attempt.
	ResumeAfter    int64
	HasResumeAfter bool
}

// most returns the most tokens that the request can use.
func (r *Request) most() int64 { return r.PromptTokens + r.MaxOutput }
