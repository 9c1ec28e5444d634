package upstream

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/throttle"
)

const (
	// HeaderRetryAfter is how long, in seconds, an upstream that answers 503 wants no request
	// from this node.
	HeaderRetryAfter = "Retry-After"
	// HeaderLeaving is "true" in each answer of an upstream that is leaving: it finishes what it
	// runs and wants nothing new. The platform's list shows that later.
	HeaderLeaving = "X-Upstream-Leaving"
	leavingValue  = "true"
	// HeaderBrittle is in each answer of an upstream that falls over if it has to reject more than this
	// number of requests a second.
	HeaderBrittle = "X-Upstream-Brittle"
	// HeaderLimit is in each answer of an upstream that takes only this number of requests a second from
	// all nodes together.
	HeaderLimit = "X-Upstream-Limit"
	// HeaderVersion is the version of the upstream's software in each answer of an upstream that reports it. What
	// two versions generate doesn't fit together.
	HeaderVersion = "X-Upstream-Version"
	// maxPause bounds a pause, so that a mistaken value, such as one in milliseconds, doesn't
	// exclude an upstream for long.
	maxPause = 5 * time.Minute
)

// Notice is what an upstream's response says about further requests to it.
type Notice struct {
	// Pause is how long the upstream wants no request from this node; 0 if it asks for none.
	Pause time.Duration
	// Leaving is set if the upstream wants no new work until it is replaced.
	Leaving bool
	// Brittle is set if the upstream falls over when it has to reject more than BrittleLimit requests a
	// second.
	Brittle      bool
	BrittleLimit int
	// Limited is set if the upstream takes only RequestsPerSecond from all nodes together.
	Limited           bool
	RequestsPerSecond float64
	// Rejected is set if a brittle upstream didn't accept the request.
	Rejected bool
}

// Observer is told the notices of upstreams.
type Observer interface {
	Observe(to *operatorv1.Upstream, notice Notice)
}

type observerKey struct{}

// WithObserver returns a context with which a Client reports the notices of its responses,
// also of one that arrives after the context has ended.
func WithObserver(ctx context.Context, o Observer) context.Context {
	return context.WithValue(ctx, observerKey{}, o)
}

// Report passes a notice to the observer of the context, if it has one.
func Report(ctx context.Context, to *operatorv1.Upstream, notice Notice) {
	if observer, ok := ctx.Value(observerKey{}).(Observer); ok && notice != (Notice{}) {
		observer.Observe(to, notice)
	}
}

// noticeOf returns the notice in a response.
func noticeOf(response *protocol.Response) Notice {
	notice := Notice{Pause: pauseOf(response), Leaving: response.Header.Get(HeaderLeaving) == leavingValue}
	if limit := response.Header.Get(HeaderBrittle); limit != "" {
		notice.Brittle, notice.BrittleLimit = true, parseBrittleLimit(limit)
		notice.Rejected = response.StatusCode() == statusUnavailable
	}
	if limit := response.Header.Get(HeaderLimit); limit != "" {
		notice.Limited, notice.RequestsPerSecond = true, throttle.ParseLimit(limit)
	}
	return notice
}

// parseBrittleLimit returns the limit in a header. Zero, the strictest, stands for anything that isn't a
// number.
func parseBrittleLimit(text string) int {
	limit, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return max(0, limit)
}

// pauseOf returns the pause that a response asks for.
func pauseOf(response *protocol.Response) time.Duration {
	if response.StatusCode() != statusUnavailable {
		return 0
	}
	return parsePause(response.Header.Get(HeaderRetryAfter))
}

// parsePause returns the duration of a number of seconds, or 0 if it is none. The header's
// other form, a date, isn't part of the protocol.
func parsePause(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
}
