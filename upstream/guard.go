package upstream

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// Access knows which upstreams want no requests.
type Access interface {
	Observer
	// PauseLeft returns how much is left of the pause that an upstream asked for; 0 for none.
	PauseLeft(to *operatorv1.Upstream) time.Duration
}

// Guard is the Client through which a node sends everything. It reports the notices of
// upstreams to its Access and sends nothing to an upstream during a pause, except what cancels
// a request: the upstream does less work then, and nobody waits for the answer.
type Guard struct {
	Client Client
	// Streams resumes streams; may be nil if Resume isn't called.
	Streams Resumer
	Access  Access
}

var (
	_ Client  = (*Guard)(nil)
	_ Resumer = (*Guard)(nil)
)

// Chat implements Client.
func (g *Guard) Chat(ctx context.Context, to *operatorv1.Upstream, r ChatRequest) (ChatStream, error) {
	if err := g.check(to); err != nil {
		return nil, err
	}
	return g.Client.Chat(WithObserver(ctx, g.Access), to, r)
}

// Call implements Client.
func (g *Guard) Call(ctx context.Context, to *operatorv1.Upstream, r CallRequest) (CallResponse, error) {
	if err := g.check(to); err != nil {
		return CallResponse{}, err
	}
	return g.Client.Call(WithObserver(ctx, g.Access), to, r)
}

// Usage implements Client.
func (g *Guard) Usage(ctx context.Context, to *operatorv1.Upstream, id string) (UsageReport, error) {
	if err := g.check(to); err != nil {
		return UsageReport{}, err
	}
	return g.Client.Usage(WithObserver(ctx, g.Access), to, id)
}

// Cancel implements Client.
func (g *Guard) Cancel(ctx context.Context, to *operatorv1.Upstream, id string) error {
	return g.Client.Cancel(WithObserver(ctx, g.Access), to, id)
}

// Resume implements Resumer. That the rest isn't asked for says nothing of the request itself,
// which has run.
func (g *Guard) Resume(ctx context.Context, to *operatorv1.Upstream, id string, from uint64) (ChatStream, error) {
	if err := g.check(to); err != nil {
		return nil, result.From(err).WithMayHaveRun()
	}
	return g.Streams.Resume(WithObserver(ctx, g.Access), to, id, from)
}

// check returns the error of a request that isn't sent because its upstream is paused.
func (g *Guard) check(to *operatorv1.Upstream) error {
	left := g.Access.PauseLeft(to)
	if left <= 0 {
		return nil
	}
	return result.New(result.NoUpstream, "%s asked for a pause, of which %s is left", to.GetName(), left.Round(time.Millisecond)).
		WithRetryAfter(left).WithPause(left)
}
